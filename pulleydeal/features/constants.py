"""Constants of what features share, each with its unit and reason."""

PAGE = 100  # items of a page unless asked otherwise: a screenful or two
PAGE_MOST = 500  # items of a page at most: some 100 KiB

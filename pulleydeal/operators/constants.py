"""Constants of the operators' interface, each with its unit and reason."""

CONNECTIONS = 32  # a handful of operators and their scripts; bounds what they can hold
PAGE = 100  # items of a page unless asked otherwise: a screenful or two
PAGE_MOST = 500  # items of a page at most: some 100 KiB

"""Constants shared by features, each with its unit and reason."""

PAGE = 100  # default items per page: about two screens
PAGE_MOST = 500  # maximum items per page: about 100 KiB

"""Constants shared by features, each with its unit and reason."""

DEFAULT_PAGE_SIZE = 100  # default items per page: about two screens
MAX_PAGE_SIZE = 500  # maximum items per page: about 100 KiB

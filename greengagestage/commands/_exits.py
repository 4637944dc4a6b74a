"""Exit statuses of the processes."""

EXIT_INVALID_SETTINGS = 2
EXIT_LISTEN = 3

"""Exit statuses of the server programs."""

EXIT_INVALID_SETTINGS = 2
EXIT_LISTEN_FAILED = 3

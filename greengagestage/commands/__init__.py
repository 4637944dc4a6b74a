"""The command-line programs: flags, environment variables, startup and signal handling."""

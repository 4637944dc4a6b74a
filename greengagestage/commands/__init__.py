"""The binaries: flags, environment, start and signals."""

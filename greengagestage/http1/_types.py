"""Types shared by both sides of a connection."""

HeaderList = list[tuple[bytes, bytes]]
"""Header names and values in order; names of received headers are in lower case."""

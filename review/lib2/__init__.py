"""Stand-ins of the second review: the platform's store, servers, clients and host processes."""

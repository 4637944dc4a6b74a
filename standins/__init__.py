"""Stand-ins for the systems around the router: engines, plain services, platform and callers."""

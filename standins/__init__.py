"""Small stand-ins for the outside systems: engines, plain services, the platform and callers."""

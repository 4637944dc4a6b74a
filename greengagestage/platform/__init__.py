"""Clients of the platform's table, object, host list and weight services."""

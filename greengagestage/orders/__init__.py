"""Leases, fencing numbers, intents and reconciliation."""

"""The right to run a non-idempotent request once, kept in the platform's table."""

"""A router for language-model traffic with service classes and priorities."""

__version__ = "0.1.0"

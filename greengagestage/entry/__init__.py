"""Callers' HTTP interface: authentication, admission and delivery."""

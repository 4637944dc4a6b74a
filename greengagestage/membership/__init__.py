"""Hosts and upstreams: live, leaving and gone."""

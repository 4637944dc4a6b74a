"""Control on a host: configuration, membership, orders and the operators' endpoint."""

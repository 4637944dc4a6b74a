"""Requests that a host sends to an upstream for another host."""

from ._forwarding import ForwardingHandler
from ._forwarding_protocol import ForwardFault, address_request, read_fault, restore_head

__all__ = [
    "ForwardFault",
    "ForwardingHandler",
    "address_request",
    "read_fault",
    "restore_head",
]

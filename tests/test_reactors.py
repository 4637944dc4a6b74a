"""Tests of the choice of ports for tests."""

import socket

import pytest

from .reactors import choose_address, is_free


# Guards against a port that another test's host uses at another loopback address.
@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
@pytest.mark.parametrize("address", ["127.0.0.1", "127.0.0.2"])
def test_a_port_that_is_used_at_any_address_is_not_free(
    address: str, kind: socket.SocketKind
) -> None:
    port = int(choose_address().rpartition(":")[2])
    with socket.socket(type=kind) as used:
        used.bind((address, port))
        if kind is socket.SOCK_STREAM:
            used.listen()
        assert not is_free(port, kind)
    assert is_free(port, kind)

"""Tests of the choice of free ports for tests."""

import socket

import pytest

from . import reactors


def test_a_port_bound_for_datagrams_is_not_chosen(monkeypatch: pytest.MonkeyPatch) -> None:
    _, _, port_text = reactors.choose_address().rpartition(":")
    taken_port = int(port_text)
    monkeypatch.setattr(reactors, "NON_EPHEMERAL_PORTS", range(taken_port, taken_port + 40))
    with socket.socket(type=socket.SOCK_DGRAM) as datagram_socket:
        datagram_socket.bind(("127.0.0.1", taken_port))
        assert all(reactors.choose_address() != f"127.0.0.1:{taken_port}" for _ in range(200))


# Guards against two parts of a test that listen on the same port: each is chosen before it is used.
def test_a_port_is_not_chosen_twice() -> None:
    addresses = [reactors.choose_address() for _ in range(300)]
    assert len(set(addresses)) == len(addresses)

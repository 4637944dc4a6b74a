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

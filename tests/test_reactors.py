"""The ports that tests choose."""

import socket

import pytest

from . import reactors


def test_a_port_that_is_taken_for_datagrams_is_not_chosen(monkeypatch: pytest.MonkeyPatch) -> None:
    _, _, chosen = reactors.choose_address().rpartition(":")
    taken = int(chosen)
    monkeypatch.setattr(reactors, "FIXED_PORTS", range(taken, taken + 40))
    with socket.socket(type=socket.SOCK_DGRAM) as holder:
        holder.bind(("127.0.0.1", taken))
        assert all(reactors.choose_address() != f"127.0.0.1:{taken}" for _ in range(200))

"""Tests of the choice of ports for tests."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from . import reactors
from .reactors import choose_address, is_free

CHOOSE_AND_WAIT = """
import sys
from tests.reactors import choose_address
print(choose_address(), flush=True)
sys.stdin.read()
"""


class Draws:
    """A source of random numbers that draws the given ports in order."""

    def __init__(self, *ports: int) -> None:
        self._ports = iter(ports)

    def choice(self, _: range) -> int:
        return next(self._ports)


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


# Guards against two processes of the tests that listen on one port, of which the second cannot.
@pytest.mark.process
def test_a_port_that_another_process_has_reserved_is_not_chosen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    command = [sys.executable, "-c", CHOOSE_AND_WAIT]
    directory = Path(__file__).parents[1]
    with subprocess.Popen(
        command, cwd=directory, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as other:
        assert other.stdout is not None
        taken = int(other.stdout.readline().rpartition(":")[2])
        monkeypatch.setattr(reactors, "_random", Draws(taken, *reactors.NON_EPHEMERAL_PORTS))
        assert choose_address() != f"127.0.0.1:{taken}"
        other.communicate("")

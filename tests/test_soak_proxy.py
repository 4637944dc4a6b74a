"""The record of the soak's proxy of what reaches a host."""

import math
import socket
from contextlib import closing

import pytest

from soak._proxy import Link, LinkFault

from .reactors import run_until, running_reactor


# Guards against a cut request that counts as crossing the close although it came before it, or as
# read although it came after it.
def test_only_bytes_that_were_passed_on_before_the_targets_close_count() -> None:
    with running_reactor() as reactor, closing(socket.create_server(("127.0.0.1", 0))) as listener:
        link = Link(reactor=reactor, interface="127.0.0.1", target=listener.getsockname())
        with closing(socket.create_connection(link.open())) as caller:
            port = caller.getsockname()[1]
            caller.sendall(b"first")
            run_until(reactor, lambda: link.find_passage(port).find_passed_s(5) < math.inf)
            passage = link.find_passage(port)
            target = listener.accept()[0]
            assert target.recv(64) == b"first"
            assert passage.find_passed_s(5) <= link.seconds()
            assert passage.find_passed_s(6) == math.inf
            link.set_fault(LinkFault.CUT_REQUESTS)
            caller.sendall(b"later")
            run_until(reactor, lambda: any(side._queue for side in link.sides))
            target.shutdown(socket.SHUT_WR)
            assert not passage.closed
            link.set_fault(LinkFault.NONE)
            assert target.recv(64) == b"later"
            assert passage.find_passed_s(10) == math.inf
            run_until(reactor, lambda: passage.closed)
            target.close()


# Guards against an excuse for requests that the soak itself has cut off, with a host that is open.
@pytest.mark.parametrize(("ends", "closed"), [("refused", True), ("reset", False)])
def test_only_the_targets_own_close_counts_as_its_close(ends: str, closed: bool) -> None:
    with running_reactor() as reactor, closing(socket.create_server(("127.0.0.1", 0))) as listener:
        link = Link(reactor=reactor, interface="127.0.0.1", target=listener.getsockname())
        if ends == "refused":
            listener.close()
        with closing(socket.create_connection(link.open())) as caller:
            port = caller.getsockname()[1]
            caller.sendall(b"first")
            run_until(reactor, lambda: port in link.passages)
            run_until(reactor, lambda: len(link.sides) != 1)
            if ends == "reset":
                link.reset()
        run_until(reactor, lambda: not link.sides)
        assert link.find_passage(port).closed is closed

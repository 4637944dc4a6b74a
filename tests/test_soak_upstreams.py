"""What the soak's upstreams send beside their answers, and how they break answers off."""

import json
import socket
from contextlib import closing, suppress
from random import Random
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import MagicMock

import pytest

from soak._fleet import UpstreamFleet
from soak._upstream import Upstream, UpstreamIdentity, UpstreamObserver

from .reactors import run_until, running_reactor


# Guards against a soak that cannot see that a refusal of one send is taken for another's answer:
# its 421 had no id and was never sent again.
def test_a_refusal_names_its_request_and_comes_again_before_the_next_answer() -> None:
    with running_reactor() as reactor:
        identity = UpstreamIdentity(instance="i-2", service="archive", version="v1", domain="a")
        upstream = Upstream(identity=identity, reactor=reactor, observer=UpstreamObserver())
        upstream.repeats_refusals = lambda: True
        address = upstream.open("127.0.0.1")
        with closing(socket.create_connection(address)) as host:
            received = bytearray()

            def receive(text: bytes) -> bool:
                host.settimeout(0.01)
                with suppress(TimeoutError):
                    received.extend(host.recv(65_536))
                return text in received

            host.sendall(_build_request("a1", "i-1"))
            run_until(reactor, lambda: receive(b"\r\n\r\n"))
            refusal = bytes(received)
            assert refusal.startswith(b"HTTP/1.1 421")
            assert b"greengagestage-attempt-id: a1" in refusal.lower()
            assert b"greengagestage-not-executed: 1" in refusal.lower()
            received.clear()
            host.sendall(_build_request("a2", "i-2"))
            run_until(reactor, lambda: receive(b"w by i-2"))
            copy, _, answer = received.partition(b"\r\n\r\n")
            assert copy.startswith(b"HTTP/1.1 421") and b"Attempt-Id: a1" in copy
            assert answer.startswith(b"HTTP/1.1 200")
        upstream.close()


# Guards against a soak whose upstreams only reset connections when they crash: no answer without
# framing was ever cut in the way in which a whole one ends.
@pytest.mark.parametrize("unframed", [True, False])
@pytest.mark.parametrize(("draw", "part"), [(0.0, b"id: 9\nda"), (0.9, b"\n\n")])
def test_an_upstream_that_crashes_in_order_closes_its_listener_and_resets_nothing(
    unframed: bool, draw: float, part: bytes
) -> None:
    with running_reactor() as reactor:
        fleet = UpstreamFleet(
            reactor=reactor,
            address="127.0.0.1",
            store=MagicMock(),
            random=Random(1),
            observer=UpstreamObserver(),
            disturbances=MagicMock(),
            crash_checks=MagicMock(),
        )
        member = fleet.add("engines", "v1.1")
        instance = member.upstream.identity.instance
        with (
            closing(socket.create_connection(member.link.address)) as stream,
            closing(socket.create_connection(member.link.address)) as plain,
        ):
            body = {"events": 2, "ids": [4, 9], "unframed": unframed, "pace_ms": 2_000}
            stream.sendall(_build_request("a1", instance, **body))
            plain.sendall(_build_request("a2", instance, pace_ms=2_000))
            received = _read_until(reactor, stream, b"\n\n")
            run_until(reactor, lambda: len(member.upstream.work) == 2)
            draws = iter((0.0, draw, draw))
            member.upstream.random = cast(Any, SimpleNamespace(random=lambda: next(draws)))
            fleet.crash(member)
            received += _read_until(reactor, stream, None)
            assert received.removesuffix(b"\r\n").endswith(part)
            answer = _read_until(reactor, plain, None)
            assert answer.endswith(b"Connection: close\r\n\r\nw by i-00" if not draw else b"")
            assert bool(answer) == (not draw)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(member.link.address)
        fleet.replace(member, "engines", "v1.1")
        socket.create_connection(member.link.address).close()
        fleet.close()


# Guards against a soak that does not see that the last chunk is taken for the end of a stream.
def test_a_framed_stream_breaks_off_inside_an_event_with_its_last_chunk() -> None:
    with running_reactor() as reactor:
        identity = UpstreamIdentity(instance="i-2", service="engines", version="v1", domain="a")
        upstream = Upstream(identity=identity, reactor=reactor, observer=UpstreamObserver())
        upstream.random = cast(Any, SimpleNamespace(random=lambda: 0.0))
        with closing(socket.create_connection(upstream.open("127.0.0.1"))) as host:
            host.sendall(_build_request("a1", "i-2", events=2, ids=[4, 9], pace_ms=2_000))
            _read_until(reactor, host, b"\n\n")
            upstream.break_off()
            received = _read_until(reactor, host, b"0\r\n\r\n")
            assert b"id: 9\nda\r\n0\r\n" in received
        upstream.close()


def _read_until(reactor: Any, connection: socket.socket, text: bytes | None) -> bytes:
    """Return what arrives up to a text, or up to the end of the connection."""
    connection.settimeout(0.01)
    received = bytearray()

    def is_done() -> bool:
        with suppress(TimeoutError):
            data = connection.recv(65_536)
            received.extend(data)
            return not data if text is None else text in received
        return False

    run_until(reactor, is_done)
    return bytes(received)


def _build_request(attempt: str, instance: str, **fields: Any) -> bytes:
    body = json.dumps({"work": "w", "pace_ms": 1, **fields})
    return (
        f"POST /x HTTP/1.1\r\nHost: h\r\nGreengagestage-Attempt-Id: {attempt}\r\n"
        f"Greengagestage-Expect-Instance: {instance}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()

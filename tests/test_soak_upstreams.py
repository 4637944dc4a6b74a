"""What the soak's upstreams send beside their answers."""

import json
import socket
from contextlib import closing, suppress

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


def _build_request(attempt: str, instance: str) -> bytes:
    body = json.dumps({"work": "w", "pace_ms": 1})
    return (
        f"POST /x HTTP/1.1\r\nHost: h\r\nGreengagestage-Attempt-Id: {attempt}\r\n"
        f"Greengagestage-Expect-Instance: {instance}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()

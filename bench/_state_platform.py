"""Starts the stand-in platform and engine as processes and reads the platform's counters."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.services import HttpClient, HttpResponse
from standins._processes import ChildProcess

TIMEOUT_S = 5.0
COUNTERS_LIMIT_BYTES = 4096


class Counters(Struct, frozen=True):
    """The number of requests that the stand-in platform has answered."""

    reads: int
    writes: int


@contextmanager
def run_standins() -> Iterator[tuple[str, str]]:
    """Run a platform and an engine, and yield their URLs."""
    with TemporaryDirectory() as directory:
        children = [
            ChildProcess(
                name=name,
                command=[sys.executable, "-m", f"standins.{name}", *options],
                directory=Path(directory),
            )
            for name, options in (
                ("platform", ("--permits-per-s", "1000")),
                ("engine", ("--model", "small", "--fencing", "ignored")),
            )
        ]
        try:
            for child in children:
                child.start()
            for child in children:
                child.wait_for_announcement()
            yield children[0].url, children[1].url
        finally:
            for child in children:
                child.request_stop()
                child.wait()


@inlineCallbacks
def _read_counters(reactor: Any, url: str) -> Any:
    client = HttpClient(reactor=reactor, base_url=url, timeout_s=TIMEOUT_S)
    answer = yield client.send("GET", "/_standin/counters", limit_bytes=COUNTERS_LIMIT_BYTES)
    yield client.close()
    assert isinstance(answer, HttpResponse)
    return msgspec.json.decode(answer.body, type=Counters)


def read_counters(reactor: Any, url: str) -> Deferred[Counters]:
    """Return the platform's counters."""
    return _read_counters(reactor, url)

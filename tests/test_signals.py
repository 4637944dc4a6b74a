"""Signals to the server programs, from their first lines to the end of their processes."""

import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from twisted.internet.defer import Deferred

from greengagestage.commands._held_signals import SIGNALS, hold_signals
from greengagestage.commands._signals import handle_signals
from standins._processes import wait_until

from .reactors import choose_address
from .test_host_command import write_settings

ROUNDS = 3
KEY = "fleet-key-of-the-tests"
STARTED = {"host": "host: started", "entry": "entry: listening", "agent": "agent: started"}

# Stands in for the first large package that a program imports, and gives the test time to signal.
SLOW_IMPORT = """\
import pathlib, sys, time
pathlib.Path({marker!r}).touch()
time.sleep(0.4)
sys.path.remove({directory!r})
del sys.modules["click"]
import click
"""


def list_flags(program: str, directory: Path) -> list[str]:
    if program == "host":
        return ["--settings", str(write_settings(directory))]
    common = ["--host", "host-1", "--failure-domain", "a", "--fleet-key", KEY]
    common += ["--platform", f"http://{choose_address()}"]
    if program == "entry":
        addresses = ["--listen", choose_address(), "--agent", choose_address()]
        return [*common, *addresses, "--drain-notice-s", "0.2"]
    names = ("--entry-listen", "--peer-listen", "--http-listen")
    return [*common, *(text for name in names for text in (name, choose_address()))]


class Program:
    """A server program under test, whose output goes to a file."""

    def __init__(self, program: str, directory: Path, **environment: str) -> None:
        directory.mkdir()
        self.started = STARTED[program]
        self.log = directory / "log"
        command = [sys.executable, "-m", f"greengagestage.commands.{program}"]
        with self.log.open("wb") as output:
            self.process = subprocess.Popen(
                [*command, *list_flags(program, directory)],
                stdout=output,
                stderr=output,
                env={**os.environ, **environment},
            )

    def wait_for_start(self) -> None:
        def has_started() -> bool:
            assert self.process.poll() is None, self.process.returncode
            return self.started in self.log.read_text()

        wait_until(has_started, self.started, 20)


@pytest.fixture
def programs() -> Iterator[list[Program]]:
    started: list[Program] = []
    yield started
    for each in started:
        each.process.kill()
        each.process.wait()


# Guards against a signal that ends a program which has already stopped, with a status of its own.
@pytest.mark.process
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("program", STARTED)
def test_signals_until_the_end_do_not_change_the_status(
    program: str, number: signal.Signals, tmp_path: Path, programs: list[Program]
) -> None:
    programs += [Program(program, tmp_path / str(each)) for each in range(ROUNDS)]
    for each in programs:
        each.wait_for_start()
        each.process.send_signal(signal.SIGTERM)
    while any(each.process.poll() is None for each in programs):
        for each in programs:
            each.process.send_signal(number)
    assert [each.process.returncode for each in programs] == [0] * ROUNDS


# Guards against a reload, or a stop, that ends a program while it starts.
@pytest.mark.process
@pytest.mark.parametrize("program", STARTED)
def test_signals_during_the_imports_take_effect_later(
    program: str, tmp_path: Path, programs: list[Program]
) -> None:
    marker, package = tmp_path / "importing", tmp_path / "package"
    package.mkdir()
    text = SLOW_IMPORT.format(marker=str(marker), directory=str(package))
    (package / "click.py").write_text(text)
    started = Program(program, tmp_path / "run", PYTHONPATH=str(package))
    programs.append(started)
    wait_until(marker.exists, "the program imports", 20)
    started.process.send_signal(signal.SIGHUP)
    started.wait_for_start()
    marker.unlink()
    stopped = Program(program, tmp_path / "stopped", PYTHONPATH=str(package))
    programs.append(stopped)
    wait_until(marker.exists, "the program imports", 20)
    stopped.process.send_signal(signal.SIGTERM)
    assert stopped.process.wait(20) == 0


@pytest.fixture
def own_signals() -> Iterator[None]:
    mask, handlers = signal.pthread_sigmask(signal.SIG_BLOCK, ()), map(signal.getsignal, SIGNALS)
    kept = dict(zip(SIGNALS, handlers, strict=True))
    yield
    for number, handler in kept.items():
        signal.signal(number, handler)
    signal.pthread_sigmask(signal.SIG_SETMASK, mask)


class Calls:
    """Stands in for a reactor: it keeps the calls."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], object]] = []

    def callFromThread(self, call: Callable[[], object]) -> None:  # noqa: N802
        self.calls.append(call)


# Guards against a reload between the read of the settings and the first handler that is lost, and
# against one read of the settings for each of many signals, which would delay a stop.
def test_held_and_repeated_reloads_take_effect_once_each(own_signals: None) -> None:
    reloads: list[int] = []
    reactor = Calls()
    hold_signals()
    signal.raise_signal(signal.SIGHUP)
    with handle_signals(reactor, stop=Deferred, reload=lambda: reloads.append(1)):
        assert len(reactor.calls) == 1
        reactor.calls.pop()()
        for _ in range(100):
            signal.raise_signal(signal.SIGHUP)
        assert len(reactor.calls) == 1
        reactor.calls.pop()()
    assert len(reloads) == 2
    assert [signal.getsignal(number) for number in SIGNALS] == [signal.SIG_IGN] * 3

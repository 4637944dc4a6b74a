"""Exploration of what can happen to two hosts, their store and a release, in all orders.

After each event every host begins a stream, if it may, and is then asked for each stream that began
so far. It has to name the version that began it, or to refuse.
"""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from enum import Enum
from itertools import chain, product
from random import Random

import click
import pytest

from greengagestage.ids import AttemptId, SoftwareVersion

from .store_timeline import NEW, OLD, Timeline

PAUSES_S = (0.1, 3.0)
"""Times between two events: within one interval of the watches, and longer than each of them."""


class Event(Enum):
    """What can happen; each is possible only in some states."""

    CUT = "host 0 is cut off from the store and from host 1"
    HEAL = "host 0 reaches both again"
    PART = "the hosts lose each other"
    JOIN = "the upstream of the new version joins"
    DRAIN = "the upstream of the old version drains"
    LEAVE = "the upstream of the new version leaves"
    RETURN = "the upstream of the old version is ready again"
    DOWN = "the store goes away"
    UP = "the store returns"
    EXPIRE = "the store returns, and the entries have expired"
    DRILL = "the store returns from the copy of before"
    RESTART = "host 0 is replaced"
    RESTART_ALL = "both hosts are replaced"


Step = tuple[Event, float]


class Exploration:
    """One order of events, played from the beginning."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.timeline = Timeline(monkeypatch)
        self.streams: dict[AttemptId, tuple[SoftwareVersion | None, float]] = {}
        self.asked = 0

    def list_possible(self) -> list[Event]:
        """Return the events that are possible now."""
        timeline = self.timeline
        possible = [Event.HEAL if timeline.cut else Event.CUT, Event.RESTART, Event.RESTART_ALL]
        if not timeline.apart:
            possible.append(Event.PART)
        possible.append(Event.LEAVE if NEW in timeline.listed else Event.JOIN)
        possible.append(Event.DRAIN if timeline.listed[OLD] == "ready" else Event.RETURN)
        if timeline.is_down:
            possible += [Event.UP, Event.EXPIRE, Event.DRILL]
        else:
            possible.append(Event.DOWN)
        return possible

    def apply(self, event: Event) -> None:
        """Let an event happen."""
        timeline = self.timeline
        match event:
            case Event.CUT:
                timeline.cut.add(0)
            case Event.HEAL:
                timeline.cut.clear()
            case Event.PART:
                timeline.apart = True
            case Event.JOIN:
                timeline.list_upstream(NEW)
            case Event.DRAIN:
                timeline.list_upstream(OLD, "draining")
            case Event.LEAVE:
                timeline.remove_upstream(NEW)
            case Event.RETURN:
                timeline.list_upstream(OLD)
            case Event.DOWN:
                timeline.take_down()
            case Event.UP:
                timeline.bring_back()
            case Event.EXPIRE:
                timeline.bring_back(without=(OLD, NEW))
            case Event.DRILL:
                timeline.bring_back(from_copy=True)
            case Event.RESTART:
                timeline.start_host(0)
            case Event.RESTART_ALL:
                for number in (0, 1):
                    timeline.start_host(number)

    def find_joined(self) -> str | None:
        """Begin a stream at each host, and describe a host that names a wrong version for one."""
        now_s = self.timeline.clock.seconds()
        for host in self.timeline.hosts.values():
            stream = host.begin_stream()
            if stream is not None:
                self.streams[stream] = host.begun[stream], now_s
        for stream, (version, began_s) in self.streams.items():
            for number, host in self.timeline.hosts.items():
                if self.timeline.clock.seconds() - began_s > 29.0:
                    continue
                self.asked += 1
                named = host.take_up(stream)
                if named not in (None, version):
                    return f"host {number} names {named} for a stream of {version}"
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What a sequence of events led to.

    Attributes:
        fault: The wrong answer in the last state; None without one.
        possible: The events that are possible next.
    """

    steps: tuple[Step, ...]
    fault: str | None
    possible: tuple[Event, ...]

    def __str__(self) -> str:
        events = "; ".join(f"{event.value}, {pause_s} s" for event, pause_s in self.steps)
        return f"{events}: {self.fault}"


def play(steps: tuple[Step, ...]) -> Outcome:
    """Play events from the beginning up to the first fault."""
    remaining = iter(steps)
    return _play(lambda possible: next(remaining, None))


def walk(seed: int, events: int) -> Outcome:
    """Play events drawn at random up to the first fault."""
    random = Random(seed)
    draws = ((random.random(), random.choice(PAUSES_S)) for _ in range(events))

    def draw(possible: list[Event]) -> Step | None:
        drawn = next(draws, None)
        return None if drawn is None else (possible[int(drawn[0] * len(possible))], drawn[1])

    return _play(draw)


def _play(choose: Callable[[list[Event]], Step | None]) -> Outcome:
    steps: list[Step] = []
    with pytest.MonkeyPatch.context() as monkeypatch:
        exploration = Exploration(monkeypatch)
        fault = exploration.find_joined()
        while fault is None and (step := choose(exploration.list_possible())) is not None:
            steps.append(step)
            exploration.apply(step[0])
            exploration.timeline.run(step[1])
            fault = exploration.find_joined()
        possible = () if fault else tuple(exploration.list_possible())
        return Outcome(steps=tuple(steps), fault=fault, possible=possible)


def explore(depth: int, jobs: int = 1) -> Iterator[Outcome]:
    """Play all sequences up to a number of events, the shorter ones first."""
    with ProcessPoolExecutor(jobs) as pool:
        ends: list[tuple[Step, ...]] = [()]
        for _ in range(depth + 1):
            longer: list[tuple[Step, ...]] = []
            for outcome in pool.map(play, ends, chunksize=16):
                yield outcome
                next_steps = product(outcome.possible, PAUSES_S)
                longer += [(*outcome.steps, step) for step in next_steps]
            ends = longer


@click.command()
@click.option("--depth", default=3, help="Number of events of the longest sequences.")
@click.option("--walks", default=0, help="Number of random sequences in addition.")
@click.option("--events", default=10, help="Number of events of each of these.")
@click.option("--jobs", default=4, help="Number of processes.")
def main(depth: int, walks: int, events: int, jobs: int) -> None:
    """Play all short sequences and some longer ones, and print those that end with a fault."""
    began_s, states, faults = time.monotonic(), 0, 0
    with ProcessPoolExecutor(jobs) as pool:
        outcomes = pool.map(walk, range(walks), [events] * walks, chunksize=8)
        for outcome in chain(explore(depth, jobs), outcomes):
            states += 1
            if outcome.fault is not None:
                faults += 1
                print(outcome)
    print(f"{states} sequences, {faults} faults, {time.monotonic() - began_s:.0f} s")


if __name__ == "__main__":
    main()

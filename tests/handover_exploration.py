"""Exploration of one request at several upstreams, in drawn orders of events.

The caller has to get the beginning of one run's answer, or all of it, and of a resumable stream its
events in order, each once. Only events that a further run leaves out may be missing: ids need not
be consecutive, so that this cannot be told. As soon as bytes of one run go to the caller, no other
run may be under way.
"""

import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate
from random import Random

import click

from greengagestage.gateway.forwarding._forwarding_protocol import ForwardFault
from greengagestage.http1 import ExchangeFailure

from .exchange_world import IDS, Answer, Run, World, build_event, build_sequel

PAUSES_S = (0.02, 0.12, 0.3, 0.6, 1.5)
"""Around the shortest silence limit, the pause until another successor is sought, and the longest
silence of a stream."""

PLAIN_PARTS = (1_000, 70_000, 300_000, 600_000)
STREAM_PARTS = (7, 20, 60)
STARTS = (0, 0, 0, 0, -20, -2, -1, 1, 2)
"""By how many events a run begins earlier or later than it was asked to."""

REPEATS = (0, 0, 0, 0, 1, 3)
"""After how many of its events a run repeats one."""


class Event(Enum):
    """What can happen; each is possible only in some states."""

    WAIT = "time passes"
    OPEN = "a connection is opened"
    UNREACHABLE = "a connection cannot be opened"
    BEGIN = "an upstream begins its answer"
    REJECT = "an upstream answers 404"
    ERROR = "an upstream answers 500"
    REFUSE = "an upstream refuses"
    UNPROVEN = "an answer is not proven"
    LOSE = "the other host states that the answer was lost"
    BUSY = "the other host is busy"
    PART = "an upstream sends a part"
    END = "an upstream ends its answer"
    REST = "an upstream sends a part and ends its answer"
    CUT = "an upstream ends its answer inside an event"
    EXIT = "an upstream process exits"
    OTHERS = "there are other connections to the upstreams"
    ALONE = "there is no other connection to an upstream"
    RESET = "an upstream resets its connection"
    MALFORMED = "an answer is malformed"
    PAUSE = "the caller reads no more"
    RESUME = "the caller reads again"
    LEAVE = "the caller leaves"
    SCARCE = "memory is scarce"
    PLENTY = "memory is not scarce"
    KEEP = "an idle connection is there for each send"
    CONNECT = "a connection is opened for each send"
    FORWARD = "another host forwards"
    DIRECT = "requests are sent directly"
    NONE = "no other upstream has room"
    ROOM = "another upstream has room"


WEIGHTS = {
    Event.WAIT: 10,
    Event.BEGIN: 8,
    Event.PART: 14,
    Event.END: 4,
    Event.OPEN: 6,
    Event.RESET: 2,
    Event.EXIT: 2,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What a drawn order led to.

    Attributes:
        fault: The broken promise; None without one.
        joined: A successor was under way beside another run.
        resumed: A further run of a stream has gone on, or that of a caller that takes it up.
    """

    seed: int
    answer: Answer
    steps: tuple[str, ...]
    fault: str | None
    complete: bool
    joined: bool
    resumed: bool

    def __str__(self) -> str:
        return f"order {self.seed}, {self.answer.value}: {'; '.join(self.steps)}: {self.fault}"


def play(seed: int, events: int = 40) -> Outcome:
    """Play one drawn order up to the caller's final answer or the first fault."""
    random = Random(seed)
    world = _draw_world(random)
    world.caller.is_scarce = random.random() < 0.3
    world.keeps_idle = random.random() < 0.7
    world.forwards = random.random() < 0.3
    steps: list[str] = []
    fault, joined = None, False
    world.exchange.start()
    for _ in range(events):
        event, run = _draw(random, world)
        steps.append(event.value if run is None else f"{event.value} ({run.number})")
        world.passed_on, known_runs = False, len(world.runs)
        try:
            _apply(random, world, event, run)
        except AssertionError as error:
            fault = str(error)
        fault = fault or find_fault(world, run, known_runs)
        joined = joined or len(_list_open(world)) > 1
        if fault is not None or world.caller.has_final_answer or world.left:
            break
    return Outcome(
        seed=seed,
        answer=world.answer,
        steps=tuple(steps),
        fault=fault,
        complete=world.caller.is_complete and not world.caller.refusal,
        joined=joined,
        resumed=bool(world.exchange._delivery.continuations),
    )


def find_fault(world: World, active: Run | None, known_runs: int) -> str | None:
    """Describe what the caller got if that is not one run's answer, or which loser goes on.

    Args:
        active: The run whose upstream has just sent something, if any.
        known_runs: Number of runs before that; one that it has begun follows it.
    """
    caller = world.caller
    is_open = _list_open(world)
    if caller.has_final_answer and is_open:
        return f"run {is_open[0].number} goes on after the final answer"
    if caller.refusal or caller.status is None:
        return None
    if world.passed_on and active is not None:
        losers = [run.number for run in is_open if run is not active and run.number <= known_runs]
        if losers:
            return f"run {losers[0]} goes on while bytes of run {active.number} go to the caller"
    got = b"".join(caller.parts)
    if world.answer is Answer.RESUMABLE and caller.status == 200:
        return _find_stream_fault(world, got)
    answers = [run for run in world.runs if _is_by(run, world, got)]
    if not answers:
        return "the caller got parts of several answers"
    if caller.is_complete and not any(run.is_whole and len(got) == run.sent for run in answers):
        return "an incomplete answer looks complete"
    return None


def _is_by(run: Run, world: World, got: bytes) -> bool:
    """Whether what the caller got is a beginning of what one run has sent."""
    if run.head is None or run.head.status != world.caller.status:
        return False
    named = dict(world.caller.headers)[b"run"] == b"%d" % run.number
    sent = run.body[: run.sent]
    return sent.startswith(got) and (named or not run.is_plain)


def _find_stream_fault(world: World, got: bytes) -> str | None:
    """Describe what is wrong with the events of a resumable stream."""
    skipped = {number for run in world.runs for number in run.skipped}
    position, missing = 0, False
    for number in world.ids:
        event, sequel = build_event(number), build_sequel(number)
        if number > (world.last_event_id or 0):
            if not got.startswith(event, position):
                if number in skipped:
                    continue
                missing = True
                break
            position += len(event)
        elif number != world.last_event_id:
            continue
        if not got.startswith(sequel, position):
            missing = True
            break
        position += len(sequel)
    if position < len(got):
        return f"the caller got {got!r}"
    if world.caller.is_complete and missing:
        return "an incomplete stream looks complete"
    return None


def _list_open(world: World) -> list[Run]:
    """Return the runs that may still send an answer, other than the rest of a refusal."""
    if world.left:
        return []
    return [run for run in world.runs if run.exchange is not None and not run.refused]


def _draw_world(random: Random) -> World:
    """Draw what is asked for, and how the upstreams and the connections to them are."""
    answer = random.choice([Answer.PLAIN, *[Answer.RESUMABLE] * 4, *Answer])
    ids, last_event_id = IDS, None
    if answer is Answer.RESUMABLE:
        ids = tuple(accumulate(random.choices((1, 2, 7), (6, 1, 1), k=len(IDS))))
        last_event_id = random.choice((None, None, 1, 3, 9))
    world = World(answer, ids=ids, last_event_id=last_event_id)
    world.draw_start = lambda: (random.choice(STARTS), random.choice(REPEATS))
    world.has_others = random.random() < 0.5
    return world


def _draw(random: Random, world: World) -> tuple[Event, Run | None]:
    """Draw one of the possible events, with the upstream that it concerns."""
    caller = world.caller
    possible: list[tuple[Event, Run | None]] = [
        (Event.WAIT, None),
        (Event.LEAVE, None),
        (Event.PLENTY if caller.is_scarce else Event.SCARCE, None),
        (Event.CONNECT if world.keeps_idle else Event.KEEP, None),
        (Event.DIRECT if world.forwards else Event.FORWARD, None),
        (Event.NONE if world.places else Event.ROOM, None),
        (Event.ALONE if world.has_others else Event.OTHERS, None),
        (Event.PAUSE, None),
        (Event.RESUME, None),
    ]
    if world.opening:
        possible.append((Event.UNREACHABLE, None))
        if world.opening[0][0].port not in world.exited:
            possible.append((Event.OPEN, None))
    for run in world.runs:
        if run.exchange is None or run.is_paused:
            continue
        possible += [(Event.RESET, run), (Event.MALFORMED, run), (Event.EXIT, run)]
        if run.head is not None:
            possible += [(each, run) for each in (Event.PART, Event.END, Event.REST)]
            if not run.is_plain and run.sent < len(run):
                possible.append((Event.CUT, run))
            continue
        heads = [Event.BEGIN, Event.REJECT, Event.ERROR, Event.REFUSE, Event.UNPROVEN]
        if run.forwarded:
            heads += [Event.LOSE, Event.BUSY]
        possible += [(each, run) for each in heads]
    weights = [WEIGHTS.get(event, 1) for event, _ in possible]
    return random.choices(possible, weights)[0]


def _apply(random: Random, world: World, event: Event, run: Run | None) -> None:
    caller = world.caller
    match event:
        case Event.WAIT:
            world.clock.advance(random.choice(PAUSES_S))
        case Event.OPEN | Event.UNREACHABLE:
            _, on_open, on_failed = world.opening.pop(0)
            (on_open if event is Event.OPEN else on_failed)()
        case Event.PAUSE if caller.listener is not None:
            caller.listener.pause()
        case Event.RESUME if caller.listener is not None:
            caller.listener.resume()
        case Event.LEAVE if caller.listener is not None:
            world.left = True
            caller.listener.handle_disconnect()
        case Event.SCARCE | Event.PLENTY:
            caller.is_scarce = event is Event.SCARCE
        case Event.KEEP | Event.CONNECT:
            world.keeps_idle = event is Event.KEEP
        case Event.FORWARD | Event.DIRECT:
            world.forwards = event is Event.FORWARD
        case Event.NONE | Event.ROOM:
            world.places = event is Event.ROOM
        case Event.OTHERS | Event.ALONE:
            world.has_others = event is Event.OTHERS
        case _ if run is not None:
            _answer(random, world, event, run)


def _answer(random: Random, world: World, event: Event, run: Run) -> None:
    """Let an upstream send something."""
    framed = random.random() < 0.8
    headers = world.build_headers(run)
    part = random.choice(PLAIN_PARTS if run.is_plain else STREAM_PARTS)
    match event:
        case Event.BEGIN:
            run.begin(200, headers, framed=framed)
        case Event.REJECT:
            run.begin(404, headers, framed=framed)
        case Event.ERROR:
            run.begin(500, headers, framed=framed)
        case Event.REFUSE:
            run.refused = True
            run.begin(503, [*headers, (b"greengagestage-not-executed", b"1")], framed=True)
        case Event.UNPROVEN:
            run.begin(200, world.build_headers(run, proven=False), framed=framed)
        case Event.LOSE:
            run.state_fault(ForwardFault.LOST)
        case Event.BUSY:
            run.state_fault(ForwardFault.BUSY)
        case Event.PART:
            run.send_part(part)
        case Event.END | Event.REST:
            if not run.is_plain:
                run.send_part(len(run))
            elif event is Event.REST:
                run.send_part(part)
            run.end()
        case Event.CUT:
            run.cut(part)
        case Event.EXIT:
            run.exit()
        case Event.RESET:
            run.fail(ExchangeFailure.LOST)
        case Event.MALFORMED:
            run.fail(ExchangeFailure.MALFORMED)


@click.command()
@click.option("--orders", default=10_000, help="Number of drawn orders.")
@click.option("--first", default=0, help="Seed of the first one; the others follow.")
@click.option("--events", default=40, help="Most events of an order.")
@click.option("--jobs", default=2, help="Number of processes.")
def main(orders: int, first: int, events: int, jobs: int) -> None:
    """Play drawn orders and print those that end with a fault."""
    began_s, counts = time.monotonic(), Counter[str]()
    with ProcessPoolExecutor(jobs) as pool:
        seeds = range(first, first + orders)
        for outcome in pool.map(play, seeds, [events] * orders, chunksize=50):
            counts["joined"] += outcome.joined
            counts["complete"] += outcome.complete
            counts["resumed"] += outcome.resumed
            counts["whole"] += outcome.resumed and outcome.complete
            if outcome.fault is not None:
                counts["faults"] += 1
                print(outcome)
    print(
        f"{orders} orders, {counts['joined']} with two runs at once, {counts['complete']} complete"
        f" answers, {counts['resumed']} resumed streams ({counts['whole']} complete),"
        f" {counts['faults']} faults, {time.monotonic() - began_s:.0f} s"
    )
    raise SystemExit(counts["faults"] > 0)


if __name__ == "__main__":
    main()

"""The schedule of faults, drawn from the seed."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

SERIES_CHANCE = 0.15
MAX_SERIES = 4
SERIES_PAUSE_S = 0.15


class Fault(Enum):
    """Kinds of faults and planned work; names in the order of what they disturb."""

    CONFIGURATION = "configuration"
    HOST_STOP = "host stop"
    HOST_KILL = "host kill"
    HOST_KILLS = "kill of all hosts"
    HOST_FREEZE = "host freeze"
    HOST_RELOAD = "host reload"
    SETTINGS_CHANGE = "settings change"
    UPSTREAM_SILENCE = "upstream silence"
    UPSTREAM_RESET = "upstream reset"
    UPSTREAM_BREAK = "upstream breaks off"
    UPSTREAM_DROP = "upstream drops idle connections"
    UPSTREAM_FULL = "upstream refuses"
    UPSTREAM_DRAIN = "upstream drains"
    UPSTREAM_UNLIST = "upstream is removed"
    UPSTREAM_REPEAT = "upstreams repeat refusals"
    UPSTREAM_CRASH = "upstream crash"
    UPSTREAM_EXPIRY = "entries of upstreams expire in an outage of the store"
    CALLERS_LINK = "link from callers to a host"
    UPSTREAM_LINK = "link to an upstream"
    UPSTREAM_LINKS = "links to some upstreams refuse"
    STORE_LINK = "link from a host to the store"
    STORE_LINKS = "links from all hosts to the store"
    STORE_FAULT = "store"


MEAN_PAUSES_S = (0.4, 0.8, 2.0)
"""Mean times between the beginnings of two faults, of which each run draws one. Faults last up to
some seconds, so that they overlap."""

ADDED = ((Fault.UPSTREAM_LINKS, Fault.HOST_KILLS), (Fault.UPSTREAM_REPEAT,))
DRAWN = [fault for fault in Fault if not any(fault in kinds for kinds in ADDED)]
"""Kinds that a seed draws from first. The added ones are drawn afterwards, group by group, so that
the earlier draws of a seed stay as they were."""

ADDED_CHANCE = 0.3
ADDED_PAUSE_S = 10.0

KINDS = (3, 6, len(DRAWN))
"""Numbers of kinds of faults, of which each run draws one: many faults at once excuse much."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ScheduledFault:
    """A fault with its time since the beginning, and a seed for its details."""

    at_s: float
    fault: Fault
    seed: int


def draw_schedule(
    random: Random,
    began_s: float,
    ended_s: float,
    *,
    kinds: Sequence[Fault] = (),
    mean_pause_s: float | None = None,
) -> list[ScheduledFault]:
    """Draw faults one after another, some of them as a quick series of the same kind.

    Args:
        kinds: Kinds to draw from, of which one may be listed several times; drawn too if empty.
        mean_pause_s: Mean time between the beginnings of two faults; drawn too if None.
    """
    draws_kinds = not kinds
    kinds = kinds or random.sample(DRAWN, random.choice(KINDS))
    mean_pause_s = random.choice(MEAN_PAUSES_S) if mean_pause_s is None else mean_pause_s
    schedule = []
    at_s = began_s
    while (at_s := at_s + random.expovariate(1 / mean_pause_s)) < ended_s:
        fault = random.choice(kinds)
        times = random.randint(2, MAX_SERIES) if random.random() < SERIES_CHANCE else 1
        for number in range(times):
            schedule.append(
                ScheduledFault(
                    at_s=at_s + number * SERIES_PAUSE_S,
                    fault=fault,
                    seed=random.randrange(2**32),
                )
            )
    for added in ADDED if draws_kinds else ():
        if random.random() < ADDED_CHANCE:
            schedule += draw_schedule(
                random, began_s, ended_s, kinds=added, mean_pause_s=ADDED_PAUSE_S
            )
    return sorted(schedule, key=lambda item: item.at_s)

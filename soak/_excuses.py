"""Why a request is not judged: each excuse names the disturbance that touched it, and when."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from ._bounds import LOSS_SLACK_S, STABILITY_WINDOW_S
from ._disturbances import Disturbance, Disturbances
from ._ledger import Arrival, Attempt, Ledger

CALM_S = 1.0
"""A request is sent in a calm part of a run if nothing was disturbed for this long."""

PASSING = ("kill", "start", "reset link", "refusing link")
"""Faults that touch connections only while they last, and no later process or connection."""

SPARING_REQUESTS = ("delayed link", "refusing link", "shut link")
"""Faults of links that break off nothing which has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Excuse:
    """A reason for which no answer to a request is owed.

    Attributes:
        reason: The kind, by which excuses are counted.
        target: The host or the upstream.
        began_s: When the cause began; ``ended_s`` is infinite while it lasts.
    """

    reason: str
    target: str
    began_s: float
    ended_s: float

    def describe(self, origin_s: float) -> str:
        """Return the excuse as a phrase, with times since the origin."""
        times = f"{self.began_s - origin_s:.3f} to {self.ended_s - origin_s:.3f}"
        return f"{self.reason} ({self.target}, {times})"


@dataclass(slots=True, kw_only=True)
class LossExcuses:
    """Lists the losses that are excused, with their reasons."""

    listed: list[tuple[Attempt, str]] = field(default_factory=list)

    def add(self, reason: str, attempt: Attempt) -> None:
        """Count a loss."""
        self.listed.append((attempt, reason))

    def summarize(self) -> str:
        """Return the counts, each with the longest time from a last byte to the loss."""
        counts = Counter(reason for _, reason in self.listed)
        longest_s: dict[str, float] = defaultdict(float)
        for attempt, reason in self.listed:
            taken_s = max(attempt.ended_s - attempt.last_byte_s, 0.0)
            longest_s[reason] = max(longest_s[reason], taken_s)
        texts = [
            f"{reason} {count} (up to {longest_s[reason]:.2f} s)"
            for reason, count in counts.most_common()
        ]
        return ", ".join(texts) or "none"

    def describe(self, origin_s: float) -> list[str]:
        """Return a line for each loss, with its time since the origin."""
        return [
            f"{attempt.plan.attempt} at {attempt.host}, {attempt.ended_s - origin_s:.3f}, "
            f"{attempt.ending.value} {attempt.status or ''}: {reason}"
            for attempt, reason in self.listed
        ]


def find_excuse(
    disturbances: Disturbances, attempt: Attempt, arrivals: Iterable[Arrival]
) -> Excuse | None:
    """Return why no answer to a request is owed, if anything has touched it.

    A fault of its host counts from the stability window before the request on, one that only ends
    connections from shortly before it on, when the end may be on its way. One of an upstream counts
    while it has the request, or while the request may be on its way to it.
    """
    host, sent_s, ended_s = attempt.host, attempt.sent_s, attempt.ended_s
    fault = (
        disturbances.find_start(host, sent_s, ended_s)
        or disturbances.find_fault(host, sent_s - LOSS_SLACK_S, ended_s)
        or disturbances.find_fault(host, sent_s - STABILITY_WINDOW_S, ended_s, besides=PASSING)
    )
    if fault is not None:
        return _build_excuse(f"host: {fault.kind}", attempt.host, fault)
    for arrival in arrivals:
        if arrival.broke_off:
            return Excuse(
                reason="upstream: broke off",
                target=arrival.upstream,
                began_s=arrival.arrived_s,
                ended_s=ended_s if arrival.finished_s is None else arrival.finished_s,
            )
        on_way_s = max(arrival.arrived_s - LOSS_SLACK_S, sent_s)
        fault = disturbances.find_fault(
            arrival.upstream, on_way_s, ended_s, besides=SPARING_REQUESTS
        )
        if fault is not None:
            return _build_excuse(f"upstream: {fault.kind}", arrival.upstream, fault)
    return None


def _build_excuse(reason: str, target: str, fault: Disturbance) -> Excuse:
    return Excuse(reason=reason, target=target, began_s=fault.began_s, ended_s=fault.ended_s)


@dataclass(slots=True, kw_only=True)
class JudgedShare:
    """How many requests were judged, and why the others were not.

    Attributes:
        excused: The requests whose loss would be excused, with the reasons.
        in_touch: Requests that were sent to a host in touch, for rules with a bound in time.
        out_of_touch: The others by what kept their hosts out of touch.
        calm: Requests sent in calm parts; ``calm_judged`` of them were judged.
    """

    requests: int = 0
    excused: list[tuple[Attempt, Excuse]] = field(default_factory=list)
    in_touch: int = 0
    out_of_touch: Counter[str] = field(default_factory=Counter)
    calm: int = 0
    calm_judged: int = 0

    def count(self, disturbances: Disturbances, ledger: Ledger) -> None:
        """Count all requests of a run that have ended."""
        for attempt in ledger.attempts.values():
            sent_s, arrivals = attempt.sent_s, ledger.arrivals.get(attempt.plan.attempt, ())
            excuse = find_excuse(disturbances, attempt, arrivals)
            if excuse is not None:
                self.excused.append((attempt, excuse))
            cause = disturbances.find_cause(attempt.host, sent_s, sent_s)
            self.in_touch += cause is None
            if cause is not None:
                self.out_of_touch[cause] += 1
            is_calm = not disturbances.is_anything_disturbed(sent_s - CALM_S, sent_s)
            self.calm += is_calm
            self.calm_judged += is_calm and excuse is None
            self.requests += 1

    def summarize(self) -> str:
        """Return the counts, and those of each reason."""
        judged = self.requests - len(self.excused)
        reasons = Counter(excuse.reason for _, excuse in self.excused)
        return (
            f"{judged} of {self.requests} judged ({judged / max(self.requests, 1):.2f}), "
            f"{self.calm_judged} of {self.calm} in calm parts; "
            f"excused: {_list_counts(reasons)}; sent at hosts in touch: {self.in_touch}, "
            f"others: {_list_counts(self.out_of_touch)}"
        )

    def describe_excused(self, origin_s: float) -> list[str]:
        """Return a line for each excused request, with times since the origin."""
        return [
            f"{attempt.plan.attempt} at {attempt.host}, {attempt.sent_s - origin_s:.3f} to "
            f"{attempt.ended_s - origin_s:.3f}, {attempt.ending.value} {attempt.status or ''}: "
            f"{excuse.describe(origin_s)}"
            for attempt, excuse in self.excused
        ]


def write_excuses(
    directory: Path,
    disturbances: Disturbances,
    ledger: Ledger,
    losses: LossExcuses,
    origin_s: float,
) -> None:
    """Write the excused requests and losses and all disturbances, timed since the origin."""
    judged = JudgedShare()
    judged.count(disturbances, ledger)
    lines = judged.describe_excused(origin_s)
    (directory / "excused.txt").write_text("".join(f"{line}\n" for line in lines))
    lines = losses.describe(origin_s)
    (directory / "losses.txt").write_text("".join(f"{line}\n" for line in lines))
    lines = [
        f"{item.began_s - origin_s:.3f} to {item.ended_s - origin_s:.3f} {target}: {item.kind}"
        for target, item in disturbances.list_all()
    ]
    (directory / "disturbances.txt").write_text("".join(f"{line}\n" for line in lines))


def _list_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{reason} {count}" for reason, count in counts.most_common()) or "none"

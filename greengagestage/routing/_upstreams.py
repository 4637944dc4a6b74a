"""What this host knows of one upstream: its entry, the work there, its pace and its health."""

import math

import xxhash

from greengagestage.catalog import Availability, Prompt, RegisteredUpstream
from greengagestage.ids import AttemptId, PromptPartId

from ._health import Health
from ._loads import LoadTotal, UpstreamLoad, WorkItem
from ._work import FIRST_EVENT_OVERHEAD_S

PACE_WEIGHT = 0.25
PACE_RANGE = (0.3, 12.0)
"""The newest observation's weight in an upstream's pace, and the bounds of a single one: a slow
upstream is believed after a few requests, and one lost packet does not count for ever."""

PACE_MARGIN_S = 0.1
"""Added to both times that are compared: work of other hosts that is not known yet delays a first
event by about the time of a long prompt, and says nothing about the pace."""

PACE_LIFETIME_S = 6.0
"""A pace fades to the usual one in this time without observations: slow phases last some seconds,
and on a large fleet a host meets each upstream only now and then."""

STALL_S = 0.6
"""An upstream that streams to this host is silent this long only when it is in trouble: the
longest pause on the operators' sheets is 0.8 s, and steps take some ms."""

OVERDUE_FACTOR = 3.0
"""A first event this many times later than forecast, and later than a stall, is overdue."""

CACHE_LIFETIME_S = 25.0
"""Prompt parts count as cached this long after their last use; engines keep them at least for
the ten seconds in which reading them again counts as waste."""

MAX_CACHED_PARTS = 4_096
"""Prompt parts remembered for one upstream."""

GAP_WEIGHT = 0.1
"""The newest pause's weight in an upstream's usual pause: about the last ten events count."""

GAP_LIFETIME_S = 1.0
"""A pause that was seen longer ago says nothing about the upstream's load now."""

STEP_S = 0.004
"""Time for one token of a lightly loaded engine: 3 ms on the operators' sheets, and some for the
batch and its context."""

COLD_FACTOR = 2.0
"""How much slower an upstream is taken to be in the time that it says it needs to warm up."""


class UpstreamState:
    """One incarnation of an upstream."""

    def __init__(self, *, record: RegisteredUpstream, now_s: float) -> None:
        self.record = record
        self.health = Health()
        self._pace = 1.0
        self._pace_seen_s = now_s
        self.answer_s: float | None = None
        self.order = xxhash.xxh64_intdigest(record.instance.encode())
        self.dismissed_until_s = 0.0
        self._cold_until_s = now_s + record.cold_s
        self._own: dict[AttemptId, WorkItem] = {}
        self._others: UpstreamLoad | None = None
        self._cached: dict[PromptPartId, float] = {}
        self._heard_s = now_s
        self._gap_s = 0.0
        self._gap_seen_s = 0.0

    def __repr__(self) -> str:
        return f"UpstreamState({self.record.instance}, own={len(self._own)}, pace={self._pace:.2f})"

    @property
    def local_requests(self) -> int:
        """Requests of this host that are open there."""
        return len(self._own)

    def takes_work(self, now_s: float) -> bool:
        """Whether new work may go there at all."""
        return self.record.availability is Availability.READY and now_s >= self.dismissed_until_s

    def is_trusted(self, now_s: float) -> bool:
        """Whether nothing speaks against sending there."""
        if self._others is not None and self._others.stalled:
            return False
        if self.health.is_excluded(now_s):
            return False
        return not self.is_stalled(now_s)

    def is_stalled(self, now_s: float) -> bool:
        """Whether the upstream has been silent though it owes this host something."""
        silence_s = now_s - self._heard_s
        if silence_s < STALL_S:
            return False
        for item in self._own.values():
            age_s = now_s - item.sent_s
            if item.started and age_s > STALL_S:
                return True
            if not item.started and age_s > max(STALL_S, OVERDUE_FACTOR * item.expected_s):
                return True
        return False

    def score_affinity(self, key: PromptPartId) -> int:
        """Return the rendezvous score of a shared prompt beginning; the highest is home."""
        return xxhash.xxh64_intdigest(key.encode(), seed=self.order)

    def count_cached(self, prompt: Prompt, now_s: float) -> int:
        """Return the tokens of a prompt's beginning that are probably cached."""
        cached = 0
        for part in prompt.parts:
            used_s = self._cached.get(part.part)
            if used_s is None or now_s - used_s > CACHE_LIFETIME_S:
                break
            cached += part.tokens
        return cached

    def measure_local_loads(self, now_s: float) -> UpstreamLoad:
        """Return the work of this host."""
        sensitive = sum(item.sensitive for item in self._own.values())
        return UpstreamLoad(
            prefill_s=sum(item.prefill_s for item in self._own.values()),
            sensitive=sensitive,
            tolerant=len(self._own) - sensitive,
            tokens=sum(item.tokens for item in self._own.values()),
            gap_s=self._gap_s if now_s - self._gap_seen_s < GAP_LIFETIME_S else 0.0,
            stalled=self.is_stalled(now_s),
        )

    def measure(self, now_s: float) -> LoadTotal:
        """Return the work of all hosts, as far as it is known."""
        total = LoadTotal()
        total.add(self.measure_local_loads(now_s))
        if self._others is not None:
            total.add(self._others)
        return total

    def update_peer_loads(self, load: UpstreamLoad | None) -> None:
        """Take in the work of all other hosts there; None for none."""
        self._others = load

    def forecast_gap_s(self, tokens_per_event: int, load: LoadTotal) -> float:
        """Return the expected pause between the events of a new stream."""
        return max(load.gap_s, tokens_per_event * STEP_S)

    def read_pace(self, now_s: float) -> float:
        """Return how many times longer than forecast first events take there."""
        fading = math.exp(-max(now_s - self._pace_seen_s, 0.0) / PACE_LIFETIME_S)
        return 1.0 + (self._pace - 1.0) * fading

    def forecast_first_event_s(self, prefill_s: float, load: LoadTotal, now_s: float) -> float:
        """Return the expected time to the first event of a prompt with so much prefill."""
        slowness = self.read_pace(now_s) * (COLD_FACTOR if now_s < self._cold_until_s else 1.0)
        return FIRST_EVENT_OVERHEAD_S + slowness * (load.prefill_s + prefill_s)

    def start(self, attempt_id: AttemptId, item: WorkItem, prompt: Prompt | None) -> None:
        """Book a request that is being sent."""
        self._own[attempt_id] = item
        if prompt is not None:
            self._remember(prompt, item.sent_s)

    def record_event(self, attempt_id: AttemptId, now_s: float) -> None:
        """Take in a sign of life of a request; the first one ends its prefill."""
        self._heard_s = now_s
        item = self._own.get(attempt_id)
        if item is None:
            return
        if item.started:
            self._learn_gap(now_s - item.last_event_s, now_s)
            item.last_event_s = now_s
            return
        item.started = True
        item.last_event_s = now_s
        item.prefill_s = 0.0
        self._learn_pace(now_s - item.sent_s, item.expected_s, now_s)

    def end(self, attempt_id: AttemptId) -> WorkItem | None:
        """Take a request out of the books."""
        return self._own.pop(attempt_id, None)

    def note_answer_time(self, duration_s: float) -> None:
        """Learn how long a plain service takes for an answer."""
        if self.answer_s is None:
            self.answer_s = duration_s
        self.answer_s += PACE_WEIGHT * (duration_s - self.answer_s)

    def note_heard(self, now_s: float) -> None:
        """Take in that the upstream is alive."""
        self._heard_s = now_s

    def _learn_gap(self, gap_s: float, now_s: float) -> None:
        if now_s - self._gap_seen_s > GAP_LIFETIME_S:
            self._gap_s = gap_s
        self._gap_s += GAP_WEIGHT * (gap_s - self._gap_s)
        self._gap_seen_s = now_s

    def _learn_pace(self, taken_s: float, expected_s: float, now_s: float) -> None:
        lowest, highest = PACE_RANGE
        pace = self.read_pace(now_s)
        ratio = (taken_s + PACE_MARGIN_S) / (expected_s + PACE_MARGIN_S)
        observed = min(max(pace * ratio, lowest), highest)
        self._pace = pace + PACE_WEIGHT * (observed - pace)
        self._pace_seen_s = now_s

    def _remember(self, prompt: Prompt, now_s: float) -> None:
        for part in prompt.shared_parts:
            self._cached.pop(part.part, None)
            self._cached[part.part] = now_s
        while len(self._cached) > MAX_CACHED_PARTS:
            self._cached.pop(next(iter(self._cached)))

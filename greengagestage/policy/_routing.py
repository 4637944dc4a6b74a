"""Selection of an upstream for a request.

The upstream with the lowest score is selected. The score is the load including the request,
multiplied by the slowness of the upstream, minus a bonus for a cached prompt prefix. The home
upstream of the prompt, given by rendezvous hashing, gets a bonus too. Neither bonus applies where
the load is well above the mean, so that cache affinity cannot overload an upstream. Upstreams that
run a suspect or are in another failure domain get a penalty. ``PROBE_PREFERENCE`` is usually larger
than all these terms. It keeps requests of the highest class away from ejected upstreams that can be
probed, and lets requests of the other classes prefer them.
"""

import xxhash

from greengagestage.ids import PoolName

from ._health import HealthState
from ._loads import measure_load
from ._records import RequestRecord
from ._state import PolicyState
from ._timers import DispatchTimer
from ._upstreams import UpstreamEntry, list_responsive

CACHE_HIT_WEIGHT = 0.3
HOME_WEIGHT = 0.1
LOAD_BOUND_FACTOR = 1.25
OTHER_DOMAIN_PENALTY = 0.01
SUSPECT_PENALTY = 1.0
PROBE_PREFERENCE = 10.0  # penalty of an ejected upstream for the top class, bonus for the others
SLOWNESS_LIMIT = 4.0
SLOWNESS_MINIMUM_SAMPLES = 3
HOME_PREFIX_INDEX = 2  # index into the prefix hashes


class Router:
    """Selects upstreams by load, speed and cached prefixes."""

    def __init__(self, *, state: PolicyState) -> None:
        self._state = state

    def has_free_slot(self, pool: PoolName) -> bool:
        """Return whether any upstream in this host's subset of a pool has a free slot."""
        now_s = self._state.now_s
        return any(
            len(entry.in_flight) < entry.slots and entry.health.is_usable(now_s, idempotent=True)
            for entry in self._state.views.find(pool).used
        )

    def has_eligible_upstream(self, record: RequestRecord) -> bool:
        """Return whether any upstream may run a request, now or later."""
        return any(may_try(record, entry) for entry in self._state.views.find(record.pool).live)

    def choose(self, record: RequestRecord) -> UpstreamEntry | None:
        """Return the upstream to send a request to now, or None if it has to wait.

        A suspect that may run only later is deferred with a timer.
        """
        if self._state.is_suspect(record):
            return self._choose_isolated(record)
        usable = [
            entry
            for entry in list_responsive(
                self._state.views.find(record.pool).used, self._state.now_s
            )
            if self._is_usable(record, entry)
        ]
        usable = self._restrict_to_cached(record, usable)
        candidates = [entry for entry in usable if entry.name not in record.tried] or usable
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        return self._find_best(record, candidates)

    def _choose_isolated(self, record: RequestRecord) -> UpstreamEntry | None:
        """Return the upstream where a suspect runs apart from the other suspects of its crash.

        Return None and defer the suspect if it may run only later.
        """
        isolation = self._state.crashes.compute_isolation(record.request.fingerprint)
        entries = sorted(self._state.views.find(record.pool).live, key=lambda entry: entry.name)
        fit = [
            entry
            for entry in entries
            if entry.health.state is HealthState.IN_USE and may_try(record, entry)
        ]
        if isolation is None or not fit:
            return None
        fit = [entry for entry in fit if entry.name != isolation.excluded_upstream] or fit
        hosts = self._state.upstreams.entry_hosts
        start_s = isolation.compute_start_time(len(fit), hosts, record.arrived_s)
        if self._state.now_s < start_s:
            self._defer_until(record, start_s)
            return None
        if hosts > 1:
            fit = [fit[isolation.rank % len(fit)]]
        usable = [e for e in fit if not e.suspects and self._is_usable(record, e)]
        return self._find_best(record, usable) if usable else None

    def _defer_until(self, record: RequestRecord, start_s: float) -> None:
        """Set a timer for the time from which a suspect may run."""
        if record.eligible_s != start_s:
            record.eligible_s = start_s
            self._state.timers.add(start_s, DispatchTimer(pool=record.pool))

    def _is_usable(self, record: RequestRecord, entry: UpstreamEntry) -> bool:
        if len(entry.in_flight) >= entry.slots:
            return False
        if not entry.health.is_usable(self._state.now_s, record.request.idempotent):
            return False
        if record.tried and not may_try(record, entry):
            return False
        return not entry.supports_resume or self._state.may_run_with_duplicates(record, entry.name)

    def _restrict_to_cached(
        self, record: RequestRecord, usable: list[UpstreamEntry]
    ) -> list[UpstreamEntry]:
        """Restrict a preempted request, for a while, to the upstream that caches its prompt."""
        if record.cached_upstream is None or self._state.now_s >= record.cached_until_s:
            return usable
        cached = self._state.upstreams.find(record.cached_upstream)
        if cached is None or not cached.takes_work or not cached.slots:
            return usable
        return [entry for entry in usable if entry is cached]

    def _find_home(self, record: RequestRecord, candidates: list[UpstreamEntry]) -> UpstreamEntry:
        """Return the candidate with the highest rendezvous hash for a prompt.

        Hosts with the same candidates find the same one.
        """
        key = _build_home_key(record)
        return max(
            candidates, key=lambda entry: (xxhash.xxh64_intdigest(key, entry.hash_seed), entry.name)
        )

    def _find_best(self, record: RequestRecord, candidates: list[UpstreamEntry]) -> UpstreamEntry:
        now_s = self._state.now_s
        loads = [measure_load(entry, now_s) for entry in candidates]
        bound = LOAD_BOUND_FACTOR * sum(loads) / len(loads)
        home = self._find_home(record, candidates)
        best, best_score = candidates[0], float("inf")
        for entry, load in zip(candidates, loads, strict=True):
            score = self._score(record, entry, load, bound)
            if entry is home and load <= bound:
                score -= HOME_WEIGHT
            if score < best_score or (score == best_score and entry.name < best.name):
                best, best_score = entry, score
        return best

    def _score(
        self, record: RequestRecord, entry: UpstreamEntry, load: float, bound: float
    ) -> float:
        score = (load + 1.0 / max(entry.slots, 1)) * self._measure_slowness(record, entry)
        hashes = record.request.prefix_hashes
        if hashes and load <= bound + 1.0 / max(entry.slots, 1):
            reported = entry.report.cached_prefixes if entry.report else frozenset()
            score -= CACHE_HIT_WEIGHT * entry.prefixes.estimate_hit(hashes, reported)
        if entry.suspects:
            score += SUSPECT_PENALTY
        if entry.health.state is HealthState.EJECTED:
            top = record.priority == self._state.top_priority
            score += PROBE_PREFERENCE if top else -PROBE_PREFERENCE
        domain = self._state.failure_domain
        if domain is not None and entry.declared and entry.declared.failure_domain != domain:
            score += OTHER_DOMAIN_PENALTY
        return score

    def _measure_slowness(self, record: RequestRecord, entry: UpstreamEntry) -> float:
        own = entry.health.inter_token_s
        pool = self._state.get_pool(record.pool).latencies.inter_token_s
        if own.samples < SLOWNESS_MINIMUM_SAMPLES or pool.value <= 0.0:
            return 1.0
        return min(max(own.value / pool.value, 1.0), SLOWNESS_LIMIT)


def may_try(record: RequestRecord, entry: UpstreamEntry) -> bool:
    """Return whether a request may be sent to an upstream, given its earlier attempts."""
    return entry.name not in record.tried or entry.name in record.refused_by


def _build_home_key(record: RequestRecord) -> bytes:
    hashes = record.request.prefix_hashes
    if hashes:
        return b"%d" % hashes[min(HOME_PREFIX_INDEX, len(hashes) - 1)]
    return record.request.fingerprint.encode()

"""Row, timing and token rules of the lease of one duty, without input or output.

Times are seconds of the boot-time clock, which runs on while the host is suspended.
"""

from math import isinf

import xxhash
from msgspec import Struct

from greengagestage.catalog import Duty
from greengagestage.decoding import Integer, decode_json
from greengagestage.ids import HostId

CLOCK_DRIFT = 0.1
"""Fraction of a lease's duration by which two hosts' clocks may drift apart."""

MAX_RENEWAL_INTERVAL_S = 1.0
RENEWALS_PER_LEASE = 3
"""A lease is renewed at least this often, so that one lost renewal does not end it."""

RELEASE_PAUSE_S = 5.0
"""Time after the end of an own lease in which this host does not take the duty from others. It is
longer than a lease, so that a holder's calls are not followed by those of another host and then
again by its own within the duration of a lease."""

REFUSAL_PAUSE_S = 10.0
"""The same after a refusal of the token."""

UNCLAIMED_S = 2.0
"""Time after a release until this host may take the duty again if no other host has taken it. The
hosts of the first ranks do so within about a second."""

HASH_BITS = 12
"""Low bits of a token, which are a hash of the host's id."""

RANK_DELAY_S = 0.3
FIRST_RANKS = 3
LAST_DELAY_S = 4.2
"""Delays by which hosts take over a duty one after the other; the last is that of all hosts after
the first ranks, 3 s after these."""

ABSENT = 0
"""Revision of a row that does not exist."""


class LeaseRow(Struct, frozen=True, kw_only=True):
    """A lease as stored in the table.

    Attributes:
        holder: The host that holds the lease; empty after a release.
        instance: Id of the holder's process; a restarted host has a new one.
        token: Fencing token of the lease's term; a renewal does not change it.
    """

    holder: HostId
    address: str
    instance: str
    token: Integer
    duration_ms: Integer


def decode_lease(value: bytes) -> LeaseRow | None:
    """Return the lease of a row's value; None if it cannot be read."""
    return decode_json(value, LeaseRow).value_or(None)


def build_token(*, host: HostId, floor: int, unix_ms: int) -> int:
    """Return a token above the floor whose low bits are a hash of the host's id.

    It is at least the time in milliseconds, shifted by these bits. So tokens grow and differ
    between hosts also when the store has lost the newest rows. It fits into 53 bits.
    """
    mask = (1 << HASH_BITS) - 1
    low_bits = xxhash.xxh32_intdigest(host.encode()) & mask
    token = max(unix_ms << HASH_BITS, (floor + 1) & ~mask) | low_bits
    return token if token > floor else token + mask + 1


def compute_takeover_delay(rank: int, *, is_standby: bool) -> float:
    """Return the seconds that a host leaves to others before it takes over a duty."""
    if is_standby:
        return 0.0
    return RANK_DELAY_S * (rank + 1) if rank < FIRST_RANKS else LAST_DELAY_S


class DutyLease:
    """One host's view of the lease of a duty.

    An own lease lasts for its duration, counted from the time at which its acquisition or its last
    confirmed renewal was sent. This host stops using it earlier, by a margin for clock drift and
    by the time in which a thawed process may act before it looks at the clock. Another host's
    lease has expired once its row was unchanged for its duration plus the allowed clock drift.
    """

    def __init__(
        self,
        *,
        duty: Duty,
        host: HostId,
        address: str,
        instance: str,
        duration_s: float,
        thaw_slack_s: float,
        now_s: float,
    ) -> None:
        self.duty = duty
        self._host = host
        self._address = address
        self._instance = instance
        self._duration_s = duration_s
        self._thaw_slack_s = thaw_slack_s
        self._row: LeaseRow | None = None
        self._known = False
        self._heard_s = now_s
        self._heard_release = False
        self._releases = False
        self._reclaims_from_s = float("inf")
        self._unchanged_since_s = now_s
        self._era_since_s = now_s
        self._floor = 0
        self._valid_until_s: float | None = None
        self._paused_until_s = now_s
        self._renewed_s = now_s
        self.revision = ABSENT
        self.acquired_s = now_s

    @property
    def token(self) -> int:
        """The token of the row as last seen; 0 without one."""
        return 0 if self._row is None else self._row.token

    @property
    def drift_duration_s(self) -> float:
        """Time after which a lease that was renewed before it has certainly expired."""
        return self._duration_s * (1 + CLOCK_DRIFT)

    def measure_remaining(self, now_s: float) -> float:
        """Return the seconds for which this host certainly holds the lease."""
        if self._valid_until_s is None:
            return 0.0
        margin_s = self._duration_s * CLOCK_DRIFT + self._thaw_slack_s
        return max(0.0, self._valid_until_s - margin_s - now_s)

    def is_held(self, now_s: float) -> bool:
        """Whether this host certainly holds the lease."""
        return self.measure_remaining(now_s) > 0.0

    def begin_era(self, now_s: float) -> None:
        """Handle that the store has come back from an older copy; an own lease lasts on."""
        self._era_since_s = now_s
        self._unchanged_since_s = now_s
        self.revision = ABSENT
        self.distrust()

    def distrust(self) -> None:
        """Read the row again before any further write, since it may have changed."""
        self._known = False

    def observe(self, revision: int, row: LeaseRow | None, now_s: float) -> None:
        """Update the view from a row that was read; ``row`` is None without a readable one."""
        if revision != self.revision or revision == ABSENT:
            self._unchanged_since_s = now_s
            self._reclaims_from_s = float("inf")
        current, self._row = self._row, row
        self.revision, self._known = revision, True
        self._floor = max(self._floor, self.token)
        if not self._is_own_row or (current is not None and current.token != self.token):
            self._end(now_s)

    def hear(self, *, holder: HostId, token: int, revision: int, now_s: float) -> None:
        """Update the view from the report of another host about its term in the current era.

        A row that then turns out to have the reported revision was unchanged since now.
        """
        if token < self._floor or revision <= self.revision:
            return
        self._floor = token
        self._heard_s = now_s
        self._heard_release = not holder
        self.revision, self._unchanged_since_s = revision, now_s
        self._reclaims_from_s = float("inf")
        self._row, self._known = None, False
        self._end(now_s)

    def is_read_due(self, now_s: float, *, rank: int, is_standby: bool) -> bool:
        """Whether the row should be read: nobody renews it, or a write has an unknown outcome.

        Args:
            rank: Position of this host among all hosts.
            is_standby: Whether the last holder has named this host as its successor.
        """
        if self._known:
            return False
        if self._is_own_row:
            return True
        silence_s = 0.0 if self._heard_release else self._duration_s
        due_s = self._heard_s + silence_s + compute_takeover_delay(rank, is_standby=is_standby)
        return now_s >= max(due_s, self._paused_until_s)

    def plan_acquisition(self, now_s: float, unix_ms: int) -> LeaseRow | None:
        """Return the row that begins a new term; None if that may not be done now.

        It is written with the expected revision ``revision``.
        """
        if not self._known or self.is_held(now_s) or not self._may_acquire(now_s):
            return None
        token = build_token(host=self._host, floor=self._floor, unix_ms=unix_ms)
        return self._build_row(self._host, token)

    def plan_renewal(self, now_s: float) -> LeaseRow | None:
        """Return the row that renews the lease; None unless it is held."""
        return self._row if self._known and self.is_held(now_s) else None

    def is_renewal_due(self, now_s: float) -> bool:
        """Whether the lease should be renewed now."""
        interval_s = min(MAX_RENEWAL_INTERVAL_S, self._duration_s / RENEWALS_PER_LEASE)
        return now_s - self._renewed_s >= interval_s

    def confirm(self, row: LeaseRow, *, revision: int, sent_s: float, now_s: float) -> bool:
        """Handle that a planned row was written; return whether that began a new term."""
        begins = bool(row.holder) and row.token != self.token
        self._row, self.revision, self._known = row, revision, True
        self._floor = max(self._floor, row.token)
        self._unchanged_since_s = now_s
        if not row.holder:
            self._releases = False
            self._reclaims_from_s = now_s + UNCLAIMED_S
        if self._releases or not row.holder:
            return False
        self._valid_until_s = sent_s + self._duration_s
        self._renewed_s = sent_s
        if begins:
            self.acquired_s = now_s
        return begins

    def release(self, now_s: float, pause_s: float = RELEASE_PAUSE_S) -> None:
        """Stop using the lease at once, and leave the duty to others for a while."""
        self._end(now_s)
        self._paused_until_s = max(self._paused_until_s, now_s + pause_s)
        self._releases = self._is_own_row

    def plan_release(self) -> LeaseRow | None:
        """Return the row that releases the lease; None if there is nothing to release."""
        if not self._releases or not self._known:
            return None
        return self._build_row(HostId(""), self.token)

    def raise_floor(self, token: int) -> None:
        """Take only tokens above this one for new terms."""
        self._floor = max(self._floor, token)

    @property
    def _is_own_row(self) -> bool:
        row = self._row
        return row is not None and bool(row.holder) and row.instance == self._instance

    def _end(self, now_s: float) -> None:
        """Record that this host does not hold the lease, and let others have the next term."""
        self._releases = False
        if self._valid_until_s is not None:
            ended_s = min(self._valid_until_s, now_s)
            self._paused_until_s = max(self._paused_until_s, ended_s + RELEASE_PAUSE_S)
        self._valid_until_s = None

    def _may_acquire(self, now_s: float) -> bool:
        """Whether no other host can hold the lease any more.

        A row that is absent, released or this host's own proves nothing in a new era of the store,
        until every lease of the era before has expired.
        """
        if now_s - self._era_since_s < self.drift_duration_s:
            return False
        row = self._row
        if self._is_own_row and not self._releases:
            return True
        if now_s < self._paused_until_s and not self._is_unclaimed(now_s):
            return False
        if row is None:
            return self.revision == ABSENT or self._has_expired(self._duration_s, now_s)
        return not row.holder or self._has_expired(row.duration_ms / 1e3, now_s)

    def _is_unclaimed(self, now_s: float) -> bool:
        """Whether the row still is this host's release, and other hosts have had time to act."""
        return now_s >= self._reclaims_from_s and not isinf(self._paused_until_s)

    def _has_expired(self, duration_s: float, now_s: float) -> bool:
        return now_s - self._unchanged_since_s >= duration_s * (1 + CLOCK_DRIFT)

    def _build_row(self, holder: HostId, token: int) -> LeaseRow:
        return LeaseRow(
            holder=holder,
            address=self._address if holder else "",
            instance=self._instance if holder else "",
            token=token,
            duration_ms=round(self._duration_s * 1e3),
        )

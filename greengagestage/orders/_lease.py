"""Row and timing rules of one lease, without input or output."""

import msgspec
from msgspec import Struct

from greengagestage.ids import FencingNumber, HostId
from greengagestage.services import ABSENT, Put, Row

LEASE_DURATION_S = 15.0
CLOCK_DRIFT = 0.1
"""Fraction of a lease's duration by which two hosts' clocks may drift apart."""


class LeaseRow(Struct, frozen=True, kw_only=True):
    """A lease as stored in the table.

    Attributes:
        holder: The host that holds the lease; empty after a release.
        instance: Random id of the holder; a restarted host has a new one.
        fencing_number: Number of the lease's term: grows with each acquisition, but not with a
            renewal. Orders to engines do not carry it; they have the number of the ``Intent``.
    """

    holder: HostId
    fencing_number: FencingNumber
    duration_ms: int
    instance: str = ""


def lease_key(name: str) -> str:
    """Return the key of a lease's row."""
    return f"lease/{name}"


def read_lease(row: Row) -> LeaseRow | None:
    """Return the lease of a row, or None when there is none that can be read."""
    try:
        return row.decode(LeaseRow)
    except msgspec.DecodeError:
        return None


class Lease:
    """One host's view of a lease.

    An own lease lasts for its duration, counted from the time at which its acquisition or its last
    renewal was sent. This host stops using it earlier, by a margin for clock drift. Another
    holder's lease has expired once its row was unchanged for its duration, plus the allowed clock
    drift, on this host's clock.
    """

    def __init__(
        self, *, name: str, host: HostId, instance: str, duration_s: float = LEASE_DURATION_S
    ) -> None:
        self.name = name
        self._host = host
        self._instance = instance
        self._duration_s = duration_s
        self._row: Row | None = None
        self._unchanged_since_s = 0.0
        self._valid_until_s: float | None = None

    @property
    def fencing_number(self) -> FencingNumber:
        """The number of the lease's term as last seen, or 0 if there is none that can be read."""
        current = read_lease(self._row) if self._row else None
        return current.fencing_number if current else FencingNumber(0)

    @property
    def revision(self) -> int:
        """The revision of the row as last seen."""
        return self._row.revision if self._row else ABSENT

    def compute_remaining(self, now_s: float) -> float:
        """Return the seconds for which this host certainly holds the lease."""
        if self._valid_until_s is None:
            return 0.0
        margin_s = self._duration_s * CLOCK_DRIFT
        return max(0.0, self._valid_until_s - margin_s - now_s)

    def observe(self, row: Row, now_s: float) -> None:
        """Update the view from a row that was read."""
        if self._row is None or row.revision != self._row.revision:
            self._row = row
            self._unchanged_since_s = now_s
        if not self._is_own(row):
            self._valid_until_s = None

    def _is_own(self, row: Row) -> bool:
        current = read_lease(row)
        return current is not None and current.instance == self._instance

    def plan(self, now_s: float) -> Put | None:
        """Return the write that acquires or renews the lease, or None while another holds it."""
        if self._row is None:
            return None
        current = read_lease(self._row)
        if current is None:
            return (
                self._build_acquisition(self._row, FencingNumber(1))
                if not self._row.exists
                else None
            )
        if current.instance == self._instance and current.holder:
            return self._build_acquisition(self._row, current.fencing_number)
        if current.holder and not self._has_expired(current, now_s):
            return None
        return self._build_acquisition(self._row, FencingNumber(current.fencing_number + 1))

    def _has_expired(self, current: LeaseRow, now_s: float) -> bool:
        duration_s = current.duration_ms / 1e3 * (1 + CLOCK_DRIFT)
        return now_s - self._unchanged_since_s >= duration_s

    def _build_acquisition(self, row: Row, number: FencingNumber) -> Put:
        return self._build_put(row, self._host, number)

    def _build_put(self, row: Row, holder: HostId, number: FencingNumber) -> Put:
        value = LeaseRow(
            holder=holder,
            fencing_number=number,
            duration_ms=round(self._duration_s * 1e3),
            instance=self._instance if holder else "",
        )
        return Put(key=lease_key(self.name), value=value, expect=row.revision)

    def confirm(self, row: Row, sent_at_s: float, now_s: float) -> None:
        """Update the view after a planned write took effect."""
        self.observe(row, now_s)
        self._valid_until_s = sent_at_s + self._duration_s

    def begin_release(self) -> Put | None:
        """Stop using the lease immediately; return the write that releases it, if it is held."""
        self._valid_until_s = None
        if self._row is None or not self._is_own(self._row):
            return None
        return self._build_put(self._row, HostId(""), self.fencing_number)

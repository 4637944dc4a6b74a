"""Plans the changes of a claim by its own attempt: the next write, if any, for the current row."""

from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace

from greengagestage.services import Put, Row

from ._rows import ClaimRow, ClaimState, read_claim


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """No further write is needed.

    Attributes:
        achieved: Whether the change was written, or its purpose needs no write. Each function
            below says for which rows that holds.
    """

    achieved: bool


Change = Callable[[Row], Put | Settled]
"""Returns the next write for a row as it was read, or ``Settled`` if the row needs none."""


def plan_release(claim: ClaimRow) -> Change:
    """Return the change that releases a claim whose request was certainly not run.

    A row that is absent, or that another attempt released, is written too. This changes its
    revision, so that a late insert of this claim is refused. The change is achieved without a write
    if the claim is released already, or if the row is another claim's or cannot be read.
    """

    def plan(row: Row) -> Put | Settled:
        current = read_claim(row)
        if row.exists and not may_release(current, claim):
            return Settled(achieved=current is None or current.token != claim.token)
        if current is not None and is_in_state(current, claim, ClaimState.RELEASED):
            return Settled(achieved=True)
        released = replace(claim, state=ClaimState.RELEASED)
        return Put(key=row.key, value=released, expect=row.revision)

    return plan


def may_release(current: ClaimRow | None, claim: ClaimRow) -> bool:
    """Whether a row is the claim's own and still claimed, or was released by any claim."""
    if current is None:
        return False
    own = is_in_state(current, claim, ClaimState.CLAIMED)
    return own or current.state is ClaimState.RELEASED


def plan_answer(answered: ClaimRow) -> Change:
    """Return the change that records the answer of a claim.

    It is achieved without a write only if the claim's answer is recorded already.
    """

    def plan(row: Row) -> Put | Settled:
        current = read_claim(row)
        if current is None or current.token != answered.token:
            return Settled(achieved=False)
        if current.state in (ClaimState.CLAIMED, ClaimState.UNKNOWN):
            return Put(key=row.key, value=answered, expect=row.revision)
        return Settled(achieved=current.state is ClaimState.ANSWERED)

    return plan


def plan_unknown(claim: ClaimRow) -> Change:
    """Return the change that records that a claim's request may have run, without an answer.

    Only the claim's own row in the state ``CLAIMED`` is written. The change is achieved without a
    write for every other row that can be read, also that of another claim, and not achieved if the
    row is absent or cannot be read.
    """

    def plan(row: Row) -> Put | Settled:
        current = read_claim(row)
        if current is None or not is_in_state(current, claim, ClaimState.CLAIMED):
            return Settled(achieved=current is not None)
        unknown = replace(claim, state=ClaimState.UNKNOWN)
        return Put(key=row.key, value=unknown, expect=row.revision)

    return plan


def is_in_state(current: ClaimRow, claim: ClaimRow, state: ClaimState) -> bool:
    """Whether a row is the given claim's own and is in a state."""
    return current.token == claim.token and current.state is state

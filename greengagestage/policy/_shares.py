"""The minimum share of a pool's slots that each class receives.

A class that was given a slot ahead of a higher class owes the slot's time; the debt is paid off at
the rate of the class's share. Without a debt, the class is due the next free slot. A share of
zero still receives the ageing share, so that every class is served.
"""

from dataclasses import dataclass

from greengagestage.configuration import ServiceClass
from greengagestage.ids import ClassName

from ._records import MS_PER_S, Attempt, RequestRecord

AGEING_SHARE = 0.01
MINIMUM_CHARGE_S = 0.05


@dataclass(slots=True, kw_only=True)
class ShareDebt:
    """Slot-seconds that a class owes."""

    owed_s: float = 0.0
    updated_s: float = 0.0


def compute_share(service_class: ServiceClass) -> float:
    """Return the share of slots due to a class."""
    return max(service_class.minimum_share, AGEING_SHARE)


def compute_charge_limit(service_class: ServiceClass) -> float:
    """Return the most that one request is charged, in slot-seconds."""
    return max(service_class.answer_target_ms / MS_PER_S, MINIMUM_CHARGE_S)


def compute_wait_bound(service_class: ServiceClass, slots: int) -> float:
    """Return the longest time between two reserved slots of a class that always waits.

    It holds from the end of the class's running requests, and to it comes the time until the
    next slot of the pool is free.
    """
    return compute_charge_limit(service_class) / (compute_share(service_class) * max(slots, 1))


class ShareAccounts:
    """The debts of the classes in one pool."""

    def __init__(self) -> None:
        self._debts: dict[ClassName, ShareDebt] = {}

    def is_entitled(
        self, service_class: ServiceClass, *, running: int, slots: int, now_s: float
    ) -> bool:
        """Return whether the class may take the next slot ahead of higher classes."""
        if running >= max(1.0, compute_share(service_class) * slots):
            return False
        return self._settle(service_class, slots, now_s).owed_s <= 0.0

    def charge(self, record: RequestRecord, attempt: Attempt, slots: int, now_s: float) -> None:
        """Charge a reserved slot by its expected time."""
        limit_s = compute_charge_limit(record.service_class)
        attempt.charged_s = min(max(record.service_s, MINIMUM_CHARGE_S), limit_s)
        self._settle(record.service_class, slots, now_s).owed_s += attempt.charged_s

    def adjust_charge(
        self, record: RequestRecord, attempt: Attempt, slots: int, now_s: float
    ) -> None:
        """Replace the expected time of a reserved slot by the time that it took."""
        limit_s = compute_charge_limit(record.service_class)
        taken_s = min(max(now_s - attempt.sent_s, MINIMUM_CHARGE_S), limit_s)
        debt = self._settle(record.service_class, slots, now_s)
        debt.owed_s += taken_s - attempt.charged_s

    def _settle(self, service_class: ServiceClass, slots: int, now_s: float) -> ShareDebt:
        debt = self._debts.get(service_class.name)
        if debt is None:
            debt = self._debts[service_class.name] = ShareDebt(updated_s=now_s)
        paid_s = (now_s - debt.updated_s) * compute_share(service_class) * slots
        debt.owed_s = max(0.0, debt.owed_s - paid_s)
        debt.updated_s = now_s
        return debt

"""The minimum share of a pool's slots that each class receives, as a fraction.

A class that takes a slot ahead of a higher class is charged the slot's time as a debt, which
decreases at the rate of the class's share. A class without debt that runs fewer requests than its
share of the slots, or none, is entitled to the next free slot. A class whose share is zero still
receives ``AGING_SHARE``, so that no class starves.
"""

from dataclasses import dataclass

from greengagestage.configuration import ServiceClass
from greengagestage.ids import ClassName

from ._records import MS_PER_S, Attempt, RequestRecord

AGING_SHARE = 0.01
MINIMUM_CHARGE_S = 0.05


@dataclass(slots=True, kw_only=True)
class ShareDebt:
    """The debt of a class in slot-seconds."""

    owed_s: float = 0.0
    updated_s: float = 0.0


def compute_share(service_class: ServiceClass) -> float:
    """Return the share of the slots that a class is entitled to, from 0 to 1."""
    return max(service_class.minimum_share, AGING_SHARE)


def compute_charge_limit(service_class: ServiceClass) -> float:
    """Return the maximum charge for one request, in slot-seconds."""
    return max(service_class.answer_target_ms / MS_PER_S, MINIMUM_CHARGE_S)


def compute_wait_bound(service_class: ServiceClass, slots: int) -> float:
    """Return the maximum time in seconds for which debt keeps a class from a reserved slot.

    It holds for a class that always has queued requests, and counts from the end of the class's
    running requests. The class then waits until a slot of the pool becomes free, which is not
    included.
    """
    return compute_charge_limit(service_class) / (compute_share(service_class) * max(slots, 1))


class ShareAccounts:
    """The debts of all classes in one pool."""

    def __init__(self) -> None:
        self._debts: dict[ClassName, ShareDebt] = {}

    def is_entitled(
        self, service_class: ServiceClass, *, running: int, slots: int, now_s: float
    ) -> bool:
        """Return whether a class may take the next slot ahead of higher classes."""
        if running >= max(1.0, compute_share(service_class) * slots):
            return False
        return self._update_debt(service_class, slots, now_s).owed_s <= 0.0

    def charge(self, record: RequestRecord, attempt: Attempt, slots: int, now_s: float) -> None:
        """Charge a request for a reserved slot by its expected time in the slot."""
        limit_s = compute_charge_limit(record.service_class)
        attempt.charged_s = min(max(record.service_s, MINIMUM_CHARGE_S), limit_s)
        self._update_debt(record.service_class, slots, now_s).owed_s += attempt.charged_s

    def adjust_charge(
        self, record: RequestRecord, attempt: Attempt, slots: int, now_s: float
    ) -> None:
        """Replace the charge for the expected time in a reserved slot by the actual time."""
        limit_s = compute_charge_limit(record.service_class)
        actual_s = min(max(now_s - attempt.sent_s, MINIMUM_CHARGE_S), limit_s)
        debt = self._update_debt(record.service_class, slots, now_s)
        debt.owed_s += actual_s - attempt.charged_s

    def _update_debt(self, service_class: ServiceClass, slots: int, now_s: float) -> ShareDebt:
        debt = self._debts.get(service_class.name)
        if debt is None:
            debt = self._debts[service_class.name] = ShareDebt(updated_s=now_s)
        paid_s = (now_s - debt.updated_s) * compute_share(service_class) * slots
        debt.owed_s = max(0.0, debt.owed_s - paid_s)
        debt.updated_s = now_s
        return debt

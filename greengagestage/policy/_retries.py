"""The retry budget: a ratio of fresh requests per class, and a small floor."""

from dataclasses import dataclass

from greengagestage.configuration import ServiceClass
from greengagestage.ids import ClassName

FLOOR_PER_S = 0.5
BALANCE_LIMIT = 20.0
FIRST_BALANCE = 5.0


@dataclass(slots=True, kw_only=True)
class RetryBalance:
    """Retries that a class may still make."""

    retries: float = FIRST_BALANCE
    updated_s: float = 0.0


class RetryBudget:
    """The balances of all classes."""

    def __init__(self) -> None:
        self._balances: dict[ClassName, RetryBalance] = {}

    def deposit(self, service_class: ServiceClass, now_s: float) -> None:
        """Add the retries that one fresh request pays for."""
        balance = self._find(service_class, now_s)
        balance.retries = min(BALANCE_LIMIT, balance.retries + service_class.retry_ratio)

    def try_withdraw(self, service_class: ServiceClass, now_s: float) -> bool:
        """Take one retry; return whether there was one."""
        balance = self._find(service_class, now_s)
        earned = (now_s - balance.updated_s) * FLOOR_PER_S
        balance.retries = max(balance.retries, min(FIRST_BALANCE, balance.retries + earned))
        balance.updated_s = now_s
        if balance.retries < 1.0:
            return False
        balance.retries -= 1.0
        return True

    def _find(self, service_class: ServiceClass, now_s: float) -> RetryBalance:
        balance = self._balances.get(service_class.name)
        if balance is None:
            balance = self._balances[service_class.name] = RetryBalance(updated_s=now_s)
        return balance

"""A retry budget for each class: a ratio of its new requests, and a small minimum rate."""

from dataclasses import dataclass

from greengagestage.configuration import ServiceClass
from greengagestage.ids import ClassName

MINIMUM_RETRIES_PER_S = 0.5
MAXIMUM_BALANCE = 20.0
INITIAL_BALANCE = 5.0


@dataclass(slots=True, kw_only=True)
class RetryBalance:
    """The number of retries that a class may still make."""

    retries: float = INITIAL_BALANCE
    updated_s: float = 0.0


class RetryBudget:
    """The retry balances of all classes."""

    def __init__(self) -> None:
        self._balances: dict[ClassName, RetryBalance] = {}

    def deposit(self, service_class: ServiceClass, now_s: float) -> None:
        """Credit a class with the retries for one new request."""
        balance = self._get_or_create(service_class, now_s)
        balance.retries = min(MAXIMUM_BALANCE, balance.retries + service_class.retry_ratio)

    def try_withdraw(self, service_class: ServiceClass, now_s: float) -> bool:
        """Withdraw one retry if the balance allows it; return whether it did.

        The balance also grows with time, up to ``INITIAL_BALANCE``.
        """
        balance = self._get_or_create(service_class, now_s)
        earned = (now_s - balance.updated_s) * MINIMUM_RETRIES_PER_S
        balance.retries = max(balance.retries, min(INITIAL_BALANCE, balance.retries + earned))
        balance.updated_s = now_s
        if balance.retries < 1.0:
            return False
        balance.retries -= 1.0
        return True

    def refund(self, service_class: ServiceClass, now_s: float) -> None:
        """Return a withdrawn retry that was not made."""
        balance = self._get_or_create(service_class, now_s)
        balance.retries = min(MAXIMUM_BALANCE, balance.retries + 1.0)

    def _get_or_create(self, service_class: ServiceClass, now_s: float) -> RetryBalance:
        balance = self._balances.get(service_class.name)
        if balance is None:
            balance = self._balances[service_class.name] = RetryBalance(updated_s=now_s)
        return balance

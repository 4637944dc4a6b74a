"""The order in which the engines of a service are preferred for a prompt's prefix."""

from collections.abc import Sequence

from greengagestage.ids import PromptPartId

from ._upstreams import UpstreamState

MAX_ORDERS = 1_024
"""Number of prefixes whose orders are kept; all are computed again after that."""


class AffinityOrders:
    """Sorts engines by their affinity to prefixes, once for each prefix.

    Args:
        engines: All engines that may have to be sorted.
    """

    def __init__(self, engines: Sequence[UpstreamState]) -> None:
        self._engines = engines
        self._orders: dict[PromptPartId, list[UpstreamState]] = {}

    def sort(
        self, engines: Sequence[UpstreamState], key: PromptPartId | None
    ) -> Sequence[UpstreamState]:
        """Return some of the engines by descending affinity; as they are without a prefix."""
        if key is None:
            return engines
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= MAX_ORDERS:
                self._orders.clear()
            order = sorted(self._engines, key=lambda state: state.score_affinity(key), reverse=True)
            self._orders[key] = order
        included = set(engines)
        return [state for state in order if state in included]

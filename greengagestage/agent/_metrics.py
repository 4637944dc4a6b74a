"""The metrics of an agent process."""

from collections.abc import Iterable, Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from greengagestage.wire import MemberState, TrafficCounts

from ._process import AgentProcess

PREFIX = "greengage_agent_"


class AgentCollector(Collector):
    """Reads the metrics from the process when they are collected."""

    def __init__(self, *, process: AgentProcess) -> None:
        self._process = process

    def collect(self) -> Iterable[Metric]:
        """Return all metrics."""
        yield from self._collect_state()
        yield from self._collect_traffic()

    def _collect_state(self) -> Iterator[Metric]:
        membership = self._process.fleet.membership
        yield GaugeMetricFamily(
            f"{PREFIX}configuration_version",
            "Version in force",
            value=float(self._process.watch.adoption.version),
        )
        yield GaugeMetricFamily(
            f"{PREFIX}store_answers",
            "Whether the platform's table answered the last poll",
            value=float(self._process.watch.is_store_reachable),
        )
        hosts = GaugeMetricFamily(f"{PREFIX}hosts", "Known hosts by state", labels=["state"])
        records = membership.records.list_hosts()
        for state in MemberState:
            number = sum(record.state is state for record in records)
            hosts.add_metric([state.name.lower()], number)
        yield hosts
        yield GaugeMetricFamily(
            f"{PREFIX}quarantined",
            "Quarantined fingerprints",
            value=len(membership.records.list_quarantined()),
        )

    def _collect_traffic(self) -> Iterator[Metric]:
        sides = {"peers": self._process.fleet.socket.counts, "entry": self._process.entries.counts}
        messages = CounterMetricFamily(
            f"{PREFIX}messages", "Messages by side and direction", labels=["side", "direction"]
        )
        sizes = CounterMetricFamily(
            f"{PREFIX}message_bytes", "Bytes by side and direction", labels=["side", "direction"]
        )
        dropped = CounterMetricFamily(
            f"{PREFIX}dropped_messages",
            "Messages that failed a check or were too large to send",
            labels=["side", "code"],
        )
        for side, counts in sides.items():
            _add_traffic(side, counts, messages, sizes)
            for code, number in counts.dropped.items():
                dropped.add_metric([side, str(code.value)], number)
        yield from (messages, sizes, dropped)


def _add_traffic(
    side: str, counts: TrafficCounts, messages: CounterMetricFamily, sizes: CounterMetricFamily
) -> None:
    messages.add_metric([side, "sent"], counts.sent_messages)
    messages.add_metric([side, "received"], counts.received_messages)
    messages.add_metric([side, "unsent"], counts.unsent)
    messages.add_metric([side, "failed"], counts.failed)
    sizes.add_metric([side, "sent"], counts.sent_bytes)
    sizes.add_metric([side, "received"], counts.received_bytes)

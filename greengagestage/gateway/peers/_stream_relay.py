"""Distribution of the origins of streams to all hosts, by way of the domains' hubs, without I/O."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import groupby

from greengagestage.ids import HostId
from greengagestage.routing import StreamOrigin, StreamRecord

from ._load_exchange import LoadExchange
from ._peer_messages import RelaySource, StreamsReport, VersionStreams

MAX_STREAMS_PER_REPORT = 120
"""Streams in one datagram, where each takes nine bytes."""

AddressedStreams = tuple[HostId, StreamsReport]


class StreamRelay:
    """Plans which hosts are told of new streams.

    A host tells its hub, a hub tells the hubs of the other domains and the hosts of its own. A hub
    collects what it receives until its next round.
    """

    def __init__(self, *, exchange: LoadExchange) -> None:
        self._exchange = exchange
        self._received: dict[RelaySource, list[StreamRecord]] = defaultdict(list)

    def receive(self, report: StreamsReport) -> list[StreamRecord]:
        """Return the streams of another host's report, and keep them to be passed on if needed."""
        records = [
            StreamRecord(stream=stream, origin=StreamOrigin(software_version=each.version))
            for each in report.versions
            for stream in each.streams
        ]
        if report.source is not RelaySource.OWN_HUB:
            self._received[report.source].extend(records)
        return records

    def plan_reports(self, own: Sequence[StreamRecord], now_s: float) -> list[AddressedStreams]:
        """Return the reports to send in this round.

        Args:
            own: Streams that began at this host.
        """
        exchange = self._exchange
        received, self._received = self._received, defaultdict(list)
        if not exchange.is_hub:
            return [
                (exchange.hub, report) for report in _build_reports(own, RelaySource.DOMAIN_HOST)
            ]
        domain = [*own, *received[RelaySource.DOMAIN_HOST]]
        everything = [*domain, *received[RelaySource.REMOTE_HUB]]
        return [
            *(
                (host, report)
                for report in _build_reports(everything, RelaySource.OWN_HUB)
                for host in exchange.list_reporting_hosts()
            ),
            *(
                (hub, report)
                for report in _build_reports(domain, RelaySource.REMOTE_HUB)
                for hub in exchange.list_remote_hubs(now_s)
            ),
        ]


def _build_reports(records: Iterable[StreamRecord], source: RelaySource) -> list[StreamsReport]:
    def get_version(record: StreamRecord) -> str:
        return record.origin.software_version or ""

    ordered = sorted(records, key=get_version)
    batches = [
        ordered[i : i + MAX_STREAMS_PER_REPORT]
        for i in range(0, len(ordered), MAX_STREAMS_PER_REPORT)
    ]
    return [
        StreamsReport(
            source,
            [
                VersionStreams(group[0].origin.software_version, [each.stream for each in group])
                for group in (list(each) for _, each in groupby(batch, key=get_version))
            ],
        )
        for batch in batches
    ]

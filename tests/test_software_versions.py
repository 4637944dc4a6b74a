"""Origins of streams and their distribution between hosts, without input or output."""

import pytest

from greengagestage.gateway.peers._load_exchange import LoadExchange
from greengagestage.gateway.peers._peer_messages import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    PeerMessage,
    RelaySource,
    Sender,
    Work,
    encode_message,
)
from greengagestage.gateway.peers._stream_relay import StreamRelay
from greengagestage.ids import AttemptId, FailureDomain, HostId, SoftwareVersion
from greengagestage.routing import StreamOrigin, StreamRecord, StreamVersions, VersionRecord

from .catalog_builders import ENGINES, build_upstream

OLD = StreamOrigin(software_version=SoftwareVersion("v1"))
NEW = StreamOrigin(software_version=SoftwareVersion("v2"))
STREAM = AttemptId("a1")


def build_versions(
    *origins: StreamOrigin, now_s: float = 0.0, first_start: bool = True
) -> StreamVersions:
    versions = StreamVersions()
    if first_start:
        versions.history.assume_first_start()
    observe(versions, *origins, now_s=now_s)
    return versions


def build_record(complete_since_s: float, **last_listed_s: float | None) -> VersionRecord:
    """Build a record with the versions by keyword."""
    times = {SoftwareVersion(version): last_s for version, last_s in last_listed_s.items()}
    return VersionRecord(complete_since_s=complete_since_s, last_listed_s=times)


def observe(versions: StreamVersions, *origins: StreamOrigin, now_s: float) -> None:
    upstreams = [
        build_upstream(number, software_version=origin.software_version)
        for number, origin in enumerate(origins)
    ]
    versions.history.observe(upstreams, now_s)


def find(versions: StreamVersions, now_s: float, *, is_confirmed: bool = True):
    return versions.find_origin(STREAM, ENGINES, is_confirmed=is_confirmed, now_s=now_s)


def test_a_stream_can_only_have_begun_at_the_single_version_that_serves() -> None:
    assert find(build_versions(OLD, OLD), 10.0) == OLD


def test_an_old_copy_of_the_registry_does_not_prove_a_single_version() -> None:
    assert find(build_versions(OLD), 10.0, is_confirmed=False) is None


def test_a_host_that_has_just_started_does_not_know_what_served_before() -> None:
    assert find(build_versions(OLD, now_s=8.0), 10.0) is None


# Guards against a version that is forgotten while streams that it began can still be taken up.
def test_a_version_whose_last_upstream_left_still_counts() -> None:
    versions = build_versions(OLD)
    observe(versions, OLD, NEW, now_s=100.0)
    observe(versions, NEW, now_s=110.0)
    assert find(versions, 139.0) is None
    assert find(versions, 141.0) == NEW


def test_a_known_origin_goes_before_what_the_registry_shows() -> None:
    versions = build_versions(OLD, NEW)
    versions.origins.record_local(STREAM, NEW, 10.0)
    assert find(versions, 11.0, is_confirmed=False) == NEW
    assert find(versions, 41.0) is None


# Guards against a stream that begins at a version of which other hosts do not know yet.
def test_a_new_version_settles_before_streams_begin_at_it() -> None:
    history = build_versions(OLD).history
    observe_s = 20.0
    history.observe(
        [
            build_upstream(0, software_version="v1"),
            build_upstream(1, software_version="v2"),
        ],
        observe_s,
    )
    assert history.is_settled(ENGINES, SoftwareVersion("v1"), observe_s)
    assert not history.is_settled(ENGINES, SoftwareVersion("v2"), observe_s + 2.4)
    assert history.is_settled(ENGINES, SoftwareVersion("v2"), observe_s + 2.6)


# Guards against streams that began before a second version appeared and are unknown to the others.
def test_earlier_streams_are_reported_once_a_second_version_serves() -> None:
    versions = build_versions(OLD)
    versions.origins.record_local(STREAM, OLD, 10.0)
    assert not versions.take_reports(10.1)
    observe(versions, OLD, NEW, now_s=12.0)
    (record,) = versions.take_reports(12.1)
    assert record.origin == OLD
    assert [len(versions.take_reports(12.1 + 0.1 * step)) for step in range(1, 4)] == [1, 1, 0]


def test_reports_are_repeated_until_a_lost_hub_has_been_replaced() -> None:
    versions = build_versions(OLD, NEW)
    versions.origins.record_local(STREAM, OLD, 10.0)
    sent_s = [10.0 + step / 20 for step in range(40) if versions.take_reports(10.0 + step / 20)]
    assert sent_s[0] == 10.0
    assert sent_s[-1] >= 11.0
    assert len(sent_s) == 3


# Guards against text of two versions in one stream: a host that did not see the version which left
# before its start must not take the remaining one for the origin while such streams live.
def test_a_host_without_a_record_waits_for_the_lifetime_of_streams() -> None:
    versions = build_versions(NEW, now_s=100.0, first_start=False)
    assert find(versions, 129.0) is None
    assert find(versions, 131.0) == NEW


# Load scenario: all hosts new, the old version gone 1 s before, a stream of 8 s ago.
def test_a_version_that_left_before_the_start_of_all_hosts_still_counts() -> None:
    versions = build_versions(NEW, now_s=100.0, first_start=False)
    versions.history.learn(ENGINES, build_record(0.0, v1=99.0, v2=None), 100.1, settled=True)
    assert find(versions, 107.0) is None
    assert find(versions, 128.0) is None
    assert find(versions, 130.0) == NEW


# Load scenario: all hosts killed while both versions serve; the row still lists the old one.
def test_a_version_that_only_the_record_lists_counts_until_the_start_of_the_host() -> None:
    versions = build_versions(NEW, now_s=100.0, first_start=False)
    versions.history.learn(ENGINES, build_record(0.0, v1=None, v2=None), 100.1, settled=True)
    assert find(versions, 129.0) is None
    assert find(versions, 131.0) == NEW


# Guards against needless refusals: a host that restarts alone knows what the others have recorded.
def test_a_host_that_restarts_alone_knows_the_only_version_at_once() -> None:
    versions = build_versions(OLD, now_s=100.0, first_start=False)
    versions.history.learn(ENGINES, build_record(0.0, v1=None), 100.1, settled=True)
    assert find(versions, 100.2) == OLD
    assert not versions.take_reports(100.2)


# Guards against a record of a host that had itself just started and knew no more.
def test_a_record_reaches_back_no_further_than_its_writer() -> None:
    versions = build_versions(NEW, now_s=100.0, first_start=False)
    versions.history.learn(ENGINES, build_record(90.0, v2=None), 100.1, settled=True)
    assert find(versions, 119.0) is None
    assert find(versions, 121.0) == NEW


# Guards against streams at a version that no host would know of if all were killed now.
def test_streams_begin_at_a_further_version_only_once_it_is_recorded() -> None:
    versions = build_versions(OLD)
    versions.requires_record = True
    versions.set_recorded(ENGINES, {OLD.software_version})
    observe(versions, OLD, NEW, now_s=50.0)
    assert versions.is_settled(ENGINES, OLD.software_version, 60.0)
    assert not versions.is_settled(ENGINES, NEW.software_version, 60.0)
    versions.set_recorded(ENGINES, {OLD.software_version, NEW.software_version})
    assert versions.is_settled(ENGINES, NEW.software_version, 60.0)


# Guards against a host that, just after its start, begins streams at a version that is not recorded
# because it has seen all versions for the same short time.
def test_recorded_versions_are_settled_at_the_start_of_a_host() -> None:
    versions = build_versions(OLD, NEW, now_s=100.0)
    versions.requires_record = True
    versions.history.learn(ENGINES, build_record(0.0, v1=None), 100.1, settled=True)
    versions.set_recorded(ENGINES, {OLD.software_version})
    assert versions.is_settled(ENGINES, OLD.software_version, 100.2)
    assert not versions.is_settled(ENGINES, NEW.software_version, 110.0)


class RelayNetwork:
    """Hosts of two failure domains, connected without loss."""

    def __init__(self) -> None:
        self.exchanges: dict[HostId, LoadExchange] = {}
        self.relays: dict[HostId, StreamRelay] = {}
        self.known: dict[HostId, set[int]] = {}
        domains = {HostId(f"{d}{n}"): FailureDomain(d) for d in "ab" for n in range(3)}
        for host, domain in domains.items():
            self.exchanges[host] = exchange = LoadExchange(host=host, domain=domain)
            self.relays[host] = StreamRelay(exchange=exchange)
            self.known[host] = set()
            for other, other_domain in domains.items():
                exchange.add_host(other, other_domain)
        for round_ in range(1, 4):
            self._exchange_load(round_)

    def _exchange_load(self, round_: int) -> None:
        for host, exchange in self.exchanges.items():
            for receiver, body in exchange.plan_reports(Work(), round_, float(round_)):
                sender = Sender(PROTOCOL_VERSION, host, 1, round_)
                self.exchanges[receiver].receive(PeerMessage(sender, body), float(round_))

    def send(self, host: HostId, records: list[StreamRecord]) -> int:
        """Tell of streams at one host and run the rounds; return the number of datagrams."""
        sent = 0
        own = {host: records}
        for _ in range(3):
            planned = {
                sender: relay.plan_reports(own.pop(sender, []), 3.0)
                for sender, relay in self.relays.items()
            }
            for sender, reports in planned.items():
                for receiver, report in reports:
                    sent += 1
                    message = PeerMessage(Sender(PROTOCOL_VERSION, sender, 1, sent), report)
                    assert len(encode_message(message)) <= MAX_DATAGRAM_BYTES
                    learned = self.relays[receiver].receive(report)
                    self.known[receiver] |= {record.stream for record in learned}
        return sent


@pytest.mark.parametrize("host", ["a0", "a2", "b0", "b1"])
def test_streams_reach_all_hosts_through_the_hubs(host: str) -> None:
    network = RelayNetwork()
    records = [StreamRecord(stream=number, origin=[OLD, NEW][number % 2]) for number in range(300)]
    network.send(HostId(host), records)
    expected = {record.stream for record in records}
    assert all(known == expected for other, known in network.known.items() if other != host)


def test_a_relayed_stream_keeps_its_version_and_ends_at_the_hosts() -> None:
    network = RelayNetwork()
    network.send(HostId("a1"), [StreamRecord(stream=7, origin=NEW)])
    assert network.send(HostId("a1"), []) == 0
    relay = network.relays[HostId("a0")]
    (_, report), *_ = network.relays[HostId("a1")].plan_reports(
        [StreamRecord(stream=8, origin=NEW)], 3.0
    )
    assert report.source is RelaySource.DOMAIN_HOST
    assert relay.receive(report) == [StreamRecord(stream=8, origin=NEW)]

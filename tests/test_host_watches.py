"""What a host believes of the configuration, the upstreams and its peers, under faults."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from greengagestage.catalog import Availability, RegisteredUpstream
from greengagestage.gateway._peer_messages import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    PeerMessage,
    RegistryNews,
    Sender,
    decode_message,
    encode_message,
)
from greengagestage.gateway._registry_watch import RegistryWatch, describe_change
from greengagestage.ids import FailureDomain, HostId, InstanceId, ServiceName
from standins.row_store import StoreFault

from .host_harness import ROUTES, HostFleet, build_document, running_fleet

SENDER = Sender(PROTOCOL_VERSION, HostId("h2"), 5, 1)


@pytest.fixture
def fleet():
    with running_fleet() as running:
        running.add_upstream("one")
        yield running


def start(fleet: HostFleet, **bounds: float) -> None:
    fleet.start_host(**bounds)
    fleet.wait_ready()


def status_of(fleet: HostFleet, path: str = "/order/x") -> int:
    return fleet.call(path).status


def test_a_host_without_configuration_answers_not_run(fleet: HostFleet) -> None:
    fleet.store.fault = StoreFault.DOWN
    fleet.start_host()
    fleet.turn(0.2)
    assert fleet.ask_readiness() == 503
    caller = fleet.call("/order/x")
    assert (caller.status, caller.error["code"]) == (503, 2009)
    fleet.store.fault = StoreFault.NONE
    fleet.wait_ready()
    assert status_of(fleet) == 200


def test_a_configuration_change_takes_effect_immediately(fleet: HostFleet) -> None:
    start(fleet)
    fleet.store.put("op", "config", build_document(2, Routes=ROUTES[:1]))
    fleet.turn(0.2)
    assert status_of(fleet) == 404


def test_an_older_configuration_version_is_never_adopted(fleet: HostFleet) -> None:
    fleet.store.put("op", "config", build_document(5))
    start(fleet)
    fleet.store.put("op", "config", build_document(4, Routes=ROUTES[:1]))
    fleet.turn(0.2)
    assert status_of(fleet) == 200


def test_an_unreadable_version_leaves_the_last_one_in_force(fleet: HostFleet) -> None:
    start(fleet)
    fleet.store.put("op", "config", b"\xff{")
    fleet.turn(0.2)
    assert status_of(fleet) == 200
    fleet.store.put("op", "config", build_document(9, Routes=ROUTES[:1]))
    fleet.turn(0.5)
    assert status_of(fleet) == 404


def test_the_configuration_is_read_again_after_the_watch_history_is_lost(fleet: HostFleet) -> None:
    start(fleet)
    fleet.store.fault = StoreFault.FORGETFUL
    fleet.store.put("op", "config", build_document(2, Routes=ROUTES[:1]))
    fleet.turn(2.2)
    assert status_of(fleet) == 404


def test_a_watch_that_is_never_answered_times_out(fleet: HostFleet) -> None:
    start(fleet)
    fleet.store.fault = StoreFault.SILENT
    fleet.turn(0.1)
    fleet.store._watches.clear()
    fleet.store.fault = StoreFault.NONE
    fleet.store.put("op", "config", build_document(2, Routes=ROUTES[:1]))
    fleet.turn(2.8)
    assert status_of(fleet) == 404


def test_keys_are_not_accepted_when_they_may_have_been_revoked(fleet: HostFleet) -> None:
    start(fleet, key_revocation_s=2.0)
    fleet.store.fault = StoreFault.DOWN
    fleet.turn(1.0)
    assert status_of(fleet) == 200
    fleet.turn(3.0)
    caller = fleet.call("/order/x")
    assert (caller.status, caller.error["code"]) == (503, 2017)
    assert fleet.call("/open/x", key=None).status == 200
    assert fleet.ask_readiness() == 503
    fleet.store.fault = StoreFault.NONE
    fleet.wait_ready()
    assert status_of(fleet) == 200


def test_a_key_that_was_taken_away_is_refused(fleet: HostFleet) -> None:
    start(fleet)
    assert status_of(fleet) == 200
    fleet.store.put(
        "op", "config", build_document(2, Tenants=[{"Name": "gyor", "ApiKeys": ["new"]}])
    )
    fleet.turn(0.2)
    assert fleet.call("/order/x").error["code"] == 1015
    assert fleet.call("/order/x", key="new").status == 200


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while(fleet: HostFleet) -> None:
    start(fleet)
    fleet.store.fault = StoreFault.DOWN
    fleet.store.remove("servers", "one")
    fleet.turn(2.0)
    fleet.store.fault = StoreFault.NONE
    fleet.turn(1.0)
    assert status_of(fleet) == 200
    fleet.turn(3.2)
    assert status_of(fleet) == 503


def test_an_entry_that_cannot_be_read_names_no_upstream(fleet: HostFleet) -> None:
    start(fleet)
    fleet.add_upstream("two")
    fleet.store.put("servers", "one", b"\x00")
    fleet.store.put("servers", "three", b"[]")
    fleet.turn(1.3)
    for number in range(4):
        assert fleet.call("/order/x", attempt=f"a{number}").body == b"answer of two"


def test_one_host_reads_the_registry_for_the_others(fleet: HostFleet) -> None:
    """Two hosts together need hardly more reads than one."""

    def count_reads(duration_s: float) -> int:
        fleet.store.calls.clear()
        fleet.turn(duration_s)
        return fleet.store.calls.count("/rows-get")

    start(fleet)
    alone = count_reads(3.0)
    assert alone >= 2
    process = fleet.processes[0]
    process._registry.hear_read(RegistryNews(process._registry._digest, 10_000))
    fleet.store.calls.clear()
    for _ in range(6):
        process._registry.hear_read(RegistryNews(process._registry._digest, 10_000))
        fleet.turn(0.4)
    assert fleet.store.calls.count("/rows-get") == 0


def test_a_change_that_a_peer_read_is_read_at_once(fleet: HostFleet) -> None:
    start(fleet)
    fleet.add_upstream("two")
    registry = fleet.processes[0]._registry
    registry.hear_read(RegistryNews(12345, 10_000))
    fleet.turn(0.2)
    assert len(registry._known) == 2


def test_a_host_updated_by_peers_does_not_assume_an_outage(fleet: HostFleet) -> None:
    """A host that was told by peers drops a lapsed entry at its next read."""
    start(fleet)
    registry = fleet.processes[0]._registry
    for _ in range(5):
        registry.hear_read(RegistryNews(registry._digest, registry._revision))
        fleet.turn(0.4)
    fleet.store.remove("servers", "one")
    fleet.turn(1.3)
    assert not registry._known


def test_hosts_register_themselves(fleet: HostFleet) -> None:
    start(fleet)
    fleet.turn_until(lambda: fleet.store.list_keys("greengagestage-hosts") == ["host-1"])


class FollowingHost:
    """A host behind others in rank, which tell it what the store confirmed."""

    def __init__(self, fleet: HostFleet, **bounds: float) -> None:
        start(fleet, **bounds)
        self.fleet = fleet
        self.routes = fleet.processes[0]._routes
        self.routes._read_rank = lambda: 5
        fleet.turn(1.0)
        fleet.store.calls.clear()

    def tell(self, duration_s: float, revision: int | None = None) -> None:
        """Let peers confirm a configuration for a while, the host's own one by default."""
        for _ in range(round(duration_s / 0.2)):
            told = self.routes._adopted_revision if revision is None else revision
            self.routes.hear_confirmed(told, self.fleet.reactor.seconds())
            self.fleet.turn(0.2)

    def count_calls(self) -> int:
        return self.fleet.store.calls.count("/rows-feed")


def test_a_host_that_is_told_confirmations_does_not_ask(fleet: HostFleet) -> None:
    host = FollowingHost(fleet)
    host.tell(3.0)
    assert host.count_calls() <= 1
    assert fleet.ask_readiness() == 200


def test_a_host_without_peer_confirmations_reads_a_change_in_time(fleet: HostFleet) -> None:
    FollowingHost(fleet)
    fleet.store.put("op", "config", build_document(2, Routes=ROUTES[:1]))
    fleet.turn(1.8)
    assert status_of(fleet) == 404


def test_a_newer_configuration_reported_by_a_peer_is_read_immediately(fleet: HostFleet) -> None:
    host = FollowingHost(fleet)
    host.tell(1.0)
    fleet.store.put("op", "config", build_document(2, Routes=ROUTES[:1]))
    host.tell(0.2, revision=host.routes._adopted_revision + 1)
    assert status_of(fleet) == 404


def test_a_told_moment_that_is_past_confirms_nothing_now(fleet: HostFleet) -> None:
    host = FollowingHost(fleet)
    fleet.store.fault = StoreFault.DOWN
    old_s = fleet.reactor.seconds() - 30.0
    fleet.turn(0.5)
    before_s = host.routes.age_s
    host.routes.hear_confirmed(host.routes._adopted_revision, old_s)
    assert host.routes.age_s >= before_s


def test_keys_are_refused_while_only_the_name_of_a_newer_version_is_known(fleet: HostFleet) -> None:
    host = FollowingHost(fleet, key_revocation_s=2.0)
    fleet.store.fault = StoreFault.DOWN
    host.tell(1.0)
    assert status_of(fleet) == 200
    host.tell(2.6, revision=10_000)
    caller = fleet.call("/order/x")
    assert (caller.status, caller.error["code"]) == (503, 2017)


def build_upstream(number: int, availability: Availability) -> RegisteredUpstream:
    return RegisteredUpstream(
        instance=InstanceId(f"i-{number}"),
        service=ServiceName("archive"),
        address="10.0.0.1",
        port=80,
        failure_domain=FailureDomain("a"),
        slots=4,
        availability=availability,
    )


registries = st.dictionaries(
    st.integers(min_value=0, max_value=12), st.sampled_from(Availability), max_size=12
).map(
    lambda states: {
        InstanceId(f"i-{number}"): build_upstream(number, availability)
        for number, availability in states.items()
    }
)


def follow(registry: RegistryWatch, news: list[RegistryNews]) -> None:
    for each in news:
        registry.hear_read(decode_message(encode_message(PeerMessage(SENDER, each))).body)


@given(before=registries, after=registries, lost=st.none() | st.integers(0, 3))
def test_told_changes_give_the_same_registry_or_a_read(before, after, lost) -> None:
    """A change of the registry on a large fleet, told in steps of which one may be lost."""
    clock = Clock()
    registry = RegistryWatch(
        reactor=clock,
        rows=None,
        random=Random(1),
        on_change=lambda upstreams: None,
        on_read=lambda news: None,
        read_rank=lambda: 5,
    )
    registry._current_s = 0.0
    registry._replace(before)
    news = describe_change(before, after, 7)
    assert all(len(encode_message(PeerMessage(SENDER, n))) <= MAX_DATAGRAM_BYTES for n in news)
    kept = [each for position, each in enumerate(news) if position != lost]
    follow(registry, kept)
    if len(kept) == len(news):
        assert registry._known == after
    else:
        follow(registry, [RegistryNews(news[-1].digest, 8)])
        assert registry._known == after or registry._heard_revision == 8

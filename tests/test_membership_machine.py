"""State machine test of the membership under any order of events.

Messages are reordered, repeated and lost, failure domains are partitioned, and hosts restart.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from greengagestage.ids import HostId, UpstreamName
from greengagestage.wire import HostRecord, MemberState

from .membership_fleet import MembershipFleet

HOSTS = [HostId(f"host-{number}") for number in range(5)]
ENGINES = [UpstreamName("engine-1"), UpstreamName("engine-2")]
RECOVERY_S = 120.0


def get_precedence(record: HostRecord) -> tuple[int, int, int]:
    return (record.incarnation, record.sequence, record.state)


class MembershipMachine(RuleBasedStateMachine):
    """Random events in a fleet of five hosts in two failure domains."""

    hosts = st.sampled_from(HOSTS)

    def __init__(self) -> None:
        super().__init__()
        self.fleet = MembershipFleet(size=len(HOSTS))
        self.fleet.run(15)
        self.seen_precedence: dict[tuple[HostId, HostId], tuple[int, int, int]] = {}
        self.leaving_incarnations: dict[HostId, int] = {}
        self.seen_leaving: set[tuple[HostId, HostId, int]] = set()

    @rule(host=hosts, pause_s=st.sampled_from([0.1, 1.0, 6.0]))
    def let_time_pass(self, host: HostId, pause_s: float) -> None:
        self.fleet.now_s += pause_s
        if host in self.fleet.members:
            self.fleet.tick(host)

    @precondition(lambda self: self.fleet.packets)
    @rule(data=st.data(), duplicate=st.booleans())
    def deliver_message(self, data: st.DataObject, duplicate: bool) -> None:
        index = data.draw(st.integers(0, len(self.fleet.packets) - 1))
        self.fleet.deliver(index, duplicate)

    @precondition(lambda self: self.fleet.packets)
    @rule(data=st.data())
    def lose_message(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.fleet.packets) - 1))
        self.fleet.packets.pop(index)

    @precondition(lambda self: not self.fleet.partitions)
    @rule()
    def partition_domains(self) -> None:
        self.fleet.partition("domain-0", "domain-1")

    @precondition(lambda self: self.fleet.partitions)
    @rule()
    def heal_partitions(self) -> None:
        self.fleet.partitions.clear()

    @rule(host=hosts)
    def leave(self, host: HostId) -> None:
        member = self.fleet.members.get(host)
        if member is not None:
            member.set_state(MemberState.LEAVING, self.fleet.now_s)
            self.leaving_incarnations[host] = member.own.incarnation
            self.fleet.collect()

    @rule(host=hosts)
    def kill_or_start(self, host: HostId) -> None:
        if host in self.fleet.members:
            if len(self.fleet.members) > 2:
                self.fleet.kill(host)
        else:
            self.fleet.start_host(host)
            self.leaving_incarnations.pop(host, None)
            for viewer, about in list(self.seen_precedence):
                if viewer == host:
                    del self.seen_precedence[viewer, about]
            self.seen_leaving = {key for key in self.seen_leaving if key[0] != host}

    @rule(host=hosts, engine=st.sampled_from(ENGINES), leaving=st.booleans())
    def mark_upstream(self, host: HostId, engine: UpstreamName, leaving: bool) -> None:
        member = self.fleet.members.get(host)
        if member is not None:
            member.mark_upstream(engine, leaving, self.fleet.now_s)
            self.fleet.collect()

    @invariant()
    def records_never_regress(self) -> None:
        for viewer, member in self.fleet.members.items():
            for record in member.records.list_hosts():
                key = (viewer, record.host)
                assert get_precedence(record) >= self.seen_precedence.get(
                    key, get_precedence(record)
                )
                self.seen_precedence[key] = get_precedence(record)

    @invariant()
    def leaving_host_does_not_become_live_again(self) -> None:
        for viewer, member in self.fleet.members.items():
            for record in member.records.list_hosts():
                key = (viewer, record.host, record.incarnation)
                if record.state >= MemberState.LEAVING and record.host in self.leaving_incarnations:
                    self.seen_leaving.add(key)
                elif self.leaving_incarnations.get(record.host) == record.incarnation:
                    assert key not in self.seen_leaving

    def teardown(self) -> None:
        """Check that all hosts converge to the same records once the network works again."""
        self.fleet.partitions.clear()
        self.fleet.run(RECOVERY_S)
        living = {
            host
            for host, member in self.fleet.members.items()
            if member.own.state is MemberState.LIVE
        }
        for viewer in self.fleet.members:
            assert self.fleet.get_view(viewer) == living
        assert self.fleet.has_converged()


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(max_examples=60, stateful_step_count=40)

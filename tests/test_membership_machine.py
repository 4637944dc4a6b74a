"""Membership under any order of events: reordered, repeated and lost messages, cuts, restarts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from greengagestage.ids import HostId, UpstreamName
from greengagestage.wire import HostRecord, MemberState

from .membership_fleet import MembershipFleet

HOSTS = [HostId(f"host-{number}") for number in range(5)]
ENGINES = [UpstreamName("engine-1"), UpstreamName("engine-2")]
QUIET_S = 120.0


def order(record: HostRecord) -> tuple[int, int, int]:
    return (record.incarnation, record.sequence, record.state)


class MembershipMachine(RuleBasedStateMachine):
    """Five hosts in two failure domains."""

    hosts = st.sampled_from(HOSTS)

    def __init__(self) -> None:
        super().__init__()
        self.fleet = MembershipFleet(size=len(HOSTS))
        self.fleet.run(15)
        self.seen: dict[tuple[HostId, HostId], tuple[int, int, int]] = {}
        self.leavers: dict[HostId, int] = {}
        self.seen_leaving: set[tuple[HostId, HostId, int]] = set()

    @rule(host=hosts, pause_s=st.sampled_from([0.1, 1.0, 6.0]))
    def let_time_pass(self, host: HostId, pause_s: float) -> None:
        self.fleet.now_s += pause_s
        if host in self.fleet.members:
            self.fleet.tick(host)

    @precondition(lambda self: self.fleet.letters)
    @rule(data=st.data(), keep=st.booleans())
    def deliver_any(self, data: st.DataObject, keep: bool) -> None:
        place = data.draw(st.integers(0, len(self.fleet.letters) - 1))
        self.fleet.deliver(place, keep)

    @precondition(lambda self: self.fleet.letters)
    @rule(data=st.data())
    def lose_any(self, data: st.DataObject) -> None:
        place = data.draw(st.integers(0, len(self.fleet.letters) - 1))
        self.fleet.letters.pop(place)

    @precondition(lambda self: not self.fleet.severed)
    @rule()
    def sever(self) -> None:
        self.fleet.sever("domain-0", "domain-1")

    @precondition(lambda self: self.fleet.severed)
    @rule()
    def heal(self) -> None:
        self.fleet.severed.clear()

    @rule(host=hosts)
    def leave(self, host: HostId) -> None:
        member = self.fleet.members.get(host)
        if member is not None:
            member.set_state(MemberState.LEAVING, self.fleet.now_s)
            self.leavers[host] = member.own.incarnation
            self.fleet.collect()

    @rule(host=hosts)
    def kill_or_start(self, host: HostId) -> None:
        if host in self.fleet.members:
            if len(self.fleet.members) > 2:
                self.fleet.kill(host)
        else:
            self.fleet.start_host(host)
            self.leavers.pop(host, None)
            for viewer, about in list(self.seen):
                if viewer == host:
                    del self.seen[viewer, about]
            self.seen_leaving = {key for key in self.seen_leaving if key[0] != host}

    @rule(host=hosts, engine=st.sampled_from(ENGINES), leaving=st.booleans())
    def mark(self, host: HostId, engine: UpstreamName, leaving: bool) -> None:
        member = self.fleet.members.get(host)
        if member is not None:
            member.mark_upstream(engine, leaving, self.fleet.now_s)
            self.fleet.collect()

    @invariant()
    def records_never_go_back(self) -> None:
        for viewer, member in self.fleet.members.items():
            for record in member.records.list_hosts():
                key = (viewer, record.host)
                assert order(record) >= self.seen.get(key, order(record))
                self.seen[key] = order(record)

    @invariant()
    def leaver_is_not_revived(self) -> None:
        for viewer, member in self.fleet.members.items():
            for record in member.records.list_hosts():
                key = (viewer, record.host, record.incarnation)
                if record.state >= MemberState.LEAVING and record.host in self.leavers:
                    self.seen_leaving.add(key)
                elif self.leavers.get(record.host) == record.incarnation:
                    assert key not in self.seen_leaving

    def teardown(self) -> None:
        """Once the network works again, all hosts come to the same end."""
        self.fleet.severed.clear()
        self.fleet.run(QUIET_S)
        living = {
            host
            for host, member in self.fleet.members.items()
            if member.own.state is MemberState.LIVE
        }
        for viewer in self.fleet.members:
            assert self.fleet.see(viewer) == living
        assert self.fleet.agree()


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(max_examples=60, stateful_step_count=40)

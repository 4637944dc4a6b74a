"""One lease that three hosts compete for, with table faults in any order."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from twisted.internet.task import Clock

from greengagestage.ids import HostId
from greengagestage.orders._lease import lease_key, read_lease
from greengagestage.orders._lease_holder import LeaseManager

from .fake_platform import FakeTable, FakeTableClient

NAME = "orders-0"
HOSTS = [HostId(f"h{n}") for n in range(3)]


class LeaseMachine(RuleBasedStateMachine):
    """No two hosts hold the lease at once, and its number grows with each holder."""

    @initialize()
    def begin(self) -> None:
        self.clock = Clock()
        self.table = FakeTable()
        self.table.automatic = False
        self.holders = [self.build(host) for host in HOSTS]
        self.last: tuple[int, str] = (0, "")

    def build(self, host: HostId) -> LeaseManager:
        client = FakeTableClient(self.table)
        return LeaseManager(reactor=self.clock, table=client, host=host, hosts=lambda: HOSTS)

    @rule(index=st.integers(0, 2))
    def maintain(self, index: int) -> None:
        self.holders[index].maintain([NAME])

    @rule(index=st.integers(0, 2))
    def maintain_without_faults(self, index: int) -> None:
        self.holders[index].maintain([NAME])
        while self.table.calls:
            self.table.serve(self.table.calls[0])

    @rule(index=st.integers(0, 2), planned=st.booleans())
    def replace(self, index: int, planned: bool) -> None:
        if planned:
            self.holders[index].stop()
        self.holders[index] = self.build(HOSTS[index])

    @precondition(lambda self: self.table.calls)
    @rule(data=st.data(), response=st.sampled_from(["serve", "serve", "lose_answer", "time_out"]))
    def answer(self, data: Any, response: str) -> None:
        getattr(self.table, response)(data.draw(st.sampled_from(self.table.calls)))

    @precondition(lambda self: self.table.late)
    @rule(data=st.data())
    def apply_late(self, data: Any) -> None:
        self.table.apply_late(data.draw(st.sampled_from(self.table.late)))

    @rule(seconds=st.sampled_from([0.5, 5.0, 12.0, 17.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @invariant()
    def at_most_one_holder(self) -> None:
        if hasattr(self, "holders"):
            assert sum(bool(holder.list_held()) for holder in self.holders) <= 1

    @invariant()
    def number_grows(self) -> None:
        lease = read_lease(self.table.get(lease_key(NAME))) if hasattr(self, "table") else None
        if lease is None:
            return
        number, instance = self.last
        assert lease.fencing_number >= number
        if lease.holder and lease.instance != instance:
            assert lease.fencing_number > number
            self.last = (lease.fencing_number, lease.instance)


LeaseMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=50)
TestLease = LeaseMachine.TestCase

"""Injects scheduled faults into a running system."""

from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.error import CannotListenError

from standins.row_store import StoreFault

from ._disturbances import STORE, Disturbance, Disturbances
from ._faults import Fault, ScheduledFault
from ._fleet import Member, UpstreamFleet
from ._host_fleet import HostFleet
from ._operator import Operator
from ._proxy import Link, LinkFault
from ._store import StoreControl

RESET_CHANCE = 0.3
REOPEN_PAUSE_S = 0.1


@dataclass(slots=True, kw_only=True)
class Injector:
    """Begins faults, records them as disturbances and ends them."""

    reactor: Any
    disturbances: Disturbances
    hosts: HostFleet
    upstreams: UpstreamFleet
    operator: Operator
    store: StoreControl

    def schedule(self, faults: list[ScheduledFault]) -> None:
        """Schedule all faults of a run."""
        for scheduled in faults:
            self.reactor.callLater(scheduled.at_s, self.inject, scheduled)

    def inject(self, scheduled: ScheduledFault) -> None:
        """Begin one fault; its details are drawn from its own seed."""
        random = Random(scheduled.seed)
        host = random.choice(self.hosts.hosts)
        match scheduled.fault:
            case Fault.CONFIGURATION:
                self.operator.change()
            case Fault.HOST_STOP:
                self.hosts.stop_host(host)
            case Fault.HOST_KILL:
                self.hosts.kill_host(host)
            case Fault.HOST_KILLS:
                for each in self.hosts.hosts:
                    self.hosts.kill_host(each)
            case Fault.HOST_FREEZE:
                self.hosts.suspend_host(host, random.choice((0.1, 0.5, 1.5, 4.0)))
            case Fault.HOST_RELOAD:
                self.hosts.reload_host(host, random, signalled=True)
            case Fault.SETTINGS_CHANGE:
                self.hosts.reload_host(host, random, signalled=False)
            case Fault.CALLERS_LINK:
                self._harm_links(host.name, [host.callers_link], random)
            case Fault.STORE_LINK:
                self._harm_links(host.name, [host.store_link], random)
            case Fault.STORE_LINKS:
                self._harm_links(STORE, [each.store_link for each in self.hosts.hosts], random)
            case Fault.STORE_FAULT:
                fault = random.choice([each for each in StoreFault if each is not StoreFault.NONE])
                self._harm_store(fault, random.uniform(0.5, 5.0))
            case _:
                self._inject_upstream_fault(scheduled.fault, random)

    def _inject_upstream_fault(self, fault: Fault, random: Random) -> None:
        member = random.choice(self.upstreams.list_alive())
        now_s = self.reactor.seconds()
        match fault:
            case Fault.UPSTREAM_SILENCE:
                member.upstream.silent_until_s = now_s + random.uniform(0.6, 1.5)
            case Fault.UPSTREAM_RESET:
                self._mark(member, "reset")
                member.upstream.reset()
            case Fault.UPSTREAM_BREAK:
                self._mark(member, "break")
                member.upstream.break_off()
            case Fault.UPSTREAM_DROP:
                member.upstream.drop_idle()
            case Fault.UPSTREAM_FULL:
                member.upstream.refuses_until_s = now_s + random.uniform(0.5, 3.0)
                member.upstream.names_pause = random.random() < 0.5
            case Fault.UPSTREAM_DRAIN | Fault.UPSTREAM_UNLIST:
                if self.upstreams.can_lose(member):
                    self.upstreams.drain(member, announced=fault is Fault.UPSTREAM_DRAIN)
            case Fault.UPSTREAM_CRASH:
                if self.upstreams.can_lose(member):
                    self.upstreams.crash(member)
            case Fault.UPSTREAM_LINK:
                self._harm_links(member.upstream.identity.instance, [member.link], random)
            case Fault.UPSTREAM_REPEAT:
                self.upstreams.repeats_until_s = now_s + random.uniform(2.0, 8.0)
            case Fault.UPSTREAM_LINKS:
                self._shut_links(random)
            case Fault.UPSTREAM_EXPIRY:
                duration_s = random.uniform(2.0, 4.0)
                self._harm_store(StoreFault.DOWN, duration_s)
                for each in self.upstreams.list_ready():
                    if random.random() < 0.5:
                        back_s = duration_s + random.uniform(0.1, 1.8)
                        self.upstreams.expire(each, back_s)

    def _harm_links(self, target: str, links: list[Link], random: Random) -> None:
        """Reset the connections of links, or harm them for some time."""
        now_s = self.reactor.seconds()
        if random.random() < RESET_CHANCE:
            self._reset(target, links)
            return
        fault = random.choice([each for each in LinkFault if each is not LinkFault.NONE])
        harm = self.disturbances.begin(target, f"{fault.value} link", now_s)
        delay_s = random.uniform(0.02, 0.4) if fault is LinkFault.DELAYED else 0.0
        for link in links:
            link.set_fault(fault, delay_s=delay_s)

        def heal() -> None:
            for link in links:
                link.set_fault(LinkFault.NONE)
            harm.ended_s = self.reactor.seconds()

        self.reactor.callLater(random.uniform(0.3, 4.0), heal)

    def _reset(self, target: str, links: list[Link]) -> None:
        self.disturbances.mark(target, "reset link", self.reactor.seconds())
        for link in links:
            link.reset()

    def _shut_links(self, random: Random) -> None:
        """Refuse new connections to some upstreams.

        Hosts take these links for cut, and send by hosts that have open connections.
        """
        alive = self.upstreams.list_alive()
        members = random.sample(alive, max(len(alive) // 2, 1))
        now_s = self.reactor.seconds()
        resets = random.random() < RESET_CHANCE
        harms = [
            self.disturbances.begin(each.upstream.identity.instance, "shut link", now_s)
            for each in members
        ]
        for member in members:
            member.link.shut()
            if resets:
                self._reset(member.upstream.identity.instance, [member.link])

        def heal() -> None:
            for member, harm in zip(members, harms, strict=True):
                self._open_link(member.link, harm)

        self.reactor.callLater(random.uniform(1.0, 6.0), heal)

    def _open_link(self, link: Link, harm: Disturbance) -> None:
        """Accept connections again; a system may keep the port as long as open ones live on."""
        try:
            link.open()
        except CannotListenError:
            link.reset()
            self.reactor.callLater(REOPEN_PAUSE_S, self._open_link, link, harm)
            return
        harm.ended_s = self.reactor.seconds()

    def _harm_store(self, fault: StoreFault, duration_s: float) -> None:
        harm = self.disturbances.begin(STORE, fault.value, self.reactor.seconds())
        self.store.set_fault(fault)

        def heal() -> None:
            self.store.set_fault(StoreFault.NONE)
            harm.ended_s = self.reactor.seconds()

        self.reactor.callLater(duration_s, heal)

    def _mark(self, member: Member, kind: str) -> None:
        instance = member.upstream.identity.instance
        self.disturbances.mark(instance, kind, self.reactor.seconds())

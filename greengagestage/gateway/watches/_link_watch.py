"""Watches the links to the upstreams: logs their changes, and tries those that are cut again."""

from collections.abc import Callable
from typing import Any

from eliot import log_message

from greengagestage.catalog import RegisteredUpstream
from greengagestage.http1 import ClientConnection, ConnectionPool, Endpoint
from greengagestage.ids import HostId, Incarnation, InstanceId
from greengagestage.routing import Router

RESTORED_PROBE_SPREAD_S = 0.2
"""Time over which the other links are tried once one of them is back."""

FORWARDED_PROBE_INTERVAL_S = 1.0
"""Mean time between two attempts to connect to an upstream whose link is cut, while requests to it
are forwarded. The actual time varies by up to half, so that hosts do not connect in lockstep."""


class LinkWatch:
    """Follows the links of one host.

    An upstream is probed only after another host has forwarded a request to it, or once another
    link is back: one that has ended is not connected to again and again, and its return does not
    meet a probe of each host. If all hosts suspect a link, none can forward: each host also probes
    its suspected links by itself, the more rarely the more hosts do it sooner.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        host: HostId,
        router: Router,
        pool: ConnectionPool,
        draw: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._router = router
        self._pool = pool
        self._draw = draw
        self._connecting: set[Incarnation] = set()
        self._probes: dict[Incarnation, Any] = {}
        self._logged: set[InstanceId] = set()
        self.forwarded = 0

    def record_opened(self, upstream: RegisteredUpstream) -> None:
        """Record that a connection to an upstream was opened."""
        links = self._router.links
        was_cut = links.record_opened(upstream.instance, self._reactor.seconds())
        if upstream.instance in self._logged:
            self._logged.discard(upstream.instance)
            log_message(message_type="upstream: link restored", upstream=upstream.instance)
        if not was_cut:
            return
        for state in self._router.upstreams.values():
            if links.has_failed(state.record.instance):
                self._schedule_probe(state.record, RESTORED_PROBE_SPREAD_S * self._draw())

    def handle_unreachable(self, upstream: RegisteredUpstream) -> None:
        """Log if the link to an upstream, which could not be connected to, counts as cut.

        All links that are suspected by now are probed later.
        """
        self._schedule_suspected()
        if upstream.instance in self._logged or not self._router.links.is_cut(upstream.instance):
            return
        self._logged.add(upstream.instance)
        log_message(
            message_type="upstream: link cut",
            upstream=upstream.instance,
            service=upstream.service,
        )

    def record_forwarded(self, host: HostId, upstream: RegisteredUpstream) -> None:
        """Record that a host has passed an upstream's answer back, and probe the link later."""
        links = self._router.links
        self.forwarded += 1
        links.record_forwarded(host, upstream.instance, self._reactor.seconds())
        if links.is_cut(upstream.instance):
            interval_s = self._vary(FORWARDED_PROBE_INTERVAL_S)
            delay_s = interval_s if links.has_failed(upstream.instance) else 0.0
            self._schedule_probe(upstream, delay_s)

    def _schedule_suspected(self) -> None:
        """Probe each suspected link later, unless that is planned."""
        links = self._router.links
        for instance in links.list_suspected():
            state = self._router.upstreams.get(instance)
            if state is not None and state.record.incarnation not in self._probes:
                interval_s = links.compute_probe_interval_s(instance, self._host)
                self._schedule_probe(state.record, self._vary(interval_s))

    def _vary(self, interval_s: float) -> float:
        return interval_s * (0.5 + self._draw())

    def _schedule_probe(self, upstream: RegisteredUpstream, delay_s: float) -> None:
        """Plan a probe, unless one is under way or planned for an earlier time."""
        incarnation = upstream.incarnation
        if incarnation in self._connecting:
            return
        planned = self._probes.get(incarnation)
        if planned is not None:
            if planned.getTime() <= self._reactor.seconds() + delay_s:
                return
            planned.cancel()
        self._probes[incarnation] = self._reactor.callLater(delay_s, self._probe, upstream)

    def _probe(self, upstream: RegisteredUpstream) -> None:
        del self._probes[upstream.incarnation]
        state = self._router.upstreams.get(upstream.instance)
        if state is None or state.record.incarnation != upstream.incarnation:
            return
        links = self._router.links
        if not links.has_failed(upstream.instance) and not links.is_cut(upstream.instance):
            return
        self._connecting.add(upstream.incarnation)
        endpoint = Endpoint(address=upstream.address, port=upstream.port)

        def handle_open(connection: ClientConnection) -> None:
            self._connecting.discard(upstream.incarnation)
            self.record_opened(upstream)
            self._pool.put_idle(endpoint, connection)

        def handle_failure() -> None:
            self._connecting.discard(upstream.incarnation)
            links.record_unreachable(upstream.instance, self._reactor.seconds())
            self._schedule_suspected()

        self._pool.open(endpoint, on_open=handle_open, on_failed=handle_failure)

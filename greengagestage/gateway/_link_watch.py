"""Watches the links to the upstreams: logs their changes, and tries those that are cut again."""

from collections.abc import Callable
from typing import Any

from eliot import log_message

from greengagestage.catalog import RegisteredUpstream
from greengagestage.http1 import ClientConnection, ConnectionPool, Endpoint
from greengagestage.ids import HostId, Incarnation, InstanceId
from greengagestage.routing import Router

PROBE_INTERVAL_S = 1.0
"""Mean time between two attempts to connect to an upstream whose link is cut, while requests to it
are forwarded. The actual time varies by up to half, so that hosts do not connect in lockstep."""


class LinkWatch:
    """Follows the links of one host.

    An upstream is probed only after another host has forwarded a request to it: one that has ended
    is not connected to again and again, and its return does not meet a probe of each host.
    """

    def __init__(
        self, *, reactor: Any, router: Router, pool: ConnectionPool, draw: Callable[[], float]
    ) -> None:
        self._reactor = reactor
        self._router = router
        self._pool = pool
        self._draw = draw
        self._probed: set[Incarnation] = set()
        self._logged: set[InstanceId] = set()
        self.forwarded = 0

    def record_opened(self, upstream: RegisteredUpstream) -> None:
        """Record that a connection to an upstream was opened."""
        self._router.links.record_opened(upstream.instance, self._reactor.seconds())
        if upstream.instance in self._logged:
            self._logged.discard(upstream.instance)
            log_message(message_type="upstream: link restored", upstream=upstream.instance)

    def log_unreachable(self, upstream: RegisteredUpstream) -> None:
        """Log that the link to an upstream, which could not be connected to, counts as cut."""
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
        if upstream.incarnation in self._probed or not links.is_cut(upstream.instance):
            return
        self._probed.add(upstream.incarnation)
        interval_s = PROBE_INTERVAL_S * (0.5 + self._draw())
        delay_s = interval_s if links.has_failed(upstream.instance) else 0.0
        self._reactor.callLater(delay_s, self._probe, upstream)

    def _probe(self, upstream: RegisteredUpstream) -> None:
        endpoint = Endpoint(address=upstream.address, port=upstream.port)

        def handle_open(connection: ClientConnection) -> None:
            self._probed.discard(upstream.incarnation)
            self.record_opened(upstream)
            self._pool.put_idle(endpoint, connection)

        def handle_failure() -> None:
            self._probed.discard(upstream.incarnation)
            self._router.links.record_unreachable(upstream.instance, self._reactor.seconds())

        self._pool.open(endpoint, on_open=handle_open, on_failed=handle_failure)

"""Records what upstreams state about further requests in the heads of their answers."""

from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message

from greengagestage.catalog import RegisteredUpstream
from greengagestage.http1 import ResponseHead
from greengagestage.ids import Incarnation
from greengagestage.platform import (
    is_rejection,
    names_limit,
    names_no_allowance,
    names_no_limit,
    read_allowance,
    read_limit_per_s,
    read_pause_s,
    states_leaving,
)
from greengagestage.routing import Router


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamNotices:
    """Passes the statements of answers to the router, and logs those that are new.

    Attributes:
        report_limit: Tells the other hosts of the requests per second that an upstream takes from
            all hosts, or that it names none any more.
        report_rejection: Tells the other hosts that a brittle upstream has turned a request away,
            with the number that it bears in a second. What else upstreams state is for this host.
    """

    router: Router
    report_limit: Callable[[Incarnation, float | None], None]
    report_rejection: Callable[[Incarnation, int], None]

    def record(
        self, upstream: RegisteredUpstream, head: ResponseHead, *, sent_s: float, now_s: float
    ) -> None:
        """Record what an answer states.

        Args:
            sent_s: When the request was sent.
        """
        if states_leaving(head) and self.router.record_leaving(upstream.incarnation):
            log_message(
                message_type="upstream: leaving",
                upstream=upstream.instance,
                service=upstream.service,
                status=head.status,
            )
        pause_s = read_pause_s(head)
        if pause_s is not None and self.router.record_pause(upstream.incarnation, pause_s, now_s):
            log_message(
                message_type="upstream: paused",
                upstream=upstream.instance,
                service=upstream.service,
                pause_s=pause_s,
            )
        self._record_limit(upstream, head, sent_s, now_s)
        self._record_brittle(upstream, head, sent_s, now_s)

    def _record_brittle(
        self, upstream: RegisteredUpstream, head: ResponseHead, sent_s: float, now_s: float
    ) -> None:
        allowance = read_allowance(head)
        if allowance is not None:
            changed = self.router.record_brittle(upstream.incarnation, allowance, now_s)
        else:
            changed = names_no_allowance(head) and self.router.end_brittle(
                upstream.incarnation, sent_s
            )
        if changed:
            log_message(
                message_type="upstream: sturdy" if allowance is None else "upstream: brittle",
                upstream=upstream.instance,
                service=upstream.service,
                allowance=allowance,
            )
        if allowance is not None and is_rejection(head):
            self.router.record_rejection(upstream.incarnation, now_s)
            self.report_rejection(upstream.incarnation, allowance)

    def _record_limit(
        self, upstream: RegisteredUpstream, head: ResponseHead, sent_s: float, now_s: float
    ) -> None:
        limit_per_s = read_limit_per_s(head) if names_limit(head) else None
        if limit_per_s is not None:
            changed = self.router.record_limit(upstream.incarnation, limit_per_s, now_s)
        else:
            changed = names_no_limit(head) and self.router.end_limit(upstream.incarnation, sent_s)
        if not changed:
            return
        log_message(
            message_type="upstream: limited" if limit_per_s is not None else "upstream: unlimited",
            upstream=upstream.instance,
            service=upstream.service,
            limit_per_s=limit_per_s,
        )
        self.report_limit(upstream.incarnation, limit_per_s)

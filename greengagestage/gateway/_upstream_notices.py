"""Records what upstreams state about further requests in the heads of their answers."""

from eliot import log_message

from greengagestage.catalog import RegisteredUpstream
from greengagestage.http1 import ResponseHead
from greengagestage.platform import read_pause_s, states_leaving
from greengagestage.routing import Router


def record_notices(
    router: Router, upstream: RegisteredUpstream, head: ResponseHead, now_s: float
) -> None:
    """Pass the statements of an answer to the router, and log those that are new."""
    if states_leaving(head) and router.record_leaving(upstream.incarnation):
        log_message(
            message_type="upstream: leaving",
            upstream=upstream.instance,
            service=upstream.service,
            status=head.status,
        )
    pause_s = read_pause_s(head)
    if pause_s is not None and router.record_pause(upstream.incarnation, pause_s, now_s):
        log_message(
            message_type="upstream: paused",
            upstream=upstream.instance,
            service=upstream.service,
            pause_s=pause_s,
        )

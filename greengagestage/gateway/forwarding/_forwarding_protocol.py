"""Headers with which hosts forward each other's requests over HTTP/1.1.

A request goes to the other host as it would go to the upstream, with a header before all of the
caller's that names the upstream. The upstream's answer comes back as it is. What a host could not
send, or could not pass back, it states in a header of an answer of its own.
"""

from dataclasses import replace
from enum import Enum

from greengagestage.http1 import HeaderList, OutgoingRequest, ResponseHead
from greengagestage.ids import Incarnation, InstanceId

FORWARD_TO = b"Greengage-Forward-To"
FORWARD_FAULT = b"Greengage-Forward-Fault"
FORWARD_UNFRAMED = b"Greengage-Forward-Unframed"
"""Marks an upstream's answer that ends with its connection, while that between hosts has chunks."""

FAULT_STATUS = 502

MAX_TIME_DIGITS = 18
"""Longer texts are no Unix times in milliseconds; Python refuses to read very long numbers."""


class ForwardFault(Enum):
    """Why a host did not pass an upstream's answer back.

    All but the last two prove that nothing was sent to the upstream.

    Attributes:
        REJECTED: The host does not know the sender, or cannot read the request.
        NO_LINK: The host itself is without a link to the upstream.
        STOPPING: The host is about to stop.
        BUSY: The host forwards as many requests as it may, or holds too much in memory.
        UNKNOWN: The host does not know the upstream, or not this incarnation of it.
        UNREACHABLE: The host has other links, but could not connect to the upstream.
        WITHDRAWN: The upstream wants no requests from the host.
        EXPIRED: The deadline had passed before the request was sent.
        LOST: The connection to the upstream ended before the answer began.
        MALFORMED: The answer is malformed.
    """

    REJECTED = "rejected"
    NO_LINK = "no-link"
    STOPPING = "stopping"
    BUSY = "busy"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"
    WITHDRAWN = "withdrawn"
    EXPIRED = "expired"
    LOST = "lost"
    MALFORMED = "malformed"

    @property
    def concerns_host(self) -> bool:
        """Whether the host forwards nothing at all for a while."""
        return self in (
            ForwardFault.REJECTED,
            ForwardFault.STOPPING,
            ForwardFault.BUSY,
        )


def address_request(request: OutgoingRequest, incarnation: Incarnation) -> OutgoingRequest:
    """Return a request with the header that names its upstream."""
    instance, started_ms = incarnation
    value = f"{'' if started_ms is None else started_ms}/{instance}".encode()
    return replace(request, headers=[(FORWARD_TO, value), *request.headers])


def take_address(headers: HeaderList) -> tuple[Incarnation, HeaderList] | None:
    """Return the upstream that a forwarded request is meant for, and the other headers.

    None if no header names one. A caller may have sent a header of the same name, which is kept.
    """
    names = [name for name, _ in headers]
    if FORWARD_TO.lower() not in names:
        return None
    position = names.index(FORWARD_TO.lower())
    started, separator, instance = headers[position][1].decode("latin-1").partition("/")
    readable = started == "" or (started.isdecimal() and len(started) <= MAX_TIME_DIGITS)
    if not separator or not instance or not readable:
        return None
    incarnation = (InstanceId(instance), int(started) if started else None)
    return incarnation, [*headers[:position], *headers[position + 1 :]]


def build_fault_headers(fault: ForwardFault) -> HeaderList:
    """Return the headers of an answer that states a fault."""
    return [(FORWARD_FAULT, fault.value.encode())]


def read_fault(head: ResponseHead) -> ForwardFault | None:
    """Return the fault that a host states; None if the answer is the upstream's.

    An unknown fault, as of a later version, is taken to be the worst: the answer was lost.
    """
    value = head.get(FORWARD_FAULT.lower())
    if value is None:
        return None
    try:
        return ForwardFault(value.decode("latin-1"))
    except ValueError:
        return ForwardFault.LOST


def build_forwarded_headers(head: ResponseHead, headers: HeaderList) -> HeaderList:
    """Return an upstream's headers as they go to the host that asked."""
    own = (FORWARD_FAULT.lower(), FORWARD_UNFRAMED.lower())
    passed = [(name, value) for name, value in headers if name.lower() not in own]
    return passed if head.framed else [*passed, (FORWARD_UNFRAMED, b"1")]


def restore_head(head: ResponseHead) -> ResponseHead:
    """Return the head of a forwarded answer as the upstream has sent it."""
    marker = FORWARD_UNFRAMED.lower()
    if head.get(marker) is None:
        return head
    headers = [(name, value) for name, value in head.headers if name != marker]
    return replace(head, headers=headers, framed=False)

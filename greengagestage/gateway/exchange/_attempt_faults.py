"""Why attempts yield no complete answer."""

from enum import Enum

from greengagestage.routing import AttemptEnd


class AttemptFault(Enum):
    """Why an attempt yielded no complete answer.

    Only the first five prove that the request did not run.

    Attributes:
        UNREACHABLE: No connection could be opened.
        UNFORWARDED: The host that was to forward the request did not send it.
        WITHDRAWN: The upstream stopped accepting requests before this one was sent.
        REFUSED: The upstream stated that it did not run the request.
        MISDIRECTED: The request reached another instance than the one it names.
        LOST: The connection ended before the answer was complete.
        MALFORMED: The response is malformed, or does not prove which upstream made it.
        FAILED: The upstream answered with a server error.
        SILENT: The upstream did not send its answer, or the next event of a stream, in time, and
            another one has taken over.
    """

    UNREACHABLE = "unreachable"
    UNFORWARDED = "unforwarded"
    WITHDRAWN = "withdrawn"
    REFUSED = "refused"
    MISDIRECTED = "elsewhere"
    LOST = "lost"
    MALFORMED = "malformed"
    FAILED = "failed"
    SILENT = "silent"

    @property
    def proves_not_run(self) -> bool:
        """Whether the fault proves that the upstream did not run the request."""
        return self.proves_not_sent or self in (AttemptFault.REFUSED, AttemptFault.MISDIRECTED)

    @property
    def proves_not_sent(self) -> bool:
        """Whether the fault proves that nothing was sent to the upstream."""
        return self in (
            AttemptFault.UNREACHABLE,
            AttemptFault.UNFORWARDED,
            AttemptFault.WITHDRAWN,
        )


END_BY_FAULT = {
    AttemptFault.UNREACHABLE: AttemptEnd.UNREACHABLE,
    AttemptFault.UNFORWARDED: AttemptEnd.CANCELLED,
    AttemptFault.WITHDRAWN: AttemptEnd.CANCELLED,
    AttemptFault.REFUSED: AttemptEnd.FULL,
    AttemptFault.MISDIRECTED: AttemptEnd.MISDIRECTED,
    AttemptFault.LOST: AttemptEnd.LOST,
    AttemptFault.MALFORMED: AttemptEnd.FAILED,
    AttemptFault.FAILED: AttemptEnd.FAILED,
    AttemptFault.SILENT: AttemptEnd.LOST,
}
"""A refusal is taken to mean that the upstream is at capacity, whatever its reason was."""

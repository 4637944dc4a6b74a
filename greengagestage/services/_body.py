"""A producer for HTTP request bodies that are held in memory."""

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a request body to the transport in a single call."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the whole body and report completion."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written in a single call."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written in a single call."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written in a single call."""

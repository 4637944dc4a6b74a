"""A body producer that writes a request body in one piece."""

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a body that is held in memory."""

    def __init__(self, *, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body was already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body was already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body was already written."""

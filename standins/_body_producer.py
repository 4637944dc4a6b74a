"""A request body that is written at once."""

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a body that is in memory."""

    def __init__(self, *, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write everything."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""

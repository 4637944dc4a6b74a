"""Finds at which software version a stream that a caller takes up has begun."""

from collections.abc import Callable

from eliot import log_message
from twisted.internet.defer import Deferred

from greengagestage.http1 import Responder
from greengagestage.ids import AttemptId, ServiceName
from greengagestage.platform import CallerRequestMetadata
from greengagestage.routing import StreamOrigin
from greengagestage.telemetry import log_unexpected_failure

from .._context import ExchangeContext


class OriginSearch:
    """The search for the origin of one stream, while its caller waits.

    Hosts tell each other where streams began while several versions serve. A stream that nobody
    has told of began at the only version that serves, if the registry and the store's record of
    versions show just one after the caller has come: its stream cannot have begun at a server that
    was listed later.

    Args:
        metadata: Headers of the request that takes up the stream.
        stream: The caller's attempt that brought the first event.
        on_found: Called once with the origin, or None if it is not known. It is not called if the
            caller leaves before that.
    """

    def __init__(
        self,
        *,
        context: ExchangeContext,
        metadata: CallerRequestMetadata,
        stream: AttemptId,
        service: ServiceName,
        responder: Responder,
        on_found: Callable[[StreamOrigin | None], None],
    ) -> None:
        self._metadata = metadata
        self._context = context
        self._stream = stream
        self._service = service
        self._responder = responder
        # None once the search has ended; it refers to the request.
        self._on_found: Callable[[StreamOrigin | None], None] | None = on_found

    @property
    def attempt_id(self) -> AttemptId:
        """The id that the caller gave the request."""
        return self._metadata.attempt_id

    def start(self) -> None:
        """Search among the streams that are known, and otherwise read the store."""
        origin = self._find(is_confirmed=False)
        if origin is not None:
            self._end(origin, is_confirmed=False)
            return
        self._responder.listener = self
        self._context.open_exchanges.add(self)
        confirmed: Deferred[bool] = self._context.confirm_versions(self._service)
        confirmed.addCallback(self._handle_confirmation)
        confirmed.addErrback(lambda failure: log_unexpected_failure("stream origin", failure))

    def stop(self) -> None:
        """End the search now, since the host is about to stop."""
        self._end(None, is_confirmed=False)

    def handle_disconnect(self) -> None:
        """Forget the caller."""
        self._on_found = None
        self._context.open_exchanges.discard(self)

    def pause(self) -> None:
        """Do nothing: nothing is sent to the caller yet."""

    def resume(self) -> None:
        """Do nothing: nothing is sent to the caller yet."""

    def _handle_confirmation(self, is_confirmed: bool) -> None:
        if self._on_found is not None:
            self._end(self._find(is_confirmed=is_confirmed), is_confirmed=is_confirmed)

    def _find(self, *, is_confirmed: bool) -> StreamOrigin | None:
        return self._context.router.stream_versions.find_origin(
            self._stream,
            self._service,
            is_confirmed=is_confirmed,
            now_s=self._context.reactor.seconds(),
        )

    def _end(self, origin: StreamOrigin | None, *, is_confirmed: bool) -> None:
        on_found, self._on_found = self._on_found, None
        if on_found is None:
            return
        self._responder.listener = None
        self._context.open_exchanges.discard(self)
        log_message(
            message_type="request: takes up a stream",
            request=self.attempt_id,
            began_as=self._metadata.resumed_attempt,
            last_event=(self._metadata.last_event_id or b"").decode("latin-1"),
            known=origin is not None,
            software=None if origin is None else origin.software_version,
            registry_confirmed=is_confirmed,
        )
        on_found(origin)

"""Registry of the open requests of an entry process."""

from collections.abc import Iterator

from greengagestage.ids import AttemptId, RequestId

from ._active import ActiveRequest


class OpenRequests:
    """Indexes open requests by request id and by attempt id."""

    def __init__(self) -> None:
        self._by_id: dict[RequestId, ActiveRequest] = {}
        self._by_attempt: dict[AttemptId, ActiveRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[ActiveRequest]:
        return iter(list(self._by_id.values()))

    def add(self, active: ActiveRequest) -> None:
        """Add a new request."""
        self._by_id[active.request_id] = active

    def get(self, request_id: RequestId) -> ActiveRequest | None:
        """Return an open request, or None if it is unknown or closed."""
        return self._by_id.get(request_id)

    def pop(self, request_id: RequestId) -> ActiveRequest | None:
        """Remove a request and its attempts and return it; None if it is already removed."""
        active = self._by_id.pop(request_id, None)
        if active is not None:
            for attempt_id in active.attempt_ids:
                self._by_attempt.pop(attempt_id, None)
        return active

    def bind_attempt(self, attempt_id: AttemptId, active: ActiveRequest) -> None:
        """Record which request an attempt belongs to."""
        self._by_attempt[attempt_id] = active

    def find_by_attempt(self, attempt_id: AttemptId) -> ActiveRequest | None:
        """Return the open request that an attempt belongs to, or None."""
        return self._by_attempt.get(attempt_id)

    def unbind_attempt(self, attempt_id: AttemptId) -> ActiveRequest | None:
        """Remove an attempt and return its request, or None if it is unknown."""
        return self._by_attempt.pop(attempt_id, None)

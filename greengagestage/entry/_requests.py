"""The open requests of an entry process."""

from collections.abc import Iterator

from greengagestage.ids import AttemptId, RequestId

from ._active import ActiveRequest


class OpenRequests:
    """Finds open requests by their own id, or by that of their attempt."""

    def __init__(self) -> None:
        self._by_id: dict[RequestId, ActiveRequest] = {}
        self._by_attempt: dict[AttemptId, ActiveRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[ActiveRequest]:
        return iter(list(self._by_id.values()))

    def add(self, active: ActiveRequest) -> None:
        """Take in a new request."""
        self._by_id[active.request_id] = active

    def get(self, request_id: RequestId) -> ActiveRequest | None:
        """Return an open request."""
        return self._by_id.get(request_id)

    def pop(self, request_id: RequestId) -> ActiveRequest | None:
        """Close a request and return it; None if it is closed already."""
        active = self._by_id.pop(request_id, None)
        if active is not None:
            for attempt_id in active.attempt_ids:
                self._by_attempt.pop(attempt_id, None)
        return active

    def bind_attempt(self, attempt_id: AttemptId, active: ActiveRequest) -> None:
        """Note which request an attempt belongs to."""
        self._by_attempt[attempt_id] = active

    def find_by_attempt(self, attempt_id: AttemptId) -> ActiveRequest | None:
        """Return the open request whose attempt this is."""
        return self._by_attempt.get(attempt_id)

    def unbind_attempt(self, attempt_id: AttemptId) -> ActiveRequest | None:
        """Forget an attempt that is over and return its request."""
        return self._by_attempt.pop(attempt_id, None)

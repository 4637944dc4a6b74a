"""Finds the request bodies that are alive in the process of a test, however they are referenced."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count

MIN_BODY_BYTES = 4_000_003
"""More than the buffers of sockets hold."""

_sizes = count(MIN_BODY_BYTES)


class TrackedBody:
    """A body whose copies can be found by their size, which no other bytes of the process have.

    Attributes:
        data: The caller's bytes, which are no copy.
    """

    def __init__(self) -> None:
        self.data = b"x" * next(_sizes)

    def count_copies(self) -> int:
        """Return to how many copies any objects refer; the pieces read and sent are none."""
        size = len(self.data)
        copies = {
            id(referent)
            for owner in gc.get_objects()
            for referent in gc.get_referents(owner)
            if type(referent) is bytes and len(referent) == size
        }
        return len(copies - {id(self.data)})


def count_live(*kinds: type) -> int:
    """Return how many objects of some classes are alive, garbage included."""
    return sum(isinstance(each, kinds) for each in gc.get_objects())


@contextmanager
def without_collector() -> Iterator[None]:
    """Collect what earlier tests have left, then let only the reference counts free objects."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()

"""Finds the request bodies that are alive in the process of a test, however they are referenced."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager

BODY_BYTES = 4_000_003
"""Size of the bodies to find: no other bytes of a test have it, and no socket's buffers hold it."""

BODY = b"x" * BODY_BYTES
"""The callers' copy, which does not count."""


def count_live_bodies() -> int:
    """Return how many copies of the body the objects of the process refer to.

    The pieces in which a body is read or sent are not copies.
    """
    bodies = {
        id(referent)
        for owner in gc.get_objects()
        for referent in gc.get_referents(owner)
        if type(referent) is bytes and len(referent) == BODY_BYTES
    }
    return len(bodies - {id(BODY)})


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

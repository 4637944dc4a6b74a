"""Results of calls that got no usable answer. Expected failures are returned, not raised."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable:
    """The call had no effect: it was not sent, or the service refused it."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The call was sent but got no usable answer: it may have taken effect, or may still do so."""

    reason: str

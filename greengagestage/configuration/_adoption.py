"""Decides which version of the configuration is in force on this host. No I/O.

Two rules hold whatever the store or another host reports: a version is replaced only by a higher
one, and a document is adopted only if it matches the digest that was announced for its version. A
document that cannot be decoded or fails its checks is refused permanently; one that cannot be
fetched stays wanted, so that it is requested again.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from greengagestage.ids import ConfigurationVersion

from ._checks import check_declaration
from ._declaration import Declaration
from ._documents import compute_digest, decode_declaration
from ._versions import NO_VERSION, Head

_MAX_ANNOUNCED = 8


class AdoptionOutcome(Enum):
    """What was done with a received document."""

    ADOPTED = "adopted"
    OLD = "old"
    """Ignored: the version is not above the one in force, or was refused before."""
    WRONG_DIGEST = "wrong_digest"
    """Ignored: the document does not match the digest of its version."""
    MALFORMED = "malformed"
    """Refused permanently: the document cannot be decoded or fails the checks."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """A version with its encoded document and the decoded declaration."""

    head: Head
    document: bytes
    declaration: Declaration


class Adoption:
    """Tracks the version in force and the announced versions above it."""

    def __init__(self) -> None:
        self._in_force: Version | None = None
        self._announced: dict[Head, None] = {}
        self._refused: set[Head] = set()

    @property
    def in_force(self) -> Version | None:
        """The version in force, or None before the first one is adopted."""
        return self._in_force

    @property
    def version(self) -> ConfigurationVersion:
        """The number of the version in force, or ``NO_VERSION`` before the first one is adopted."""
        return NO_VERSION if self._in_force is None else self._in_force.head.version

    @property
    def wanted(self) -> tuple[Head, ...]:
        """The announced versions above the one in force whose documents are needed, highest first.

        All of them are listed, so that a version whose document cannot be fetched does not block
        the ones below it.
        """
        return tuple(self._announced)

    def announce(self, head: Head) -> bool:
        """Record that a version exists; return whether it became wanted by this call.

        Only the ``_MAX_ANNOUNCED`` highest versions are remembered.
        """
        if head.version <= self.version or head in self._refused or head in self._announced:
            return False
        heads = sorted((*self._announced, head), key=lambda known: known.version, reverse=True)
        self._announced = dict.fromkeys(heads[:_MAX_ANNOUNCED])
        return head in self._announced

    def receive(self, head: Head, document: bytes) -> AdoptionOutcome:
        """Adopt a document if its version is higher, its digest matches and it is valid."""
        if head.version <= self.version or head in self._refused:
            return AdoptionOutcome.OLD
        if compute_digest(document) != head.digest:
            return AdoptionOutcome.WRONG_DIGEST
        declaration = _decode_checked(document)
        if declaration is None:
            self._refused.add(head)
            self._announced.pop(head, None)
            return AdoptionOutcome.MALFORMED
        self._in_force = Version(head=head, document=document, declaration=declaration)
        self._announced = {known: None for known in self._announced if known.version > head.version}
        return AdoptionOutcome.ADOPTED


def _decode_checked(document: bytes) -> Declaration | None:
    try:
        declaration = decode_declaration(document)
    except msgspec.MsgspecError:
        return None
    return None if check_declaration(declaration) else declaration

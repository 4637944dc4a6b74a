"""Decides which version is in force on this host. No I/O.

Two rules hold whatever the store or another host says: only a higher version replaces the one in
force, and only a document whose digest was announced with it. A document that cannot be read is
refused for good; a document that cannot be had is asked for again.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from greengagestage.ids import ConfigurationVersion

from ._checks import check_declaration
from ._declaration import Declaration
from ._documents import compute_digest, decode_declaration
from ._versions import NO_VERSION, Head

_ANNOUNCED_LIMIT = 8


class AdoptionOutcome(Enum):
    """What became of a document."""

    ADOPTED = "adopted"
    OLD = "old"
    WRONG_DIGEST = "wrong_digest"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """A version with its document."""

    head: Head
    document: bytes
    declaration: Declaration


class Adoption:
    """The version in force and the versions heard of."""

    def __init__(self) -> None:
        self._in_force: Version | None = None
        self._announced: dict[Head, None] = {}
        self._refused: set[Head] = set()

    @property
    def in_force(self) -> Version | None:
        """The version in force, None before the first."""
        return self._in_force

    @property
    def version(self) -> ConfigurationVersion:
        """The number of the version in force, ``NO_VERSION`` before the first."""
        return NO_VERSION if self._in_force is None else self._in_force.head.version

    @property
    def wanted(self) -> tuple[Head, ...]:
        """The versions above the one in force whose documents are needed, highest first.

        All of them are listed, so that a version whose document cannot be had does not hold
        back the one before it.
        """
        return tuple(self._announced)

    def announce(self, head: Head) -> bool:
        """Note that a version exists; tell whether it is news."""
        if head.version <= self.version or head in self._refused or head in self._announced:
            return False
        heads = sorted((*self._announced, head), key=lambda known: known.version, reverse=True)
        self._announced = dict.fromkeys(heads[:_ANNOUNCED_LIMIT])
        return head in self._announced

    def receive(self, head: Head, document: bytes) -> AdoptionOutcome:
        """Adopt a document if it is that of a higher version and can be read."""
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

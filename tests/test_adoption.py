"""Tests that only higher versions with matching documents are adopted, in any order of events."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengagestage.configuration import (
    Adoption,
    AdoptionOutcome,
    Head,
    compute_digest,
    encode_declaration,
)
from greengagestage.ids import ConfigurationVersion

from .builders import build_class, build_declaration


def build_document(number: int) -> bytes:
    changes = {"classes": (build_class(queue_limit=number),), "upstreams": ()}
    return encode_declaration(build_declaration(**changes))


def build_head(version: int, document: bytes) -> Head:
    return Head(version=ConfigurationVersion(version), digest=compute_digest(document))


DOCUMENTS = {version: build_document(version) for version in range(1, 9)}
HEADS = {version: build_head(version, document) for version, document in DOCUMENTS.items()}
INVALID_DOCUMENT = encode_declaration(build_declaration(classes=(), upstreams=()))


@pytest.mark.parametrize(
    ("head", "document", "outcome"),
    [
        (HEADS[5], DOCUMENTS[5], AdoptionOutcome.ADOPTED),
        (HEADS[4], DOCUMENTS[4], AdoptionOutcome.OLD),
        (HEADS[3], DOCUMENTS[3], AdoptionOutcome.OLD),
        (HEADS[5], DOCUMENTS[6], AdoptionOutcome.WRONG_DIGEST),
        (HEADS[5], b"", AdoptionOutcome.WRONG_DIGEST),
        (build_head(5, b"{"), b"{", AdoptionOutcome.MALFORMED),
        (build_head(5, b"\xff"), b"\xff", AdoptionOutcome.MALFORMED),
        (build_head(5, b"{}"), b"{}", AdoptionOutcome.MALFORMED),
        (build_head(5, INVALID_DOCUMENT), INVALID_DOCUMENT, AdoptionOutcome.MALFORMED),
    ],
)
def test_outcome_of_a_received_document(
    head: Head, document: bytes, outcome: AdoptionOutcome
) -> None:
    adoption = Adoption()
    assert adoption.receive(HEADS[4], DOCUMENTS[4]) is AdoptionOutcome.ADOPTED
    assert adoption.receive(head, document) is outcome
    assert adoption.version == (5 if outcome is AdoptionOutcome.ADOPTED else 4)


def test_malformed_version_is_refused_permanently_and_blocks_no_other() -> None:
    adoption = Adoption()
    bad = build_head(9, b"{")
    assert adoption.announce(bad)
    adoption.receive(bad, b"{")
    assert not adoption.announce(bad)
    assert adoption.announce(HEADS[2])
    assert adoption.wanted == (HEADS[2],)


def test_missing_document_blocks_no_other_version() -> None:
    adoption = Adoption()
    adoption.announce(HEADS[8])
    adoption.announce(HEADS[7])
    assert adoption.receive(HEADS[7], DOCUMENTS[7]) is AdoptionOutcome.ADOPTED
    assert adoption.wanted == (HEADS[8],)


class AdoptionMachine(RuleBasedStateMachine):
    """Announcements and documents in any order, also from a store that lost its latest state."""

    versions = st.integers(1, 8)

    def __init__(self) -> None:
        super().__init__()
        self.adoption = Adoption()
        self.highest_received = 0
        self.last_version = 0

    @rule(version=versions)
    def announce(self, version: int) -> None:
        is_new = self.adoption.announce(HEADS[version])
        assert not (is_new and version <= self.adoption.version)

    @rule(version=versions, content=versions)
    def announce_forked_version(self, version: int, content: int) -> None:
        self.adoption.announce(build_head(version, DOCUMENTS[content]))

    @rule(version=versions)
    def receive(self, version: int) -> None:
        self.adoption.receive(HEADS[version], DOCUMENTS[version])
        self.highest_received = max(self.highest_received, version)

    @rule(version=versions, content=versions)
    def receive_other_document(self, version: int, content: int) -> None:
        if version != content:
            outcome = self.adoption.receive(HEADS[version], DOCUMENTS[content])
            assert outcome in (AdoptionOutcome.OLD, AdoptionOutcome.WRONG_DIGEST)

    @invariant()
    def version_never_decreases(self) -> None:
        assert self.adoption.version >= self.last_version
        self.last_version = self.adoption.version

    @invariant()
    def highest_received_is_in_force(self) -> None:
        assert self.adoption.version == self.highest_received

    @invariant()
    def document_matches_the_version(self) -> None:
        in_force = self.adoption.in_force
        if in_force is not None:
            assert in_force.document == DOCUMENTS[in_force.head.version]

    @invariant()
    def only_higher_versions_are_wanted(self) -> None:
        assert all(head.version > self.adoption.version for head in self.adoption.wanted)


TestAdoption = AdoptionMachine.TestCase

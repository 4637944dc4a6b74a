"""Adoption: only higher versions, only documents with their digest, in any order of events."""

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
UNCHECKED = encode_declaration(build_declaration(classes=(), upstreams=()))


@pytest.mark.parametrize(
    ("head", "document", "verdict"),
    [
        (HEADS[5], DOCUMENTS[5], AdoptionOutcome.ADOPTED),
        (HEADS[4], DOCUMENTS[4], AdoptionOutcome.OLD),
        (HEADS[3], DOCUMENTS[3], AdoptionOutcome.OLD),
        (HEADS[5], DOCUMENTS[6], AdoptionOutcome.WRONG_DIGEST),
        (HEADS[5], b"", AdoptionOutcome.WRONG_DIGEST),
        (build_head(5, b"{"), b"{", AdoptionOutcome.MALFORMED),
        (build_head(5, b"\xff"), b"\xff", AdoptionOutcome.MALFORMED),
        (build_head(5, b"{}"), b"{}", AdoptionOutcome.MALFORMED),
        (build_head(5, UNCHECKED), UNCHECKED, AdoptionOutcome.MALFORMED),
    ],
)
def test_what_becomes_of_a_document(head: Head, document: bytes, verdict: AdoptionOutcome) -> None:
    adoption = Adoption()
    assert adoption.receive(HEADS[4], DOCUMENTS[4]) is AdoptionOutcome.ADOPTED
    assert adoption.receive(head, document) is verdict
    assert adoption.version == (5 if verdict is AdoptionOutcome.ADOPTED else 4)


def test_malformed_version_is_refused_for_good_and_holds_back_nothing() -> None:
    adoption = Adoption()
    bad = build_head(9, b"{")
    assert adoption.announce(bad)
    adoption.receive(bad, b"{")
    assert not adoption.announce(bad)
    assert adoption.announce(HEADS[2])
    assert adoption.wanted == (HEADS[2],)


def test_version_whose_document_is_missing_holds_back_nothing() -> None:
    adoption = Adoption()
    adoption.announce(HEADS[8])
    adoption.announce(HEADS[7])
    assert adoption.receive(HEADS[7], DOCUMENTS[7]) is AdoptionOutcome.ADOPTED
    assert adoption.wanted == (HEADS[8],)


class AdoptionMachine(RuleBasedStateMachine):
    """Announcements and documents in any order, also of a store that was set back."""

    versions = st.integers(1, 8)

    def __init__(self) -> None:
        super().__init__()
        self.adoption = Adoption()
        self.highest_received = 0
        self.last_version = 0

    @rule(version=versions)
    def announce(self, version: int) -> None:
        is_news = self.adoption.announce(HEADS[version])
        assert not (is_news and version <= self.adoption.version)

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
            verdict = self.adoption.receive(HEADS[version], DOCUMENTS[content])
            assert verdict in (AdoptionOutcome.OLD, AdoptionOutcome.WRONG_DIGEST)

    @invariant()
    def version_never_falls(self) -> None:
        assert self.adoption.version >= self.last_version
        self.last_version = self.adoption.version

    @invariant()
    def highest_received_is_in_force(self) -> None:
        assert self.adoption.version == self.highest_received

    @invariant()
    def document_is_that_of_the_version(self) -> None:
        in_force = self.adoption.in_force
        if in_force is not None:
            assert in_force.document == DOCUMENTS[in_force.head.version]

    @invariant()
    def only_higher_versions_are_wanted(self) -> None:
        assert all(head.version > self.adoption.version for head in self.adoption.wanted)


TestAdoption = AdoptionMachine.TestCase

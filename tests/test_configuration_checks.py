"""Tests that the faults of a declaration are reported with their paths, and no others."""

import hashlib

import pytest
from msgspec.structs import replace

from greengagestage.configuration import (
    Operator,
    UpstreamKind,
    WorkspaceKey,
    check_declaration,
    compare_declarations,
    decode_declaration,
    encode_declaration,
    read_checked_declaration,
)
from greengagestage.configuration._documents import MAX_DECLARATION_BYTES
from greengagestage.ids import OperatorName

from .builders import build_class, build_declaration, build_engine, build_workspace

DIGEST = "0" * 64
EMPTY_KEY_DIGEST = hashlib.sha256(b"").hexdigest()
OPERATOR = Operator(name=OperatorName("anna"), sha256=DIGEST)
KEY = WorkspaceKey(sha256=DIGEST)


def build_with_class(**changes: object) -> dict[str, object]:
    return {"classes": (build_class("phone", **changes),)}  # type: ignore[arg-type]


def build_with_workspace(**changes: object) -> dict[str, object]:
    return {"workspaces": (build_workspace(**changes),)}  # type: ignore[arg-type]


def build_with_upstream(**changes: object) -> dict[str, object]:
    return {"upstreams": (replace(build_engine(), **changes),)}


FAULTS: list[tuple[dict[str, object], str]] = [
    ({"classes": ()}, "classes"),
    ({"classes": (build_class("phone", 0), build_class("phone", 1))}, "classes[1].name"),
    ({"classes": (build_class("phone", 0), build_class("review", 0))}, "classes[1].priority"),
    (build_with_class(priority=-1), "classes[0].priority"),
    (build_with_class(first_token_target_ms=0), "classes[0].first_token_target_ms"),
    (build_with_class(inter_token_target_ms=0), "classes[0].inter_token_target_ms"),
    (build_with_class(answer_target_ms=1), "classes[0].answer_target_ms"),
    (build_with_class(minimum_share=1.5), "classes[0].minimum_share"),
    (build_with_class(minimum_share=float("nan")), "classes[0].minimum_share"),
    (build_with_class(queue_limit=0), "classes[0].queue_limit"),
    (build_with_class(retry_ratio=-0.1), "classes[0].retry_ratio"),
    (
        {
            "classes": (
                build_class("phone", 0, minimum_share=0.6),
                build_class("review", 1, minimum_share=0.6),
            )
        },
        "classes",
    ),
    ({"workspaces": (build_workspace(), build_workspace())}, "workspaces[1].name"),
    ({"workspaces": (build_workspace("a b"),)}, "workspaces[0].name"),
    (build_with_workspace(default_class="none"), "workspaces[0].default_class"),
    (build_with_workspace(weight=0.0), "workspaces[0].weight"),
    (build_with_workspace(weight=float("inf")), "workspaces[0].weight"),
    (build_with_workspace(requests_per_s=0.0), "workspaces[0].requests_per_s"),
    (build_with_workspace(burst=0), "workspaces[0].burst"),
    (build_with_workspace(concurrency=0), "workspaces[0].concurrency"),
    (build_with_workspace(keys=(WorkspaceKey(sha256="XY"),)), "workspaces[0].keys[0].sha256"),
    (
        {"workspaces": (build_workspace("a", keys=(KEY,)), build_workspace("b", keys=(KEY,)))},
        "workspaces[1].keys[0]",
    ),
    ({"upstreams": (build_engine(), build_engine(url="http://127.0.0.1:2"))}, "upstreams[1].name"),
    ({"upstreams": (build_engine("a"), build_engine("b"))}, "upstreams[1].url"),
    (build_with_upstream(slots=0), "upstreams[0].slots"),
    (build_with_upstream(failure_domain=""), "upstreams[0].failure_domain"),
    (build_with_upstream(models=("large",)), "upstreams[0].models[0]"),
    (build_with_upstream(service="bookings"), "upstreams[0].service"),
    (build_with_upstream(kind=UpstreamKind.SERVICE, models=()), "upstreams[0].service"),
    (
        build_with_upstream(kind=UpstreamKind.SERVICE, models=(), service="none"),
        "upstreams[0].service",
    ),
    (build_with_upstream(kind=UpstreamKind.SERVICE, service="bookings"), "upstreams[0].models"),
    (build_with_upstream(url="http://engine.example:80"), "upstreams[0].url"),
    (build_with_upstream(url="http://127.0.0.1"), "upstreams[0].url"),
    (build_with_upstream(url="http://127.0.0.1:99999"), "upstreams[0].url"),
    (build_with_upstream(url="ftp://127.0.0.1:21"), "upstreams[0].url"),
    (build_with_upstream(url="http://127.0.0.1:80/v1"), "upstreams[0].url"),
    (build_with_upstream(url="http://u:p@127.0.0.1:80"), "upstreams[0].url"),
    ({"operators": (OPERATOR, replace(OPERATOR, sha256="1" * 64))}, "operators[1].name"),
    ({"operators": (replace(OPERATOR, sha256="no"),)}, "operators[0].sha256"),
    ({"operators": (replace(OPERATOR, sha256=EMPTY_KEY_DIGEST),)}, "operators[0].sha256"),
    ({"quarantined": ("f", "f")}, "quarantined[1]"),
    ({"quarantined": ("",)}, "quarantined[0]"),
    ({"quarantined": ("f" * MAX_DECLARATION_BYTES,)}, "document"),
]

CONSEQUENT_FAULTS = {
    "classes": {"workspaces[0].default_class", "workspaces[1].default_class"},
    "classes[0].minimum_share": {"classes"},
}
"""Paths of further faults that are caused by the fault at a path."""

VALID_CHANGES = {"upstreams": (build_engine(),), "operators": (OPERATOR,), "quarantined": ("f",)}


def test_valid_declaration_has_no_faults() -> None:
    assert check_declaration(build_declaration(**VALID_CHANGES)) == ()


@pytest.mark.parametrize(("changes", "path"), FAULTS, ids=[path for _, path in FAULTS])
def test_fault_is_reported_with_its_path(changes: dict[str, object], path: str) -> None:
    declaration = build_declaration(**{**VALID_CHANGES, **changes})  # type: ignore[arg-type]
    faults = check_declaration(declaration)
    assert {fault.path for fault in faults} - CONSEQUENT_FAULTS.get(path, set()) == {path}


TEXT = """
quarantined = ["f", "f"]

[[classes]]
name = "phone"
priority = "high"
first_token_target_ms = 100

[[classes]]
name = "review"
colour = "red"
priority = 1
first_token_target_ms = 1
inter_token_target_ms = 1
answer_target_ms = 1

[[workspaces]]
name = "gyor"
default_class = "phone"
keys = [{ sha256 = 3 }]
"""


WELL_TYPED_CLASS = """
[[classes]]
name = "phone"
priority = 0
first_token_target_ms = 1
inter_token_target_ms = 1
answer_target_ms = 1

"""


def test_all_type_faults_of_a_text_are_reported_with_their_lines() -> None:
    faults = {f.path: f.line for f in read_checked_declaration(TEXT).failure()}
    assert faults == {
        "classes[0].priority": 6,
        "classes[0].inter_token_target_ms": 4,
        "classes[0].answer_target_ms": 4,
        "classes[1].colour": 11,
        "workspaces[0].keys[0].sha256": 20,
    }


def test_check_faults_of_a_text_are_reported_with_their_lines() -> None:
    well_typed = TEXT.replace('"high"', "1").replace("sha256 = 3", 'sha256 = "3"')
    well_typed = well_typed.replace('colour = "red"', "").replace(
        "first_token_target_ms = 100",
        "first_token_target_ms = 100\ninter_token_target_ms = 1\nanswer_target_ms = 100",
    )
    faults = {f.path: f.line for f in read_checked_declaration(well_typed).failure()}
    assert faults["quarantined[1]"] == 2
    assert faults["classes[1].priority"] == 14


@pytest.mark.parametrize("text", ["classes = 3", "[[classes]\n", "x = 1\nx = 2", "classes = [3]"])
def test_invalid_texts_are_refused(text: str) -> None:
    assert read_checked_declaration(text).failure()


def test_a_short_text_of_a_long_document_is_refused() -> None:
    """The document, which is sent, holds the defaults that a text may leave out."""
    workspaces = "".join(
        f'[[workspaces]]\nname = "w{number}"\ndefault_class = "phone"\nkeys = []\n'
        for number in range(30_000)
    )
    text = WELL_TYPED_CLASS + workspaces
    assert len(text) < MAX_DECLARATION_BYTES
    (fault,) = read_checked_declaration(text).failure()
    assert fault.path == "document"


def test_differences_list_every_change() -> None:
    before = build_declaration(quarantined=("f",))
    changed = (build_class("phone", 0, answer_target_ms=9_000), build_class("quick", 2))
    after = build_declaration(classes=changed)
    lines = [difference.describe() for difference in compare_declarations(before, after)]
    assert lines == [
        "~ classes.phone.answer_target_ms: 10000 -> 9000",
        "+ classes.quick",
        "- classes.review",
        "- quarantined.f",
    ]
    assert compare_declarations(before, before) == ()
    assert len(compare_declarations(None, before)) == 9


def test_canonical_form_survives_a_round_trip() -> None:
    declaration = build_declaration()
    document = encode_declaration(declaration)
    assert encode_declaration(decode_declaration(document)) == document

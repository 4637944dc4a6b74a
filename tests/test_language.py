"""Tests of the operators' language: parsing, validation, queries, changes, completion and help."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagestage.language import (
    SCHEMAS,
    TOPICS,
    Assignment,
    DeclaredKind,
    Explain,
    LanguageFault,
    SetDraining,
    SetFields,
    Show,
    Subject,
    apply_change,
    arrange_rows,
    check_show,
    complete,
    describe_topic,
    parse,
    select_rows,
)
from greengagestage.results import ResultCode

from .builders import build_declaration

UPSTREAM_ROWS = [
    ("e1", "engine", "live", "a", "small", 4, 4, 2, 1.5, 200, "http://127.0.0.1:1"),
    ("e2", "engine", "live", "b", "small", 4, 1, 0, 0.25, 900, "http://127.0.0.1:2"),
    ("s1", "service", "leaving", "a", "archive", 8, 0, 0, 0.0, 100, "http://127.0.0.1:3"),
]


def parse_show(line: str) -> Show:
    command = parse(line).unwrap()
    assert isinstance(command, Show)
    check_show(command).unwrap()
    return command


def run_show(
    line: str, rows: list[tuple[object, ...]], now_unix_s: float = 0.0
) -> list[tuple[object, ...]]:
    show = parse_show(line)
    return list(arrange_rows(show, select_rows(show, rows, now_unix_s)).rows)  # type: ignore[arg-type]


@pytest.mark.parametrize("example", [e for topic in TOPICS.values() for e in topic.examples])
def test_every_help_example_is_valid(example: str) -> None:
    parse(example).unwrap()


def test_lines_are_parsed_into_commands() -> None:
    assert parse("explain request 5f0c").unwrap() == Explain(subject=Subject.REQUEST, name="5f0c")
    assert parse("drain upstream e1 if version = 4").unwrap() == SetDraining(
        upstream="e1", draining=True, if_version=4  # type: ignore[arg-type]
    )
    assert parse("set class floor first_token = 1.5s").unwrap() == SetFields(
        kind=DeclaredKind.CLASS,
        name="floor",
        assignments=(Assignment(field="first_token", value=1500, column=17),),
    )


@pytest.mark.parametrize(
    ("line", "column", "expected"),
    [
        ("", 1, "show"),
        ("sho upstreams", 1, "show"),
        ("show", 5, "a table's name"),
        ("show upstreams where load >", 28, "a number"),
        ("show upstreams order load", 22, "by"),
        ("show hosts limit -3", 18, "a whole number"),
        ("drain host x", 7, "upstream"),
        ("set class floor first_token = 1500ms,", 38, "a field's name"),
        ("set class floor first_token", 28, "="),
        ("show hosts ; drop", 12, "where"),
    ],
)
def test_syntax_errors_report_column_and_expected_words(
    line: str, column: int, expected: str
) -> None:
    fault = parse(line).failure()
    assert (fault.code, fault.column) == (ResultCode.SYNTAX_ERROR, column)
    assert any(expected in word for word in fault.expected)


@pytest.mark.parametrize(
    ("line", "code", "column"),
    [
        ("show engines", ResultCode.UNKNOWN_NAME, 6),
        ("show upstreams where colour = red", ResultCode.UNKNOWN_FIELD, 22),
        ("show upstreams order by colour", ResultCode.UNKNOWN_FIELD, 25),
        ("show upstreams by state, colour", ResultCode.UNKNOWN_FIELD, 26),
        ("show upstreams where load > heavy", ResultCode.WRONG_TYPE, 22),
        ("show requests where within_target = 1", ResultCode.WRONG_TYPE, 21),
        ("show upstreams by state order by name", ResultCode.UNKNOWN_FIELD, 34),
        ("show attainment by class order by host", ResultCode.UNKNOWN_FIELD, 35),
        ("show upstreams by rows", ResultCode.UNKNOWN_FIELD, 19),
        ("show upstreams where rows > 1 by state", ResultCode.UNKNOWN_FIELD, 22),
        ("show upstreams order by rows", ResultCode.UNKNOWN_FIELD, 25),
    ],
)
def test_unknown_names_and_wrong_types_are_reported(
    line: str, code: ResultCode, column: int
) -> None:
    show = parse(line).unwrap()
    assert isinstance(show, Show)
    fault = check_show(show).failure()
    assert (fault.code, fault.column) == (code, column)


@pytest.mark.parametrize(
    ("line", "names"),
    [
        ("show upstreams", ["e1", "e2", "s1"]),
        ("show upstreams where load > 80%", ["e1"]),
        ("show upstreams where load > 0.2 order by load", ["e2", "e1"]),
        ("show upstreams where not kind = engine", ["s1"]),
        ("show upstreams where kind = engine and load < 1 or state = leaving", ["e2", "s1"]),
        ("show upstreams where name in (e1, s1) order by name desc", ["s1", "e1"]),
        ('show upstreams where url ~ ":3"', ["s1"]),
        ("show upstreams order by slots desc limit 1", ["s1"]),
        ("show upstreams last 500ms", ["e1", "s1"]),
    ],
)
def test_rows_are_filtered_and_sorted(line: str, names: list[str]) -> None:
    assert [row[0] for row in run_show(line, UPSTREAM_ROWS)] == names


TYPED_NAMES = ["5m", "true", "007", "80%", "1.50", "other"]
"""Names that read like values of another type."""


@pytest.mark.parametrize(
    ("condition", "names"),
    [
        ("name = 5m", ["5m"]),
        ("name = true", ["true"]),
        ("name = 007", ["007"]),
        ("name in (80%, 1.50, 5m)", ["5m", "80%", "1.50"]),
        ("name != true", ["5m", "007", "80%", "1.50", "other"]),
        ("name ~ 50", ["1.50"]),
        ("name >= true", ["true"]),
        ('name = "5m" or name = "true"', ["5m", "true"]),
    ],
)
def test_text_is_compared_with_the_word_as_typed(condition: str, names: list[str]) -> None:
    rows = [(name, *UPSTREAM_ROWS[0][1:]) for name in TYPED_NAMES]
    assert [row[0] for row in run_show(f"show upstreams where {condition}", rows)] == names


def test_groups_sum_fields_and_compute_ratios_from_the_sums() -> None:
    rows = [
        ("h1", "phone", "gyor", 100, 10, 9, 1, 0, 9, 90, 0.9),
        ("h2", "phone", "gyor", 100, 90, 90, 0, 0, 81, 900, 0.9),
        ("h2", "review", "gyor", 100, 1, 0, 1, 0, 0, 0, 0.0),
        ("h2", "phone", "gyor", 10, 50, 0, 50, 0, 0, 0, 0.0),
    ]
    found = run_show("show attainment by class last 60s order by class", rows, now_unix_s=120)
    assert found == [
        ("phone", 2, 100, 100, 99, 1, 0, 90, 990, 0.9),
        ("review", 1, 100, 1, 0, 1, 0, 0, 0, 0.0),
    ]


@pytest.mark.parametrize(
    ("clauses", "states"),
    [
        ("order by state", ["leaving", "live"]),
        ("order by slots", ["live", "leaving"]),
        ("order by rows desc", ["live", "leaving"]),
    ],
)
def test_groups_are_sorted_by_their_columns(clauses: str, states: list[str]) -> None:
    rows = [*UPSTREAM_ROWS[:2], (*UPSTREAM_ROWS[2][:5], 9, *UPSTREAM_ROWS[2][6:])]
    assert [row[0] for row in run_show(f"show upstreams by state {clauses}", rows)] == states


def test_set_maps_language_fields_to_declaration_fields() -> None:
    change = parse("set class phone first_token = 900ms, minimum_share = 10%").unwrap()
    changed = apply_change(change, build_declaration()).unwrap()  # type: ignore[arg-type]
    assert changed.classes[0].first_token_target_ms == 900
    assert changed.classes[0].minimum_share == 0.1
    assert changed.classes[1] == build_declaration().classes[1]


@pytest.mark.parametrize(
    ("line", "code"),
    [
        ("set class floor first_token = 1s", ResultCode.UNKNOWN_NAME),
        ("set class phone colour = red", ResultCode.UNKNOWN_FIELD),
        ("set class phone first_token = soon", ResultCode.WRONG_TYPE),
        ("drain upstream e9", ResultCode.UNKNOWN_NAME),
        ("create workspace gyor with default_class = phone", ResultCode.VERSION_CONFLICT),
        ("create workspace new with weight = 2", ResultCode.MISSING_FIELD),
        ("remove workspace nobody", ResultCode.UNKNOWN_NAME),
    ],
)
def test_invalid_changes_report_the_result_code(line: str, code: ResultCode) -> None:
    fault = apply_change(parse(line).unwrap(), build_declaration()).failure()  # type: ignore[arg-type]
    assert isinstance(fault, LanguageFault)
    assert fault.code is code


def test_each_change_is_applied_to_the_declaration() -> None:
    declaration = build_declaration()
    for line, check in [
        ("drain upstream engine-1", lambda d: d.upstreams[0].draining),
        ("create workspace new with default_class = review", lambda d: len(d.workspaces) == 3),
        ("quarantine 9c1f", lambda d: d.quarantined == ("9c1f",)),
        ("remove workspace new", lambda d: len(d.workspaces) == 2),
        ("release 9c1f", lambda d: d.quarantined == ()),
    ]:
        change = parse(line).unwrap()
        declaration = apply_change(change, declaration).unwrap()  # type: ignore[arg-type]
        assert check(declaration), line


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("sh", ("show",)),
        ("show ups", ("upstreams",)),
        ("show upstreams where loa", ("load",)),
        ("drain ", ("upstream",)),
        ("set class x first", ("first_token",)),
        ("show nothing where", ("where",)),
        ("))) ", ()),
    ],
)
def test_completion_lists_possible_next_words(line: str, words: tuple[str, ...]) -> None:
    assert complete(line) == words


def test_help_lists_every_table() -> None:
    text = "\n".join(describe_topic("show"))
    assert all(name in text for name in SCHEMAS)
    assert describe_topic("nonsense") == describe_topic(None)


@given(st.text(max_size=60))
def test_any_text_gives_a_command_or_a_fault_with_a_column(line: str) -> None:
    result = parse(line)
    fault = result.swap().value_or(None)
    if isinstance(fault, LanguageFault):
        assert fault.column is not None and 1 <= fault.column <= len(line) + 1
        assert fault.describe(line)

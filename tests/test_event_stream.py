"""Tests of the server-sent event parser, for any split of the stream into chunks."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagestage.upstream import EventStreamParser, EventTooLargeError, ServerSentEvent

LINE = st.text(
    alphabet=st.characters(exclude_characters="\r\n", exclude_categories=("Cs",)), max_size=12
)
LINE_END = st.sampled_from(["\n", "\r\n", "\r"])


def parse_chunks(chunks: list[bytes]) -> list[ServerSentEvent]:
    parser = EventStreamParser()
    return [event for chunk in chunks for event in parser.feed(chunk)]


def split(data: bytes, offsets: list[int]) -> list[bytes]:
    bounds = [0, *sorted(offset % (len(data) + 1) for offset in offsets), len(data)]
    return [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


@given(
    st.lists(st.lists(LINE, min_size=1, max_size=3), max_size=4),
    LINE_END,
    st.lists(st.integers(0, 10_000), max_size=12),
)
def test_event_data_does_not_depend_on_chunking(
    events: list[list[str]], end: str, offsets: list[int]
) -> None:
    text = "".join("".join(f"data: {line}{end}" for line in lines) + end for lines in events)
    parsed = parse_chunks(split(text.encode(), offsets))
    assert [event.data.decode() for event in parsed] == ["\n".join(lines) for lines in events]


@given(st.text(alphabet="dat: é\n\r", max_size=60), st.lists(st.integers(0, 100), max_size=8))
def test_events_of_arbitrary_bytes_do_not_depend_on_chunking(text: str, offsets: list[int]) -> None:
    data = text.encode()
    assert parse_chunks(split(data, offsets)) == parse_chunks([data])


SYNTAX_CASES = {
    "one line": (b"data: a\n\n", [b"a"]),
    "no space": (b"data:a\n\n", [b"a"]),
    "two spaces": (b"data:  a\n\n", [b" a"]),
    "comment": (b": ping\n\ndata: a\n\n", [b"a"]),
    "other fields": (b"id: 1\nretry: 5\ndata: a\n\n", [b"a"]),
    "empty data": (b"data:\n\n", [b""]),
    "blank lines": (b"\n\n\ndata: a\n\n\n\n", [b"a"]),
    "unfinished": (b"data: a\n", []),
}


@pytest.mark.parametrize("case", SYNTAX_CASES)
def test_event_syntax(case: str) -> None:
    data, expected = SYNTAX_CASES[case]
    for offset in range(len(data) + 1):
        assert [e.data for e in parse_chunks([data[:offset], data[offset:]])] == expected


def test_event_name_is_parsed() -> None:
    assert parse_chunks([b"event: error\ndata: a\n\n"]) == [
        ServerSentEvent(data=b"a", name=b"error")
    ]


def test_event_size_is_bounded() -> None:
    parser = EventStreamParser(max_event_bytes=100)
    parser.feed(b"data: " + b"x" * 90)
    with pytest.raises(EventTooLargeError):
        parser.feed(b"x" * 10)

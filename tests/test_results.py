"""Tests that the table of result codes is complete and equals its page in the docs."""

import re
from pathlib import Path

from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict

PAGE = Path(__file__).parent.parent / "docs" / "RESULT_CODES.md"


def test_every_code_has_details() -> None:
    assert set(CODE_DETAILS) == set(ResultCode)


def test_docs_page_equals_table() -> None:
    rows = re.findall(r"^\| (\d+) \| (\w+) \| (\d+) \| (\w+) \| (.+) \|$", PAGE.read_text(), re.M)
    expected = [
        (str(code.value), code.name, str(d.http_status), d.verdict.value, d.message)
        for code, d in CODE_DETAILS.items()
    ]
    assert rows == expected


def test_code_ranges_have_their_run_verdict() -> None:
    for code, details in CODE_DETAILS.items():
        if 1000 <= code.value < 3000:
            assert details.verdict is RunVerdict.NOT_RUN
        if 3000 <= code.value < 4000:
            assert details.verdict is RunVerdict.MAY_HAVE_RUN

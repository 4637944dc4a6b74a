"""Checks that the table of guards refers to existing code and test files."""

from pathlib import Path

import pytest

from bench._guard_table import GUARDS, Guard

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.name)
def test_guard_text_occurs_once_in_its_module(guard: Guard) -> None:
    assert guard.text and guard.text != guard.without
    assert (ROOT / guard.file).read_text().count(guard.text) == 1
    assert (ROOT / guard.tests[0]).exists()

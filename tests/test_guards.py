"""Checks of the table of guards, and of what counts as a proof that tests detect a removal."""

import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from bench._guard_table import GUARDS, Guard
from bench.guards import Proof, check_guard

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.name)
def test_guard_text_occurs_once_in_its_module(guard: Guard) -> None:
    assert guard.text and guard.text != guard.without
    assert (ROOT / guard.file).read_text().count(guard.text) == 1
    assert (ROOT / guard.tests[0]).exists()


class TestRuns:
    """Replaces the runs of a guard's tests.

    ``exit_code`` returns pytest's exit code for a tree with or without the guard, and the number of
    earlier runs in such trees; None stands for a run that takes too long.
    """

    __test__ = False

    def __init__(self, guard: Guard, exit_code: Callable[[bool, int], int | None]) -> None:
        self._guard = guard
        self._exit_code = exit_code
        self._counts = {True: 0, False: 0}

    def run(self, command: list[str], *, cwd: Path, timeout: float, **_: Any) -> Any:
        assert (cwd / "KNOWN-RED.txt").exists(), "known failures would count as detections"
        guarded = self._guard.text in (cwd / self._guard.file).read_text()
        code = self._exit_code(guarded, self._counts[guarded])
        self._counts[guarded] += 1
        if code is None:
            raise subprocess.TimeoutExpired(command, timeout)
        return subprocess.CompletedProcess(command, code)


@pytest.mark.parametrize(
    ("exit_code", "proof"),
    [
        (lambda guarded, _: 0 if guarded else 1, Proof.PROVED),
        (lambda guarded, _: 0 if guarded else None, Proof.PROVED),
        (lambda guarded, _: 0, Proof.UNPROVED),
        (lambda guarded, _: 0 if guarded else 2, Proof.UNPROVED),
        (lambda guarded, earlier: 0 if guarded or earlier else 1, Proof.UNPROVED),
        (lambda guarded, _: 1, Proof.BROKEN),
        (lambda guarded, _: 5, Proof.BROKEN),
        (lambda guarded, _: None, Proof.BROKEN),
        (lambda guarded, earlier: 1 if earlier or not guarded else 0, Proof.BROKEN),
    ],
    ids=[
        "fails without",
        "hangs without",
        "passes without",
        "not collected without",
        "fails once without",
        "fails always",
        "selects no test",
        "hangs always",
        "fails once with",
    ],
)
def test_only_tests_that_always_pass_with_a_guard_and_fail_without_it_prove_it(
    exit_code: Callable[[bool, int], int | None], proof: Proof, monkeypatch: pytest.MonkeyPatch
) -> None:
    guard = GUARDS[0]
    monkeypatch.setattr(subprocess, "run", TestRuns(guard, exit_code).run)
    assert check_guard(guard) is proof

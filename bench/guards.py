"""Removes each guard from a copy of the source tree and runs the tests that must then fail.

``python -m bench.guards`` checks all guards, ``python -m bench.guards NAME ...`` only the named
ones. A guard whose tests still pass is reported as UNPROVED, and the exit code is 1.
"""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import click

from ._guard_table import GUARDS, Guard

ROOT = Path(__file__).resolve().parent.parent
COPIED_PATHS = (
    "greengagestage",
    "standins",
    "tests",
    "bench",
    "examples",
    "docs",
    "pyproject.toml",
)
TEST_TIMEOUT_S = 240


def copy_project(target: Path) -> None:
    """Copy the files that the tests need."""
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, target / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, target / name)


def remove_guard(guard: Guard, tree: Path) -> None:
    """Replace a guard's source code.

    Raises:
        ValueError: The source code does not occur exactly once in the module.
    """
    module = tree / guard.file
    source = module.read_text()
    if source.count(guard.text) != 1:
        raise ValueError(f"{guard.name}: its text must occur exactly once in {guard.file}")
    module.write_text(source.replace(guard.text, guard.without))


def is_removal_detected(guard: Guard) -> bool:
    """Return whether the guard's tests fail, or time out, in a copy of the tree without it."""
    with tempfile.TemporaryDirectory() as directory:
        tree = Path(directory)
        copy_project(tree)
        remove_guard(guard, tree)
        command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider", *guard.tests]
        try:
            completed = subprocess.run(
                command, cwd=tree, capture_output=True, check=False, timeout=TEST_TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return True
        return completed.returncode == 1


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Check that tests fail when a guard is removed."""
    undetected = 0
    for guard in GUARDS:
        if names and guard.name not in names:
            continue
        detected = is_removal_detected(guard)
        undetected += not detected
        click.echo(
            f"{'fails without' if detected else 'UNPROVED':14} {guard.name}: {guard.promise}"
        )
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()

"""Tests of the operators' client commands that need no agent."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from greengagestage.commands.operator import main

EXAMPLES = sorted((Path(__file__).parent.parent / "examples").glob("*.toml"))


@pytest.mark.parametrize("example", EXAMPLES, ids=lambda path: path.name)
def test_example_declarations_are_valid(example: Path) -> None:
    assert CliRunner().invoke(main, ["check", str(example)]).exit_code == 0


def test_check_reports_every_fault_with_its_line(tmp_path: Path) -> None:
    file = tmp_path / "declaration.toml"
    text = EXAMPLES[0].read_text()
    file.write_text(text.replace("priority = 1\n", 'priority = "high"\ncolour = "red"\n'))
    outcome = CliRunner().invoke(main, ["check", str(file)])
    assert outcome.exit_code == 1
    assert "classes[1].priority" in outcome.output
    assert "classes[1].colour" in outcome.output
    assert "line " in outcome.output
    assert "result code 4001" in outcome.output


def test_complete_and_language_need_no_agent() -> None:
    assert CliRunner().invoke(main, ["complete", "show ups"]).output == "upstreams\n"
    assert "show upstreams where" in CliRunner().invoke(main, ["language", "show"]).output

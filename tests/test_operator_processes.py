"""An operator's session with a real agent: first declaration, queries, changes, conflicts."""

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from greengagestage.results import ResultCode
from standins._web_calls import send_request

from .agent_fleet import FLEET_KEY, Agent, AgentFleet

pytestmark = pytest.mark.process

EXAMPLE = Path(__file__).parent.parent / "examples" / "cooperative.toml"
OPERATOR_KEY = "example-key-operations"


@pytest.fixture
def agent(tmp_path: Path) -> Iterator[Agent]:
    fleet = AgentFleet(tmp_path)
    agent = fleet.start_agent("host-1", "a")
    try:
        fleet.wait(
            lambda: send_request("GET", f"{agent.process.url}/healthz").status == 200, "alive"
        )
        yield agent
    finally:
        fleet.stop()


def run_client(agent: Agent, *words: str, key: str = OPERATOR_KEY) -> tuple[int, dict[str, object]]:
    """Run the operators' client and return its exit code and its JSON answer."""
    command = [sys.executable, "-m", "greengagestage.commands.operator"]
    command += ["--agent", agent.process.url, "--key", key, words[0], "--json", *words[1:]]
    ended = subprocess.run(command, capture_output=True, text=True, check=False, timeout=30)
    assert ended.stdout, ended.stderr
    return ended.returncode, json.loads(ended.stdout)


def test_operator_session_from_the_first_declaration(agent: Agent) -> None:
    exit_code, answer = run_client(agent, "run", "show upstreams")
    assert (exit_code, answer["code"]) == (1, ResultCode.NO_CONFIGURATION.value)
    _, answer = run_client(agent, "apply", str(EXAMPLE), key="not-the-fleet-key")
    assert answer["code"] == ResultCode.NO_CONFIGURATION.value
    exit_code, answer = run_client(agent, "apply", str(EXAMPLE), key=FLEET_KEY)
    assert (exit_code, answer["version"]) == (0, 1)
    _, answer = run_client(agent, "apply", str(EXAMPLE), key=FLEET_KEY)
    assert answer["code"] == ResultCode.UNKNOWN_OPERATOR.value
    _, answer = run_client(agent, "run", "show upstreams where kind = engine order by name limit 2")
    assert [row[0] for row in answer["rows"]] == ["engine-1", "engine-2"]  # type: ignore[attr-defined]
    exit_code, answer = run_client(agent, "run", "--dry-run", "drain upstream engine-1")
    assert (exit_code, answer["version"]) == (0, 1)
    _, answer = run_client(agent, "run", "drain upstream engine-1 if version = 1")
    assert answer["version"] == 2
    exit_code, answer = run_client(agent, "run", "set class phone first_token = 1s if version = 1")
    assert (exit_code, answer["code"]) == (1, ResultCode.VERSION_CONFLICT.value)
    _, answer = run_client(agent, "run", "show versions")
    assert [row[2] for row in answer["rows"]] == ["operations", "(fleet key)"]  # type: ignore[attr-defined]

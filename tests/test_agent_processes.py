"""Agents as processes: commands, versions during outages, leaving upstreams, stops."""

import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from greengagestage.ids import UpstreamName
from greengagestage.language import CommandAnswer
from greengagestage.results import ResultCode
from greengagestage.wire import (
    AgentLink,
    AgentMessage,
    EntryStatus,
    UpstreamLeavingNotice,
    UpstreamStatuses,
)
from standins._first_version import read_head, write_head
from standins._web_calls import send_request

from .agent_fleet import FLEET_KEY, Agent, AgentFleet
from .reactors import run_until, running_reactor

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("agents")]

ENGINE = UpstreamName("engine-1")
IN_FORCE_BOUND_S = 8.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[AgentFleet]:
    fleet = AgentFleet(tmp_path)
    yield fleet
    fleet.stop()


def test_commands_are_answered(fleet: AgentFleet) -> None:
    first, second = fleet.start(2)
    assert {row[0] for row in first.run("show upstreams").rows} == {"engine-1", "engine-2"}
    assert first.run("show requests").silent_hosts == ()
    assert first.run("show nothing").code == ResultCode.UNKNOWN_NAME.value
    assert first.run("show").code == ResultCode.SYNTAX_ERROR.value
    assert first.run("explain request 1").code == ResultCode.UNKNOWN_NAME.value
    assert "engine-1" in first.run("explain upstream engine-1").messages[0]
    unauthorized = first.call("/v1/command", {"text": "show hosts"}, key="wrong")
    assert unauthorized.status == 401
    assert first.call("/v1/command", b"{").decode(CommandAnswer).code == 1001
    assert first.call("/v1/command", {"txt": 1}).status == 400
    second.process.send_signal(signal.SIGSTOP)
    assert first.run("show requests").silent_hosts == (second.host,)
    metrics = send_request("GET", f"{first.process.url}/metrics").body.decode()
    assert "greengage_agent_configuration_version 1.0" in metrics
    assert 'greengage_agent_messages_total{direction="sent",side="peers"}' in metrics


def test_changes_raise_the_version_and_conflicts_name_both_versions(fleet: AgentFleet) -> None:
    first, second = fleet.start(2)
    dry = first.run("drain upstream engine-1", dry_run=True)
    assert "~ upstreams.engine-1.draining: False -> True" in dry.messages
    answer = first.run("drain upstream engine-1 if version = 1", command_id="c-1")
    assert (answer.code, answer.version) == (0, 2)
    assert (
        first.run("drain upstream engine-1", command_id="c-1").messages[-1] == "nothing to change"
    )
    conflicting = second.run("set class phone first_token = 900ms if version = 1")
    assert conflicting.code == ResultCode.VERSION_CONFLICT.value
    assert "version 1" in conflicting.messages[1]
    assert "version 2" in conflicting.messages[1]
    invalid = first.run("set class phone priority = 1")
    assert invalid.code == ResultCode.DECLARATION_INVALID.value
    versions = second.run("show versions").rows
    assert [row[0] for row in versions] == [2, 1]
    assert versions[0][2] == "anna"
    fleet.wait(lambda: second.read_version() == 2, "the second host has version 2")
    states = {row[0]: row[2] for row in second.run("show upstreams").rows}
    assert states == {"engine-1": "leaving", "engine-2": "live"}


def test_orders_are_accepted_and_listed(fleet: AgentFleet) -> None:
    first, second = fleet.start(2)
    answer = first.run("load adapter profiles on engine-1")
    assert answer.code == 0, answer
    fleet.wait(lambda: len(second.run("show leases").rows) > 0, "a host holds the lease")
    rows = second.run("show orders").rows
    assert [(row[0], row[3]) for row in rows] == [("engine-1", "profiles")]
    assert first.run("load adapter profiles on engine-9").code != 0


def test_whole_declaration_is_applied(fleet: AgentFleet) -> None:
    (first,) = fleet.start(1)
    bad = first.call("/v1/apply", {"toml": "classes = []\nworkspaces = []"}).decode(CommandAnswer)
    assert bad.code == ResultCode.DECLARATION_INVALID.value
    assert any("classes" in line for line in bad.messages)


def test_accepted_version_reaches_every_host_during_a_platform_outage(
    fleet: AgentFleet,
) -> None:
    agents = fleet.start(5)
    answer = agents[0].run("set class phone queue_limit = 99")
    accepted_s = time.monotonic()
    fleet.take_platform_down()
    assert answer.code == 0
    fleet.wait(lambda: all(a.read_version() == 2 for a in agents), "all hosts have version 2")
    assert time.monotonic() - accepted_s < IN_FORCE_BOUND_S


def test_new_host_starts_from_its_peers_during_an_outage(fleet: AgentFleet) -> None:
    first, _ = fleet.start(2)
    first.run("set class phone queue_limit = 97")
    fleet.take_platform_down()
    new_host = fleet.start_agent("host-9", "a", "--peers", first.peer)
    without_peers = fleet.start_agent("host-8", "a")
    fleet.wait(lambda: new_host.is_ready, "the new host is ready")
    assert new_host.read_version() == 2
    assert not without_peers.is_ready


def test_store_rollback_reverts_no_version_and_new_versions_are_higher(fleet: AgentFleet) -> None:
    first, second = fleet.start(2)
    for limit in (90, 91, 92):
        first.run(f"set class phone queue_limit = {limit}")
    assert first.read_version() == 4
    write_head(fleet.platform.url, {**read_head(fleet.platform.url), "version": 1})
    fleet.wait(lambda: second.read_version() == 4, "the second host has version 4")
    answer = second.run("set class phone queue_limit = 93")
    assert (answer.code, answer.version) == (0, 5)


def test_versions_lost_by_the_store_are_restored(fleet: AgentFleet) -> None:
    first, second = fleet.start(2)
    first.run("set class phone queue_limit = 90")
    platform = fleet.platform.url
    write_head(platform, {**read_head(platform), "version": 1})
    fleet.wait(lambda: read_head(platform)["version"] == 2, "the store has version 2 again")
    assert {first.read_version(), second.read_version()} == {2}


def test_refusal_of_a_leaving_upstream_reaches_all_hosts_without_the_platform(
    fleet: AgentFleet,
) -> None:
    agents = fleet.start(4)
    fleet.take_platform_down()
    with running_reactor() as reactor:
        received: dict[str, list[AgentMessage]] = {agent.host: [] for agent in agents}
        links = [
            AgentLink(
                reactor=reactor,
                address=agent.entry,
                fleet_key=FLEET_KEY,
                on_message=received[agent.host].append,
            )
            for agent in agents
        ]
        for link in links:
            link.start()
        run_until(reactor, lambda: all(link.silence_s < 5 for link in links))
        links[0].send(UpstreamLeavingNotice(upstream=ENGINE))
        run_until(
            reactor, lambda: all(is_last_status_leaving(messages) for messages in received.values())
        )
        for link in links:
            link.stop()


def test_host_without_its_entry_process_is_leaving(fleet: AgentFleet) -> None:
    first, second = fleet.start(2)

    def read_state() -> object:
        return {row[0]: row[1] for row in second.run("show hosts").rows}[first.host]

    with running_reactor() as reactor:
        link = AgentLink(
            reactor=reactor, address=first.entry, fleet_key=FLEET_KEY, on_message=lambda _: None
        )
        link.start()
        run_until(reactor, lambda: link.silence_s < 5)
        link.send(EntryStatus(demand={}, in_flight={}))
        fleet.wait(lambda: read_state() == "leaving", "the silent entry process is detected")
        run_until(reactor, lambda: send_status(link) and read_state() == "live")
        link.stop()


def send_status(link: AgentLink) -> bool:
    link.send(EntryStatus(demand={}, in_flight={}))
    return True


def is_last_status_leaving(messages: list[AgentMessage]) -> bool:
    states = [
        status.state
        for message in messages
        if isinstance(message, UpstreamStatuses)
        for status in message.statuses
        if status.upstream == ENGINE
    ]
    return bool(states) and states[-1] == "leaving"


def test_host_list_marks_leaving_and_an_empty_list_removes_nothing(fleet: AgentFleet) -> None:
    agents = fleet.start(3)
    fleet.publish_host_list(leaving=("engine-1",))
    fleet.wait(
        lambda: all(lists_engine_as_leaving(agent) for agent in agents), "engine-1 is leaving"
    )
    send_request("PUT", f"{fleet.platform.url}/_standin/hosts", {"hosts": [], "upstreams": []})
    new_host = fleet.start_agent("host-7", "b", "--peers", agents[0].peer)
    fleet.wait_members([*agents, new_host])
    assert all(lists_engine_as_leaving(agent) for agent in [*agents, new_host])


def lists_engine_as_leaving(agent: Agent) -> bool:
    rows = agent.run("show upstreams where state = leaving").rows
    return [row[0] for row in rows] == ["engine-1"]


def test_planned_stop_is_announced_and_exits_with_zero(fleet: AgentFleet) -> None:
    first, second, third = fleet.start(3)
    second.process.send_signal(signal.SIGTERM)
    assert second.process.wait() == 0
    hosts = {row[0]: row[1] for row in first.run("show hosts").rows}
    assert hosts[second.host] == "leaving"
    replacement = fleet.start_agent(second.host, "b")
    fleet.publish_host_list()
    fleet.wait_members([first, replacement, third])


def test_second_signal_does_not_disturb_a_planned_stop(fleet: AgentFleet) -> None:
    first, _ = fleet.start(2)
    first.process.send_signal(signal.SIGTERM)
    fleet.wait(lambda: not first.is_ready, "the stop has begun")
    first.process.send_signal(signal.SIGTERM)
    assert first.process.wait() == 0
    assert "Traceback" not in first.process.log_file.read_text()
    assert "ReactorNotRunning" not in first.process.log_file.read_text()


def test_killed_host_is_replaced_under_the_same_name(fleet: AgentFleet) -> None:
    first, second, third = fleet.start(3)
    second.process.send_signal(signal.SIGKILL)
    second.process.wait()
    replacement = fleet.start_agent(second.host, "b")
    fleet.publish_host_list()
    fleet.wait(
        lambda: {row[3] for row in first.run("show hosts where state = live").rows}
        == {first.peer, replacement.peer, third.peer},
        "the replacement is known at its address",
    )


def test_all_invalid_settings_are_reported_together() -> None:
    command = [sys.executable, "-m", "greengagestage.commands.agent", "--host", "a b"]
    command += ["--entry-listen", "x", "--fleet-key", "short", "--peers", "1.2.3.4"]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    assert ended.returncode == 2
    assert ended.stderr.startswith("4014 SETTINGS_INVALID")
    for flag in ("--entry-listen", "--peer-listen", "--host", "--fleet-key", "--peers"):
        assert flag in ended.stderr

"""How long news takes from one host to the entry processes of all."""

import hashlib
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from twisted.internet import reactor as installed_reactor
from twisted.internet.task import deferLater

from greengagestage.ids import UpstreamName
from greengagestage.wire import (
    AgentLink,
    AgentMessage,
    ConfigurationInForce,
    UpstreamLeavingNotice,
    UpstreamStatuses,
)
from standins._platform_faults import PlatformFault, PlatformFaultKind, PlatformService
from standins._processes import ChildProcess
from standins._web_calls import send_request

OPERATOR_KEY = "key-of-the-bench"
OPERATOR_DIGEST = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
ROUNDS = 5
CHECK_INTERVAL_S = 0.005
PATIENCE_S = 30.0

reactor: Any = installed_reactor


class Heard:
    """What an entry process was told."""

    def __init__(self) -> None:
        self.version = 0
        self.leaving: set[UpstreamName] = set()

    def receive(self, message: AgentMessage) -> None:
        """Take a message of the agent."""
        match message:
            case ConfigurationInForce(version=version):
                self.version = version
            case UpstreamStatuses(statuses=statuses):
                self.leaving |= {s.upstream for s in statuses if s.state == "leaving"}


class MeasuredAgent(Protocol):
    """An agent process, the link to it, and what came over the link."""

    process: ChildProcess
    link: AgentLink
    heard: Heard


async def measure_leaving(agents: Sequence[MeasuredAgent]) -> tuple[float, ...]:
    """Return the times until all entry processes know an upstream that one of them saw leave."""
    times = []
    for number in range(ROUNDS):
        name = UpstreamName(f"engine-{number:03d}")
        start_s = time.monotonic()
        agents[number % len(agents)].link.send(UpstreamLeavingNotice(upstream=name))
        await _wait(lambda name=name: all(name in a.heard.leaving for a in agents))  # type: ignore[misc]
        times.append(time.monotonic() - start_s)
    return tuple(times)


async def measure_versions(agents: Sequence[MeasuredAgent], platform: str) -> tuple[float, ...]:
    """Return the times from a version's acceptance until all entry processes have it.

    Every service of the platform fails as soon as the version is accepted.
    """
    times = []
    for number in range(ROUNDS):
        agent = agents[number % len(agents)]
        version = agent.heard.version + 1
        start_s = _change_version(agent, platform, number)
        await _wait(lambda version=version: all(a.heard.version >= version for a in agents))  # type: ignore[misc]
        times.append(time.monotonic() - start_s)
        _set_platform(platform, PlatformFaultKind.NONE)
    return tuple(times)


def _change_version(agent: MeasuredAgent, platform: str, number: int) -> float:
    """Have a version accepted, take the platform down, and return when it was accepted."""
    text = f"set class class-0 queue_limit = {100 + number}"
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"{agent.process.url}/v1/command"
    answer = send_request("POST", url, {"text": text}, headers=headers)
    if answer.status != 200:
        raise RuntimeError(f"the command was refused: {answer.body!r}")
    accepted_s = time.monotonic()
    _set_platform(platform, PlatformFaultKind.DOWN)
    return accepted_s


def _set_platform(platform: str, kind: PlatformFaultKind) -> None:
    for service in PlatformService:
        fault = PlatformFault(service=service, kind=kind)
        send_request("POST", f"{platform}/_standin/faults", fault)


async def _wait(condition: Callable[[], bool]) -> None:
    end_s = time.monotonic() + PATIENCE_S
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("the news did not reach all hosts")
        await deferLater(reactor, CHECK_INTERVAL_S)

"""Measures how long a change takes to reach the entry processes of all hosts."""

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
POLL_INTERVAL_S = 0.005
PROPAGATION_TIMEOUT_S = 30.0

reactor: Any = installed_reactor


class ReceivedState:
    """The state that an entry process has received from its agent."""

    def __init__(self) -> None:
        self.version = 0
        self.leaving: set[UpstreamName] = set()

    def receive(self, message: AgentMessage) -> None:
        """Apply a message from the agent."""
        match message:
            case ConfigurationInForce(version=version):
                self.version = version
            case UpstreamStatuses(statuses=statuses):
                self.leaving |= {s.upstream for s in statuses if s.state == "leaving"}


class MeasuredAgent(Protocol):
    """An agent process, the link to it, and the state received over that link."""

    process: ChildProcess
    link: AgentLink
    received: ReceivedState


async def measure_leaving_propagation(agents: Sequence[MeasuredAgent]) -> tuple[float, ...]:
    """Return the times until all entry processes know that an upstream is leaving.

    The times are in seconds. Each time, one entry process reports the upstream to its agent.
    """
    times_s = []
    for number in range(ROUNDS):
        name = UpstreamName(f"engine-{number:03d}")
        start_s = time.monotonic()
        agents[number % len(agents)].link.send(UpstreamLeavingNotice(upstream=name))
        await _wait_for(lambda name=name: all(name in a.received.leaving for a in agents))  # type: ignore[misc]
        times_s.append(time.monotonic() - start_s)
    return tuple(times_s)


async def measure_version_propagation(
    agents: Sequence[MeasuredAgent], platform: str
) -> tuple[float, ...]:
    """Return the times from the acceptance of a version until all entry processes have it.

    The times are in seconds. All platform services are down from the moment of acceptance, so that
    the version has to spread from host to host.
    """
    times_s = []
    for number in range(ROUNDS):
        agent = agents[number % len(agents)]
        version = agent.received.version + 1
        start_s = _accept_version(agent, platform, number)
        await _wait_for(lambda version=version: all(a.received.version >= version for a in agents))  # type: ignore[misc]
        times_s.append(time.monotonic() - start_s)
        _set_platform_fault(platform, PlatformFaultKind.NONE)
    return tuple(times_s)


def _accept_version(agent: MeasuredAgent, platform: str, number: int) -> float:
    """Change the configuration, take the platform down, and return the time of acceptance."""
    text = f"set class class-0 queue_limit = {100 + number}"
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"{agent.process.url}/v1/command"
    answer = send_request("POST", url, {"text": text}, headers=headers)
    if answer.status != 200:
        raise RuntimeError(f"the agent refused the command: {answer.body!r}")
    accepted_s = time.monotonic()
    _set_platform_fault(platform, PlatformFaultKind.DOWN)
    return accepted_s


def _set_platform_fault(platform: str, kind: PlatformFaultKind) -> None:
    for service in PlatformService:
        fault = PlatformFault(service=service, kind=kind)
        send_request("POST", f"{platform}/_standin/faults", fault)


async def _wait_for(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + PROPAGATION_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError("the change did not reach the entry processes of all hosts")
        await deferLater(reactor, POLL_INTERVAL_S)

"""The link between an entry process and its agent, over loopback in one reactor."""

from collections.abc import Iterator
from typing import Any

import pynng
import pytest

from greengagestage.ids import ConfigurationVersion, Fingerprint, UpstreamName
from greengagestage.results import ResultCode
from greengagestage.wire import (
    AgentLink,
    AgentMessage,
    ConfigurationInForce,
    EntryEndpoint,
    EntryMessage,
    EntryStatus,
    HostShares,
    QuarantineNotice,
    UpstreamStatus,
    UpstreamStatuses,
)
from greengagestage.wire._envelope import MESSAGE_LIMIT_BYTES, Channel, FrameSigner, FrameVerifier
from tests.reactors import choose_address, run_until, running_reactor

CONFIGURATION = ConfigurationInForce(
    version=ConfigurationVersion(3), digest="d", document=b"x" * 100_000
)
SHARES = HostShares(slots={UpstreamName("e1"): 4}, entry_hosts=2)
QUARANTINE = QuarantineNotice(fingerprint=Fingerprint("f"))
STATUS = EntryStatus(demand={}, in_flight={UpstreamName("e1"): 1})


class LinkPair:
    """Both sides of a link and what each received."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.address = choose_address()
        self.at_entry: list[AgentMessage] = []
        self.at_agent: list[EntryMessage] = []
        self.running: list[AgentLink | EntryEndpoint] = []

    def start_entry(self, fleet_key: str = "new") -> AgentLink:
        link = AgentLink(
            reactor=self.reactor,
            address=self.address,
            fleet_key=fleet_key,
            on_message=self.at_entry.append,
        )
        return self._start(link)

    def start_agent(self, fleet_keys: tuple[str, ...] = ("new",)) -> EntryEndpoint:
        endpoint = EntryEndpoint(
            reactor=self.reactor,
            address=self.address,
            fleet_keys=fleet_keys,
            on_message=self.at_agent.append,
        )
        return self._start(endpoint)

    def stop(self, side: Any) -> None:
        self.running.remove(side)
        side.stop()

    def run_until(self, condition: Any) -> None:
        run_until(self.reactor, condition)

    def _start(self, side: Any) -> Any:
        side.start()
        self.running.append(side)
        return side


@pytest.fixture
def pair() -> Iterator[LinkPair]:
    with running_reactor() as reactor:
        pair = LinkPair(reactor)
        yield pair
        for side in list(pair.running):
            pair.stop(side)


def test_messages_travel_both_ways(pair: LinkPair) -> None:
    endpoint, link = pair.start_agent(), pair.start_entry()
    pair.run_until(lambda: link.silence_s < 5)
    endpoint.broadcast(SHARES)
    link.send(STATUS)
    pair.run_until(lambda: SHARES in pair.at_entry and STATUS in pair.at_agent)


def test_new_entry_gets_the_current_state(pair: LinkPair) -> None:
    endpoint = pair.start_agent()
    endpoint.broadcast(CONFIGURATION)
    endpoint.broadcast(SHARES)
    endpoint.broadcast(QUARANTINE)
    old = UpstreamStatus(upstream=UpstreamName("e1"), state="live")
    new = UpstreamStatus(upstream=UpstreamName("e1"), state="leaving")
    endpoint.broadcast(UpstreamStatuses(statuses=(old,)))
    endpoint.broadcast(UpstreamStatuses(statuses=(new,)))
    pair.start_entry()
    pair.run_until(
        lambda: all(message in pair.at_entry for message in (CONFIGURATION, SHARES, QUARANTINE))
    )
    statuses = [m.statuses for m in pair.at_entry if isinstance(m, UpstreamStatuses)]
    assert [status.state for status in statuses[-1]] == ["leaving"]


def test_replaced_agent_is_detected_and_its_state_received(pair: LinkPair) -> None:
    first, link = pair.start_agent(), pair.start_entry()
    pair.run_until(lambda: link.silence_s < 5)
    pair.stop(first)
    pair.start_agent().broadcast(CONFIGURATION)
    pair.run_until(lambda: CONFIGURATION in pair.at_entry)


def test_second_key_is_accepted_during_rotation(pair: LinkPair) -> None:
    pair.start_agent(("old", "new"))
    link = pair.start_entry("new")
    link.send(STATUS)
    pair.run_until(lambda: link.send(STATUS) or STATUS in pair.at_agent)


def test_unknown_key_is_counted_and_dropped(pair: LinkPair) -> None:
    endpoint = pair.start_agent()
    link = pair.start_entry("stranger")
    pair.run_until(lambda: endpoint.counts.dropped[ResultCode.UNKNOWN_SENDER] >= 2)
    assert not pair.at_agent
    assert link.silence_s > 1e9


def _sign(payload: bytes, channel: Channel = Channel.ENTRY) -> bytes:
    return FrameSigner(sender="x", fleet_key="new", channel=channel).sign(payload)


BAD_FRAMES = {
    "too short": (b"", ResultCode.MESSAGE_MALFORMED),
    "other version": (b"\x09" + _sign(b"")[1:], ResultCode.UNKNOWN_PROTOCOL_VERSION),
    "no key": (_sign(b"")[:-1] + b"!", ResultCode.UNKNOWN_SENDER),
    "other channel": (_sign(b"\x80", Channel.PEER), ResultCode.UNKNOWN_SENDER),
    "not a message": (_sign(b"\xc1"), ResultCode.MESSAGE_MALFORMED),
    "unknown kind": (_sign(b"\x81\xa4type\xa1?"), ResultCode.MESSAGE_MALFORMED),
    "oversize": (bytes(MESSAGE_LIMIT_BYTES + 1), ResultCode.MESSAGE_TOO_LARGE),
}


@pytest.mark.parametrize("name", BAD_FRAMES)
def test_bad_frames_are_counted_and_dropped(pair: LinkPair, name: str) -> None:
    frame, code = BAD_FRAMES[name]
    endpoint = pair.start_agent()
    with pynng.Bus0(dial=f"tcp://{pair.address}") as raw_socket:
        raw_socket.send(frame)
        pair.run_until(lambda: endpoint.counts.dropped[code] == 1)
    assert not pair.at_agent


def test_replayed_frame_is_dropped() -> None:
    verifier = FrameVerifier(fleet_keys=("new",), channel=Channel.ENTRY)
    frame = _sign(b"\x80")
    assert verifier.verify(frame).unwrap().payload == b"\x80"
    assert verifier.verify(frame).failure() is ResultCode.UNKNOWN_SENDER

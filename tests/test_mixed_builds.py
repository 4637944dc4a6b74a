"""Hosts of two builds side by side: each decodes what the other sends, by recorded examples."""

from typing import Any

import msgspec
import pytest

from greengagestage.duties import DutyReport, UsageReceipt, UsageReport
from greengagestage.gateway.peers import _peer_messages as messages
from greengagestage.gateway.peers._peer_messages import (
    PROTOCOL_VERSION,
    EarlyLoss,
    EarlyLossesReport,
    LoadEntry,
    LoadsReport,
    PeerBody,
    PeerMessage,
    Sender,
    VersionsReport,
    VersionTimes,
    decode_message,
    encode_message,
)
from greengagestage.gateway.watches._host_list import HostRow
from greengagestage.gateway.watches._version_rows import decode_row
from greengagestage.ids import HostId, ServiceName, SoftwareVersion, WorkspaceId

from . import wire_9ca6c34
from .record_messages import BODIES, RECORDED, compute_hashes

RECORDING = msgspec.json.decode(RECORDED.read_bytes())
MESSAGES = RECORDING["messages"]

ADDED = {
    "loads": LoadsReport(41, [LoadEntry(7, 120, 1, 2, 30, 90, 0, 11)]),
    "duty": DutyReport("usage_reporting", HostId("front-1"), 7, 3, 1, HostId("front-2"), 70, 69),
    "usage": UsageReport(71, {WorkspaceId("ws-1"): 412}, True, 0, 1),
    "early-losses": EarlyLossesReport([EarlyLoss("f" * 32, "10.0.0.1", 80, 40, 3)]),
    "usage-receipt": UsageReceipt(71),
    "versions": VersionsReport(
        ServiceName("engines"), 9, 12.5, -17_000, [VersionTimes(SoftwareVersion("v1"), None)], 4
    ),
}
"""An example of each type of message that was added after 9ca6c34."""


def extends(new: Any, old: Any) -> bool:
    """Whether decoded fields are the recorded ones, perhaps with further ones after them."""
    match new, old:
        case list(), list():
            return len(new) >= len(old) and all(map(extends, new, old))
        case dict(), dict():
            return all(key in new and extends(new[key], value) for key, value in old.items())
        case _:
            return bool(new == old)


def decode_recorded(name: str) -> PeerMessage:
    message = decode_message(bytes.fromhex(MESSAGES[name]["hex"]))
    assert message is not None
    return message


# Guards against a build that does not understand the hosts of the build before it.
@pytest.mark.parametrize("name", MESSAGES)
def test_recorded_messages_are_decoded(name: str) -> None:
    message = decode_recorded(name)
    assert type(message.body) is type(BODIES[name])
    assert extends(msgspec.to_builtins(message), MESSAGES[name]["fields"])


# Guards against a change of a field that the hosts of the build before would misread.
@pytest.mark.parametrize("name", MESSAGES)
def test_the_build_before_decodes_the_same_fields(name: str) -> None:
    message = PeerMessage(decode_recorded(name).sender, BODIES[name])
    decoded = wire_9ca6c34.decode_message(encode_message(message))
    assert msgspec.to_builtins(decoded) == MESSAGES[name]["fields"]


# Guards against a recording that does not show what the copied definitions decode.
@pytest.mark.parametrize("name", MESSAGES)
def test_the_copied_definitions_are_those_of_the_recording(name: str) -> None:
    decoded = wire_9ca6c34.decode_message(bytes.fromhex(MESSAGES[name]["hex"]))
    assert msgspec.to_builtins(decoded) == MESSAGES[name]["fields"]


# Guards against fields that change places: the bytes stay the same, and their meaning does not.
@pytest.mark.parametrize("old", wire_9ca6c34.MESSAGE_STRUCTS, ids=lambda old: old.__name__)
def test_fields_keep_their_names_places_and_tags(old: type[msgspec.Struct]) -> None:
    new = getattr(messages, old.__name__)
    assert new.__struct_fields__[: len(old.__struct_fields__)] == old.__struct_fields__
    assert new.__struct_config__.tag == old.__struct_config__.tag
    added = msgspec.structs.fields(new)[len(old.__struct_fields__) :]
    assert not any(field.required for field in added)


# Guards against an added type of message that is taken for another one by the build before.
@pytest.mark.parametrize("name", ADDED)
def test_the_build_before_drops_added_types(name: str) -> None:
    message = PeerMessage(Sender(PROTOCOL_VERSION, HostId("front-1"), 1, 1), ADDED[name])
    assert decode_message(encode_message(message)) == message
    assert wire_9ca6c34.decode_message(encode_message(message)) is None


# Guards against a type of message without an example here.
def test_each_type_of_message_has_an_example() -> None:
    examples = {type(body) for body in (*BODIES.values(), *ADDED.values())}
    assert examples == set(PeerBody.__args__)


# Guards against hosts that name the same upstream, stream or part of a prompt differently. With
# other digests of the registry, hosts of two builds make each other read it with every report.
@pytest.mark.parametrize("name", RECORDING["hashes"])
def test_hashes_are_those_of_the_build_before(name: str) -> None:
    assert compute_hashes()[name] == RECORDING["hashes"][name]


# Guards against rows of hosts that another build cannot read, and that are lost in a rewrite.
def test_rows_of_hosts_are_read_by_both_builds() -> None:
    recorded = RECORDING["rows"]["host"].encode()
    row = msgspec.json.decode(recorded, type=HostRow)
    assert extends(msgspec.to_builtins(row), msgspec.json.decode(recorded))
    old = msgspec.json.decode(msgspec.json.encode(row), type=wire_9ca6c34.HostRow)
    assert msgspec.to_builtins(old) == msgspec.json.decode(recorded)


# Guards against a build that rejects what the build after it adds at the end.
@pytest.mark.parametrize("name", [*MESSAGES, *ADDED])
def test_added_trailing_fields_are_ignored(name: str) -> None:
    body = {**BODIES, **ADDED}[name]
    message = PeerMessage(Sender(PROTOCOL_VERSION, HostId("front-1"), 1, 1), body)
    sender, fields = msgspec.to_builtins(message)
    data = msgspec.msgpack.encode([sender, [*fields, "added"]])
    assert decode_message(data) == message


# Guards against a row of a later build that counts as unreadable.
def test_added_keys_of_a_row_of_versions_are_ignored() -> None:
    row = {"era": 1, "since_ms": 0, "versions": {"v1": None}}
    read, extended = (
        decode_row(msgspec.json.encode(each), era=1, now_s=100.0, store_s=50.0)
        for each in (row, {**row, "added": 1})
    )
    assert read is not None
    assert extended == read

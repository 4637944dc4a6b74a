"""Builds one message of each kind, the rows of a host and its hashes, as of the commit 9ca6c34.

``python -m tests.record_messages`` at that commit wrote ``tests/data/messages-9ca6c34.json``. The
file is not written again: it stands for the hosts that still run that build.
"""

import sys
from pathlib import Path
from typing import Any

import msgspec

from greengagestage.catalog import Availability, RegisteredUpstream
from greengagestage.gateway.peers._peer_messages import (
    ConfigurationReport,
    DemandEntry,
    DomainReport,
    FingerprintEntry,
    LimitReport,
    LoadEntry,
    LoadReport,
    LossEntry,
    LossesReport,
    LossReport,
    PeerMessage,
    RegistryReport,
    RejectionReport,
    RelaySource,
    RouteEntry,
    Sender,
    StreamsReport,
    SuspectEntry,
    SuspectsReport,
    TotalsReport,
    UrgencyEntry,
    VersionStreams,
    Work,
    encode_message,
)
from greengagestage.gateway.peers._work_codec import _hash_instance
from greengagestage.gateway.watches._host_list import HostRow
from greengagestage.gateway.watches._registry_reports import hash_registry
from greengagestage.ids import (
    AttemptId,
    FailureDomain,
    Fingerprint,
    HostId,
    InstanceId,
    PromptPartId,
    ServiceName,
    SoftwareVersion,
)
from greengagestage.routing._crash_suspects import hash_part
from greengagestage.routing._software_versions import hash_stream

RECORDED = Path(__file__).parent / "data" / "messages-9ca6c34.json"

WORK = Work(
    [LoadEntry(2**63 + 1, 900, 3, 4, 17, 800, 1, 55), LoadEntry(7, 0, 0, 1, 2)],
    [
        DemandEntry(
            ServiceName("engines"),
            1_200,
            800,
            [RouteEntry(2**40, 9, 700, 300, 12_000, 8, 6_400)],
            [1, 2, 3, 4, 5],
            [UrgencyEntry(0, 120, 990, 4, 30, 100)],
        ),
        DemandEntry(ServiceName("archive"), 0, 3),
    ],
)
UPSTREAM = RegisteredUpstream(
    instance=InstanceId("engine-1"),
    service=ServiceName("engines"),
    address="10.0.0.7",
    port=8_080,
    failure_domain=FailureDomain("a"),
    slots=16,
    availability=Availability.READY,
    started_ms=1_700_000_000_000,
    software_version=SoftwareVersion("v1"),
)
BODIES = {
    "load": LoadReport(FailureDomain("a"), WORK),
    "domain": DomainReport(FailureDomain("a"), 12, WORK),
    "totals": TotalsReport(41, 3, 80, WORK),
    "loss": LossReport(Fingerprint("f1"), "loss-1"),
    "losses": LossesReport([FingerprintEntry("f1", [7, 2**64 - 1], 1_200)]),
    "suspects": SuspectsReport(
        [SuspectEntry(99, 1_500, [LossEntry(5, 800, 700)]), SuspectEntry(98, None, [])]
    ),
    "limit": LimitReport(InstanceId("engine-1"), 1_700_000_000_000, 12.5),
    "no limit": LimitReport(InstanceId("engine-1"), None, None),
    "rejection": RejectionReport(InstanceId("engine-1"), 1_700_000_000_000, 3),
    "registry": RegistryReport(2**64 - 1, 77, 5, [UPSTREAM], [InstanceId("engine-2")], 4),
    "registry without changes": RegistryReport(2**64 - 1, 77),
    "configuration": ConfigurationReport(70, 12.25, 4, 12, False),
    "streams": StreamsReport(
        RelaySource.REMOTE_HUB,
        [VersionStreams(SoftwareVersion("v1"), [1, 2**64 - 1]), VersionStreams(None, [3])],
    ),
}


def compute_hashes() -> dict[str, int]:
    """Return the hashes by which hosts name things to each other."""
    return {
        "registry": hash_registry([UPSTREAM]),
        "instance": _hash_instance(UPSTREAM.instance),
        "stream": hash_stream(AttemptId("a1")),
        "part": hash_part(PromptPartId("p1")),
    }


def build_recording() -> dict[str, Any]:
    """Return each message as hexadecimal digits with its fields, and the rows as JSON."""
    sender = Sender(3, HostId("front-1"), 1_700_000_000_123, 42)
    messages = {}
    for name, body in BODIES.items():
        message = PeerMessage(sender, body)
        messages[name] = {
            "hex": encode_message(message).hex(),
            "fields": msgspec.to_builtins(message),
        }
    row = HostRow(address="10.0.0.1", failure_domain="a")
    rows = {"host": msgspec.json.encode(row).decode()}
    return {"messages": messages, "rows": rows, "hashes": compute_hashes()}


if __name__ == "__main__":
    sys.stdout.buffer.write(msgspec.json.encode(build_recording()) + b"\n")

"""Decoders of bytes that others wrote return a value or a failure for all bytes."""

import re
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from returns.result import Failure, Success

import greengagestage
from greengagestage.decoding import decode_json
from greengagestage.duties._lease import decode_lease
from greengagestage.gateway.crashes._crash_rows import IgnoredRow, KnownCrashes
from greengagestage.gateway.crashes._crash_rows import decode_row as decode_crashes
from greengagestage.gateway.peers._peer_messages import (
    PROTOCOL_VERSION,
    PeerMessage,
    Sender,
    decode_message,
    encode_message,
)
from greengagestage.gateway.watches._era_table import decode_known_ms
from greengagestage.gateway.watches._host_list import HostRow
from greengagestage.gateway.watches._registry_reports import build_registry_reports
from greengagestage.gateway.watches._version_rows import decode_row
from greengagestage.ids import HostId
from greengagestage.platform import (
    RowsRead,
    check_document,
    decode_route_table,
    decode_upstream,
)
from greengagestage.platform._rows import _interpret_read, _interpret_write
from greengagestage.platform._store_calls import StoreAnswer

from .record_messages import BODIES

HUGE = 10**400
NESTED = b'{"Service": "app", "Tags": ' + b"[" * 100_000
ENTRY = {
    "Service": "app",
    "Address": "10.0.0.1:80",
    "Zone": "a",
    "Slots": 4,
    "State": "ready",
    "Sequence": 1,
}

DECODERS: dict[str, Callable[[bytes], object]] = {
    "duties/_lease.py": decode_lease,
    "duties/_lease_keeper.py": lambda data: decode_json(data, dict[str, int]),
    "gateway/crashes/_crash_rows.py": lambda data: decode_crashes(data, RowsRead(revision=1), 0.0),
    "gateway/watches/_era_table.py": lambda data: decode_known_ms(data, era=1),
    "gateway/watches/_host_list.py": lambda data: decode_json(data, HostRow),
    "gateway/peers/_peer_messages.py": decode_message,
    "gateway/watches/_version_rows.py": lambda data: decode_row(
        data, era=1, now_s=0.0, store_s=0.0
    ),
    "platform/_document_checks.py": lambda data: check_document(data, None),
    "platform/_registry_codec.py": lambda data: decode_upstream("i-1", data),
    "platform/_route_codec.py": decode_route_table,
    "platform/_rows.py": lambda data: (
        _interpret_read(StoreAnswer(status=200, body=data)),
        _interpret_write(StoreAnswer(status=200, body=data)),
    ),
}
"""The decoders of the host's processes by the module that calls them."""

FIELDS = [*ENTRY, "leaves_ms", "born", "ColdRemainingMs", "era", "since_ms", "versions", "token"]
FIELDS += ["written_ms", "losses", "suspects"]
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([HUGE, -HUGE, 2**63, 1e308, -1.0, "", "\x00", "²", "::1", "1.2.3.4:99999"]),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=8),
    st.lists(st.integers(), max_size=2),
)


def list_decoding_modules() -> set[str]:
    """Return the modules of the host's packages that decode bytes."""
    package = Path(greengagestage.__file__).parent
    pattern = re.compile(r"(json|msgpack)\.(decode|Decoder)\(|\b(decode|convert)_json\(")
    return {
        path.relative_to(package).as_posix()
        for each in ("duties", "gateway", "platform")
        for path in (package / each).rglob("*.py")
        if pattern.search(path.read_text())
    }


# Guards against a new decoder that is left out of the tests below.
def test_all_decoders_are_listed() -> None:
    assert list_decoding_modules() == set(DECODERS)


# Guards against bytes that end the step of a reader with an exception.
@pytest.mark.parametrize("module", DECODERS)
@given(data=st.binary(max_size=64), fields=st.dictionaries(st.sampled_from(FIELDS), ODD_VALUES))
@example(data=NESTED, fields={})
@example(data=b"\x91" * 1_300, fields={})
@example(data=b"", fields={"leaves_ms": HUGE, "since_ms": HUGE, "token": HUGE})
@example(data=b"", fields={"Address": "10.0.0.1:" + "9" * 5_000})
def test_decoders_return_for_all_bytes(module: str, data: bytes, fields: dict[str, object]) -> None:
    DECODERS[module](data)
    DECODERS[module](encode_json({**ENTRY, **fields}))


def encode_json(fields: dict[str, object]) -> bytes:
    """Encode fields, whole numbers of any size among them."""
    items = (
        (
            f'"{name}": {value}'.encode()
            if isinstance(value, int) and not isinstance(value, bool)
            else msgspec.json.encode(name) + b": " + msgspec.json.encode(value)
        )
        for name, value in fields.items()
    )
    return b"{" + b", ".join(items) + b"}"


# Guards against recorded crashes with numbers that no datagram to another host can hold.
@pytest.mark.parametrize(
    ("loss", "crash", "age"), [(HUGE, 1, 5), (1, -1, 5), (1, 1, HUGE), (1, 1, -HUGE), (1, 1, 5)]
)
def test_recorded_crashes_with_odd_numbers_are_unreadable(loss: int, crash: int, age: int) -> None:
    losses = b'"losses": ["losses", [["f", [%d], 5]]]' % loss
    suspects = b'"suspects": ["suspects", [[1, null, [[%d, %d, 5]]]]]' % (crash, age)
    row = b'{"era": null, "written_ms": 0, %s, %s}' % (losses, suspects)
    known = decode_crashes(row, RowsRead(revision=1), 0.0)
    is_sound = (loss, crash, age) == (1, 1, 5)
    assert isinstance(known, KnownCrashes) if is_sound else known is IgnoredRow.UNREADABLE


# Guards against odd datagrams of peers, cut or changed in one place.
@pytest.mark.parametrize("name", BODIES)
@given(cut=st.integers(0, 200), value=st.binary(max_size=3))
def test_changed_datagrams_are_decoded_or_dropped(name: str, cut: int, value: bytes) -> None:
    sender = Sender(PROTOCOL_VERSION, HostId("front-1"), 1_700_000_000_123, 42)
    data = encode_message(PeerMessage(sender, BODIES[name]))
    decode_message(data[:cut] + value + data[cut + 1 :])


# Guards against entries that are read but cannot be told to other hosts, or connected to.
@pytest.mark.parametrize(
    "fields",
    [
        {"Slots": 10**30},
        {"Sequence": 10**30},
        {"born": 10**30},
        {"Address": "10.0.0.1:70000"},
        {"Address": "10.0.0.1:²"},
        {"Address": "10.0.0.1:" + "9" * 5_000},
        {"Address": "elsewhere:80"},
    ],
    ids=["slots", "sequence", "born", "port", "digit", "long_port", "name"],
)
def test_entries_that_no_host_could_use_are_unreadable(fields: dict[str, object]) -> None:
    assert isinstance(decode_upstream("i-1", encode_json({**ENTRY, **fields})), Failure)


# Guards against a usable upstream that is dropped for a time that nobody could mean.
@pytest.mark.parametrize("leaves_ms", [HUGE, -HUGE, "soon", True, None])
def test_an_odd_time_of_leaving_counts_as_none(leaves_ms: object) -> None:
    decoded = decode_upstream("i-1", encode_json({**ENTRY, "leaves_ms": leaves_ms}))
    assert isinstance(decoded, Success)
    assert decoded.unwrap().leaves_s is None
    upstream = decoded.unwrap()
    for report in build_registry_reports({}, {upstream.instance: upstream}, 1):
        msgspec.msgpack.encode(report)

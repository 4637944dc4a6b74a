"""Decoding of the entries that upstreams write to the platform's registry."""

import re
from ipaddress import ip_address
from typing import Annotated, Any

from msgspec import Meta, Struct, field
from returns.result import Result

from greengagestage.catalog import Availability, RegisteredUpstream
from greengagestage.decoding import Integer, convert_json
from greengagestage.ids import FailureDomain, InstanceId, ServiceName, SoftwareVersion

from ._host_settings import MS_PER_S

_AVAILABILITY = {"ready": Availability.READY, "draining": Availability.LEAVING}

MAX_SLOTS = 1_000_000
"""An entry with more slots is taken to be wrong: sums over all upstreams stay exact."""

MAX_SHOWN = 60
"""Number of characters of an address that a failure shows."""

_PORT = re.compile("[0-9]{1,5}")


class _Entry(Struct):
    """An upstream's entry.

    Attributes:
        address: ``ip:port``.
        failure_domain: ``Zone`` on the platform.
        cold_remaining_ms: Remaining warm-up time, during which the upstream is slow.
        software_version: ``Version`` on the platform, where weights and documents have others.
        born: Unix time in milliseconds at which the process started.
        spot: True on spot servers. Any other value counts as False.
        leaves_ms: Time until the platform takes the server away. A value that is not a time counts
            as none: the entry describes a usable upstream all the same.
    """

    service: Annotated[str, Meta(min_length=1)] = field(name="Service")
    address: str = field(name="Address")
    failure_domain: str = field(name="Zone")
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)] = field(name="Slots")
    state: str = field(name="State")
    sequence: Integer = field(name="Sequence")
    cold_remaining_ms: float = field(name="ColdRemainingMs", default=0.0)
    software_version: str | None = field(name="Version", default=None)
    born: Integer | None = None
    spot: Any = field(name="Spot", default=False)
    leaves_ms: Any = None


def decode_upstream(instance: str, data: bytes) -> Result[RegisteredUpstream, str]:
    """Decode an entry; a failure says why it does not describe a usable upstream."""
    return convert_json(data, _Entry, lambda entry: _build_upstream(instance, entry))


def _build_upstream(instance: str, entry: _Entry) -> RegisteredUpstream:
    availability = _AVAILABILITY.get(entry.state)
    if availability is None:
        raise ValueError(f"unknown state {entry.state!r}")
    address, port = _parse_address(entry.address)
    return RegisteredUpstream(
        instance=InstanceId(instance),
        service=ServiceName(entry.service),
        address=address,
        port=port,
        failure_domain=FailureDomain(entry.failure_domain),
        slots=entry.slots,
        availability=availability,
        started_ms=entry.born,
        cold_s=max(entry.cold_remaining_ms, 0.0) / MS_PER_S,
        software_version=(
            None if entry.software_version is None else SoftwareVersion(entry.software_version)
        ),
        spot=entry.spot is True,
        leaves_s=_read_time_s(entry.leaves_ms),
    )


def _parse_address(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65_536:
        raise ValueError(f"address {text[:MAX_SHOWN]!r} is not ip:port")
    ip_address(address)
    return address, int(port)


def _read_time_s(value_ms: object) -> float | None:
    if isinstance(value_ms, bool) or not isinstance(value_ms, int | float):
        return None
    try:
        return max(float(value_ms), 0.0) / MS_PER_S
    except OverflowError:
        return None

"""Reports of what a host has read in the registry of upstreams, and hashes to compare copies."""

from collections.abc import Iterable, Mapping

import xxhash
from msgspec.structs import replace

from greengagestage.catalog import RegisteredUpstream
from greengagestage.ids import InstanceId

from ..peers import RegistryReport

ENTRIES_PER_REPORT = 4
MAX_REPORTED_ENTRIES = 24
"""Maximum number of changed entries in one datagram, where each takes about 220 bytes, and in one
change. After a larger change every host reads the registry itself."""


def build_registry_reports(
    before: Mapping[InstanceId, RegisteredUpstream],
    after: Mapping[InstanceId, RegisteredUpstream],
    revision: int,
    *,
    era: int | None = None,
    is_complete: bool = False,
) -> list[RegistryReport]:
    """Return the reports of a read for the other hosts.

    The change is split into several reports. If no hashed field changed, or too many entries, a
    single report without entries is returned.

    Args:
        is_complete: Whether entries that are missing after the whole change are gone.
    """
    listed = [
        upstream
        for key, upstream in after.items()
        if key not in before or _list_hashed_fields(before[key]) != _list_hashed_fields(upstream)
    ]
    dropped = sorted(before.keys() - after.keys())
    batches = [
        listed[i : i + ENTRIES_PER_REPORT] for i in range(0, len(listed), ENTRIES_PER_REPORT)
    ]
    if (
        len(listed) > MAX_REPORTED_ENTRIES
        or len(dropped) > MAX_REPORTED_ENTRIES
        or not (batches or dropped)
    ):
        digest = hash_registry(after.values())
        return [RegistryReport(digest, revision, era=era, is_complete=is_complete)]
    reports = []
    current = {key: upstream for key, upstream in before.items() if key not in dropped}
    digest, removed = hash_registry(before.values()), dropped
    for batch in batches or [[]]:
        current.update({upstream.instance: upstream for upstream in batch})
        previous_digest, digest = digest, hash_registry(current.values())
        reports.append(RegistryReport(digest, revision, previous_digest, batch, removed, era))
        removed = []
    reports[-1] = replace(reports[-1], is_complete=is_complete)
    return reports


def _list_hashed_fields(upstream: RegisteredUpstream) -> tuple[object, ...]:
    """Return the fields by which copies of the registry are compared between hosts.

    The remaining warm-up time and the time until an upstream is taken away are left out: they
    change with every heartbeat, and hosts use them only when a process is first listed, or as
    leaving. Whether a server is a spot server is left out since builds that do not know it would
    compute another hash; it never changes for an instance.
    """
    return (
        (upstream.instance, upstream.started_ms, upstream.availability.value),
        (upstream.service, upstream.address, upstream.port, upstream.slots),
        (upstream.failure_domain, upstream.software_version),
    )


def hash_registry(upstreams: Iterable[RegisteredUpstream]) -> int:
    """Hash the compared fields of all entries; equal on hosts whose copies agree in them."""
    digest = xxhash.xxh64()
    for upstream in sorted(upstreams, key=lambda upstream: upstream.instance):
        digest.update(repr(_list_hashed_fields(upstream)).encode())
    return digest.intdigest()

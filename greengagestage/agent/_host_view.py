"""The agent's view of the fleet, as rows of the operators' tables."""

import time
from collections.abc import Callable

from msgspec import MsgspecError

from greengagestage.configuration import (
    HISTORY_PREFIX,
    Adoption,
    Declaration,
    Upstream,
    UpstreamKind,
    VersionRow,
)
from greengagestage.ids import HostId, RequestId
from greengagestage.language import Row
from greengagestage.membership import Membership
from greengagestage.outcomes import Unavailable
from greengagestage.services import TableClient
from greengagestage.wire import MemberState

from ._request_log import LoggedRequest, RequestLog
from ._upstream_view import UpstreamView

HISTORY_LIMIT = 10_000
_MS_PER_S = 1000
_STATE_NAMES = {
    MemberState.LIVE: "live",
    MemberState.SUSPECT: "live",
    MemberState.LEAVING: "leaving",
    MemberState.GONE: "gone",
}
"""The states that operators see. A suspect host is shown as live."""


class HostView:
    """Builds rows in the order of the tables' fields. Only ``versions`` calls the platform."""

    def __init__(
        self,
        *,
        host: HostId,
        adoption: Adoption,
        membership: Membership,
        upstreams: UpstreamView,
        requests: RequestLog,
        table: TableClient,
    ) -> None:
        self.host = host
        self.adoption = adoption
        self.membership = membership
        self._upstreams = upstreams
        self._requests = requests
        self._table = table
        self._readers: dict[str, Callable[[], list[Row]]] = {
            "upstreams": self._list_upstreams,
            "hosts": self._list_hosts,
            "requests": self._list_requests,
            "attainment": self._list_attainment,
            "classes": self._list_classes,
            "workspaces": self._list_workspaces,
            "quarantine": self._list_quarantine,
        }

    @property
    def declaration(self) -> Declaration | None:
        """The declaration in force, if any."""
        version = self.adoption.in_force
        return None if version is None else version.declaration

    async def list_rows(self, table: str) -> list[Row] | Unavailable:
        """Return the rows of a table on this host."""
        if table == "versions":
            return await self._list_versions()
        reader = self._readers.get(table)
        return reader() if reader is not None else []

    def explain_request(self, request_id: RequestId) -> tuple[str, ...] | None:
        """Return the decisions about a request, or None if this host has no record of it."""
        logged = self._requests.find(request_id)
        if logged is None:
            return None
        record = logged.record
        head = (
            f"request {record.request_id} on {self.host}: {record.state}, code {record.code}, "
            f"class {record.service_class}, pool {record.pool}, {record.attempts} attempts, "
            f"last at {record.upstream or '-'}"
        )
        return (head, *record.notes)

    def explain_upstream(self, name: str) -> tuple[str, ...] | None:
        """Return what is known of an upstream and its sources, or None if it is not declared."""
        upstream = next((u for u in self._upstreams.declared.values() if u.name == name), None)
        if upstream is None:
            return None
        (status,) = self._upstreams.build_statuses([upstream.name])
        mark = self.membership.records.find_mark(upstream.name)
        return (
            f"upstream {name} at {upstream.url}: {status.state}",
            f"draining by the configuration: {'yes' if upstream.draining else 'no'}",
            f"leaving by reports of hosts: {'yes' if mark and mark.leaving else 'no'}",
            f"running {status.running}, waiting {status.waiting}, {status.age_ms} ms ago",
            f"in flight from other hosts: {status.peers_in_flight}",
        )

    def _list_upstreams(self) -> list[Row]:
        declared = self._upstreams.declared
        statuses = self._upstreams.build_statuses(declared)
        return [
            (
                status.upstream,
                declared[status.upstream].kind.value,
                _format_state(declared[status.upstream], status.state),
                declared[status.upstream].failure_domain,
                _format_served(declared[status.upstream]),
                declared[status.upstream].slots,
                status.running,
                status.waiting,
                round((status.running + status.waiting) / declared[status.upstream].slots, 3),
                status.age_ms,
                declared[status.upstream].url,
            )
            for status in statuses
        ]

    def _list_hosts(self) -> list[Row]:
        now_s = time.monotonic()
        measurements = self.membership.measurements
        rows: list[Row] = []
        for record in self.membership.records.list_hosts():
            report = measurements.reports.get(record.host)
            at_s = measurements.report_stored_at_s.get(record.host)
            rows.append(
                (
                    record.host,
                    _STATE_NAMES[record.state],
                    record.failure_domain,
                    record.address,
                    report.version if report else None,
                    int(_MS_PER_S * (now_s - at_s)) if at_s is not None else None,
                )
            )
        return rows

    def _list_requests(self) -> list[Row]:
        now_s = time.monotonic()
        return [self._build_request_row(logged, now_s) for logged in self._requests.list_newest()]

    def _build_request_row(self, logged: LoggedRequest, now_s: float) -> Row:
        record = logged.record
        return (
            record.request_id,
            self.host,
            record.workspace,
            record.service_class,
            record.pool,
            record.state,
            record.code,
            record.age_ms + int(_MS_PER_S * (now_s - logged.received_at_s)),
            record.first_token_ms if record.first_token_ms >= 0 else None,
            record.answer_ms if record.answer_ms >= 0 else None,
            record.tokens,
            record.attempts,
            record.upstream,
            record.within_target,
        )

    def _list_attainment(self) -> list[Row]:
        return [
            (
                self.host,
                key.service_class,
                key.workspace,
                key.start_unix_s,
                outcomes.ended,
                outcomes.delivered,
                outcomes.refused,
                outcomes.may_have_run,
                outcomes.within_target,
                outcomes.tokens,
                round(outcomes.within_target / outcomes.ended, 4),
            )
            for key, outcomes in self._requests.minutes.items()
        ]

    def _list_classes(self) -> list[Row]:
        return [
            (
                item.name,
                item.priority,
                item.first_token_target_ms,
                item.inter_token_target_ms,
                item.answer_target_ms,
                item.late_answer.value,
                item.minimum_share,
                item.queue_limit,
                item.retry_ratio,
            )
            for item in (self.declaration.classes if self.declaration else ())
        ]

    def _list_workspaces(self) -> list[Row]:
        return [
            (
                item.name,
                item.default_class,
                item.weight,
                item.requests_per_s,
                item.burst,
                item.concurrency,
                len(item.keys),
            )
            for item in (self.declaration.workspaces if self.declaration else ())
        ]

    def _list_quarantine(self) -> list[Row]:
        declared = self.declaration.quarantined if self.declaration else ()
        crashed = {record.fingerprint for record in self.membership.records.list_quarantined()}
        rows: list[Row] = [(fingerprint, "operator") for fingerprint in declared]
        return rows + [(fingerprint, "crashes") for fingerprint in sorted(crashed - set(declared))]

    async def _list_versions(self) -> list[Row] | Unavailable:
        rows = await self._table.read_rows(HISTORY_PREFIX, HISTORY_LIMIT)
        if isinstance(rows, Unavailable):
            return rows
        try:
            versions = [row.decode(VersionRow) for row in reversed(rows)]
        except MsgspecError as error:
            return Unavailable(reason=str(error))
        return [(v.version, v.digest, v.operator, v.at, v.command) for v in versions]


def _format_state(upstream: Upstream, state: str) -> str:
    return "leaving" if upstream.draining and state == "live" else state


def _format_served(upstream: Upstream) -> str:
    if upstream.kind is UpstreamKind.SERVICE:
        return upstream.service or ""
    return ", ".join(upstream.models)

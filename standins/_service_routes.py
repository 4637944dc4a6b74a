"""The HTTP interface of the stand-in plain service."""

import os
from pathlib import Path

import msgspec

from ._faults import ActiveFault, Fault, FaultKind
from ._http import Call, Reply, build_json_reply, reactor
from ._ledger import Ledger, Run, RunOutcome

CRASH_EXIT_CODE = 70
REFUSAL_RETRY_AFTER_S = 1


class ServiceRoutes:
    """Answers any path: GET and HEAD with a document, other methods with a numbered record."""

    def __init__(self, *, name: str, delay_s: float, ledger_file: Path | None) -> None:
        self._name = name
        self._delay_s = delay_s
        self._ledger_file = ledger_file
        self._ledger = Ledger()
        self._faults = ActiveFault()
        self._record_count = 0
        self._held_calls: list[Call] = []

    def handle(self, call: Call) -> Reply | None:
        """Answer one call, or return None when the answer follows later."""
        match (call.method, call.path):
            case ("GET", "/_standin/ledger"):
                return build_json_reply(self._ledger.build_page())
            case ("POST", "/_standin/faults"):
                self._set_fault(msgspec.json.decode(call.body, type=Fault))
                return build_json_reply({"ok": True})
        if self._faults.is_active(FaultKind.FREEZE):
            self._held_calls.append(call)
            return None
        return self._start(call)

    def _set_fault(self, fault: Fault) -> None:
        if fault.kind is FaultKind.CRASH:
            if self._ledger_file is not None:
                self._ledger.append_to(self._ledger_file)
            os._exit(CRASH_EXIT_CODE)
        self._faults.set(fault)
        if self._faults.is_active(FaultKind.FREEZE):
            return
        held, self._held_calls = self._held_calls, []
        for call in held:
            reply = None if call.closed else self._start(call)
            if reply is not None:
                call.send(reply)

    def _start(self, call: Call) -> Reply | None:
        if call.path == "/healthz":
            return build_json_reply({"ok": True})
        if self._faults.consume(FaultKind.LEAVING):
            return _build_refusal(leaving=True)
        if self._faults.consume(FaultKind.REFUSE):
            return _build_refusal(leaving=False)
        run = self._ledger.add(
            Run(
                request_id=call.get_header("X-Request-Id"),
                attempt_id=call.get_header("X-Attempt-Id"),
                idempotency_key=call.get_header("Idempotency-Key"),
                method=call.method,
                path=call.path,
            )
        )
        delay_s = self._delay_s * self._faults.slow_factor
        reactor.callLater(delay_s, self._finish, call, run)
        return None

    def _finish(self, call: Call, run: Run) -> None:
        if self._faults.is_active(FaultKind.FREEZE):
            reactor.callLater(self._delay_s, self._finish, call, run)
            return
        reply = self._build_answer(call)
        run.text = reply.body.decode()
        run.outcome = RunOutcome.FINISHED
        if self._faults.consume(FaultKind.SILENT):
            return
        if self._faults.consume(FaultKind.CUT_AFTER):
            run.outcome = RunOutcome.CUT
            _send_truncated(call, reply, self._faults.cut_length)
            return
        call.send(reply)

    def _build_answer(self, call: Call) -> Reply:
        if call.method in ("GET", "HEAD"):
            return build_json_reply({"service": self._name, "document": call.path})
        self._record_count += 1
        record = {
            "service": self._name,
            "record": self._record_count,
            "path": call.path,
            "received_bytes": len(call.body),
        }
        return build_json_reply(record, status=201)


def _send_truncated(call: Call, reply: Reply, length: int) -> None:
    if call.closed:
        return
    call.request.setHeader("Content-Length", str(len(reply.body)))
    call.request.write(reply.body[:length])
    call.abort()


def _build_refusal(*, leaving: bool) -> Reply:
    headers = {"X-Not-Started": "true", "Retry-After": str(REFUSAL_RETRY_AFTER_S)}
    if leaving:
        headers["X-Leaving"] = "true"
    return build_json_reply({"error": "not started"}, status=503, headers=headers)

"""The HTTP interface of the stand-in engine."""

from typing import Any

import msgspec
from msgspec import Struct
from twisted.web import client as _client

from ._completions import CompletionBody
from ._engine import Engine
from ._faults import Fault, FaultKind
from ._http import Call, Reply, build_json_reply, reactor
from ._kv_holds import ExportRequest, HeldPrompt, Hold, ImportRequest
from ._ledger import Run
from ._orders import OrdersState
from ._output import analyze_prompt

LOWEST_PRIORITY = 100
REFUSAL_RETRY_AFTER_S = 1
IMPORT_US_PER_TOKEN = 5.0
IMPORTED_HOLD_S = 30.0
_web: Any = _client
_CONTROL_PREFIX = "/_standin/"
_COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")


class _ImportedTokens(Struct, frozen=True, kw_only=True):
    tokens: int


class EngineRoutes:
    """Answers the engine's HTTP calls; delays them while the engine is frozen."""

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine
        self._held_calls: list[Call] = []
        self._agent = _web.Agent(reactor)

    def handle(self, call: Call) -> Reply | None:
        """Answer one call, or return None when the answer follows later."""
        if call.path.startswith(_CONTROL_PREFIX):
            return self._answer_control_call(call)
        if self._engine.frozen:
            self._held_calls.append(call)
            return None
        return self._answer(call)

    def _answer(self, call: Call) -> Reply | None:
        parts = call.path.strip("/").split("/")
        match (call.method, *parts):
            case ("POST", "v1", *_) if call.path in _COMPLETION_PATHS:
                return self._start_completion(call)
            case ("DELETE", "v1", "attempts", attempt_id):
                found = self._engine.cancel(attempt_id)
                return build_json_reply({"cancelled": found}, status=200 if found else 404)
            case ("GET", "load"):
                return build_json_reply(self._engine.load.report(reactor.seconds()))
            case ("GET", "cache", "events"):
                return self._list_cache_events(call)
            case ("GET", "healthz"):
                return build_json_reply({"ok": True})
            case (_, "kv", *subpath):
                return self._answer_kv(call, subpath)
            case (_, "orders", "state"):
                return self._answer_orders(call)
        return build_json_reply({"error": "no such path"}, status=404)

    def _answer_control_call(self, call: Call) -> Reply:
        match (call.method, call.path):
            case ("GET", "/_standin/ledger"):
                return build_json_reply(self._engine.ledger.build_page())
            case ("GET", "/_standin/orders"):
                return build_json_reply({"orders": self._engine.orders.received})
            case ("POST", "/_standin/faults"):
                self._engine.set_fault(msgspec.json.decode(call.body, type=Fault))
                self._answer_held_calls()
                return build_json_reply({"ok": True})
        return build_json_reply({"error": "no such path"}, status=404)

    def _answer_held_calls(self) -> None:
        if self._engine.frozen:
            return
        held, self._held_calls = self._held_calls, []
        for call in held:
            reply = None if call.closed else self._answer(call)
            if reply is not None:
                call.send(reply)

    def _start_completion(self, call: Call) -> Reply | None:
        refusal = self._build_fault_refusal()
        if refusal is not None:
            return refusal
        body = msgspec.json.decode(call.body, type=CompletionBody)
        if body.model not in self._engine.orders.state.models:
            return _build_refusal("the model is not loaded", status=404)
        if not body.stream:
            return _build_refusal("only streams are served", status=400)
        prompt = analyze_prompt(body.join_prompt())
        attempt_id = call.get_header("X-Attempt-Id") or f"unnamed-{id(call):x}"
        run = Run(
            request_id=call.get_header("X-Request-Id"),
            attempt_id=attempt_id,
            idempotency_key=call.get_header("Idempotency-Key"),
            workspace=body.user,
            path=call.path,
        )
        self._engine.submit(
            call=call,
            run=run,
            prompt=prompt,
            resumed_token_ids=body.resume.token_ids if body.resume else (),
            max_output_tokens=min(prompt.output_tokens, body.max_tokens or prompt.output_tokens),
            priority=int(call.get_header("X-Priority") or LOWEST_PRIORITY),
            model=body.model,
            chat=body.messages is not None,
        )
        return None

    def _build_fault_refusal(self) -> Reply | None:
        if self._engine.faults.consume(FaultKind.LEAVING):
            return _build_refusal("the engine is leaving", leaving=True)
        if self._engine.faults.consume(FaultKind.REFUSE):
            return _build_refusal("the engine takes no work")
        return None

    def _list_cache_events(self, call: Call) -> Reply:
        after = int(call.get_argument("after", "0"))
        events, next_seq = self._engine.cache.list_events(after, reactor.seconds())
        return build_json_reply({"events": events, "next": next_seq})

    def _answer_orders(self, call: Call) -> Reply:
        orders = self._engine.orders
        if call.method == "GET":
            return build_json_reply(orders.state)
        accepted = orders.apply(msgspec.json.decode(call.body, type=OrdersState))
        return build_json_reply(orders.state, status=200 if accepted else 409)

    def _answer_kv(self, call: Call, subpath: list[str]) -> Reply | None:
        match (call.method, *subpath):
            case ("POST", "export"):
                return self._export(msgspec.json.decode(call.body, type=ExportRequest))
            case ("POST", "import"):
                self._import(call, msgspec.json.decode(call.body, type=ImportRequest))
                return None
            case ("GET", handle):
                held = self._engine.holds.find(handle, reactor.seconds())
                return build_json_reply(held, status=200 if held else 404)
            case ("DELETE", handle):
                found = self._engine.holds.release(handle)
                return build_json_reply({"released": found}, status=200 if found else 404)
        return build_json_reply({"error": "no such path"}, status=404)

    def _export(self, request: ExportRequest) -> Reply:
        now_s = reactor.seconds()
        expires_s = now_s + request.hold_ms / 1e3
        handle = f"kv-{request.attempt_id}"
        context = self._engine.find_context(request.attempt_id)
        if context is not None:
            self._engine.holds.keep(handle, context, expires_s)
        else:
            context = self._engine.holds.renew(handle, expires_s, now_s)
        if context is None:
            return build_json_reply({"error": "no such attempt"}, status=404)
        hold = Hold(handle=handle, tokens=context.tokens, expires_ms=request.hold_ms)
        return build_json_reply(hold)

    def _import(self, call: Call, request: ImportRequest) -> None:
        pending = self._agent.request(
            b"GET", f"{request.source}/kv/{request.handle}".encode()
        ).addCallback(_web.readBody)
        pending.addCallback(lambda body: self._schedule_import(call, request, body))
        pending.addErrback(
            lambda _: call.send(
                build_json_reply({"error": "the source has no such hold"}, status=404)
            )
        )

    def _schedule_import(self, call: Call, request: ImportRequest, body: bytes) -> None:
        held = msgspec.json.decode(body, type=HeldPrompt)
        transfer_s = held.tokens * IMPORT_US_PER_TOKEN / 1e6
        reactor.callLater(transfer_s, self._finish_import, call, request, held)

    def _finish_import(self, call: Call, request: ImportRequest, held: HeldPrompt) -> None:
        now_s = reactor.seconds()
        expires_s = now_s + IMPORTED_HOLD_S
        self._engine.holds.keep(f"{request.handle}-in", held, expires_s, imported=True)
        call.send(build_json_reply(_ImportedTokens(tokens=held.tokens)))


def _build_refusal(message: str, *, status: int = 503, leaving: bool = False) -> Reply:
    headers = {"X-Not-Started": "true"}
    if status == 503:
        headers["Retry-After"] = str(REFUSAL_RETRY_AFTER_S)
    if leaving:
        headers["X-Leaving"] = "true"
    return build_json_reply({"error": message}, status=status, headers=headers)

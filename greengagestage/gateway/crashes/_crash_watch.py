"""Recognizes crashes of upstreams under prompts, and keeps crashing prompts from being sent."""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import xxhash
from eliot import log_message

from greengagestage.catalog import Availability, Prompt, RegisteredUpstream
from greengagestage.http1 import ClientConnection, ConnectionPool, Endpoint
from greengagestage.ids import AttemptId, Crash, Fingerprint, Incarnation, PromptPartId
from greengagestage.routing import (
    CrashSuspects,
    ObservedLoss,
    PartLoss,
    RecentLosses,
    SuspectRecord,
)

from ._awaited_ends import AwaitedEnd, AwaitedEnds
from ._lost_answer import LostAnswer

CRASH_CONFIRMATION_S = 0.1
"""Time after a lost answer at which the other connections to its upstream are looked at. A crash
ends all of them within a few milliseconds."""


SIMULTANEOUS_S = 0.05
"""Connections to several upstreams that end within this time have a common cause: this host's
links, or a failure of more than one upstream. A prompt crashes one at a time."""

MAX_PROOF_S = 15.0
"""Time for which the registry may prove that an upstream has ended. It removes the entry of a
silent one after three missed heartbeats; a later end is another one."""

MAX_UNPROVEN = 512
"""Maximum numbers of losses under prompt parts, and of those under equal requests, that await such
a proof. Failing links lose many at a time, for either."""

MAX_LEFT = 2_048
"""Maximum number of runs whose connections were closed and which may go on."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Counted:
    """A lost answer that counts, unless its upstream answers later.

    Attributes:
        on_alive: Called if it does.
    """

    lost: LostAnswer
    on_alive: Callable[[], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Tried:
    """What is called once a new connection to an upstream is open, or could not be opened."""

    on_open: Callable[[], None]
    on_failed: Callable[[], None]


class CrashWatch:
    """Records which prompts were lost in crashes and which were answered.

    Args:
        report: Tells the other hosts of changed records.
        report_early: Tells the other hosts of a lost answer, before it is judged.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ConnectionPool,
        report: Callable[[Sequence[SuspectRecord]], None],
        report_early: Callable[[ObservedLoss], None] = lambda loss: None,
    ) -> None:
        self.suspects = CrashSuspects()
        self._recent_losses = RecentLosses()
        self._unproven_parts = AwaitedEnds(most=MAX_UNPROVEN)
        self._unproven = AwaitedEnds(most=MAX_UNPROVEN)
        self._left = AwaitedEnds(most=MAX_LEFT)
        self._connecting: dict[Endpoint, list[_Tried]] = {}
        self._counted: dict[Incarnation, list[_Counted]] = {}
        self._leaving: dict[Incarnation, float] = {}  # when the registry last showed it
        self._reactor = reactor
        self._pool = pool
        self._report = report
        self._report_early = report_early
        pool.on_aborted = self._handle_connection_lost

    def examine_loss(self, lost: LostAnswer) -> None:
        """Suspect a prompt whose answer had just begun, if its upstream has crashed."""
        self._call_later(self._confirm, lost)

    def call_when_judged(
        self,
        lost: LostAnswer,
        *,
        on_crashed: Callable[[], None],
        on_other: Callable[[str], None],
    ) -> None:
        """Call one of two functions once it shows whether a lost answer's upstream has crashed.

        Args:
            on_crashed: Called if it has; also later, if only the registry shows it.
            on_other: Called if the answer was probably lost for another cause, with that cause;
                also after ``on_crashed``, if the upstream answers on a connection of this host.
        """
        if lost.forwarded_by is None:
            self._handle_connection_lost(_get_endpoint(lost.upstream))
        observed = lost.observe()
        self.remember(observed)
        self._report_early(observed)
        self._call_later(self._judge, lost, on_crashed, on_other)

    def watch_left(
        self,
        lost: LostAnswer,
        until_s: float,
        *,
        on_crashed: Callable[[], None],
        on_other: Callable[[str], None],
    ) -> None:
        """Watch a run whose connection this host has just closed, and which may go on.

        If connections to its upstream end by then, that is judged as for a lost answer.

        Args:
            until_s: Time by which the run has ended.
            on_crashed: Called if the upstream has crashed; also if only the registry shows it.
            on_other: As for ``call_when_judged``.
        """

        def judge(lost_s: float) -> None:
            ended = replace(lost, lost_s=lost_s)
            self.call_when_judged(ended, on_crashed=on_crashed, on_other=watch_on)

        def watch_on(cause: str) -> None:
            on_other(cause)
            if self._reactor.seconds() <= until_s:
                self._left.add(end)

        end = AwaitedEnd(
            lost=lost,
            until_s=until_s,
            on_ended=partial(self._count, lost, on_crashed, on_other),
            on_connection_lost=judge if lost.forwarded_by is None else None,
        )
        self._left.add(end)

    def remember(self, loss: ObservedLoss) -> None:
        """Keep a loss of any host for a while, so that the retries of its request can be found."""
        self._recent_losses.add(loss)

    def log_evidence(self, prompt: Prompt, request: AttemptId, send: int, now_s: float) -> None:
        """Log what is held against the parts of a prompt that is sent all the same."""
        for known in self.suspects.list_evidence(_list_parts(prompt), now_s):
            log_message(
                message_type="request: sent with a suspected part",
                request=request,
                send=send,
                part=known.part,
                crashes=known.crashes,
                counted=known.counted,
                age_s=round(known.age_s, 3),
                reason=known.sent_because,
            )

    def await_proof(self, lost: LostAnswer) -> None:
        """Suspect a prompt later if the registry shows that the upstream has ended."""
        record = partial(self._record, lost, by_registry=True)
        self._unproven_parts.add(_build_awaited_end(lost, record))

    def awaits_proof(self, fingerprint: Fingerprint) -> bool:
        """Whether the registry may yet show that equal requests have crashed upstreams."""
        return self._unproven.has_equal(fingerprint)

    def lost_several(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Whether equal requests have just been lost at several upstreams, through any hosts."""
        return self._recent_losses.lost_several(fingerprint, now_s)

    def forget_unproven(self, fingerprint: Fingerprint, sent_s: float) -> None:
        """Await no proof of losses after which an equal request was sent and answered."""
        for awaited in (self._unproven_parts, self._unproven, self._left):
            awaited.forget_answered(fingerprint, sent_s)

    def record_head(
        self, upstream: RegisteredUpstream, sent_s: float, *, opened_s: float | None = None
    ) -> None:
        """Record that an upstream answers, so that it has not ended with an earlier loss.

        A head can be read after its upstream has crashed: only the losses before its request was
        sent are contradicted. A loss under equal requests that awaits the registry is contradicted
        only on a connection that was opened later: what is left of a crashed upstream may go on
        with others for a while.

        Args:
            opened_s: When the connection was opened; None if that was after the losses.
        """
        alive = upstream.incarnation
        for awaited in (self._unproven_parts, self._left):
            awaited.forget_alive(alive, sent_s)
        self._unproven.forget_alive(alive, sent_s if opened_s is None else opened_s)
        counted = self._counted.pop(alive, [])
        later = [each for each in counted if each.lost.lost_s > sent_s]
        if later:
            self._counted[alive] = later
        for each in counted:
            if each.lost.lost_s <= sent_s:
                each.on_alive()

    def observe_upstreams(self, upstreams: Collection[RegisteredUpstream]) -> None:
        """Judge the losses that await a proof, by the entries of the registry.

        An upstream without an entry has ended, unless it was leaving, or still has connections: an
        entry can also expire because its upstream does not reach the store.
        """
        oldest_s = self._reactor.seconds() - MAX_PROOF_S
        for incarnation, counted in list(self._counted.items()):
            if counted[-1].lost.lost_s < oldest_s:
                del self._counted[incarnation]
        for awaited in (self._unproven_parts, self._unproven, self._left):
            self._judge_ends(awaited, upstreams, oldest_s)
        self._note_leaving(upstreams, oldest_s)

    def _note_leaving(self, upstreams: Collection[RegisteredUpstream], oldest_s: float) -> None:
        """Remember the upstreams that leave, also for a while after their entries are gone."""
        kept = {each: shown_s for each, shown_s in self._leaving.items() if shown_s >= oldest_s}
        for upstream in upstreams:
            kept.pop(upstream.incarnation, None)
            if upstream.availability is Availability.LEAVING:
                kept[upstream.incarnation] = self._reactor.seconds()
        self._leaving = kept

    def _judge_ends(
        self, awaited: AwaitedEnds, upstreams: Collection[RegisteredUpstream], oldest_s: float
    ) -> None:
        incarnations = awaited.list_incarnations()
        if not incarnations:
            return
        listed = {each.incarnation for each in upstreams}
        endpoints = {_get_endpoint(each) for each in upstreams}
        for incarnation in incarnations:
            if incarnation in listed:
                awaited.forget_alive(incarnation, oldest_s)
                continue
            for end in awaited.take(incarnation):
                if end.until_s <= oldest_s:
                    continue
                if self._has_ended(end.lost, endpoints):
                    end.on_ended()
                elif awaited is self._unproven and incarnation not in self._leaving:
                    awaited.add(end)  # until its last connections have ended, too

    def _handle_connection_lost(self, endpoint: Endpoint) -> None:
        """Judge the runs that may have gone on at an upstream whose connections end."""
        now_s = self._reactor.seconds()
        self._left.handle_connection_lost(endpoint.address, endpoint.port, now_s)

    def record_answer(self, prompt: Prompt) -> None:
        """Record that the answer to a prompt has produced an event or is complete."""
        cleared = self.suspects.record_answer(_list_parts(prompt), self._reactor.seconds())
        if cleared:
            self._report(cleared)

    def _call_later(self, judge: Callable[..., None], *arguments: Any) -> None:
        """Judge a loss once it shows which connections have ended with it.

        Timers run before sockets are read, so that a process which was held up would take ends that
        have arrived for connections that live on.
        """
        call_later = self._reactor.callLater
        call_later(CRASH_CONFIRMATION_S, call_later, 0.0, judge, *arguments)

    def _judge(
        self, lost: LostAnswer, on_crashed: Callable[[], None], on_other: Callable[[str], None]
    ) -> None:
        """Judge a loss under equal requests by the connections of this host."""
        ended_s = self._list_ended(lost)
        if lost.upstream.incarnation in self._leaving:
            on_other("the upstream was leaving")
        elif len(self._list_unexplained(lost, ended_s)) > 1:
            on_other("common cause")
            observed = lost.observe()
            if not self._count_survivors(lost) and self._recent_losses.stands_for(
                observed, ended_s
            ):
                self._await_end(lost, on_crashed, on_other)
        elif lost.forwarded_by is not None:
            # This host has no connections that would show that the upstream lives on.
            self._count(lost, on_crashed, on_other)
        elif self._count_survivors(lost):
            # Their ends may not have been read yet.
            on_other("other connections live on")
            self._await_end(lost, on_crashed, on_other)
        elif lost.may_have_been_dropped:
            self._try_to_connect(lost, on_crashed, on_other)
        else:
            self._count(lost, on_crashed, on_other)

    def _try_to_connect(
        self, lost: LostAnswer, on_crashed: Callable[[], None], on_other: Callable[[str], None]
    ) -> None:
        """Find out whether an upstream has crashed or has dropped an idle connection.

        One that is back at once accepts connections, too. The registry shows that it is another.
        """
        endpoint = _get_endpoint(lost.upstream)

        def handle_life() -> None:
            on_other("an idle connection was dropped")
            self._await_end(lost, on_crashed, on_other)

        on_failed = partial(self._count, lost, on_crashed, on_other)
        waiting = self._connecting.setdefault(endpoint, [])
        waiting.append(_Tried(on_open=handle_life, on_failed=on_failed))
        if len(waiting) > 1:
            return

        def handle_open(connection: ClientConnection) -> None:
            self._pool.put_idle(endpoint, connection)
            for each in self._connecting.pop(endpoint):
                each.on_open()

        def handle_failure() -> None:
            for each in self._connecting.pop(endpoint):
                each.on_failed()

        self._pool.open(endpoint, on_open=handle_open, on_failed=handle_failure)

    def _count(
        self, lost: LostAnswer, on_crashed: Callable[[], None], on_other: Callable[[str], None]
    ) -> None:
        """Count a loss, unless its upstream answers later."""
        on_crashed()
        self._await_life(lost, on_other)

    def _await_life(self, lost: LostAnswer, on_other: Callable[[str], None]) -> None:
        """Take a loss back if its upstream answers within the time in which the registry tells."""
        on_alive = partial(on_other, "the upstream answers")
        counted = self._counted.setdefault(lost.upstream.incarnation, [])
        counted.append(_Counted(lost=lost, on_alive=on_alive))

    def _await_end(
        self, lost: LostAnswer, on_crashed: Callable[[], None], on_other: Callable[[str], None]
    ) -> None:
        """Count a loss under equal requests once the registry shows that its upstream has ended."""
        self._unproven.add(
            _build_awaited_end(lost, partial(self._count, lost, on_crashed, on_other))
        )

    def _count_survivors(self, lost: LostAnswer) -> int:
        """Return how many connections to the upstream from before a loss live on."""
        return self._pool.count_alive_since_before(_get_endpoint(lost.upstream), lost.lost_s)

    def _confirm(self, lost: LostAnswer) -> None:
        """Record the loss, unless a connection from before it is in use or others ended with it."""
        upstream = lost.upstream
        survivors = self._count_survivors(lost)
        aborted = len(self._list_unexplained(lost, self._list_ended(lost)))
        was_leaving = upstream.incarnation in self._leaving
        if not survivors and aborted <= 1 and not was_leaving:
            self._record(lost, by_registry=False)
            return
        log_message(
            message_type="upstream: connection lost",
            upstream=upstream.instance,
            request=lost.attempt_id,
            parts=_list_loss_parts(lost),
            open_connections=survivors,
            aborted_upstreams=aborted,
            was_leaving=was_leaving,
        )
        self.await_proof(lost)

    def _has_ended(self, lost: LostAnswer, endpoints: Collection[Endpoint]) -> bool:
        """Whether an upstream without an entry has ended while it was to go on."""
        endpoint = _get_endpoint(lost.upstream)
        before_s = lost.lost_s if endpoint in endpoints else self._reactor.seconds()
        alive = self._pool.count_alive_since_before(endpoint, before_s)
        return not alive and lost.upstream.incarnation not in self._leaving

    def _record(self, lost: LostAnswer, *, by_registry: bool) -> None:
        """Count a crash against the parts of a prompt."""
        parts = _list_loss_parts(lost)
        log_message(
            message_type="upstream: crashed",
            upstream=lost.upstream.instance,
            request=lost.attempt_id,
            parts=parts,
            begun=lost.begun,
            by_registry=by_registry,
        )
        loss = PartLoss(
            crash=_hash_incarnation(lost.upstream), sent_s=lost.sent_s, lost_s=lost.lost_s
        )
        self._report(self.suspects.record_loss(parts, loss))

    def _list_ended(self, lost: LostAnswer) -> dict[tuple[str, int], float]:
        """Return when connections to upstreams ended at the time of a loss."""
        aborted = self._pool.list_aborted(
            lost.lost_s - SIMULTANEOUS_S, lost.lost_s + SIMULTANEOUS_S
        )
        return {(each.address, each.port): time_s for each, time_s in aborted.items()}

    def _list_unexplained(
        self, lost: LostAnswer, ended_s: Mapping[tuple[str, int], float]
    ) -> list[tuple[str, int]]:
        """Return the upstreams to which connections ended at the time of a loss.

        Others at which an equal request was lost before or after, through any host, do not count.
        """
        unexplained = self._recent_losses.list_unexplained(lost.observe(), ended_s)
        if len(ended_s) > 1:
            log_message(
                message_type="upstream: ended with others",
                upstream=lost.upstream.instance,
                request=lost.attempt_id,
                ended=len(ended_s),
                unexplained=[f"{address}:{port}" for address, port in unexplained],
            )
        return unexplained


def _build_awaited_end(lost: LostAnswer, on_ended: Callable[[], None]) -> AwaitedEnd:
    return AwaitedEnd(lost=lost, until_s=lost.lost_s, on_ended=on_ended)


def _list_parts(prompt: Prompt) -> list[PromptPartId]:
    return [each.part for each in prompt.shared_parts]


def _list_loss_parts(lost: LostAnswer) -> list[PromptPartId]:
    return [] if lost.prompt is None else _list_parts(lost.prompt)


def _get_endpoint(upstream: RegisteredUpstream) -> Endpoint:
    return Endpoint(address=upstream.address, port=upstream.port)


def _hash_incarnation(upstream: RegisteredUpstream) -> Crash:
    return Crash(xxhash.xxh64_intdigest(repr(upstream.incarnation).encode()))

"""What a host knows about the requests and prompt parts that crash upstreams, and whom it tells."""

from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random
from typing import Any

from twisted.internet.defer import inlineCallbacks

from greengagestage.catalog import RegisteredUpstream
from greengagestage.http1 import ConnectionPool
from greengagestage.ids import AttemptId, Fingerprint, HostId
from greengagestage.platform import RowClient
from greengagestage.routing import (
    CrashSuspects,
    LossRecord,
    LossTracker,
    ObservedLoss,
    SuspectRecord,
    Trials,
    build_trial_id,
)

from ..peers import MAX_RECORDS
from ._crash_table import CrashTable
from ._crash_watch import CrashWatch
from ._quarantine import Quarantine


class CrashKnowledge:
    """Joins the losses of this host, the reports of others and the record in the store.

    Args:
        report_loss: Tells the other hosts of a lost answer; takes the fingerprint and an id.
        report_early_loss: Tells the other hosts of a lost answer, before it is judged.
        report_suspects: Tells the other hosts what has changed about suspected parts.
        get_era: Returns the newest known era of the store.
        get_rank: Returns the position of this host among all hosts; 0 is the first.
        list_hosts: Returns all known hosts; none before the list has been read.

    Attributes:
        quarantine: Keeps requests from being sent.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ConnectionPool,
        rows: RowClient,
        random: Random,
        report_loss: Callable[[Fingerprint, str], None],
        report_early_loss: Callable[[ObservedLoss], None],
        report_suspects: Callable[[Sequence[SuspectRecord]], None],
        get_era: Callable[[], int | None],
        get_rank: Callable[[], int],
        host: HostId,
        list_hosts: Callable[[], Collection[HostId]],
    ) -> None:
        self._reactor = reactor
        self._tell_loss = report_loss
        self._tell_suspects = report_suspects
        self._losses = LossTracker()
        self._watch = CrashWatch(
            reactor=reactor, pool=pool, report=self._report_suspects, report_early=report_early_loss
        )
        self._table = CrashTable(
            reactor=reactor,
            rows=rows,
            random=random,
            losses=self._losses,
            suspects=self._watch.suspects,
            get_era=get_era,
            get_rank=get_rank,
        )
        self.quarantine = Quarantine(
            losses=self._losses,
            crash_watch=self._watch,
            trials=Trials(host),
            claim_trial=self._claim_trial,
            list_hosts=list_hosts,
            report_loss=self._report_loss,
            report_cleared=self._table.record_request,
        )

    @property
    def suspects(self) -> CrashSuspects:
        """The suspected parts of prompts."""
        return self._watch.suspects

    @property
    def is_awaited(self) -> bool:
        """Whether this host has just started and does not know the record yet."""
        return self._table.is_awaited

    def start(self) -> None:
        """Read the record in the store and keep it complete."""
        self._table.start()

    def stop(self) -> None:
        """Stop reading and writing the record."""
        self._table.stop()

    def observe_upstreams(self, upstreams: Collection[RegisteredUpstream]) -> None:
        """Find out from the registry which upstreams have ended."""
        self._watch.observe_upstreams(upstreams)

    def list_losses(self, now_s: float) -> list[LossRecord]:
        """Return what other hosts are told about losses under equal requests."""
        return self._losses.list_news(now_s, most=MAX_RECORDS)

    def learn_loss(self, fingerprint: Fingerprint, loss_id: str) -> None:
        """Add a loss at another host."""
        self._losses.record_loss(fingerprint, loss_id, self._reactor.seconds())

    def learn_early_losses(self, losses: Iterable[ObservedLoss]) -> None:
        """Take into account what other hosts have just lost, when losses here are judged."""
        for loss in losses:
            self._watch.remember(loss)

    def learn_losses(self, records: Iterable[LossRecord]) -> None:
        """Add what another host knows about losses."""
        self._losses.learn(records, self._reactor.seconds())

    @inlineCallbacks
    def _claim_trial(self, fingerprint: Fingerprint, attempt_id: AttemptId) -> Any:
        """Record a trial and tell the other hosts of it; return whether it may be sent."""
        is_recorded = yield self._table.record_trial(fingerprint, attempt_id)
        if is_recorded:
            self._tell_loss(fingerprint, build_trial_id(attempt_id))
        return is_recorded

    def _report_loss(self, fingerprint: Fingerprint, loss_id: str) -> None:
        """Tell the other hosts of a loss, and those that start later."""
        self._tell_loss(fingerprint, loss_id)
        self._table.record_request(fingerprint)

    def _report_suspects(self, records: Sequence[SuspectRecord]) -> None:
        """Tell the other hosts of suspected parts, and those that start later of crashes."""
        self._tell_suspects(records)
        self._table.record_parts(records)

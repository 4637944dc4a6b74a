"""What a host concludes from the loss of a trial's answer, without network."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from greengagestage.gateway.crashes import LostAnswer
from greengagestage.gateway.crashes._crash_watch import CrashWatch
from greengagestage.gateway.crashes._quarantine import Quarantine
from greengagestage.ids import Crash, Fingerprint, HostId
from greengagestage.routing import LossTracker, PartLoss, Trials

from .catalog_builders import LONG, build_job, build_upstream

HOST = HostId("h1")


# Guards against a part that counts as having crashed an upstream because the host that forwarded
# the trial has ended, or has lost a connection.
@pytest.mark.parametrize(
    ("forwarded_by", "is_listed", "crashes"),
    [(HOST, True, 2), (HOST, False, 3), (None, True, 3)],
)
def test_the_end_of_a_forwarding_host_is_no_crash(
    forwarded_by: HostId | None, is_listed: bool, crashes: int
) -> None:
    clock, job, upstream = Clock(), build_job(1, route=LONG), build_upstream(1)
    connections = SimpleNamespace(
        count_alive_since_before=lambda endpoint, time_s: 0,
        list_aborted=lambda began_s, ended_s: {},
    )
    watch = CrashWatch(reactor=clock, pool=connections, report=lambda records: None)
    quarantine = Quarantine(
        losses=LossTracker(),
        crash_watch=watch,
        trials=Trials(HOST),
        claim_trial=lambda fingerprint, attempt_id: succeed(True),
        list_hosts=lambda: [HOST],
        report_loss=lambda fingerprint, loss_id: None,
        report_cleared=lambda fingerprint: None,
    )
    parts = [each.part for each in job.prompt.shared_parts]
    for number in range(2):
        loss = PartLoss(crash=Crash(number), sent_s=number - 0.5, lost_s=number)
        watch.suspects.record_loss(parts, loss)
    clock.advance(61.0)
    assert quarantine.find_reason(Fingerprint("f"), job, 0, clock.seconds()) is None
    quarantine.record_loss(
        LostAnswer(
            attempt_id=job.attempt_id,
            number=1,
            fingerprint=Fingerprint("f"),
            prompt=job.prompt,
            upstream=upstream,
            sent_s=clock.seconds(),
            lost_s=clock.seconds(),
            forwarded_by=forwarded_by,
            begun=False,
            had_event=False,
        )
    )
    clock.advance(1.0)
    watch.observe_upstreams([upstream] if is_listed else [])
    (known,) = watch.suspects.list_evidence(parts, clock.seconds())
    assert known.crashes == crashes

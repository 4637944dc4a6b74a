"""Table of guards: code that keeps a promise to users, and the tests that detect its removal.

``python -m bench.guards`` replaces each guard's code and expects the listed tests to fail.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Guard:
    """A piece of code whose removal must make tests fail.

    Attributes:
        name: The name of the guard on the command line and in the documentation.
        promise: The property that the guard ensures.
        file: The path of the module that contains the guard.
        text: The source code of the guard, which occurs exactly once in the module.
        without: The source code that replaces it when the guard is removed.
        tests: The pytest arguments that select the tests which must then fail.
    """

    name: str
    promise: str
    file: str
    text: str
    without: str
    tests: tuple[str, ...]


_REQUESTS = "tests/test_matrix_requests.py"
_CLAIMS = "tests/test_matrix_claims.py"
_HOSTS = "tests/test_matrix_hosts.py"

GUARDS: tuple[Guard, ...] = (
    Guard(
        name="resume",
        promise="a resumed answer has no gap and no repeat",
        file="greengagestage/entry/_dispatch.py",
        text="resume_token_ids=active.delivery.list_token_ids(),",
        without="resume_token_ids=[],",
        tests=(_REQUESTS, "-k", "seamless and middle"),
    ),
    Guard(
        name="end-marker",
        promise="an answer without its proper end is never shown complete",
        file="greengagestage/upstream/_attempts.py",
        text="        if not self._reader.is_complete:\n",
        without="        if False:\n",
        tests=("tests/test_entry_faults.py", "-k", "test_failure_kinds"),
    ),
    Guard(
        name="retry",
        promise="an upstream that does not begin is passed over",
        file="greengagestage/policy/_outcomes.py",
        text="        if code is None:\n            self._enqueue_retry(record)\n",
        without="        if False:\n            self._enqueue_retry(record)\n",
        tests=(_REQUESTS, "-k", "passed_over and refuse"),
    ),
    Guard(
        name="silence",
        promise="an answer is not ended for silence because no other upstream takes it",
        file="greengagestage/policy/_outcomes.py",
        text="            self._enqueue_retry(record)\n        elif record.held is not None:\n",
        without="            self._enqueue_retry(record)\n        elif False:\n",
        tests=("tests/test_policy_silence.py", "-k", "kept_if_the_second_fails"),
    ),
    Guard(
        name="cancel",
        promise="a caller that leaves cancels its run",
        file="greengagestage/policy/_outcomes.py",
        text="        state.cancel_attempts(record, CancelReason.CALLER_LEFT)\n",
        without="",
        tests=("tests/test_policy_delivery.py", "-k", "leaves or leaver or departure or caller"),
    ),
    Guard(
        name="quarantine",
        promise="a request that crashes upstreams costs the fleet two",
        file="greengagestage/policy/_crashes.py",
        text="return len(history.crashes) >= CRASHES_TO_QUARANTINE",
        without="return False",
        tests=(_REQUESTS, "-k", "costs_the_fleet_two"),
    ),
    Guard(
        name="crash-reports",
        promise="a request that crashes upstreams costs the fleet two, through any host",
        file="greengagestage/policy/_crashes.py",
        text="return max(self.crashed_s + batch * BATCH_INTERVAL_S, arrived_s) + REPORT_DELAY_S",
        without="return self.crashed_s + batch * BATCH_INTERVAL_S + REPORT_DELAY_S",
        tests=("tests/test_policy_faults.py", "-k", "suspected_elsewhere"),
    ),
    Guard(
        name="leaving",
        promise="an upstream that is leaving receives no new work",
        file="greengagestage/policy/_measurements.py",
        text="        if event.upstream_leaving:\n",
        without="        if False:\n",
        tests=("tests/test_policy_faults.py", "-k", "leaving_upstream"),
    ),
    Guard(
        name="claim-conflict",
        promise="a non-idempotent request runs at most once",
        file="greengagestage/policy/_admission.py",
        text="        if outcome is ClaimOutcome.GRANTED:\n            record.claimed = True\n",
        without="        if True:\n            record.claimed = True\n",
        tests=(_CLAIMS, "-k", "both_hosts"),
    ),
    Guard(
        name="fingerprint",
        promise="an idempotency key is not answered with another request's answer",
        file="greengagestage/claims/_rows.py",
        text="    if claim.fingerprint != own.fingerprint:\n",
        without="    if False:\n",
        tests=(_CLAIMS, "-k", "resends_while_running"),
    ),
    Guard(
        name="single-attempt",
        promise="a non-idempotent request that was possibly sent is not sent again",
        file="greengagestage/policy/_outcomes.py",
        text="if started and not (record.request.idempotent and resumable):",
        without="if started and not resumable:",
        tests=("tests/test_policy_delivery.py", "-k", "non_idempotent_runs_again"),
    ),
    Guard(
        name="honest-verdict",
        promise="a caller told that a request was not run can believe it",
        file="greengagestage/policy/_verdicts.py",
        text="    if record.possibly_ran:\n",
        without="    if False:\n",
        tests=("tests/test_policy_machine.py",),
    ),
    Guard(
        name="graceful-stop",
        promise="a planned stop cuts off no request in progress",
        file="greengagestage/entry/_shutdown.py",
        text="self._reactor.callLater(self._times.drain_notice_s, self._close)",
        without="self._done.callback(None)",
        tests=(_HOSTS, "-k", "replaced_in_turn"),
    ),
    Guard(
        name="end-of-stop",
        promise="a host that has stopped leaves no request in its listen queue",
        file="greengagestage/gateway/_shutdown.py",
        text="server.stop_accepting()",
        without="pass",
        tests=("tests/test_end_of_stop.py",),
    ),
    Guard(
        name="lease-time",
        promise="a woken lease holder sends no order after its lease",
        file="greengagestage/orders/_reconciler.py",
        text="return lease.compute_remaining(self._reactor.seconds()) > ORDER_TIMEOUT_S",
        without="return True",
        tests=("tests/test_orders.py", "-k", "after_its_lease or before_each_order"),
    ),
    Guard(
        name="fencing",
        promise="an order's number lies above every number seen",
        file="greengagestage/orders/_adoption.py",
        text="    number = FencingNumber(max(intent.fencing_number, seen) + 1)\n",
        without="    number = FencingNumber(intent.fencing_number + 1)\n",
        tests=("tests/test_orders.py", "-k", "higher_number"),
    ),
    Guard(
        name="higher-version",
        promise="an accepted configuration never reverts",
        file="greengagestage/configuration/_adoption.py",
        text="        if head.version <= self.version or head in self._refused:\n",
        without="        if head in self._refused:\n",
        tests=("tests/test_adoption.py",),
    ),
)

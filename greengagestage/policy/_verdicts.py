"""Final verdicts on whether a request ran.

"Not run" requires evidence; without it the verdict is "may have run".
"""

from dataclasses import dataclass
from enum import Enum

from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict

from ._events import FailureKind
from ._records import RequestRecord


class NotRunEvidence(Enum):
    """Why it is certain that a request did not run.

    Attributes:
        NEVER_SENT: No attempt was dispatched.
        UPSTREAM_SAID_SO: Each attempt was refused by its upstream or could not be sent to it.
    """

    NEVER_SENT = "never_sent"
    UPSTREAM_SAID_SO = "upstream_said_so"


class VerdictError(Exception):
    """The result code does not belong to the verdict that was built with it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """The request certainly did not run."""

    code: ResultCode
    evidence: NotRunEvidence

    def __post_init__(self) -> None:
        if CODE_DETAILS[self.code].verdict is not RunVerdict.NOT_RUN:
            raise VerdictError(self.code.name)


@dataclass(frozen=True, slots=True, kw_only=True)
class MayHaveRun:
    """The request may have run, partly or completely."""

    code: ResultCode

    def __post_init__(self) -> None:
        if CODE_DETAILS[self.code].verdict is not RunVerdict.MAY_HAVE_RUN:
            raise VerdictError(self.code.name)


Verdict = NotRun | MayHaveRun

FAILURE_CODES: dict[FailureKind, ResultCode] = {
    FailureKind.LOST: ResultCode.UPSTREAM_LOST,
    FailureKind.SILENT: ResultCode.UPSTREAM_SILENT,
    FailureKind.INCOMPLETE: ResultCode.ANSWER_INCOMPLETE,
    FailureKind.ERROR: ResultCode.UPSTREAM_ERROR,
}

CODES_AFTER_RUN: dict[ResultCode, ResultCode] = {
    ResultCode.DEADLINE_PASSED: ResultCode.DEADLINE_PASSED_RUNNING,
    ResultCode.TARGET_UNREACHABLE: ResultCode.DEADLINE_PASSED_RUNNING,
    ResultCode.CALLER_LEFT: ResultCode.CALLER_LEFT_RUNNING,
    ResultCode.QUARANTINED: ResultCode.CRASHED_UPSTREAMS,
}


def derive_verdict(record: RequestRecord, code: ResultCode) -> Verdict:
    """Derive the verdict of a rejected request from the result code and its attempts."""
    if CODE_DETAILS[code].verdict is RunVerdict.MAY_HAVE_RUN:
        return MayHaveRun(code=code)
    if record.possibly_ran:
        return MayHaveRun(code=_find_code_after_run(record, code))
    if record.attempts_sent == 0:
        return NotRun(code=code, evidence=NotRunEvidence.NEVER_SENT)
    return NotRun(code=code, evidence=NotRunEvidence.UPSTREAM_SAID_SO)


def _find_code_after_run(record: RequestRecord, code: ResultCode) -> ResultCode:
    if code in CODES_AFTER_RUN:
        return CODES_AFTER_RUN[code]
    if record.last_failure in FAILURE_CODES:
        return FAILURE_CODES[record.last_failure]
    return ResultCode.ANSWER_INCOMPLETE

"""Writes logs as JSON lines. Every message type begins with the name of its component."""

import os
import sys
import traceback
from typing import IO, Any, cast

from eliot import FileDestination, add_destinations, add_global_fields, log_message
from twisted.logger import ILogObserver, LogLevel, formatEvent, globalLogBeginner
from twisted.python.failure import Failure

from ._output import BoundedOutput

STANDARD_ERROR = "-"


def open_log(path: str) -> IO[bytes]:
    """Open a log file for appending; ``-`` is standard error."""
    if path == STANDARD_ERROR:
        return sys.stderr.buffer
    return open(path, "ab", buffering=0)


def start_file_logging(*, file: IO[bytes], part: str, host: str) -> None:
    """Write the log of the process to a file, with Twisted's events of level warn and above."""
    _start_logging_to(FileDestination(file=file), part, host)


def start_stdout_logging(*, output: BoundedOutput, part: str, host: str) -> None:
    """Write the log of the process to standard output, which is set to non-blocking.

    The log includes Twisted's events of level warn and above. ``output`` limits its rate and drops
    lines that cannot be written at once.
    """
    os.set_blocking(1, False)
    _start_logging_to(output, part, host)


def _start_logging_to(destination: Any, part: str, host: str) -> None:
    add_global_fields(part=part, host=host)
    add_destinations(destination)
    globalLogBeginner.beginLoggingTo(
        [cast(ILogObserver, _log_twisted_event)], redirectStandardIO=False, discardBuffer=True
    )


def log_unexpected_failure(message_type: str, failure: Failure, **fields: Any) -> None:
    """Log an unexpected Twisted failure with its traceback."""
    log_message(message_type=message_type, fault=failure.getTraceback(), **fields)


def log_current_exception(message_type: str, **fields: Any) -> None:
    """Log the exception that is being handled, with its traceback."""
    log_message(message_type=message_type, fault=traceback.format_exc(), **fields)


def _log_twisted_event(event: dict[str, Any]) -> None:
    level = event.get("log_level")
    if level is None or level < LogLevel.warn:
        return
    failure = event.get("log_failure")
    fields = {"fault": failure.getTraceback()} if failure is not None else {}
    text = formatEvent(event) or "unformatted event"
    log_message(message_type="twisted: event", level=level.name, text=text, **fields)

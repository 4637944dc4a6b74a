"""What the scripts of the cases share: the record, the configuration and the exit code."""

import asyncio
import base64
import json
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0

HOST_NAME = "a.example"

IN_TOUCH_S = 4.0
"""Time from the start of the hosts to the traffic; StabilityWindowMs is 3,000."""


class CannotRun(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """Writes ``record.txt``: one line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def __call__(self, event: str, **values: object) -> None:
        elapsed_s = time.monotonic() - self._began_s
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{elapsed_s:9.3f} {event} {text}\n".rstrip() + "\n")
        self._file.flush()


def has_trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def write_configuration(
    store: Store,
    *,
    version: int,
    routes: list[dict],
    services: list[dict],
    tenants: list[dict] | None = None,
) -> int:
    """Write ``op/config`` as the operator does; return its revision."""
    document = {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
    }
    if tenants is not None:
        document["Tenants"] = tenants
    return store.put("op", "config", base64.b64encode(json.dumps(document).encode()).decode())


def build_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 1_500,
        "TargetLatencyMs": 200,
        "MaxAttempts": 1,
        **fields,
    }


def run_case(folder: Path, play: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Play a case and exit: 1 if it lists broken rules, 0 if none, 2 if it could not run."""
    record = Record(folder / "record.txt")

    async def limited() -> list[str]:
        # An end by a signal cancels the play, which ends its processes.
        task = asyncio.current_task()
        if task is not None:
            for signum in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(signum, task.cancel)
        return await asyncio.wait_for(play(record), LIMIT_S)

    try:
        broken = asyncio.run(limited())
    except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
        record("could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    except Exception:
        record("could not run", reason=traceback.format_exc())
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for line in broken:
        record("RULE BROKEN", what=line)
        print(f"rule broken: {line}")
    record("end", broken=len(broken))
    print("broken" if broken else "held")
    sys.exit(BROKEN if broken else HELD)

"""Requests that crash their servers come again while the servers fail a part of all requests.

The rule wants each kept from the servers soon after its third crash. Other clients send sound ones.
With ERRORS=0 the servers fail none, and the requests crash them all the same.
"""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand3.case import began_s, main, note, note_requests  # noqa: E402
from stand3.clients import Client  # noqa: E402
from stand3.hosts import Host, build_settings, wait_ready  # noqa: E402
from stand3.http import Message  # noqa: E402
from stand3.platform import Store, serve_store  # noqa: E402
from stand3.servers import Run, Server  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ERRORS = TROUBLE and os.environ.get("ERRORS", "1") != "0"
STABILITY_S = 3.0
MAX_LATER = 3
FAILING_SHARE = 0.45
DRAWN_SHARE = 0.5
"""Drawn are more, of which the share above is taken at most."""
FAILING_S = 4.0
PERIOD_S = 7.0
PERIODS = 12
PERIODS_PER_PAIR = 4
"""After this many periods, two other requests take the place of the former two."""
SENDS_S = (0.1, 1.05, 2.0, 2.95)
"""When the first of two requests is sent, from the begin of a period; the second one is between."""
OFFSET_S = 0.475
BACK_AFTER_S = 2.0
OTHERS = 6
NETWORK = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 200}"
HOSTS = tuple(f"{NETWORK}.{number}" for number in (1, 2, 3))
SERVERS = tuple(f"{NETWORK}.{number}" for number in (101, 102, 103, 104))
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "orders",
            "Host": "h.example",
            "Prefix": "/orders/",
            "Kind": "non_idempotent",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 200,
            "Priority": 0,
            "Service": "app",
            "MaxAttempts": 1,
            "Public": False,
        }
    ],
    "Services": [{"Name": "app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1"}],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "t", "ApiKeys": ["k"], "Priority": 1}],
}


def crashes_servers(request: Message) -> bool:
    """Whether a request crashes each server that begins to run it."""
    return request.first[1].startswith("/orders/crashing-")


class FailingTimes:
    """Decides which requests the servers fail.

    Attributes:
        until_s: When they fail none any more.
        shares: For each time in which they fail some, how many requests were decided on and failed.
    """

    def __init__(self) -> None:
        self.until_s = 0.0
        self.shares: list[list[int]] = []

    def begin(self) -> None:
        """Fail some requests from now on, for a while."""
        self.until_s = time.monotonic() + FAILING_S
        self.shares.append([0, 0])

    def fails(self, request: Message) -> bool:
        """Whether a request is failed: drawn for each one, up to the share so far."""
        if time.monotonic() >= self.until_s:
            return False
        share = self.shares[-1]
        share[0] += 1
        fails = share[1] + 1 <= FAILING_SHARE * share[0] and random.random() < DRAWN_SHARE
        share[1] += fails
        return fails


async def ask_for_others(host: str, member: int, answers: list[int]) -> None:
    """Send sound requests, one after the other."""
    client, number = Client(host=(host, 20_180), key="k"), 0
    while True:
        number += 1
        answer = await client.send("POST", f"/orders/sound-{host}-{member}-{number}", b"{}")
        answers.append(answer.status)
        await asyncio.sleep(0.4)


async def send_again(path: str, first: int) -> None:
    """Send a request at some times of a period, each on a new connection to the next host."""
    began = time.monotonic()
    for number, at_s in enumerate(SENDS_S):
        await asyncio.sleep(max(began + at_s - time.monotonic(), 0.0))
        host = HOSTS[(first + number) % len(HOSTS)]
        client = Client(host=(host, 20_180), key="k")
        answer = await client.send("POST", path, b"{}")
        note(f"{path} through {host}: {answer.status or 'closed without an answer'}")
        client.close()


def judge(runs: list[Run], crashes: dict[str, list[float]], answers: list[int]) -> int:
    """Return the exit status."""
    note(f"sound requests by status, 0 without an answer: {dict(Counter(answers))}")
    broken = 0
    for path, crashed_s in sorted(crashes.items()):
        if len(crashed_s) < MAX_LATER:
            note(f"{path}: {len(crashed_s)} crashes")
            continue
        third_s = crashed_s[MAX_LATER - 1]
        later = [run for run in runs if run.path == path and run.at_s > third_s + STABILITY_S]
        retries = {run.request for run in later}
        broken += len(retries) > MAX_LATER
        note(
            f"{path}: third crash at {third_s - began_s:.3f} s, {len(crashed_s)} crashes in all, "
            f"{len(retries)} retries later than {STABILITY_S} s after the third"
        )
    note(f"{broken} requests reached servers in more than {MAX_LATER} such retries")
    return 1 if broken else 0


async def play(hosts: list[Host], servers: list[Server], runs: list[Run]) -> int:
    """Run the case; return the exit status."""
    crashes: dict[str, list[float]] = {}
    times = FailingTimes()
    for server in servers:
        server.fails = times.fails
        server.back_after_s = BACK_AFTER_S
        if TROUBLE:
            server.crashes_under = crashes_servers
        server.on_crash = lambda server: record_crash(server, runs, crashes)
        await server.start()
    for host in hosts:
        host.start()
    for address in HOSTS:
        if not await wait_ready(address, 20_181):
            note(f"{address} is not ready")
            return 2
    answers: list[int] = []
    others = [
        asyncio.create_task(ask_for_others(host, number, answers))
        for host in HOSTS
        for number in range(OTHERS)
    ]
    await asyncio.sleep(4.0)
    for period in range(PERIODS):
        began, pair = time.monotonic(), period // PERIODS_PER_PAIR
        if ERRORS:
            times.begin()
            note(f"servers fail some requests for {FAILING_S} s")
        first = asyncio.create_task(send_again(f"/orders/crashing-{pair}-a", period))
        await asyncio.sleep(OFFSET_S)
        await send_again(f"/orders/crashing-{pair}-b", period + 1)
        await first
        await asyncio.sleep(max(began + PERIOD_S - time.monotonic(), 0.0))
    for task in others:
        task.cancel()
    for asked, failed in times.shares:
        note(f"servers failed {failed} of {asked} requests, {failed / max(asked, 1):.3f}")
    return judge(runs, crashes, answers)


def record_crash(server: Server, runs: list[Run], crashes: dict[str, list[float]]) -> None:
    """Note a crash, with the request that the server had begun last of those that crash it."""
    ran = [
        run
        for run in runs
        if run.server == server.instance and run.began and "/crashing-" in run.path
    ]
    crashes.setdefault(ran[-1].path, []).append(time.monotonic())
    note(f"{server.instance} crashes under {ran[-1].path}")


async def run(directory: Path) -> int:
    """Start everything, run the case, and end everything."""
    store, runs = Store(), list[Run]()
    store_port = await serve_store(f"{NETWORK}.250", store)
    await store.put("op", "config", CONFIGURATION)
    servers = [
        Server(store=store, service="app", zone="ab"[i % 2], address=a, port=20_200 + i, runs=runs)
        for i, a in enumerate(SERVERS)
    ]
    hosts = []
    for number, address in enumerate(HOSTS, 1):
        settings = build_settings(
            **{
                "Node": f"front-{number}",
                "Ip": address,
                "Zone": "ab"[number % 2],
                "Listen.Front": f"{address}:20180",
                "Listen.Ready": f"{address}:20181",
                "InternalPortRange": "20300,20315",
                "Platform.Address": f"{NETWORK}.250:{store_port}",
            }
        )
        hosts.append(Host(name=f"front-{number}", directory=directory, settings=settings))
    try:
        status = await play(hosts, servers, runs)
    finally:
        for host in hosts:
            host.kill()
        for server in servers:
            server.close()
    for host in hosts:
        note(f"{host.name} has left out {host.count_logged('loss left out')} losses")
    note_requests(runs)
    return status


if __name__ == "__main__":
    main(run, HERE)

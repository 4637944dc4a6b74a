"""A request crashes each server that runs it, and its client repeats it at once at other hosts."""

import asyncio
import itertools
import shutil
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.case import (
    HOST_NAME,
    CannotRun,
    Record,
    build_route,
    has_trouble,
    run_case,
    write_configuration,
)
from lib2.clients import Client
from lib2.hosts import Host, find_ports, make_folder, wait_until_ready
from lib2.servers import Server
from lib2.store import Store
from lib2.wire import Message

HOSTS = 4
SERVERS = 8
PLAY_S = 72.0
VISIT_INTERVAL_S = 12.5
RETRIES = 3
FORGOTTEN_S = 60.0
"""The client repeats at once at its first visit, and at the first one after this time."""

DOWN_S = 3.0
WORK_S = 0.045
STABILITY_WINDOW_S = 3.0
MAX_RETRIES_AFTER = 3
POISON_PATH = "/lookup/table-17"
CLIENTS_PER_HOST = 4
PAUSE_S = 0.4


async def play(record: Record) -> list[str]:
    folder = make_folder()
    hosts: list[Host] = []
    try:
        return await play_in(folder, hosts, record)
    finally:
        for host in hosts:
            await host.end()
        shutil.rmtree(folder, ignore_errors=True)


async def play_in(folder: str, hosts: list[Host], record: Record) -> list[str]:
    trouble = has_trouble()
    clock = asyncio.get_running_loop().time
    store = Store()
    await store.start("127.0.0.1")
    by_id: dict[str, Server] = {}
    arrivals_s: list[float] = []
    restarts: set[asyncio.Task] = set()

    async def restart(server: Server) -> None:
        server.crash()
        await asyncio.sleep(DOWN_S)
        await server.start()
        by_id[server.id] = server

    def note_run(id_: str, request: Message) -> None:
        attempt = request.headers.get("greengagestage-attempt-id", "")
        record("runs", server=id_, attempt=attempt, path=request.start[1])
        if request.start[1] != POISON_PATH:
            return
        arrivals_s.append(clock())
        if trouble:
            restarts.add(asyncio.create_task(restart(by_id[id_])))

    servers = [
        Server(
            store=store,
            service="app",
            zone=("za", "zb")[number % 2],
            address=f"127.0.0.{11 + number}",
            work_s=WORK_S,
            runs=note_run,
            log=record,
        )
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
        by_id[server.id] = server
    routes = [
        build_route("lookup", "idempotent", "app", MaxAttempts=2),
        build_route("order", "non_idempotent", "app"),
    ]
    tenants = [{"Name": "t1", "ApiKeys": ["key-1"]}, {"Name": "t2", "ApiKeys": ["key-2"]}]
    write_configuration(
        store,
        version=3,
        routes=routes,
        services=[{"Name": "app", "MaxConnections": 110}],
        tenants=tenants,
    )
    addresses = [f"127.0.0.{1 + number}" for number in range(HOSTS)]
    ports = find_ports(addresses, 3)
    for number, address in enumerate(addresses):
        host = Host(
            node=f"front-{number}",
            address=address,
            zone=("za", "zb")[number % 2],
            ports=ports,
            store=f"127.0.0.1:{store.port}",
            folder=folder,
        )
        hosts.append(host)
        host.start()
    if not await wait_until_ready(hosts):
        raise CannotRun("the hosts are not ready")
    record("hosts are ready")
    ending = asyncio.Event()
    numbers = itertools.count()
    lost: list[str] = []

    async def order(host: Host) -> None:
        client = Client(address=host.address, port=host.front)
        while not ending.is_set():
            attempt = f"o{next(numbers):06d}"
            record("sent", attempt=attempt, host=host.node, path="/order/x")
            outcome = await client.send(
                attempt,
                method="POST",
                path="/order/x",
                host=HOST_NAME,
                deadline_s=1.5,
                body=f"order {attempt}".encode(),
                headers={"Authorization": "Bearer key-2"},
            )
            record("answered", attempt=attempt, status=outcome.status, fault=outcome.fault)
            if outcome.status != 200:
                lost.append(attempt)
            await asyncio.sleep(PAUSE_S)
        client.close()

    async def visit(retries: int) -> None:
        """Send the request once, and again at once at the next host after each failure."""
        for number in range(1 + retries):
            host = hosts[number % HOSTS]
            attempt = f"p{next(numbers):06d}"
            record("sent", attempt=attempt, host=host.node, path=POISON_PATH)
            client = Client(address=host.address, port=host.front)
            outcome = await client.send(
                attempt,
                method="GET",
                path=POISON_PATH,
                host=HOST_NAME,
                deadline_s=1.5,
                headers={"Authorization": "Bearer key-1"},
            )
            client.close()
            record("answered", attempt=attempt, status=outcome.status, fault=outcome.fault)
            if outcome.status == 200:
                return

    clients = [asyncio.create_task(order(host)) for host in hosts for _ in range(CLIENTS_PER_HOST)]
    began_s = clock()
    await asyncio.sleep(4.0)
    while clock() - began_s < PLAY_S:
        is_forgotten = not arrivals_s or clock() - arrivals_s[-1] > FORGOTTEN_S
        await visit(RETRIES if is_forgotten else 0)
        await asyncio.sleep(VISIT_INTERVAL_S)
    ending.set()
    await asyncio.gather(*clients)
    for task in restarts:
        task.cancel()
    crashes_s = arrivals_s if trouble else []
    record("totals", arrivals=len(arrivals_s), crashes=len(crashes_s), orders_not_done=len(lost))
    if not arrivals_s:
        raise CannotRun("the request has reached no server")
    if len(crashes_s) < 3:
        return []
    bound_s = crashes_s[2] + STABILITY_WINDOW_S
    late = sum(arrival_s > bound_s for arrival_s in arrivals_s)
    record("result", retries_later_than_the_window_after_the_third_crash=late)
    if late <= MAX_RETRIES_AFTER:
        return []
    return [f"BUDGET: the request reached servers {late} times after it had crashed the third"]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)

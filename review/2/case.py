"""A machine is cut off while a release replaces a service's servers by some of a newer version."""

import asyncio
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from world import (
    DRAIN_S,
    LIMITS,
    FrontProxy,
    PeerLinks,
    World,
    now,
    run_case,
    send_request,
    with_trouble,
)

EVENTS = 42

BEGUN = 10
"""Streams of the new version that have begun when connections are reset."""

CUT_S = 5.0
"""Length of the cut."""

ALLOWED = 2
"""ORDER is broken by more than two streams."""

LINGER_S = 3.0
"""Time for which the old server serves beyond DrainMs: "at times many seconds"."""

DOCUMENT = {
    "Version": 3,
    "Routes": [
        {
            "Name": "explain",
            "Host": "lm.example",
            "Prefix": "/explain/",
            "Kind": "streaming",
            "Service": "lm",
            "TimeoutMs": 12000,
            "TargetLatencyMs": 250,
            "TargetGapMs": 200,
            "MaxAttempts": 2,
            "Priority": 0,
            "Resumable": True,
        }
    ],
    "Services": [{"Name": "lm", "HealthPath": "/health", "MaxConnections": 310}],
    "Limits": LIMITS,
}

EVENT = re.compile(rb"id: (\d+)\ndata: version (\S+) piece (\d+)\n\n")


class Stream:
    """One stream of a client: its first attempt, and the one that takes it up."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.attempt = world.next_attempt()
        self.body = b""
        self.status = 0

    @property
    def events(self) -> list[tuple[int, str]]:
        """The complete events so far: id and version."""
        return [(int(number), version.decode()) for number, version, _ in EVENT.findall(self.body)]

    def build_headers(self, attempt: str) -> dict[str, str]:
        """Return the headers of an attempt."""
        return {
            "Host": "lm.example",
            "Greengagestage-Attempt-Id": attempt,
            "Greengagestage-Deadline-Ms": "12000",
        }

    async def run(self, address: str, port: int) -> None:
        """Send the first attempt and take its events as they come."""

        def take(body: bytes) -> None:
            self.body = body

        headers = self.build_headers(self.attempt)
        path = f"/explain/stream/{EVENTS}"
        try:
            answer = await send_request(address, port, "POST", path, headers, b"{}", take)
            self.status = answer.status
        except OSError:
            self.status = 0

    async def take_up(self, address: str, port: int) -> tuple[int, list[tuple[int, str]], bool]:
        """Take the stream up after its last event; return status, events and completeness."""
        attempt, last = self.world.next_attempt(), self.events[-1][0]
        headers = self.build_headers(attempt)
        headers |= {"Last-Event-Id": str(last), "Resumes": self.attempt}
        path = f"/explain/stream/{EVENTS}"
        self.world.record(f"{attempt} takes up {self.attempt} after event {last}")
        try:
            answer = await send_request(address, port, "POST", path, headers, b"{}")
        except OSError:
            return 0, [], False
        events = [(int(number), v.decode()) for number, v, _ in EVENT.findall(answer.body)]
        self.world.record(f"{attempt}: {answer.status}, {len(events)} events {events[:2]}")
        return answer.status, events, answer.complete


async def case(world: World) -> bool:
    """Play the case; return whether the rule was broken."""
    world.write_configuration(DOCUMENT)
    old = [await world.add_server(f"i-old-{z}", "lm", zone=z, version="v1") for z in "ab"]
    hosts = [world.add_host(f"front-{number}", "ab"[number % 2]) for number in range(3)]
    links = PeerLinks()
    await links.start(hosts)
    door = await world.store.open_door()
    hosts[0].store_address = door.address
    for host in hosts:
        host.start(first=True)
    for host in hosts:
        if not await host.wait_ready(15.0):
            raise RuntimeError(f"{host.name} did not get ready")
    proxy = FrontProxy(hosts[1])
    await proxy.start()
    await asyncio.sleep(8.0)

    # The cut may begin at any moment; here, just after a read of the registry.
    reads = door.reads
    while door.reads == reads:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.02)

    # The release: the new servers start first, then the old ones drain.
    if with_trouble():
        links.cut.add(hosts[0].name)
        door.cut = True
        world.record(f"{hosts[0].name} is cut off from the store and from the other hosts")
    cut_s = now()

    async def heal() -> None:
        await asyncio.sleep(CUT_S)
        links.cut.clear()
        door.cut = False
        world.record("the cut ends")

    healing = asyncio.create_task(heal())
    for zone in "ab":
        await world.add_server(f"i-new-{zone}", "lm", zone=zone, version="v2")
    drained_s = max(server.drain() for server in old)

    streams: list[Stream] = []
    tasks = []
    begun = 0
    while now() < cut_s + 1.8 and begun < BEGUN:
        streams.append(Stream(world))
        tasks.append(asyncio.create_task(streams[-1].run(proxy.address, proxy.port)))
        await asyncio.sleep(0.02)
        begun = sum(bool(each.events) and each.events[0][1] == "v2" for each in streams)
    count = proxy.reset_half()
    reset_s = now()
    world.record(f"{count} connections to {hosts[1].name}, half of them, are reset")
    await asyncio.sleep(0.02)
    broken = [
        each
        for each, task in zip(streams, tasks, strict=True)
        if task.done() and each.events and each.events[0][1] == "v2"
    ]
    for each in broken:
        world.record(f"{each.attempt} is broken, and had {len(each.events)} events of v2")
    taken = await asyncio.gather(
        *(each.take_up(hosts[0].address, hosts[0].front) for each in broken)
    )
    joined = [
        stream
        for stream, (status, events, _) in zip(broken, taken, strict=True)
        if status == 200 and any(version != "v2" for _, version in events)
    ]
    world.record(
        f"drained at {world.record.since(drained_s):.2f}, cut at {world.record.since(cut_s):.2f}, "
        f"reset at {world.record.since(reset_s):.2f}"
    )
    for each in joined:
        world.record(f"{each.attempt} is joined from the text of two versions")
    print(f"streams of v2 that broke: {len(broken)}, joined with text of v1: {len(joined)}")
    if len(broken) <= ALLOWED:
        raise RuntimeError("too few streams of the new version broke in time")
    await asyncio.sleep(max(drained_s + DRAIN_S + LINGER_S - now(), 0.0))
    await healing
    links.close()
    return len(joined) > ALLOWED


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))

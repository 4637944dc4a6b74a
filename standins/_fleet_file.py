"""The contents of ``fleet.json``, which describes a running fleet to other programs."""

import msgspec
from msgspec import Struct

from ._fleet import PLATFORM, Fleet
from ._fleet_shape import MODEL, OPERATOR, OPERATOR_KEY, build_workspace_key


class RunningProcess(Struct, frozen=True, kw_only=True):
    """A process with its URL and process id."""

    url: str
    pid: int


class RunningUpstream(Struct, frozen=True, kw_only=True):
    """An upstream with its URL and process id."""

    name: str
    kind: str
    url: str
    pid: int


class FleetFile(Struct, frozen=True, kw_only=True):
    """The contents of ``.run/fleet.json``.

    Classes are listed by priority, highest first. ``keys`` maps workspaces to their keys, and
    ``operators`` maps operators to theirs.
    """

    entries: list[RunningProcess]
    agents: list[RunningProcess]
    upstreams: list[RunningUpstream]
    platform: RunningProcess
    keys: dict[str, str]
    classes: list[str]
    models: list[str]
    operators: dict[str, str]


def encode_fleet_description(fleet: Fleet) -> bytes:
    """Return the contents of the file as indented JSON."""
    shape = fleet.shape
    kinds = [(engine.name, "engine") for engine in shape.engines]
    kinds += [(service.name, "service") for service in shape.services]
    described = FleetFile(
        entries=[_describe(fleet, f"entry-{host.name}") for host in shape.hosts],
        agents=[_describe(fleet, f"agent-{host.name}") for host in shape.hosts],
        upstreams=[
            RunningUpstream(name=name, kind=kind, url=fleet.url(name), pid=fleet.process(name).pid)
            for name, kind in kinds
        ],
        platform=_describe(fleet, PLATFORM),
        keys={workspace: build_workspace_key(workspace) for workspace in shape.workspaces},
        classes=[str(c.name) for c in sorted(shape.classes, key=lambda c: c.priority)],
        models=[str(MODEL)],
        operators={str(OPERATOR): OPERATOR_KEY},
    )
    return msgspec.json.format(msgspec.json.encode(described), indent=2)


def _describe(fleet: Fleet, name: str) -> RunningProcess:
    process = fleet.process(name)
    return RunningProcess(url=process.url, pid=process.pid)

"""Lookup tables for the active declaration."""

import hashlib

from greengagestage.configuration import (
    Declaration,
    PlainService,
    ServiceClass,
    Workspace,
)
from greengagestage.ids import (
    ClassName,
    ConfigurationVersion,
    ModelName,
    ServiceName,
    UpstreamName,
)
from greengagestage.upstream import Address


class Directory:
    """Indexes one version of the declaration by name, and workspaces by the digest of a key."""

    def __init__(self, *, version: ConfigurationVersion, declaration: Declaration) -> None:
        self.version = version
        self.declaration = declaration
        self.classes: dict[ClassName, ServiceClass] = {c.name: c for c in declaration.classes}
        self.models: frozenset[ModelName] = frozenset(m.name for m in declaration.models)
        self.services: dict[ServiceName, PlainService] = {s.name: s for s in declaration.services}
        self._addresses = {u.name: Address.from_url(u.url) for u in declaration.upstreams}
        self._workspaces_by_key_digest = {
            key.sha256.lower(): workspace
            for workspace in declaration.workspaces
            for key in workspace.keys
        }

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that a caller's key belongs to, or None."""
        return self._workspaces_by_key_digest.get(hashlib.sha256(key.encode()).hexdigest())

    def find_address(self, upstream: UpstreamName) -> Address | None:
        """Return the address of an upstream, or None if it is not declared."""
        return self._addresses.get(upstream)

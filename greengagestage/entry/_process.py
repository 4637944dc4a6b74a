"""Assembly, start and stop of an entry process."""

from collections.abc import Callable
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred

from greengagestage.http1 import MemoryAccount, MemoryWatch, compute_held_limit
from greengagestage.ids import WorkspaceId
from greengagestage.policy import Policy
from greengagestage.telemetry import EntryMetrics
from greengagestage.upstream import ConnectionPool
from greengagestage.wire import AgentMessage

from ._control import AgentControl
from ._fleet import FleetView
from ._http import CallerServer
from ._intake import RequestIds
from ._ports import Claims, Link, RoutingPolicy
from ._readiness import Readiness
from ._settings import EntrySettings
from ._shell import Shell
from ._shutdown import Shutdown
from ._site import RequestHandler

BYTES_PER_MB = 1_048_576


class EntryProcess:
    """Builds all parts of an entry process, from the HTTP listener to the upstream pool.

    Args:
        connect: Creates the link to the agent, given the callback for its messages.
        fleet: Updated with what the agent reports about the other entry hosts.
        policy: Replaces the router's own policy, for comparison.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        settings: EntrySettings,
        claims: Claims,
        connect: Callable[[Callable[[AgentMessage], None]], Link],
        fleet: FleetView | None = None,
        policy: RoutingPolicy | None = None,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._claims = claims
        self._link = connect(self._receive)
        self.readiness = Readiness(
            agent_silence_s=lambda: self._link.silence_s,
            agent_grace_s=settings.lifecycle.agent_grace_s,
        )
        self._memory = MemoryAccount(
            limit_bytes=compute_held_limit(settings.memory_mb * BYTES_PER_MB)
        )
        self._memory_watch = MemoryWatch(reactor=reactor, memory=self._memory)
        self._pool = ConnectionPool(reactor=reactor, limits=settings.pool)
        self._metrics = EntryMetrics(
            workspace_labels=settings.workspace_labels, read_gauges=self._read_gauges
        )
        self.shell = self._build_shell(
            policy or Policy(host=settings.host, seed=settings.seed), claims
        )
        self.control = AgentControl(
            reactor=reactor,
            shell=self.shell,
            readiness=self.readiness,
            sender=self._link,
            fleet=fleet or FleetView(),
        )
        self._server = self._build_server()
        self._shutdown = self._build_shutdown()
        self._listener: Any = None
        self._stopped: Deferred[None] | None = None

    def _build_shell(self, policy: RoutingPolicy, claims: Claims) -> Shell:
        return Shell(
            reactor=self._reactor,
            policy=policy,
            pool=self._pool,
            claims=claims,
            metrics=self._metrics,
            sender=self._link,
            limits=self._settings.delivery,
        )

    def _build_server(self) -> CallerServer:
        handler = RequestHandler(
            reactor=self._reactor,
            shell=self.shell,
            readiness=self.readiness,
            metrics=self._metrics,
            request_ids=RequestIds(host=self._settings.host),
            memory=self._memory,
        )
        return CallerServer(
            reactor=self._reactor,
            limits=self._settings.server,
            on_request=handler.handle,
            on_refused=handler.record_refusal,
            memory=self._memory,
        )

    def _build_shutdown(self) -> Shutdown:
        return Shutdown(
            reactor=self._reactor,
            shell=self.shell,
            readiness=self.readiness,
            server=self._server,
            claims=self._claims,
            times=self._settings.lifecycle,
            answer_read_limit_s=self._settings.delivery.caller_stall_s,
            request_receive_limit_s=self._settings.server.idle_timeout_s,
        )

    @property
    def workspaces(self) -> tuple[WorkspaceId, ...]:
        """The workspaces of the active configuration; empty before the first one."""
        directory = self.readiness.directory
        return () if directory is None else tuple(w.name for w in directory.declaration.workspaces)

    @property
    def port(self) -> int:
        """The TCP port on which the process listens for callers."""
        port: int = self._listener.getHost().port
        return port

    def start(self) -> None:
        """Listen for callers and connect to the agent.

        Raises:
            twisted.internet.error.CannotListenError: The address is in use or not local.
        """
        host, _, port = self._settings.listen.rpartition(":")
        self._listener = self._server.listen(host.strip("[]"), int(port))
        self._pool.start()
        self._memory_watch.start()
        self._claims.start()
        self._link.start()
        self.control.start()
        log_message(message_type="entry: listening", port=self.port)

    def stop(self) -> Deferred[None]:
        """Stop gracefully; the result fires when all work is finished."""
        if self._stopped is None:
            self._stopped = self._shutdown.begin().addCallback(self._close)
        return self._stopped

    def _receive(self, message: AgentMessage) -> None:
        self.control.receive(message)

    def _close(self, _: None) -> None:
        self.control.stop()
        self.shell.stop()
        self._pool.stop()
        self._memory_watch.stop()
        self._claims.stop()
        self._link.stop()

    def _read_gauges(self) -> dict[str, float]:
        return {
            "open_requests": len(self.shell.requests),
            "caller_connections": len(self._server.channels),
            "caller_bytes_held": self._memory.held_bytes,
            "callers_closed_for_memory": self._memory_watch.closed,
            "agent_silence_seconds": self._link.silence_s,
            "ready": float(self.readiness.get_unready_reason() is None),
        }

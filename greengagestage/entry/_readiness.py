"""Readiness of this host, as reported to the load balancer."""

from collections.abc import Callable

from ._directory import Directory


class Readiness:
    """Ready while a configuration is active, the agent is alive and the host is not stopping.

    The state of the platform does not affect readiness.

    Attributes:
        directory: The active configuration, which is the newest version that the process has
            adopted from its agent; None before the first one.
        stopping: Whether a graceful stop has started.
    """

    def __init__(self, *, agent_silence_s: Callable[[], float], agent_grace_s: float) -> None:
        self.directory: Directory | None = None
        self.stopping = False
        self._agent_silence_s = agent_silence_s
        self._agent_grace_s = agent_grace_s

    def get_unready_reason(self) -> str | None:
        """Return why the host is not ready, or None if it is."""
        if self.stopping:
            return "the host is stopping"
        if self.directory is None:
            return "no configuration is in force"
        if self._agent_silence_s() > self._agent_grace_s:
            return "the host's agent has been silent too long"
        return None

"""The settings of an agent process."""

from dataclasses import dataclass, field

from greengagestage.ids import FailureDomain, HostId


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentTimes:
    """Intervals and time limits, in seconds.

    Attributes:
        head_interval_s: Between two polls of the configuration's head.
        platform_timeout_s: For one call to the platform.
        load_interval_s: Between two measurements of one engine by all hosts together.
        load_timeout_s: For one call to an engine.
        query_timeout_s: For the answers of other hosts to an operator's query.
        list_interval_s: Between two polls of the platform's host list; longer in a large fleet.
        list_lag_s: How far the host list can lag behind.
        leave_notice_s: Between the notice to neighbours and the end of a planned stop.
    """

    head_interval_s: float = 3.0
    platform_timeout_s: float = 2.0
    load_interval_s: float = 1.0
    load_timeout_s: float = 1.0
    query_timeout_s: float = 2.0
    list_interval_s: float = 5.0
    list_lag_s: float = 60.0
    leave_notice_s: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """The settings of an agent process.

    ``load_polls_per_s`` limits the calls to engines; ``peers`` are addresses of other agents, for a
    start while the platform's host list is unavailable. All addresses are ``ip:port``.
    """

    host: HostId
    failure_domain: FailureDomain
    entry_listen: str
    peer_listen: str
    http_listen: str
    platform: str
    fleet_key: str
    second_fleet_key: str | None = None
    peers: tuple[str, ...] = ()
    load_polls_per_s: float = 2.0
    times: AgentTimes = field(default_factory=AgentTimes)

    @property
    def fleet_keys(self) -> tuple[str, ...]:
        """The accepted keys; messages are signed with the first."""
        if self.second_fleet_key is None:
            return (self.fleet_key,)
        return (self.fleet_key, self.second_fleet_key)

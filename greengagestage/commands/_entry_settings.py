"""The settings of ``greengage-entry``."""

from collections.abc import Mapping

from greengagestage.entry import (
    ClaimSettings,
    DeliveryLimits,
    EntrySettings,
    LifecycleTimes,
    ServerLimits,
)
from greengagestage.ids import FailureDomain, HostId
from greengagestage.upstream import PoolLimits

from ._setting_types import (
    Reader,
    Setting,
    read_address,
    read_count,
    read_delay,
    read_duration,
    read_fleet_key,
    read_listen_address,
    read_log_path,
    read_name,
    read_optional_fleet_key,
    read_settings,
    read_size,
    read_url,
)


def _setting(name: str, help_text: str, read: Reader, default: str = "") -> Setting:
    return Setting(name=name, help_text=help_text, read=read, default=default)


ENTRY_SETTINGS = (
    _setting(
        "listen",
        "Address for callers, ip:port; port 0 lets the system choose.",
        read_listen_address,
    ),
    _setting("agent", "Address of this host's agent for its entry process, ip:port.", read_address),
    _setting("platform", "Base URL of the platform, http://ip:port.", read_url),
    _setting("host", "Name of this host, unique in the fleet.", read_name),
    _setting("failure_domain", "Failure domain of this host.", read_name),
    _setting(
        "fleet_key", "Key shared by the fleet's processes, 16 characters or more.", read_fleet_key
    ),
    _setting(
        "second_fleet_key",
        "Key that is also accepted while the fleet's key is changed.",
        read_optional_fleet_key,
    ),
    _setting("seed", "Seed of the policy's choices.", read_count, "0"),
    _setting(
        "caller_connections",
        "Connections of callers; at this number, others wait to be accepted.",
        read_size,
        "4096",
    ),
    _setting("body_limit_bytes", "Largest request body, bytes.", read_size, "4194304"),
    _setting(
        "service_buffer_bytes",
        "Answers of plain services up to this size are kept until whole, bytes.",
        read_size,
        "262144",
    ),
    _setting(
        "collected_answer_bytes",
        "Largest completion that is sent as one body, bytes.",
        read_size,
        "16777216",
    ),
    _setting(
        "kept_answer_bytes",
        "Largest answer of a non-idempotent request that is stored, bytes.",
        read_size,
        "2097152",
    ),
    _setting("workspace_labels", "Workspaces with metrics of their own.", read_count, "50"),
    _setting("idle_connections", "Idle connections kept per upstream.", read_count, "64"),
    _setting("connect_timeout_s", "Time to connect to an upstream, seconds.", read_duration, "2"),
    _setting(
        "idle_upstream_timeout_s",
        "Age at which an idle connection to an upstream is closed, seconds.",
        read_duration,
        "15",
    ),
    _setting(
        "idle_caller_timeout_s",
        "Age at which an idle connection of a caller is closed, seconds.",
        read_duration,
        "60",
    ),
    _setting(
        "caller_stall_s",
        "How long a caller may leave its answer unread, seconds.",
        read_duration,
        "30",
    ),
    _setting(
        "store_wait_s",
        "How long the end of a non-idempotent answer waits to be stored, seconds.",
        read_duration,
        "2",
    ),
    _setting(
        "claim_writes_per_s",
        "Claim transactions a second of all entry hosts together.",
        read_duration,
        "200",
    ),
    _setting(
        "claim_retention_s",
        "Age after which a claim that has ended is removed, seconds.",
        read_duration,
        "604800",
    ),
    _setting(
        "platform_timeout_s",
        "Time that a call of the platform may take, seconds.",
        read_duration,
        "1",
    ),
    _setting(
        "agent_grace_s",
        "How long to stay ready without hearing from the agent, seconds.",
        read_duration,
        "60",
    ),
    _setting(
        "drain_notice_s",
        "How long to accept requests after a stop has begun, seconds.",
        read_delay,
        "5",
    ),
    _setting(
        "log_file",
        "Where to write the log's JSON lines; - is standard error.",
        read_log_path,
        "-",
    ),
)


def build_entry_settings(texts: Mapping[str, str]) -> EntrySettings:
    """Check the settings as a whole.

    Raises:
        SettingsError: At least one setting is faulty.
    """
    values = read_settings(ENTRY_SETTINGS, texts)
    return EntrySettings(
        host=HostId(values["host"]),
        failure_domain=FailureDomain(values["failure_domain"]),
        listen=values["listen"],
        agent=values["agent"],
        platform=values["platform"],
        fleet_key=values["fleet_key"],
        second_fleet_key=values["second_fleet_key"],
        seed=values["seed"],
        workspace_labels=values["workspace_labels"],
        server=ServerLimits(
            connections=values["caller_connections"],
            body_bytes=values["body_limit_bytes"],
            idle_timeout_s=values["idle_caller_timeout_s"],
        ),
        pool=PoolLimits(
            connect_timeout_s=values["connect_timeout_s"],
            idle_timeout_s=values["idle_upstream_timeout_s"],
            idle_per_address=values["idle_connections"],
        ),
        delivery=DeliveryLimits(
            service_buffer_bytes=values["service_buffer_bytes"],
            collected_answer_bytes=values["collected_answer_bytes"],
            kept_answer_bytes=values["kept_answer_bytes"],
            caller_stall_s=values["caller_stall_s"],
            store_wait_s=values["store_wait_s"],
        ),
        claims=ClaimSettings(
            fleet_writes_per_s=values["claim_writes_per_s"],
            retention_s=values["claim_retention_s"],
            platform_timeout_s=values["platform_timeout_s"],
        ),
        lifecycle=LifecycleTimes(
            agent_grace_s=values["agent_grace_s"], drain_notice_s=values["drain_notice_s"]
        ),
    )

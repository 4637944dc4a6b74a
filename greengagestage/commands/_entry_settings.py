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
    Parser,
    Setting,
    parse_address,
    parse_count,
    parse_fleet_key,
    parse_listen_address,
    parse_log_path,
    parse_name,
    parse_non_negative_number,
    parse_optional_fleet_key,
    parse_positive_number,
    parse_settings,
    parse_size,
    parse_url,
)


def _setting(name: str, help_text: str, parse: Parser, default: str = "") -> Setting:
    return Setting(name=name, help_text=help_text, parse=parse, default=default)


ENTRY_SETTINGS = (
    _setting(
        "listen",
        "Address to listen on for callers, ip:port; port 0 lets the system choose.",
        parse_listen_address,
    ),
    _setting(
        "agent",
        "Address where this host's agent listens for its entry process, ip:port.",
        parse_address,
    ),
    _setting("platform", "Base URL of the platform, http://ip:port.", parse_url),
    _setting("host", "Name of this host, unique in the fleet.", parse_name),
    _setting("failure_domain", "Failure domain of this host.", parse_name),
    _setting(
        "fleet_key", "Key shared by the fleet's processes, at least 16 characters.", parse_fleet_key
    ),
    _setting(
        "second_fleet_key",
        "Second key that is accepted during a change of the fleet key.",
        parse_optional_fleet_key,
    ),
    _setting("seed", "Seed of the routing policy's random choices.", parse_count, "0"),
    _setting(
        "caller_connections",
        "Maximum number of caller connections; further ones wait to be accepted.",
        parse_size,
        "4096",
    ),
    _setting(
        "memory_mb",
        "Memory of the machine for this process, MiB; limits what is held for slow callers.",
        parse_size,
        "1024",
    ),
    _setting("body_limit_bytes", "Maximum size of a request body, bytes.", parse_size, "4194304"),
    _setting(
        "service_buffer_bytes",
        "Answers of plain services up to this size are buffered until complete, bytes.",
        parse_size,
        "262144",
    ),
    _setting(
        "collected_answer_bytes",
        "Maximum size of a completion that is sent as one body, bytes.",
        parse_size,
        "16777216",
    ),
    _setting(
        "kept_answer_bytes",
        "Maximum size of a non-idempotent request's answer that is stored, bytes.",
        parse_size,
        "2097152",
    ),
    _setting(
        "workspace_labels",
        "Number of workspaces with their own metric label; the others share one.",
        parse_count,
        "50",
    ),
    _setting(
        "idle_connections",
        "Maximum number of idle connections kept per upstream.",
        parse_count,
        "64",
    ),
    _setting(
        "connect_timeout_s",
        "Timeout of connecting to an upstream, seconds.",
        parse_positive_number,
        "2",
    ),
    _setting(
        "idle_upstream_timeout_s",
        "Idle time after which a connection to an upstream is closed, seconds.",
        parse_positive_number,
        "15",
    ),
    _setting(
        "idle_caller_timeout_s",
        "Idle time after which a caller's connection is closed, seconds.",
        parse_positive_number,
        "60",
    ),
    _setting(
        "caller_stall_s",
        "Maximum time a caller may stall without reading its answer, seconds.",
        parse_positive_number,
        "30",
    ),
    _setting(
        "store_wait_s",
        "How long the end of a non-idempotent answer waits for the answer to be stored, seconds.",
        parse_positive_number,
        "2",
    ),
    _setting(
        "claim_writes_per_s",
        "Claim transactions per second of all entry hosts together.",
        parse_positive_number,
        "200",
    ),
    _setting(
        "claim_retention_s",
        "Age after which an ended claim is removed, seconds.",
        parse_positive_number,
        "604800",
    ),
    _setting(
        "platform_timeout_s",
        "Timeout of a call to the platform, seconds.",
        parse_positive_number,
        "1",
    ),
    _setting(
        "agent_grace_s",
        "How long to stay ready without a message from the agent, seconds.",
        parse_positive_number,
        "60",
    ),
    _setting(
        "drain_notice_s",
        "How long to keep accepting requests after a stop begins, seconds.",
        parse_non_negative_number,
        "5",
    ),
    _setting(
        "log_file",
        "File for the log's JSON lines; - is standard error.",
        parse_log_path,
        "-",
    ),
)


def build_entry_settings(texts: Mapping[str, str]) -> EntrySettings:
    """Build the entry process's settings from their texts.

    Raises:
        SettingsError: At least one setting is invalid. The error lists all faults.
    """
    values = parse_settings(ENTRY_SETTINGS, texts)
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
        memory_mb=values["memory_mb"],
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

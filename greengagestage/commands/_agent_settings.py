"""The settings of ``greengage-agent``."""

from collections.abc import Mapping

from greengagestage.agent import AgentSettings, AgentTimes
from greengagestage.ids import FailureDomain, HostId

from ._setting_types import (
    Reader,
    Setting,
    SettingsError,
    read_address,
    read_duration,
    read_fleet_key,
    read_log_path,
    read_name,
    read_optional_fleet_key,
    read_settings,
    read_url,
)


def _setting(name: str, help_text: str, read: Reader, default: str = "") -> Setting:
    return Setting(name=name, help_text=help_text, read=read, default=default)


def _duration(name: str, help_text: str, default: str) -> Setting:
    return _setting(name, f"{help_text}, seconds.", read_duration, default)


def _read_addresses(text: str) -> tuple[str, ...]:
    return tuple(read_address(part.strip()) for part in text.split(",") if part.strip())


AGENT_SETTINGS = (
    _setting("entry_listen", "Address for this host's entry process, ip:port.", read_address),
    _setting("peer_listen", "Address for other hosts' agents, ip:port.", read_address),
    _setting("http_listen", "Address for operators and health checks, ip:port.", read_address),
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
    _duration("head_interval_s", "Time between two polls of the configuration's head", "3"),
    _duration("platform_timeout_s", "Time for one call to the platform", "2"),
    _duration("load_interval_s", "Time between two measurements of one engine by all hosts", "1"),
    _duration("load_timeout_s", "Time for one call to an engine", "1"),
    _duration("query_timeout_s", "Time for other hosts to answer a query", "2"),
    _duration("list_interval_s", "Time between two polls of the host list in a small fleet", "5"),
    _duration("list_lag_s", "How far the platform's host list can lag behind", "60"),
    _duration("leave_notice_s", "Time between the notice to neighbours and the end", "0.5"),
    _setting(
        "peers",
        "Addresses of other agents, ip:port,ip:port, for a start without the host list.",
        _read_addresses,
    ),
    _setting(
        "load_polls_per_s", "Most calls to engines for their load, a second.", read_duration, "2"
    ),
    _setting(
        "log_file", "Where to write the log's JSON lines; - is standard error.", read_log_path, "-"
    ),
)


def build_agent_settings(texts: Mapping[str, str]) -> AgentSettings:
    """Check the settings as a whole.

    Raises:
        SettingsError: At least one setting is faulty; all faults are named.
    """
    values = read_settings(AGENT_SETTINGS, texts)
    _check_distinct_addresses(values["entry_listen"], values["peer_listen"], values["http_listen"])
    return AgentSettings(
        host=HostId(values["host"]),
        failure_domain=FailureDomain(values["failure_domain"]),
        entry_listen=values["entry_listen"],
        peer_listen=values["peer_listen"],
        http_listen=values["http_listen"],
        platform=values["platform"],
        fleet_key=values["fleet_key"],
        second_fleet_key=values["second_fleet_key"],
        peers=values["peers"],
        load_polls_per_s=values["load_polls_per_s"],
        times=AgentTimes(
            head_interval_s=values["head_interval_s"],
            platform_timeout_s=values["platform_timeout_s"],
            load_interval_s=values["load_interval_s"],
            load_timeout_s=values["load_timeout_s"],
            query_timeout_s=values["query_timeout_s"],
            list_interval_s=values["list_interval_s"],
            list_lag_s=values["list_lag_s"],
            leave_notice_s=values["leave_notice_s"],
        ),
    )


def _check_distinct_addresses(*addresses: str) -> None:
    if len(set(addresses)) != len(addresses):
        raise SettingsError([f"the addresses to listen on must differ: {', '.join(addresses)}"])

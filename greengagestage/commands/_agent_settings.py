"""The settings of ``greengage-agent``."""

from collections.abc import Mapping

from greengagestage.agent import AgentSettings, AgentTimes
from greengagestage.ids import FailureDomain, HostId

from ._setting_types import (
    Parser,
    Setting,
    SettingsError,
    parse_address,
    parse_fleet_key,
    parse_log_path,
    parse_name,
    parse_optional_fleet_key,
    parse_positive_number,
    parse_settings,
    parse_url,
)


def _setting(name: str, help_text: str, parse: Parser, default: str = "") -> Setting:
    return Setting(name=name, help_text=help_text, parse=parse, default=default)


def _duration(name: str, help_text: str, default: str) -> Setting:
    return _setting(name, f"{help_text}, seconds.", parse_positive_number, default)


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(parse_address(part.strip()) for part in text.split(",") if part.strip())


AGENT_SETTINGS = (
    _setting(
        "entry_listen",
        "Address to listen on for this host's entry process, ip:port.",
        parse_address,
    ),
    _setting(
        "peer_listen", "Address to listen on for other hosts' agents, ip:port.", parse_address
    ),
    _setting(
        "http_listen",
        "Address to listen on for operators and health checks, ip:port.",
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
    _duration("head_interval_s", "Interval between polls of the configuration's head", "3"),
    _duration("platform_timeout_s", "Timeout of a call to the platform", "2"),
    _duration("load_interval_s", "Interval at which all hosts together measure each engine", "1"),
    _duration("load_timeout_s", "Timeout of a call to an engine", "1"),
    _duration("query_timeout_s", "Timeout for other hosts to answer a query", "2"),
    _duration("list_interval_s", "Interval between polls of the host list in a small fleet", "5"),
    _duration("list_lag_s", "Maximum lag of the platform's host list", "60"),
    _duration("leave_notice_s", "Delay between the leave notice to neighbours and the exit", "0.5"),
    _setting(
        "peers",
        "Addresses of other agents, ip:port,ip:port, to start without the host list.",
        _parse_addresses,
    ),
    _setting(
        "load_polls_per_s",
        "Maximum rate of load polls to engines, per second.",
        parse_positive_number,
        "2",
    ),
    _setting(
        "log_file", "File for the log's JSON lines; - is standard error.", parse_log_path, "-"
    ),
)


def build_agent_settings(texts: Mapping[str, str]) -> AgentSettings:
    """Build the agent's settings from their texts and check them as a whole.

    Raises:
        SettingsError: At least one setting is invalid. The error lists all faults.
    """
    values = parse_settings(AGENT_SETTINGS, texts)
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
        raise SettingsError([f"the listen addresses must differ: {', '.join(addresses)}"])

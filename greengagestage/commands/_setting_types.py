"""Settings of a program: their flags, environment variables, defaults and validation."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

import click

from greengagestage.results import CODE_DETAILS, ResultCode
from greengagestage.telemetry import STANDARD_ERROR

MIN_FLEET_KEY_CHARACTERS = 16
MAX_PORT = 65_535

Parser = Callable[[str], Any]
"""Converts a setting's text to its value. Raises ``ValueError`` with a message that continues the
name of the flag."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """One setting, given as a flag or as an environment variable."""

    name: str
    help_text: str
    parse: Parser
    default: str = ""

    @property
    def flag(self) -> str:
        """The command-line flag of the setting."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable of the setting."""
        return "GREENGAGE_" + self.name.upper()


class SettingsError(ValueError):
    """At least one setting is invalid. ``faults`` has one message for each fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults

    def describe(self) -> str:
        """Return the result code, then one line per fault."""
        code = ResultCode.SETTINGS_INVALID
        head = f"{code.value} {code.name}: {CODE_DETAILS[code].message}"
        return "\n".join([head, *(f"  {fault}" for fault in self.faults)])


def add_setting_options(settings: Iterable[Setting]) -> Callable[[Any], Any]:
    """Return a decorator that adds the settings' flags to a click command."""

    def decorate(command: Any) -> Any:
        for setting in reversed(list(settings)):
            command = click.option(
                setting.flag,
                setting.name,
                help=setting.help_text,
                default=setting.default,
                show_default=bool(setting.default),
                envvar=setting.variable,
                show_envvar=True,
            )(command)
        return command

    return decorate


def parse_settings(settings: Iterable[Setting], texts: Mapping[str, str]) -> dict[str, Any]:
    """Convert the texts of all settings to their values, by name.

    Raises:
        SettingsError: At least one setting is invalid. The error lists all faults.
    """
    values: dict[str, Any] = {}
    faults = []
    for setting in settings:
        try:
            values[setting.name] = setting.parse(texts[setting.name])
        except ValueError as error:
            faults.append(f"{setting.flag} {error}")
    if faults:
        raise SettingsError(faults)
    return values


def parse_address(text: str) -> str:
    """Check an address, ``ip:port``."""
    return _parse_address(text, lowest_port=1)


def parse_listen_address(text: str) -> str:
    """Check an address to listen on, ``ip:port``; port 0 lets the system choose."""
    return _parse_address(text, lowest_port=0)


def _parse_address(text: str, lowest_port: int) -> str:
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"must be an IP address and a port, not {text!r}") from None
    if not port.isdecimal() or not lowest_port <= int(port) <= MAX_PORT:
        raise ValueError(f"has no valid port: {text!r}")
    return text


def parse_url(text: str) -> str:
    """Check a URL, ``http://ip:port``; a trailing slash is removed."""
    if not text.startswith("http://"):
        raise ValueError(f"must have the form http://ip:port, not {text!r}")
    return "http://" + parse_address(text.removeprefix("http://").rstrip("/"))


def parse_name(text: str) -> str:
    """Check a name of letters, digits, ``-``, ``_`` and ``.``."""
    if not text:
        raise ValueError("is required")
    if not all(character.isalnum() or character in "-_." for character in text):
        raise ValueError(f"may contain only letters, digits, '-', '_' and '.', not {text!r}")
    return text


def parse_fleet_key(text: str) -> str:
    """Check the length of a key shared by the fleet's processes."""
    if len(text) < MIN_FLEET_KEY_CHARACTERS:
        raise ValueError(f"must have at least {MIN_FLEET_KEY_CHARACTERS} characters")
    return text


def parse_optional_fleet_key(text: str) -> str | None:
    """Check an optional fleet key; an empty text gives None."""
    return parse_fleet_key(text) if text else None


def parse_count(text: str) -> int:
    """Parse a whole number, 0 or more."""
    if not text.isdecimal():
        raise ValueError(f"must be a whole number, 0 or more, not {text!r}")
    return int(text)


def parse_size(text: str) -> int:
    """Parse a whole number, 1 or more."""
    value = parse_count(text)
    if value == 0:
        raise ValueError("must be 1 or more")
    return value


def parse_positive_number(text: str) -> float:
    """Parse a time in seconds or a rate per second, more than 0."""
    value = parse_non_negative_number(text)
    if value == 0:
        raise ValueError("must be more than 0")
    return value


def parse_non_negative_number(text: str) -> float:
    """Parse a time in seconds or a rate per second, 0 or more."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"must be a number, not {text!r}") from None
    if not 0 <= value < float("inf"):
        raise ValueError(f"must be 0 or more, not {text!r}")
    return value


def parse_log_path(text: str) -> str:
    """Check that a file can be opened for appending; ``-`` is standard error."""
    if text == STANDARD_ERROR:
        return text
    try:
        open(text, "ab").close()
    except OSError as error:
        raise ValueError(f"cannot be written to: {error.strerror}") from None
    return text

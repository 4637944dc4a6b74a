"""Settings of a command: their flags, variables, defaults and checks."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

import click

from greengagestage.results import CODE_DETAILS, ResultCode
from greengagestage.telemetry import STANDARD_ERROR

MIN_FLEET_KEY_CHARACTERS = 16
MAX_PORT = 65_535

Reader = Callable[[str], Any]
"""Turns a setting's text into its value; raises ``ValueError`` with what is wrong."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """One setting, given as a flag or as an environment variable."""

    name: str
    help_text: str
    read: Reader
    default: str = ""

    @property
    def flag(self) -> str:
        """The flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return "GREENGAGE_" + self.name.upper()


class SettingsError(ValueError):
    """Some settings are faulty; ``faults`` names all of them."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults

    def describe(self) -> str:
        """Return the result code and one line a fault."""
        code = ResultCode.SETTINGS_INVALID
        head = f"{code.value} {code.name}: {CODE_DETAILS[code].message}"
        return "\n".join([head, *(f"  {fault}" for fault in self.faults)])


def add_setting_options(settings: Iterable[Setting]) -> Callable[[Any], Any]:
    """Return a decorator that gives a command the settings' flags."""

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


def read_settings(settings: Iterable[Setting], texts: Mapping[str, str]) -> dict[str, Any]:
    """Read all settings.

    Raises:
        SettingsError: At least one setting is faulty.
    """
    values: dict[str, Any] = {}
    faults = []
    for setting in settings:
        try:
            values[setting.name] = setting.read(texts[setting.name])
        except ValueError as error:
            faults.append(f"{setting.flag} {error}")
    if faults:
        raise SettingsError(faults)
    return values


def read_address(text: str) -> str:
    """Read ``ip:port``."""
    return _read_address(text, lowest_port=1)


def read_listen_address(text: str) -> str:
    """Read ``ip:port``, where port 0 lets the system choose."""
    return _read_address(text, lowest_port=0)


def _read_address(text: str, lowest_port: int) -> str:
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"must be an IP number and a port, not {text!r}") from None
    if not port.isdecimal() or not lowest_port <= int(port) <= MAX_PORT:
        raise ValueError(f"has no valid port: {text!r}")
    return text


def read_url(text: str) -> str:
    """Read ``http://ip:port``."""
    if not text.startswith("http://"):
        raise ValueError(f"must read http://ip:port, not {text!r}")
    return "http://" + read_address(text.removeprefix("http://").rstrip("/"))


def read_name(text: str) -> str:
    """Read a name."""
    if not text:
        raise ValueError("is required")
    if not all(character.isalnum() or character in "-_." for character in text):
        raise ValueError(f"takes letters, digits, '-', '_' and '.', not {text!r}")
    return text


def read_fleet_key(text: str) -> str:
    """Read a key shared by the fleet's processes."""
    if len(text) < MIN_FLEET_KEY_CHARACTERS:
        raise ValueError(f"must have at least {MIN_FLEET_KEY_CHARACTERS} characters")
    return text


def read_optional_fleet_key(text: str) -> str | None:
    """Read a key that need not be given."""
    return read_fleet_key(text) if text else None


def read_count(text: str) -> int:
    """Read a whole number, 0 or more."""
    if not text.isdecimal():
        raise ValueError(f"must be a whole number, 0 or more, not {text!r}")
    return int(text)


def read_size(text: str) -> int:
    """Read a whole number, 1 or more."""
    value = read_count(text)
    if value == 0:
        raise ValueError("must be 1 or more")
    return value


def read_duration(text: str) -> float:
    """Read a time in seconds, more than 0."""
    value = read_delay(text)
    if value == 0:
        raise ValueError("must be more than 0")
    return value


def read_delay(text: str) -> float:
    """Read a time in seconds, 0 or more."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"must be a number of seconds, not {text!r}") from None
    if not 0 <= value < float("inf"):
        raise ValueError(f"must be 0 or more, not {text!r}")
    return value


def read_log_path(text: str) -> str:
    """Read the path of a file that can be appended to; ``-`` is standard error."""
    if text == STANDARD_ERROR:
        return text
    try:
        open(text, "ab").close()
    except OSError as error:
        raise ValueError(f"cannot be written to: {error.strerror}") from None
    return text

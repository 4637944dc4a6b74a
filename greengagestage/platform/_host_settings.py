"""The platform's settings file: lines of the form ``a.b=value``."""

import math
from collections.abc import Mapping

from returns.result import Failure, Result, Success

from greengagestage.catalog import Bounds, Duty, DutySettings, HostSettings
from greengagestage.ids import FailureDomain, HostId

SETTINGS_VARIABLE = "GREENGAGESTAGE_CONFIG"
SETTINGS_PATH = "/etc/greengagestage/settings.conf"

READINESS_PATH = b"/readiness"
"""Path on which the load balancer checks whether a host is ready."""

MS_PER_S = 1_000.0
BYTES_PER_MB = 1_048_576

MAX_SLACK_RATIO = 0.5
"""A holder must be able to act until a third of its lease has passed, when it renews it."""

_REQUIRED = ("Node", "Ip", "Zone", "Listen.Front", "Listen.Ready", "Platform.Address")


def parse_host_settings(text: str) -> Result[HostSettings, tuple[str, ...]]:
    """Parse a settings file.

    A failure lists the missing settings, or if none is missing, every invalid one.
    """
    parser = _SettingsParser(_split_lines(text))
    missing = [f"{name} is missing" for name in _REQUIRED if name not in parser.values]
    if missing:
        return Failure(tuple(missing))
    settings = HostSettings(
        host=HostId(parser.values["Node"]),
        address=parser.values["Ip"],
        failure_domain=FailureDomain(parser.values["Zone"]),
        callers=parser.parse_endpoint("Listen.Front"),
        readiness=parser.parse_endpoint("Listen.Ready"),
        peer_port=parser.parse_first_port("InternalPortRange"),
        store=parser.parse_endpoint("Platform.Address"),
        memory_bytes=parser.parse_limit("Limits.MemoryMb", 300.0) * BYTES_PER_MB,
        max_descriptors=int(parser.parse_limit("Limits.MaxFds", 4_100.0)),
        first_start=parser.parse_flag("FirstStart"),
        bounds=_parse_bounds(parser),
        duties=_parse_duties(parser),
    )
    return Failure(tuple(parser.errors)) if parser.errors else Success(settings)


_DEFAULTS = Bounds()


def _parse_bounds(parser: "_SettingsParser") -> Bounds:
    strict = parser.values.get("Bounds.StrictRevocation") == "true"
    revocation_s = parser.parse_number("Bounds.RevokeMs", 5_000.0) / MS_PER_S
    return Bounds(
        stop_grace_s=parser.parse_number("Bounds.GracePeriodS", _DEFAULTS.stop_grace_s),
        key_revocation_s=revocation_s if strict else None,
        retry_ratio=parser.parse_number("Bounds.RetryBudgetRatio", _DEFAULTS.retry_ratio),
        retry_window_s=parser.parse_number("Bounds.RetryWindowS", _DEFAULTS.retry_window_s),
        retry_slack=parser.parse_number("Bounds.RetryBudgetSlack", _DEFAULTS.retry_slack),
        cross_domain_cost_s_per_gb=parser.parse_price("Traffic.CrossDomainCostPerGB"),
    )


def _parse_duties(parser: "_SettingsParser") -> DutySettings | None:
    names = {name.strip() for name in parser.values.get("Cloud.Duties", "").split(",")}
    duties = frozenset(duty for duty in Duty if duty.value in names)
    if not duties or not parser.values.get("Cloud.Address"):
        return None
    lease_ms = parser.parse_positive("Bounds.LeaseMs", 3_000.0)
    slack_ms = parser.parse_number("Bounds.ThawSlackMs", 300.0)
    if not 0 <= slack_ms < lease_ms * MAX_SLACK_RATIO:
        parser.errors.append("Bounds.ThawSlackMs must be less than half of Bounds.LeaseMs")
    tolerance = parser.parse_number("Bounds.UsageTolerance", 0.05)
    if tolerance < 0:
        parser.errors.append(f"Bounds.UsageTolerance must not be negative, not {tolerance}")
    return DutySettings(
        address=parser.parse_endpoint("Cloud.Address"),
        duties=duties,
        calls_per_s=parser.parse_positive("Cloud.DutyPerS", 10.0),
        lease_s=lease_ms / MS_PER_S,
        thaw_slack_s=slack_ms / MS_PER_S,
        checks_fence=parser.values.get("Bounds.ChecksFence") == "true",
        usage_window_s=parser.parse_positive("Bounds.UsageWindowS", 5.0),
        usage_tolerance=tolerance,
        usage_late_s=parser.parse_positive("Bounds.UsageLateS", 10.0),
    )


def _split_lines(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, _, value in pairs}


class _SettingsParser:
    """Parses single values and collects a message for each invalid one."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values
        self.errors: list[str] = []

    def parse_endpoint(self, name: str) -> tuple[str, int]:
        """Parse ``ip:port``."""
        address, _, port = self.values[name].rpartition(":")
        if address and port.isdecimal() and 0 < int(port) < 65_536:
            return address, int(port)
        self.errors.append(f"{name} must be ip:port, not {self.values[name]!r}")
        return "", 0

    def parse_first_port(self, name: str) -> int:
        """Parse the first port of ``first,last``."""
        first = self.values.get(name, "").partition(",")[0]
        if first.isdecimal() and 0 < int(first) < 65_536:
            return int(first)
        self.errors.append(f"{name} must be first,last, not {self.values.get(name)!r}")
        return 0

    def parse_flag(self, name: str) -> bool:
        """Parse an optional ``true`` or ``false``; false if it is missing."""
        text = self.values.get(name, "").lower()
        if text not in ("", "true", "false"):
            self.errors.append(f"{name} must be true or false, not {text!r}")
        return text == "true"

    def parse_number(self, name: str, default: float) -> float:
        """Parse an optional number."""
        text = self.values.get(name)
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            self.errors.append(f"{name} must be a number, not {text!r}")
            return default

    def parse_positive(self, name: str, default: float) -> float:
        """Parse an optional number that must be greater than 0."""
        number = self.parse_number(name, default)
        if number > 0 and math.isfinite(number):
            return number
        self.errors.append(f"{name} must be greater than 0, not {number}")
        return default

    def parse_limit(self, name: str, default: float) -> float:
        """Parse an optional limit of the machine; without one that is above 0, the default."""
        number = self.parse_number(name, default)
        return number if 0 < number < math.inf else default

    def parse_price(self, name: str) -> float | None:
        """Parse an optional number that is finite and not negative; None if it is not set."""
        if not self.values.get(name):
            return None
        price = self.parse_number(name, 0.0)
        if 0.0 <= price < math.inf:
            return price
        self.errors.append(
            f"{name} must be a finite number of at least 0, not {self.values.get(name)!r}"
        )
        return None

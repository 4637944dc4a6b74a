"""The platform's settings file: lines of the form ``a.b=value``."""

from collections.abc import Mapping

from returns.result import Failure, Result, Success

from greengagestage.catalog import Bounds, HostSettings
from greengagestage.ids import FailureDomain, HostId

SETTINGS_VARIABLE = "GREENGAGESTAGE_CONFIG"
SETTINGS_PATH = "/etc/greengagestage/settings.conf"

READINESS_PATH = b"/readiness"
"""Where the balancer asks whether a host is ready."""

MS_PER_S = 1_000.0

_REQUIRED = ("Node", "Ip", "Zone", "Listen.Front", "Listen.Ready", "Platform.Address")


def parse_host_settings(text: str) -> Result[HostSettings, tuple[str, ...]]:
    """Decode a settings file; a failure names every faulty line."""
    reader = _Reader(_split_lines(text))
    missing = [f"{name} is missing" for name in _REQUIRED if name not in reader.values]
    if missing:
        return Failure(tuple(missing))
    settings = HostSettings(
        host=HostId(reader.values["Node"]),
        address=reader.values["Ip"],
        failure_domain=FailureDomain(reader.values["Zone"]),
        callers=reader.read_endpoint("Listen.Front"),
        readiness=reader.read_endpoint("Listen.Ready"),
        peer_port=reader.read_first_port("InternalPortRange"),
        store=reader.read_endpoint("Platform.Address"),
        bounds=_read_bounds(reader),
    )
    return Failure(tuple(reader.faults)) if reader.faults else Success(settings)


_DEFAULTS = Bounds()


def _read_bounds(reader: "_Reader") -> Bounds:
    strict = reader.values.get("Bounds.StrictRevocation") == "true"
    revocation_s = reader.read_number("Bounds.RevokeMs", 5_000.0) / MS_PER_S
    return Bounds(
        stop_grace_s=reader.read_number("Bounds.GracePeriodS", _DEFAULTS.stop_grace_s),
        key_revocation_s=revocation_s if strict else None,
        retry_ratio=reader.read_number("Bounds.RetryBudgetRatio", _DEFAULTS.retry_ratio),
        retry_window_s=reader.read_number("Bounds.RetryWindowS", _DEFAULTS.retry_window_s),
        retry_slack=reader.read_number("Bounds.RetryBudgetSlack", _DEFAULTS.retry_slack),
    )


def _split_lines(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, _, value in pairs}


class _Reader:
    """Reads single values and collects what is wrong with them."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values
        self.faults: list[str] = []

    def read_endpoint(self, name: str) -> tuple[str, int]:
        """Read ``ip:port``."""
        address, _, port = self.values[name].rpartition(":")
        if address and port.isdecimal() and 0 < int(port) < 65_536:
            return address, int(port)
        self.faults.append(f"{name} must read ip:port, not {self.values[name]!r}")
        return "", 0

    def read_first_port(self, name: str) -> int:
        """Read the first port of ``first,last``."""
        first = self.values.get(name, "").partition(",")[0]
        if first.isdecimal() and 0 < int(first) < 65_536:
            return int(first)
        self.faults.append(f"{name} must read first,last, not {self.values.get(name)!r}")
        return 0

    def read_number(self, name: str, default: float) -> float:
        """Read a number that may be missing."""
        text = self.values.get(name)
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            self.faults.append(f"{name} must be a number, not {text!r}")
            return default

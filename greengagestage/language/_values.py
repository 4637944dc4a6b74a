"""Parses literal values and formats durations."""

from ._commands import Scalar

_UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}


def parse_duration_ms(text: str) -> int:
    """Convert a duration such as ``1500ms``, ``2s`` or ``10m`` to milliseconds."""
    unit = text.lstrip("0123456789.")
    return round(float(text[: -len(unit)]) * _UNIT_MS[unit])


def parse_number(text: str) -> int | float:
    """Return an int, or a float if the text has a decimal point."""
    return float(text) if "." in text else int(text)


def parse_percent(text: str) -> float:
    """Return ``80%`` as 0.8."""
    return float(text.removesuffix("%")) / 100


def parse_scalar(kind: str, text: str) -> Scalar:
    """Convert the text of a literal that matched the grammar terminal ``kind``."""
    match kind:
        case "DURATION":
            return parse_duration_ms(text)
        case "PERCENT":
            return parse_percent(text)
        case "NUMBER":
            return parse_number(text)
        case "FLAG":
            return text == "true"
        case _:
            return text.strip('"')


def format_duration(milliseconds: float) -> str:
    """Format a duration in the largest unit in which it is at least 1."""
    for unit in ("d", "h", "m", "s"):
        if milliseconds >= _UNIT_MS[unit]:
            return f"{milliseconds / _UNIT_MS[unit]:.3g}{unit}"
    return f"{milliseconds:.0f}ms"

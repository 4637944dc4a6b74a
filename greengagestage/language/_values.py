"""Reading literal values."""

from ._commands import Scalar

_UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}


def read_duration_ms(text: str) -> int:
    """Return a duration such as ``1500ms``, ``2s`` or ``10m`` in milliseconds."""
    unit = text.lstrip("0123456789.")
    return round(float(text[: -len(unit)]) * _UNIT_MS[unit])


def read_number(text: str) -> int | float:
    """Return a whole number as int and any other as float."""
    return float(text) if "." in text else int(text)


def read_percent(text: str) -> float:
    """Return ``80%`` as 0.8."""
    return float(text.removesuffix("%")) / 100


def read_scalar(kind: str, text: str) -> Scalar:
    """Return the value of a literal of the given terminal."""
    match kind:
        case "DURATION":
            return read_duration_ms(text)
        case "PERCENT":
            return read_percent(text)
        case "NUMBER":
            return read_number(text)
        case "FLAG":
            return text == "true"
        case _:
            return text.strip('"')


def format_duration(milliseconds: float) -> str:
    """Return a duration in the largest unit that keeps it readable."""
    for unit in ("d", "h", "m", "s"):
        if milliseconds >= _UNIT_MS[unit]:
            return f"{milliseconds / _UNIT_MS[unit]:.3g}{unit}"
    return f"{milliseconds:.0f}ms"

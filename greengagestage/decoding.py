"""Decoding of bytes that others have written.

Rows, entries, documents and datagrams may come from any writer. Their decoders return a value or a
failure for all bytes: malformed text, values of another type, numbers too large for what is
computed from them, and values nested more deeply than the stack allows.
"""

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

DECODE_ERRORS = (msgspec.DecodeError, RecursionError, OverflowError, ValueError)
"""What decoding, or the conversion of decoded values, raises for bytes that cannot be read."""

Integer = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
"""A whole number that every codec can write again."""

_S = TypeVar("_S")
_T = TypeVar("_T")


def decode_json(data: bytes, value_type: type[_S]) -> Result[_S, str]:
    """Decode a JSON value; a failure says why it cannot be read."""
    return convert_json(data, value_type, lambda value: value)


def convert_json(data: bytes, value_type: type[_S], convert: Callable[[_S], _T]) -> Result[_T, str]:
    """Decode a JSON value and convert it; a failure says why one of the two is not possible.

    Args:
        convert: Raises ``ValueError`` for a value that cannot be converted.
    """
    try:
        return Success(convert(msgspec.json.decode(data, type=value_type)))
    except DECODE_ERRORS as error:
        return Failure(str(error))

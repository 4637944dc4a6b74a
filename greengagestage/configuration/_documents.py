"""Reading, writing and digesting declarations."""

import hashlib

import msgspec

from ._declaration import Declaration

_ENCODER = msgspec.json.Encoder(order="deterministic")
_DECODER = msgspec.json.Decoder(Declaration)


def read_declaration(text: str) -> Declaration:
    """Read a TOML declaration.

    Raises:
        msgspec.ValidationError: A value has the wrong type; the message names its place.
        msgspec.DecodeError: The text is not TOML.
    """
    return msgspec.toml.decode(text, type=Declaration)


def encode_declaration(declaration: Declaration) -> bytes:
    """Return the canonical JSON form, equal for equal declarations."""
    return _ENCODER.encode(declaration)


def decode_declaration(document: bytes) -> Declaration:
    """Read the canonical JSON form.

    Raises:
        msgspec.ValidationError: A value has the wrong type.
        msgspec.DecodeError: The document is not JSON.
    """
    return _DECODER.decode(document)


def compute_digest(document: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of a canonical document."""
    return hashlib.sha256(document).hexdigest()

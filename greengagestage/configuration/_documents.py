"""Parses, encodes, decodes and hashes declarations."""

import hashlib

import msgspec

from ._declaration import Declaration

MAX_DECLARATION_BYTES = 3 * 1024 * 1024
"""Limit of a declaration's document, and of the text that it is read from, in bytes of UTF-8. It is
below the limit of a message between processes, 4 MiB, to leave room for the message's envelope:
header, sender and counter."""

_ENCODER = msgspec.json.Encoder(order="deterministic")
_DECODER = msgspec.json.Decoder(Declaration)


def read_declaration(text: str) -> Declaration:
    """Parse a declaration in TOML.

    Raises:
        msgspec.ValidationError: A value has the wrong type; the message contains its path.
        msgspec.DecodeError: The text is not valid TOML.
    """
    return msgspec.toml.decode(text, type=Declaration)


def encode_declaration(declaration: Declaration) -> bytes:
    """Return the canonical JSON form, which is equal for equal declarations."""
    return _ENCODER.encode(declaration)


def decode_declaration(document: bytes) -> Declaration:
    """Decode the canonical JSON form.

    Raises:
        msgspec.ValidationError: A value has the wrong type.
        msgspec.DecodeError: The document is not valid JSON.
    """
    return _DECODER.decode(document)


def compute_digest(document: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of a canonical document."""
    return hashlib.sha256(document).hexdigest()

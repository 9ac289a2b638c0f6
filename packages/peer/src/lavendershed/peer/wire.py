"""Thrift encoding of structs; decoding limits the memory it reserves."""

from __future__ import annotations

import struct
from typing import Any
from typing import TypeVar

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

S = TypeVar("S")

# Exceptions that decoding raises for malformed messages.
DECODE_ERRORS = (
    EOFError,
    LookupError,
    MemoryError,
    OverflowError,
    RecursionError,
    Thrift.TException,
    TypeError,
    ValueError,
    struct.error,
)


def encode(value: Any) -> bytes:  # noqa: ANN401 - generated classes
    """Returns the compact encoding of a thrift struct."""
    buffer = TTransport.TMemoryBuffer()
    value.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    encoded: bytes = buffer.getvalue()
    return encoded


def decode(struct_type: type[S], data: bytes) -> S:
    """Returns the struct that `data` encodes; unknown fields are ignored.

    Raises:
        Exception: One of `DECODE_ERRORS`.
    """
    value: Any = struct_type()
    protocol = TCompactProtocol.TCompactProtocolAccelerated(
        TTransport.TMemoryBuffer(data),
        # A malformed length above the message size must not reserve memory.
        string_length_limit=len(data),
        container_length_limit=len(data),
    )
    value.read(protocol)
    decoded: S = value
    return decoded

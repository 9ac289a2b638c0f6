"""Signed datagrams and frames of one deployment."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TypeVar

from lavendershed.core import units
from lavendershed.membership import messages
from lavendershed.peer import authentication
from lavendershed.peer import codec
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes

S = TypeVar("S")
RejectionListener = Callable[[str], None]

MAX_DATAGRAM_BYTES = units.Bytes(1_200)
_MAX_REPORTED_REASONS = 64


class EnvelopeCodec:
    """Encodes, signs, verifies and decodes messages of one deployment."""

    def __init__(
        self,
        deployment: str,
        authenticator: authentication.Authenticator,
        on_rejection: RejectionListener,
    ) -> None:
        """Initialises the codec.

        Args:
            deployment: Id that every message must carry.
            authenticator: Keys of the deployment.
            on_rejection: Called once for each reason to drop messages.
        """
        self._deployment = deployment
        self._authenticator = authenticator
        self._on_rejection = on_rejection
        self._reported: set[str] = set()

    @property
    def deployment(self) -> str:
        """Id of the deployment."""
        return self._deployment

    def encode_datagram(self, message: messages.Message) -> bytes:
        """Returns a message as a signed datagram."""
        return self._authenticator.sign(
            authentication.Purpose.DATAGRAM,
            codec.encode_message(message, self._deployment),
        )

    def decode_datagram(self, datagram: bytes) -> messages.Message | None:
        """Returns the message of a datagram; None if it is invalid."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._reject("a datagram is too long")
            return None
        decoded = self.decode(
            authentication.Purpose.DATAGRAM, ttypes.Datagram, datagram
        )
        if decoded is None:
            return None
        try:
            return codec.message_from_thrift(decoded)
        except (*wire.DECODE_ERRORS, AttributeError):
            self._reject("a datagram has invalid fields")
            return None

    def encode(
        self,
        purpose: authentication.Purpose,
        value: Any,  # noqa: ANN401
    ) -> bytes:
        """Returns a thrift struct as signed content of a frame."""
        return self._authenticator.sign(purpose, wire.encode(value))

    def decode(
        self,
        purpose: authentication.Purpose,
        struct_type: type[S],
        signed: bytes,
    ) -> S | None:
        """Returns the struct of a datagram or frame; None if it is invalid."""
        payload = self._authenticator.verify(purpose, signed)
        if payload is None:
            self._reject("a message has no valid tag")
            return None
        try:
            value: Any = wire.decode(struct_type, payload)
        except wire.DECODE_ERRORS:
            self._reject("a message is malformed")
            return None
        if value.deployment != self._deployment:
            self._reject(f"a message is of deployment {value.deployment!r}")
            return None
        decoded: S = value
        return decoded

    def _reject(self, reason: str) -> None:
        if (
            reason in self._reported
            or len(self._reported) >= _MAX_REPORTED_REASONS
        ):
            return
        self._reported.add(reason)
        self._on_rejection(reason)

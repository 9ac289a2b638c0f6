"""Authentication of datagrams and frames with shared keys (HMAC)."""

from __future__ import annotations

import enum
import hmac

_DIGEST = "sha256"
# RFC 2104 allows truncation to half of the hash, which saves space in
# datagrams.
TAG_BYTES = 16
# The old and the new key are accepted during a key rotation.
MAX_KEYS = 2
MIN_KEY_BYTES = 16


class Purpose(enum.Enum):
    """Type of the authenticated message; a tag is valid for one type only."""

    DATAGRAM = b"datagram"
    CALL = b"call"
    ANSWER = b"answer"


class Authenticator:
    """Signs with the first key and verifies with all keys."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        """Initialises the authenticator with its keys.

        Raises:
            ValueError: There are no keys or too many, or one is too short.
        """
        if not 1 <= len(keys) <= MAX_KEYS:
            raise ValueError(f"1 to {MAX_KEYS} peer keys are required")
        if min(map(len, keys)) < MIN_KEY_BYTES:
            raise ValueError(
                f"a peer key is shorter than {MIN_KEY_BYTES} bytes"
            )
        self._keys = keys

    def sign(self, purpose: Purpose, payload: bytes) -> bytes:
        """Returns the payload prefixed with its tag."""
        return _tag(self._keys[0], purpose, payload) + payload

    def verify(self, purpose: Purpose, signed: bytes) -> bytes | None:
        """Returns the payload, or None if the tag is valid under no key."""
        tag, payload = signed[:TAG_BYTES], signed[TAG_BYTES:]
        if any(
            hmac.compare_digest(tag, _tag(key, purpose, payload))
            for key in self._keys
        ):
            return payload
        return None


def _tag(key: bytes, purpose: Purpose, payload: bytes) -> bytes:
    return hmac.digest(key, purpose.value + payload, _DIGEST)[:TAG_BYTES]

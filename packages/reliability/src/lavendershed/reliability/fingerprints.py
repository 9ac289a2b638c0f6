"""Fingerprints that identify a request when it is resent."""

from __future__ import annotations

import xxhash

from lavendershed.core import ids
from lavendershed.core import requests


def fingerprint_of(request: requests.GenerateRequest) -> ids.Fingerprint:
    """Returns hash(organisation, service, normalised body).

    The body is normalised to the engine's input: white space around the
    prompt, the token limit and the deadline are ignored, so that a request
    resent with another limit has the same fingerprint.
    """
    digest = xxhash.xxh3_64()
    for part in (
        request.organisation,
        request.service,
        request.adapter or "",
        request.prompt.strip(),
    ):
        encoded = part.encode()
        # The length prefix prevents collisions from shifted part boundaries.
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    return ids.Fingerprint(digest.intdigest())

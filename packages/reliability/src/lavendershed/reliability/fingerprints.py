"""Fingerprints by which a request is recognised when it is sent again."""

from __future__ import annotations

import xxhash

from lavendershed.core import ids
from lavendershed.core import requests


def fingerprint_of(request: requests.GenerateRequest) -> ids.Fingerprint:
    """Returns hash(organisation, service, normalised body).

    The body is normalised to what an engine computes on: white space around
    the prompt, the token limit and the deadline do not count, so that sending
    a request again with another limit gives the same fingerprint.
    """
    digest = xxhash.xxh3_64()
    for part in (
        request.organisation,
        request.service,
        request.adapter or "",
        request.prompt.strip(),
    ):
        encoded = part.encode()
        # The length keeps two parts from being divided in another way.
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    return ids.Fingerprint(digest.intdigest())

"""Decoding of a configuration that has not been sent yet."""

from __future__ import annotations

import result

from lavendershed.core import store_revisions
from lavendershed.peer import peer_state
from lavendershed.platform import objects
from lavendershed.routes import model


def decode(content: bytes) -> result.Result[model.RoutingConfiguration, str]:
    """Returns a configuration as daemons decode it from the store.

    The error names the first invalid field by its JSON path.
    """
    return objects.PlatformObjectDecoder().decode_configuration(
        peer_state.StoredObject(
            objects.ACTIVE_CONFIGURATION, store_revisions.NONE, content
        )
    )

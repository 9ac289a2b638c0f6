"""Shared configurations and fakes."""

from __future__ import annotations

import hashlib

from lavendershed.configuration import chunking
from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.core import states

ORDINARY = ids.PresetName("ordinary")
PEAK = ids.PresetName("peak")


class ReprHasher(chunking.ChunkHasher):
    """Hashes the repr of a chunk instead of its encoding."""

    def hash(self, chunk):
        digest = hashlib.sha256(repr(chunk).encode()).hexdigest()
        return ids.ChunkHash(digest[:16])


def organisation(index, **fields):
    """Returns an organisation with one unique token."""
    token = hashlib.sha256(str(index).encode()).hexdigest()
    name = ids.OrganisationId(f"org-{index}")
    return model.Organisation(name, (token,), **fields)


def service(name="drafting", kind=states.ServiceKind.MODEL_ENGINE, port=9001):
    """Returns a service with one backend server."""
    return model.Service(
        ids.ServiceId(name),
        kind,
        (
            model.BackendServer(
                ids.BackendServerId(f"{name}-1"),
                f"127.0.0.1:{port}",
                ids.AvailabilityZoneId("zone-a"),
            ),
        ),
    )


def configuration(organisations=2, epoch=0):
    """Returns a valid configuration with two presets."""
    made = map(organisation, range(organisations))
    presets = (model.Preset(ORDINARY), model.Preset(PEAK))
    drafting = service()
    return model.Configuration(
        ids.Epoch(epoch),
        ORDINARY,
        {entity.name: entity for entity in made},
        {drafting.name: drafting},
        {preset.name: preset for preset in presets},
    )

"""Sample messages for the tests of this package."""

from __future__ import annotations

import dataclasses
import random

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.membership import messages
from lavendershed.membership import records
from lavendershed.peer import authentication
from lavendershed.peer import envelope

OLD_KEY = b"old key of 20 bytes."
NEW_KEY = b"new key of 20 bytes."
OWNER = backend_servers.Owner(ids.VmId("vm-1"), ids.Incarnation(2**63 - 1))
MEMBER = records.MemberRecord(
    OWNER,
    3,
    4,
    states.MemberState.SUSPECT,
    records.PeerAddress("127.0.0.1:7000"),
    ids.AvailabilityZoneId("zone-a"),
    ids.Incarnation(5),
)
CONTENTS = (
    cluster.QuarantineRecord(ids.Fingerprint(2**64 - 1), units.Seconds(2.5)),
    cluster.CrashSuspectRecord(ids.Fingerprint(2**63), units.Seconds(2.5)),
    cluster.DemandRecord(
        (cluster.OrganisationDemand(ids.OrganisationId("press"), 0.5, 1e6),)
    ),
    cluster.LoadRecord(
        (cluster.EngineLoad(ids.BackendServerId("e"), 3, units.Tokens(10**6)),)
    ),
    cluster.BackendLeavingRecord(
        ids.BackendServerId("e"), ids.Incarnation(2**64 - 1)
    ),
    cluster.BackendLeavingRecord(ids.BackendServerId("f"), None),
)
RECORDS = tuple(
    records.VersionedRecord(OWNER, number, units.Seconds(2.5), content)
    for number, content in enumerate(CONTENTS)
)
MESSAGE = messages.Message(
    messages.MessageKind.INDIRECT_PING,
    77,
    dataclasses.replace(MEMBER, replaces=None),
    ids.Epoch(12),
    MEMBER,
    (MEMBER,),
    RECORDS,
)
SNAPSHOT = messages.Snapshot(ids.Epoch(12), (MEMBER,), RECORDS)


class Rejections(list):
    """Collects the reasons for which messages were dropped."""


def new_envelope(*keys, deployment="one"):
    """Returns an envelope and the list of its rejections."""
    rejections = Rejections()
    authenticator = authentication.Authenticator(keys)
    return (
        envelope.EnvelopeCodec(deployment, authenticator, rejections.append),
        rejections,
    )


def generator():
    """Returns a random generator with a fixed seed."""
    return random.Random(1)

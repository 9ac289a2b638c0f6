"""Identifier types."""

from __future__ import annotations

from typing import NewType

VmId = NewType("VmId", str)
# Random 64-bit number that a process generates at its start.
Incarnation = NewType("Incarnation", int)
AvailabilityZoneId = NewType("AvailabilityZoneId", str)
OrganisationId = NewType("OrganisationId", str)
ServiceId = NewType("ServiceId", str)
BackendServerId = NewType("BackendServerId", str)
# 32-bit hash of one incarnation of a backend server in messages to peers.
ServerNumber = NewType("ServerNumber", int)
ModelId = NewType("ModelId", str)
AdapterId = NewType("AdapterId", str)
PresetName = NewType("PresetName", str)
# Number of a configuration version; a greater one is newer.
Epoch = NewType("Epoch", int)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
StreamId = NewType("StreamId", str)
KvHandle = NewType("KvHandle", str)
ReservationId = NewType("ReservationId", str)
# Increases with each new holder of a lease, so that engines can reject orders
# of earlier holders.
FencingNumber = NewType("FencingNumber", int)
ObjectKey = NewType("ObjectKey", str)
ObjectVersion = NewType("ObjectVersion", int)
# Rises when the store comes back from a copy and gives out revisions again.
StoreEra = NewType("StoreEra", int)
IdempotencyKey = NewType("IdempotencyKey", str)
# Hash of a request's content, which is the same when the request is resent.
Fingerprint = NewType("Fingerprint", int)
# 63-bit hash of what may crash an engine: a request, or a part of its prompt.
CrashSuspectId = NewType("CrashSuspectId", int)
# 63-bit hash of a part that prompts share, such as a document.
PromptPartId = NewType("PromptPartId", CrashSuspectId)
ChangeId = NewType("ChangeId", str)
ChunkHash = NewType("ChunkHash", str)
OrderId = NewType("OrderId", str)

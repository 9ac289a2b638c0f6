"""Fakes of the object store and of plain services for daemon tests."""

from __future__ import annotations

import asyncio

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import object_store


class FakeStore(object_store.ObjectStore):
    """Objects in memory; `faults` lists the faults of the next puts."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.puts = 0
        self.down = False
        self.faults = []

    async def get(self, key):
        await asyncio.sleep(0)
        if self.down:
            return self._failed(object_store.StoreErrorKind.UNAVAILABLE)
        if key not in self.objects:
            return self._failed(object_store.StoreErrorKind.ABSENT)
        return result.Ok(self.objects[key])

    async def put(self, key, value, condition):
        await asyncio.sleep(0)
        self.puts += 1
        fault = self.faults.pop(0) if self.faults else None
        if self.down:
            return self._failed(object_store.StoreErrorKind.UNAVAILABLE)
        if fault == "dropped":
            return self._failed(object_store.StoreErrorKind.AMBIGUOUS)
        current = self.objects.get(key)
        expected = getattr(condition, "version", None)
        if (current.version if current else None) != expected:
            return self._failed(object_store.StoreErrorKind.CONFLICT)
        self.version += 1
        version = ids.ObjectVersion(self.version)
        self.objects[key] = object_store.StoredObject(key, version, value)
        if fault == "lost":
            return self._failed(object_store.StoreErrorKind.AMBIGUOUS)
        return result.Ok(version)

    async def delete(self, key, version):
        await asyncio.sleep(0)
        if key in self.objects and self.objects[key].version == version:
            del self.objects[key]
            return result.Ok(None)
        return self._failed(object_store.StoreErrorKind.CONFLICT)

    async def list(self, prefix, after=None):
        await asyncio.sleep(0)
        matching_keys = sorted(
            key for key in self.objects if key.startswith(prefix)
        )
        keys = [key for key in matching_keys if after is None or key > after]
        return result.Ok(tuple(self.objects[key] for key in keys))

    async def watch(self, prefix, since, timeout):
        raise NotImplementedError

    async def list_vms(self):
        raise NotImplementedError

    def _failed(self, kind):
        return result.Err(object_store.StoreError(kind, kind.value))


class FakePlainService(backend_servers.PlainService):
    """Returns the next of `responses`, or a success once there are none."""

    def __init__(self):
        self.calls = []
        self.responses = []

    async def call(self, call):
        self.calls.append(call)
        await asyncio.sleep(0)
        if self.responses:
            return self.responses.pop(0)
        return result.Ok(
            backend_servers.PlainResponse(
                200, "application/octet-stream", b"\xff" + call.body
            )
        )


def refusal():
    """Returns the error of a call that the server refused before start."""
    return result.Err(
        backend_servers.BackendError(
            backend_servers.BackendErrorKind.REFUSED_BEFORE_START,
            True,
            "status 503",
            leaving=True,
        )
    )


def lost_connection():
    """Returns the error of a call whose response was lost."""
    return result.Err(
        backend_servers.BackendError(
            backend_servers.BackendErrorKind.CONNECTION_LOST, True, "lost"
        )
    )

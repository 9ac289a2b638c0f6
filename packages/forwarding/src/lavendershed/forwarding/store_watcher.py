"""Watches the objects of the store and updates the deployment view."""

from __future__ import annotations

import asyncio
import random

import result

from lavendershed.core import backoff
from lavendershed.core import store_revisions
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import store_availability
from lavendershed.forwarding import store_watch_role
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import unexpected_errors

# Each long poll is a billed call. TCP keep-alive probes detect a dead
# connection, so that the timeout may exceed the time in which a change has to
# take effect.
_WATCH_TIMEOUT = units.Seconds(9.0)
# The first watch after a failure returns at once, so that a recovered store is
# detected without waiting for its next change.
_RECOVERY_WATCH_TIMEOUT = units.Seconds(0.001)
# Delay after a change, so that one call returns all changes of a burst. Each
# call is billed, and changes have to take effect within two seconds.
_BATCH_DELAY = units.Seconds(0.25)
# Failed calls are billed too, and the recovery of the store has to be detected
# well within the two seconds in which servers renew expired entries.
_BACKOFF_LIMITS = backoff.BackoffLimits(
    initial_delay=units.Seconds(0.2), max_delay=units.Seconds(0.8)
)
# A daemon that has to start watching notices it within this time.
_ROLE_CHECK_INTERVAL = units.Seconds(0.2)
# Entries expire after three missed heartbeats of 1.2 s; a shorter gap, such as
# an interrupted watch, is not treated as an outage.
_MIN_OUTAGE = units.Seconds(1.0)
# A watch without changes may have gone silent. If neither the store nor a peer
# has confirmed for this long that there are none, the daemon asks the store on
# a new connection, since changes have to take effect within two seconds.
_MAX_UNCONFIRMED = {
    codecs.ObjectKind.CONFIGURATION: units.Seconds(1.0),
    codecs.ObjectKind.SERVERS: units.Seconds(1.0),
    # Evacuations have more than twice the time of the other kinds.
    codecs.ObjectKind.EVACUATIONS: units.Seconds(2.0),
}
# Daemons ask at different times; the report of the first spares the others the
# call, so that the calls do not grow with the fleet.
_CHECK_SPREAD = units.Seconds(0.3)


_Watched = result.Result[codecs.Changes, codecs.SourceError]


class ObjectWatcher:
    """Lists one kind of objects and then watches it for changes."""

    def __init__(
        self,
        kind: codecs.ObjectKind,
        source: codecs.ObjectSource,
        view: deployment_view.DeploymentView,
        availability: store_availability.StoreAvailability,
        role: store_watch_role.StoreWatchRole,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        errors: unexpected_errors.ErrorRecorder,
        generator: random.Random,
        first_call_delay: units.Seconds,
    ) -> None:
        self._kind = kind
        self._source = source
        self._view = view
        self._availability = availability
        self._role = role
        self._timers = timer_service
        self._log = event_log
        self._errors = errors
        self._first_call_delay = first_call_delay
        self._random = generator
        self._backoff = backoff.Backoff(generator, _BACKOFF_LIMITS)
        self._revision: store_revisions.StoreRevision | None = None
        self._last_call_failed = False
        # Whether no watch has succeeded since the history was gone.
        self._history_was_gone = False

    async def run(self) -> None:
        """Watches the objects while the role requires it, until cancelled.

        The first listing is independent of the role: a daemon that starts
        knows no peers. It is left out if a peer has sent all objects before.
        """
        if await self._view.wait_complete(self._first_call_delay):
            known = self._view.revision(self._kind)
            self._revision = known if known > store_revisions.NONE else None
        while True:
            if self._revision is not None and not self._role.is_watching:
                # The last error says nothing about the store any more.
                self._availability.forget(self._kind)
                await asyncio.sleep(_ROLE_CHECK_INTERVAL)
                continue
            listing = self._revision is None
            error = await self._read(listing=listing)
            self._last_call_failed = error is not None
            if error is None:
                # A listing is no progress if its history is gone again.
                if not listing:
                    self._history_was_gone = False
                    self._backoff.reset()
                continue
            self._on_error(error)
            if (
                error is codecs.SourceError.HISTORY_GONE
                and not self._history_was_gone
            ):
                self._history_was_gone = True
                continue
            await asyncio.sleep(self._backoff.next_delay())

    async def _read(self, *, listing: bool) -> codecs.SourceError | None:
        """Lists the objects or watches for changes; returns the error.

        An answer that raises is a bug of this daemon, but only that answer is
        dropped: the objects are listed again after a delay.
        """
        try:
            return await (self._list() if listing else self._watch())
        except Exception as error:  # noqa: BLE001
            self._errors.record(f"store_{self._kind.value}", error)
            return codecs.SourceError.MALFORMED

    async def _list(self) -> codecs.SourceError | None:
        listed = await self._source.list()
        if isinstance(listed, result.Err):
            return listed.err_value
        objects, revision = listed.ok_value
        self._on_success(revision)
        self._log_read(revision, None, len(objects))
        self._view.on_listing(self._kind, objects, revision, self._timers.now())
        self._revision = revision
        return None

    async def _watch(self) -> codecs.SourceError | None:
        assert self._revision is not None
        revision = max(self._revision, self._view.revision(self._kind))
        timeout = (
            _RECOVERY_WATCH_TIMEOUT
            if self._last_call_failed
            else _WATCH_TIMEOUT
        )
        watching = asyncio.get_running_loop().create_task(
            self._source.watch(revision, timeout)
        )
        try:
            watched = await self._wait_for_changes(watching, revision)
        finally:
            watching.cancel()
        if isinstance(watched, result.Err):
            return watched.err_value
        asked_from = revision
        changed, removed, revision = watched.ok_value
        self._on_success(revision)
        if changed or removed:
            self._log_read(revision, asked_from, len(changed) + len(removed))
        if changed or removed:
            self._view.on_events(
                self._kind, changed, removed, revision, self._timers.now()
            )
        self._revision = revision
        if changed or removed:
            await asyncio.sleep(_BATCH_DELAY)
        return None

    async def _wait_for_changes(
        self,
        watching: asyncio.Task[_Watched],
        revision: store_revisions.StoreRevision,
    ) -> _Watched:
        """Returns the result of a watch, or of a check that overtakes it."""
        started_at = self._timers.now()
        while True:
            max_age = units.Seconds(
                _MAX_UNCONFIRMED[self._kind]
                + self._random.uniform(0.0, _CHECK_SPREAD)
            )
            await asyncio.wait(
                (watching,), timeout=self._time_until(max_age, started_at)
            )
            if watching.done():
                return watching.result()
            if not self._role.is_watching:
                # The watch that is open ends by itself.
                return await watching
            if self._time_until(max_age, started_at) > 0:
                continue
            checked_at = self._timers.now()
            checked = await self._source.changes_since(revision)
            if watching.done():
                return watching.result()
            if isinstance(checked, result.Err):
                return checked
            changed, removed, checked_revision = checked.ok_value
            if changed or removed:
                self._log.emit(
                    events.Event.STORE_WATCH_SILENT,
                    kind=self._kind.value,
                    revision=revision.number,
                    found_revision=checked_revision.number,
                    watching_s=round(checked_at - started_at, 3),
                    age_ms=self._view.age_ms(self._kind, checked_at),
                )
                return checked
            self._view.on_store_checked(
                self._kind, checked_revision, checked_at
            )

    def _time_until(
        self, max_age: units.Seconds, started_at: units.Instant
    ) -> units.Seconds:
        """Returns the time until the known objects reach `max_age`.

        Objects that came from a peer count as of the start of the watch.
        """
        now = self._timers.now()
        age = self._view.freshness_of(self._kind).age(now)
        if age is None:
            age = units.elapsed(started_at, now)
        return units.Seconds(max(0.0, max_age - age))

    def _log_read(
        self,
        revision: store_revisions.StoreRevision,
        asked_from: store_revisions.StoreRevision | None,
        objects: int,
    ) -> None:
        """Logs what a listing, or a watch with changes, has returned."""
        self._log.emit(
            events.Event.STORE_READ,
            kind=self._kind.value,
            era=revision.era,
            revision=revision.number,
            asked_era=None if asked_from is None else asked_from.era,
            asked_revision=None if asked_from is None else asked_from.number,
            objects=objects,
        )

    def _on_success(self, revision: store_revisions.StoreRevision) -> None:
        now = self._timers.now()
        self._view.on_store_confirmed(self._kind, revision, now)
        self._availability.on_read(self._kind, revision)
        outage = self._availability.on_success(self._kind, now)
        if outage is None:
            return
        if outage >= _MIN_OUTAGE:
            self._view.on_store_recovered(now)
        self._log.emit(
            events.Event.STORE_REACHABLE,
            kind=self._kind.value,
            away_s=round(outage, 3),
        )

    def _on_error(self, error: codecs.SourceError) -> None:
        now = self._timers.now()
        if error is codecs.SourceError.HISTORY_GONE:
            self._log.emit(
                events.Event.STORE_HISTORY_GONE,
                kind=self._kind.value,
                **_log_fields(self._revision),
            )
            self._revision = None
            return
        if self._availability.on_failure(self._kind, now):
            self._log.emit(
                events.Event.STORE_CALL_FAILED,
                kind=self._kind.value,
                reason=error.value,
                **_log_fields(self._revision),
                age_ms=self._view.age_ms(self._kind, now),
            )
        if error is codecs.SourceError.MALFORMED:
            # The same history would be as unreadable, or as large, again.
            self._revision = None


def _log_fields(
    revision: store_revisions.StoreRevision | None,
) -> dict[str, log.LogValue]:
    if revision is None:
        return {"era": None, "revision": None}
    return {"era": revision.era, "revision": revision.number}

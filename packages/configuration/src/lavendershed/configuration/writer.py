"""State machine that writes one configuration change."""

from __future__ import annotations

import dataclasses
import enum

import result

from lavendershed.configuration import changes
from lavendershed.configuration import chunking
from lavendershed.configuration import comparison
from lavendershed.configuration import manifest as manifest_module
from lavendershed.configuration import model
from lavendershed.configuration import validation
from lavendershed.core import backoff as backoff_module
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units

# Each write conflict means that another change was accepted. Operators change
# different items many times a day, so that a few conflicts in a row occur.
MAX_WRITE_CONFLICTS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class ReadManifest:
    """Command: read the manifest and its version."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadChunks:
    """Command: read these chunks and verify their hashes."""

    hashes: tuple[ids.ChunkHash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteChunks:
    """Command: create these chunks, unless they exist already."""

    chunks: tuple[chunking.AddressedChunk, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteManifest:
    """Command: write the manifest conditionally.

    Attributes:
        expected: Version to replace; None requires that none exists.
    """

    manifest: manifest_module.Manifest
    expected: ids.ObjectVersion | None


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Command: call `on_timer` at `until`."""

    until: units.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Command: stop; the outcome is available."""


Command = (
    ReadManifest | ReadChunks | WriteChunks | WriteManifest | Wait | Finish
)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change was accepted as this epoch."""

    epoch: ids.Epoch
    differences: tuple[comparison.Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The change has no effect on the configuration; nothing was written."""

    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The changed configuration is invalid; nothing was written."""

    problems: tuple[validation.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A concurrent change modified the same items; nothing was written.

    Attributes:
        differences: Concurrent differences of the conflicting items.
        accepted: Concurrent changes, as far as the manifest lists them.
    """

    differences: tuple[comparison.Difference, ...]
    accepted: tuple[manifest_module.ChangeRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may or may not have been accepted."""

    change_id: ids.ChangeId
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """The store did not respond in time; nothing was written."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """The stored configuration cannot be read; nothing was written."""

    detail: str


Failure = Rejected | Conflict | OutcomeUnknown | StoreFailed | Unreadable
Outcome = result.Result[Accepted | Unchanged, Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeMetadata:
    """Author, time and unique id of a change.

    Attributes:
        change_id: Random id, unique to this change.
        written_at: Time on the operator's clock, ISO 8601 in UTC.
    """

    change_id: ids.ChangeId
    operator: str
    written_at: str = ""


class _State(enum.Enum):
    READING_MANIFEST = "reading_manifest"
    READING_CHUNKS = "reading_chunks"
    WRITING_CHUNKS = "writing_chunks"
    WRITING_MANIFEST = "writing_manifest"
    WAITING = "waiting"
    FINISHED = "finished"


class ChangeWriter:
    """Turns one change into one conditional write of the manifest.

    After each manifest write with an unknown result, the writer reads the
    manifest and looks for its change id. A write is conditional on the version
    read before, so that it cannot take effect after the version has changed;
    until then, repeating the same write is safe.
    """

    def __init__(
        self,
        change: changes.Change,
        metadata: ChangeMetadata,
        hasher: chunking.ChunkHasher,
        backoff: backoff_module.Backoff,
        deadline: units.Instant,
    ) -> None:
        self._change = change
        self._metadata = metadata
        self._hasher = hasher
        self._backoff = backoff
        self._deadline = deadline
        self._state = _State.READING_MANIFEST
        self._outcome: Outcome | None = None
        self._version: ids.ObjectVersion | None = None
        self._manifest: manifest_module.Manifest | None = None
        self._chunks: dict[ids.ChunkHash, manifest_module.Chunk] = {}
        self._base: model.Configuration | None = None
        self._requested: tuple[comparison.Difference, ...] = ()
        self._proposal: manifest_module.Manifest | None = None
        self._ambiguous_epochs: set[ids.Epoch] = set()
        self._write_conflicts = 0

    @property
    def outcome(self) -> Outcome | None:
        """The outcome, or None while the change is in progress."""
        return self._outcome

    def start(self) -> tuple[Command, ...]:
        """Starts the change."""
        return self._read()

    def on_timer(self, now: units.Instant) -> tuple[Command, ...]:
        """Handles the end of a retry delay."""
        return self._read()

    def on_no_manifest(self, now: units.Instant) -> tuple[Command, ...]:
        """Handles the response that no manifest exists."""
        if self._manifest is not None or self._version is not None:
            return self._fail(Unreadable("the manifest has been deleted"))
        self._proposal = None
        return self._propose(model.EMPTY)

    def on_manifest(
        self,
        version: ids.ObjectVersion,
        manifest: manifest_module.Manifest,
        now: units.Instant,
    ) -> tuple[Command, ...]:
        """Handles the stored manifest."""
        accepted_change = manifest.find_change(self._metadata.change_id)
        if accepted_change is not None:
            return self._finish(
                result.Ok(Accepted(accepted_change.epoch, self._requested))
            )
        if not all(
            manifest.covers_epoch(epoch) for epoch in self._ambiguous_epochs
        ):
            return self._fail(
                OutcomeUnknown(
                    self._metadata.change_id,
                    "no response to the write, and the manifest no longer "
                    "lists the changes of that time",
                )
            )
        if version != self._version:
            # Writes conditional on the earlier version had no effect.
            self._ambiguous_epochs.clear()
        self._version = version
        self._manifest = manifest
        return self._read_chunks()

    def on_chunks(
        self,
        chunks: tuple[chunking.AddressedChunk, ...],
        now: units.Instant,
    ) -> tuple[Command, ...]:
        """Handles chunks whose hashes the adapter has verified."""
        self._chunks |= {entry.hash: entry.chunk for entry in chunks}
        return self._read_chunks()

    def on_unreadable(self, detail: str) -> tuple[Command, ...]:
        """Handles a stored object that cannot be decoded."""
        if self._ambiguous_epochs:
            return self._fail(OutcomeUnknown(self._metadata.change_id, detail))
        return self._fail(Unreadable(detail))

    def on_chunks_written(self, now: units.Instant) -> tuple[Command, ...]:
        """Handles the confirmation that all chunks are written."""
        assert self._proposal is not None
        self._state = _State.WRITING_MANIFEST
        return (WriteManifest(self._proposal, self._version),)

    def on_manifest_written(self, now: units.Instant) -> tuple[Command, ...]:
        """Handles the confirmation of the manifest write."""
        assert self._proposal is not None
        return self._finish(
            result.Ok(Accepted(self._proposal.epoch, self._requested))
        )

    def on_store_error(
        self, error: object_store.StoreError, now: units.Instant
    ) -> tuple[Command, ...]:
        """Handles a failed store call of any kind."""
        if error.kind is object_store.StoreErrorKind.TOO_LARGE:
            return self._fail(
                Rejected(
                    (
                        validation.Problem(
                            "configuration",
                            f"an object is too large ({error.detail})",
                            "split the largest entity",
                        ),
                    )
                )
            )
        if error.kind is object_store.StoreErrorKind.ABSENT:
            return self._fail(Unreadable(f"a chunk is missing: {error.detail}"))
        writing_manifest = self._state is _State.WRITING_MANIFEST
        if (
            error.kind is object_store.StoreErrorKind.CONFLICT
            and writing_manifest
        ):
            self._write_conflicts += 1
            if (
                self._write_conflicts > MAX_WRITE_CONFLICTS
                and not self._ambiguous_epochs
            ):
                return self._fail(
                    StoreFailed(
                        f"{self._write_conflicts} concurrent changes were "
                        "accepted first; try again"
                    )
                )
            return self._read()
        if (
            error.kind is object_store.StoreErrorKind.AMBIGUOUS
            and writing_manifest
        ):
            assert self._proposal is not None
            self._ambiguous_epochs.add(self._proposal.epoch)
        return self._wait(error, now)

    def _read(self) -> tuple[Command, ...]:
        self._state = _State.READING_MANIFEST
        return (ReadManifest(),)

    def _wait(
        self, error: object_store.StoreError, now: units.Instant
    ) -> tuple[Command, ...]:
        delay = max(self._backoff.next_delay(), error.retry_after or 0.0)
        until = units.after(now, units.Seconds(delay))
        if until <= self._deadline:
            self._state = _State.WAITING
            return (Wait(until),)
        if self._ambiguous_epochs:
            return self._fail(
                OutcomeUnknown(
                    self._metadata.change_id,
                    f"no response to the write; then: {error.detail}",
                )
            )
        return self._fail(StoreFailed(f"{error.kind.value}: {error.detail}"))

    def _read_chunks(self) -> tuple[Command, ...]:
        assert self._manifest is not None
        missing = tuple(
            h for h in self._manifest.chunks if h not in self._chunks
        )
        if missing:
            self._state = _State.READING_CHUNKS
            return (ReadChunks(missing),)
        assembled = manifest_module.assemble(
            self._manifest, (self._chunks[h] for h in self._manifest.chunks)
        )
        if isinstance(assembled, result.Err):
            return self.on_unreadable(assembled.err_value)
        return self._propose(assembled.ok_value)

    def _propose(self, current: model.Configuration) -> tuple[Command, ...]:
        if self._base is None:
            proposed = self._first_proposal(current)
        else:
            proposed = self._rebased_proposal(self._base, current)
        if isinstance(proposed, result.Err):
            return self._fail(proposed.err_value)
        if not self._requested:
            return self._finish(result.Ok(Unchanged(current.epoch)))
        problems = validation.check(proposed.ok_value)
        if problems:
            return self._fail(Rejected(problems))
        return self._write(proposed.ok_value, current.epoch)

    def _first_proposal(
        self, current: model.Configuration
    ) -> result.Result[model.Configuration, Failure]:
        proposed = self._change.apply(current)
        if isinstance(proposed, result.Err):
            return result.Err(Rejected((proposed.err_value,)))
        self._base = current
        self._requested = comparison.compare(current, proposed.ok_value)
        return result.Ok(proposed.ok_value)

    def _rebased_proposal(
        self, base: model.Configuration, current: model.Configuration
    ) -> result.Result[model.Configuration, Failure]:
        concurrent = comparison.compare(base, current)
        conflicting = comparison.changed_items(
            concurrent
        ) & comparison.changed_items(self._requested)
        if conflicting:
            assert self._manifest is not None
            return result.Err(
                Conflict(
                    tuple(d for d in concurrent if d.item in conflicting),
                    self._manifest.changes_after(base.epoch),
                )
            )
        return result.Ok(comparison.patch(current, self._requested))

    def _write(
        self, proposed: model.Configuration, epoch: ids.Epoch
    ) -> tuple[Command, ...]:
        chunks = chunking.split(proposed, self._hasher)
        next_epoch = ids.Epoch(epoch + 1)
        record = manifest_module.ChangeRecord(
            self._metadata.change_id,
            next_epoch,
            self._metadata.operator[: manifest_module.MAX_OPERATOR_CHARACTERS],
            self._change.summary[: manifest_module.MAX_SUMMARY_CHARACTERS],
            self._metadata.written_at,
        )
        self._proposal = manifest_module.Manifest(
            next_epoch,
            proposed.active_preset,
            tuple(chunk.hash for chunk in chunks),
            manifest_module.append_recent_change(self._manifest, record),
        )
        stored = self._manifest.chunks if self._manifest else ()
        new = tuple(chunk for chunk in chunks if chunk.hash not in stored)
        self._state = _State.WRITING_CHUNKS
        return (WriteChunks(new),)

    def _fail(self, failure: Failure) -> tuple[Command, ...]:
        return self._finish(result.Err(failure))

    def _finish(self, outcome: Outcome) -> tuple[Command, ...]:
        self._state = _State.FINISHED
        self._outcome = outcome
        return (Finish(),)

"""Concurrent operators and lagging daemons on one simulated store.

Fails if an accepted change is lost, an outcome is reported wrongly, an epoch
is invalid, or a daemon goes back to a lower epoch.
"""

from __future__ import annotations

import dataclasses
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import sample

from lavendershed.configuration import changes
from lavendershed.configuration import chunking
from lavendershed.configuration import comparison
from lavendershed.configuration import manifest as manifest_module
from lavendershed.configuration import model
from lavendershed.configuration import state as state_module
from lavendershed.configuration import validation
from lavendershed.configuration import writer as writer_module
from lavendershed.core import backoff
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units

KINDS = object_store.StoreErrorKind
ORGANISATIONS = 3
DAEMONS = 2
# Short enough that change ids are truncated within one run.
RECENT_CHANGES = 3
FAULTS = st.sampled_from(
    ["none", "none", "lost_response", "lost_request", "delayed", "unavailable"]
)


def error(kind):
    """Returns a failed call."""
    return object_store.StoreError(kind, kind.value)


class Store:
    """Versioned objects; writes can be delayed."""

    def __init__(self):
        self.version = 0
        self.history = []
        self.chunks = {}
        self.delayed = []

    def write(self, command):
        """Executes a conditional write; returns whether it took effect."""
        expected = command.expected or 0
        if expected != self.version:
            return False
        self.version += 1
        self.history.append(command.manifest)
        return True

    def configuration(self, manifest):
        """Returns the configuration that a manifest describes."""
        chunks = [self.chunks[h] for h in manifest.chunks]
        return manifest_module.assemble(manifest, chunks).unwrap()


class Operator:
    """One change in progress."""

    def __init__(self, change, number, now):
        self.change_id = ids.ChangeId(f"change-{number}")
        self.writer = writer_module.ChangeWriter(
            change,
            writer_module.ChangeMetadata(self.change_id, "operator"),
            sample.ReprHasher(),
            backoff.Backoff(random.Random(number)),
            units.Instant(now + 5.0),
        )
        (self.command,) = self.writer.start()

    def step(self, store, fault, now):
        """Executes the pending command, with a fault if applicable."""
        (self.command,) = self._answer(store, fault, now)

    def _answer(self, store, fault, now):
        writer = self.writer
        if fault == "unavailable":
            return writer.on_store_error(error(KINDS.UNAVAILABLE), now)
        match self.command:
            case writer_module.ReadManifest() if not store.history:
                return writer.on_no_manifest(now)
            case writer_module.ReadManifest():
                version = ids.ObjectVersion(store.version)
                return writer.on_manifest(version, store.history[-1], now)
            case writer_module.ReadChunks(hashes):
                found = (
                    chunking.AddressedChunk(h, store.chunks[h]) for h in hashes
                )
                return writer.on_chunks(tuple(found), now)
            case writer_module.WriteChunks(chunks):
                if fault != "none":
                    return writer.on_store_error(error(KINDS.AMBIGUOUS), now)
                store.chunks |= {entry.hash: entry.chunk for entry in chunks}
                return writer.on_chunks_written(now)
            case writer_module.WriteManifest():
                return self._answer_write(store, fault, now)

    def _answer_write(self, store, fault, now):
        if fault == "delayed":
            store.delayed.append(self.command)
        elif fault != "lost_request":
            applied = store.write(self.command)
            if fault == "none" and applied:
                return self.writer.on_manifest_written(now)
            if fault == "none":
                return self.writer.on_store_error(error(KINDS.CONFLICT), now)
        return self.writer.on_store_error(error(KINDS.AMBIGUOUS), now)


def _edit(index, weight):
    item = comparison.Item(comparison.ItemKind.ORGANISATION, f"org-{index}")
    return changes.EditEntity(
        item,
        model.Organisation,
        lambda entity: dataclasses.replace(entity, weight=weight),
    )


class HistoryMachine(stateful.RuleBasedStateMachine):
    """One store, any number of operators, two daemons."""

    def __init__(self):
        super().__init__()
        self.patch = mock.patch.object(
            manifest_module, "MAX_RECENT_CHANGES", RECENT_CHANGES
        )
        self.patch.start()
        self.now = 0.0
        self.store = Store()
        self.operators = []
        self.daemons = [
            state_module.ConfigurationState() for _ in range(DAEMONS)
        ]
        self.epochs = [0] * DAEMONS
        self._run_alone(
            changes.ReplaceAll(sample.configuration(ORGANISATIONS), "file")
        )

    def _run_alone(self, change):
        operator = self._start(change)
        while not isinstance(operator.command, writer_module.Finish):
            operator.step(self.store, "none", self.now)
        assert operator.writer.outcome.is_ok(), operator.writer.outcome

    def _start(self, change):
        operator = Operator(change, len(self.operators), self.now)
        self.operators.append(operator)
        return operator

    @stateful.rule(
        index=st.integers(0, ORGANISATIONS - 1),
        weight=st.integers(1, 900),
    )
    def change_organisation(self, index, weight):
        self._start(_edit(index, weight))

    @stateful.rule(
        name=st.sampled_from([sample.ORDINARY, sample.PEAK, "unknown"])
    )
    def activate(self, name):
        self._start(changes.ActivatePreset(name))

    @stateful.rule()
    def delete_peak(self):
        item = comparison.Item(comparison.ItemKind.PRESET, sample.PEAK)
        self._start(changes.DeleteEntity(item))

    @stateful.rule(data=st.data(), steps=st.integers(1, 8), fault=FAULTS)
    def step_any_operator(self, data, steps, fault):
        self._step_operator(data, steps, fault)

    @stateful.rule(data=st.data(), steps=st.integers(1, 3))
    def step_any_operator_without_fault(self, data, steps):
        self._step_operator(data, steps, "none")

    def _step_operator(self, data, steps, fault):
        unfinished = [
            operator
            for operator in self.operators
            if not isinstance(operator.command, writer_module.Finish)
        ]
        if not unfinished:
            return
        operator = data.draw(st.sampled_from(unfinished))
        for _ in range(steps):
            match operator.command:
                case writer_module.Finish():
                    return
                case writer_module.Wait(until):
                    self._pass_time(max(0.0, until - self.now))
                case writer_module.WriteManifest():
                    # Injects at most one fault per run, at the manifest write.
                    operator.step(self.store, fault, self.now)
                    fault = "none"
                case _:
                    unavailable = fault == "unavailable"
                    operator.step(
                        self.store,
                        "unavailable" if unavailable else "none",
                        self.now,
                    )

    @stateful.rule(data=st.data())
    def land_delayed_write(self, data):
        if self.store.delayed:
            index = data.draw(st.integers(0, len(self.store.delayed) - 1))
            self.store.write(self.store.delayed.pop(index))

    @stateful.rule(duration=st.sampled_from([0.2, 1.0, 3.0]))
    def pass_time(self, duration):
        self._pass_time(duration)

    def _pass_time(self, duration):
        self.now += duration
        for operator in self.operators:
            command = operator.command
            if (
                isinstance(command, writer_module.Wait)
                and command.until <= self.now
            ):
                (operator.command,) = operator.writer.on_timer(self.now)
        for daemon in self.daemons:
            daemon.on_timer(self.now)

    @stateful.rule(
        count=st.sampled_from([1, 1, 1, RECENT_CHANGES + 1]),
        weight=st.integers(1, 400),
    )
    def accept_changes(self, count, weight):
        for number in range(count):
            self._run_alone(_edit(ORGANISATIONS - 1, weight + number))

    @stateful.rule(
        data=st.data(),
        daemon=st.integers(0, DAEMONS - 1),
        kind=st.sampled_from(["manifest", "bad", "bad", "chunk", "all"]),
    )
    def deliver(self, data, daemon, kind):
        state = self.daemons[daemon]
        if kind == "manifest":
            manifest = data.draw(st.sampled_from(self.store.history))
            state.on_manifest(manifest, self.now)
        elif kind == "bad":
            # The valid manifest of this epoch must still apply afterwards.
            state.on_manifest(self._bad_manifest(data), self.now)
        elif kind == "chunk":
            chunk_hash = data.draw(st.sampled_from(sorted(self.store.chunks)))
            chunk = self.store.chunks[chunk_hash]
            state.on_chunk(chunk_hash, chunk, self.now)
        else:
            self._deliver_all(daemon)

    def _bad_manifest(self, data):
        latest = self.store.history[-1]
        ahead = data.draw(st.integers(0, 5))
        active, chunks = data.draw(
            st.sampled_from(
                [
                    (latest.active_preset, (*latest.chunks, "absent")),
                    (latest.active_preset, latest.chunks * 2),
                    ("none", latest.chunks),
                ]
            )
        )
        return dataclasses.replace(
            latest,
            epoch=ids.Epoch(latest.epoch + ahead),
            active_preset=active,
            chunks=chunks,
        )

    def _deliver_all(self, daemon):
        latest = self.store.history[-1]
        state = self.daemons[daemon]
        state.on_manifest(latest, self.now)
        for chunk_hash in latest.chunks:
            chunk = self.store.chunks[chunk_hash]
            state.on_chunk(chunk_hash, chunk, self.now)
        assert state.current.epoch == latest.epoch

    @stateful.invariant()
    def epochs_never_decrease_and_follow_the_history(self):
        for index, state in enumerate(self.daemons):
            current = state.current
            assert current.epoch >= self.epochs[index]
            self.epochs[index] = current.epoch
            if current.epoch:
                manifest = self.store.history[current.epoch - 1]
                assert current == self.store.configuration(manifest)

    @stateful.invariant()
    def every_epoch_is_valid_and_one_above_the_last(self):
        for index, manifest in enumerate(self.store.history):
            assert manifest.epoch == index + 1
        latest = self.store.configuration(self.store.history[-1])
        assert not validation.check(latest)

    def teardown(self):
        for command in self.store.delayed:
            self.store.write(command)
        for operator in self.operators:
            while not isinstance(operator.command, writer_module.Finish):
                if isinstance(operator.command, writer_module.Wait):
                    now = operator.command.until
                    (operator.command,) = operator.writer.on_timer(now)
                else:
                    operator.step(self.store, "none", self.now)
        for daemon in range(DAEMONS):
            self._deliver_all(daemon)
        self._check_outcomes()
        self.patch.stop()

    def _check_outcomes(self):
        epochs = {
            m.recent_changes[-1].change_id: m.epoch for m in self.store.history
        }
        assert len(epochs) == len(self.store.history)
        for operator in self.operators:
            outcome = operator.writer.outcome
            epoch = epochs.get(operator.change_id)
            if outcome.is_ok():
                self._check_success(outcome.ok_value, epoch)
            elif not isinstance(
                outcome.err_value, writer_module.OutcomeUnknown
            ):
                assert epoch is None, outcome

    def _check_success(self, accepted, epoch):
        if isinstance(accepted, writer_module.Unchanged):
            assert epoch is None
            return
        assert accepted.epoch == epoch
        after = self.store.configuration(self.store.history[epoch - 1])
        before = model.EMPTY
        if epoch > 1:
            before = self.store.configuration(self.store.history[epoch - 2])
        assert comparison.compare(before, after) == accepted.differences


HistoryTest = HistoryMachine.TestCase
HistoryTest.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    # Shrinking a run of 60 steps takes five minutes.
    phases=(hypothesis.Phase.generate,),
)

if __name__ == "__main__":
    unittest.main()

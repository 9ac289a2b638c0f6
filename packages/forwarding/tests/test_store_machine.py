"""Model of daemons that follow a store which comes back from older copies."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import result
import test_deployment_view as examples

from lavendershed.core import forwarding_states
from lavendershed.core import store_revisions
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import store_availability
from lavendershed.forwarding import store_watcher
from lavendershed.peer import peer_state
from lavendershed.telemetry import log
from lavendershed.telemetry import unexpected_errors

DAEMONS = 3
SERVERS = codecs.ObjectKind.SERVERS
CONFIGURATION = codecs.ObjectKind.CONFIGURATION
KINDS = (CONFIGURATION, SERVERS)
READY = forwarding_states.ServerState.READY
DRAINING = forwarding_states.ServerState.DRAINING
# Calls of each daemon for one kind of objects after the last change: a watch
# that finds its history gone, a listing and a watch, and once more for a late
# answer.
MAX_FINAL_CALLS = 6


class Store:
    """Objects of all kinds with one revision counter and a history."""

    def __init__(self):
        self.era = 1
        self.number = 1
        self.oldest = 1
        self.objects = {kind: {} for kind in codecs.ObjectKind}
        self.changes = []

    @property
    def revision(self):
        return store_revisions.of(self.era, self.number)

    def put(self, kind, name, content):
        self.number += 1
        stored = peer_state.StoredObject(name, self.revision, content)
        self.objects[kind][name] = stored
        self.changes.append((self.number, kind, name, stored))

    def delete(self, kind, name):
        if name in self.objects[kind]:
            self.number += 1
            del self.objects[kind][name]
            self.changes.append((self.number, kind, name, None))

    def compact(self):
        self.changes.clear()
        self.oldest = self.number

    def copy(self):
        return self.number, {k: dict(o) for k, o in self.objects.items()}

    def restore(self, copy):
        self.era += 1
        self.number, objects = copy
        self.objects = {
            kind: {
                name: peer_state.StoredObject(
                    name,
                    store_revisions.of(self.era, stored.revision.number),
                    stored.spec,
                )
                for name, stored in by_name.items()
            }
            for kind, by_name in objects.items()
        }
        self.compact()

    def listing(self, kind):
        return result.Ok((tuple(self.objects[kind].values()), self.revision))

    def changes_since(self, kind, revision):
        if (
            revision.era != self.era
            or not self.oldest <= revision.number <= self.number
        ):
            return result.Err(codecs.SourceError.HISTORY_GONE)
        latest = {
            name: stored
            for number, changed_kind, name, stored in self.changes
            if changed_kind is kind and number > revision.number
        }
        return result.Ok(
            (
                tuple(s for s in latest.values() if s is not None),
                tuple(name for name, s in latest.items() if s is None),
                self.revision,
            )
        )


class Source(codecs.ObjectSource):
    """Path of one daemon to the store, which may be cut or late."""

    def __init__(self, store, kind):
        self.store = store
        self.kind = kind
        self.cut = False
        self.late = None
        self.calls = 0

    def _answer(self, answer):
        self.calls += 1
        if self.cut:
            return result.Err(codecs.SourceError.UNAVAILABLE)
        late, self.late = self.late, None
        return answer if late is None else late

    async def list(self):
        return self._answer(self.store.listing(self.kind))

    async def watch(self, revision, timeout):
        return await self.changes_since(revision)

    async def changes_since(self, revision):
        # The client compares the eras of a late answer, too.
        self.calls += 1
        if self.cut:
            return result.Err(codecs.SourceError.UNAVAILABLE)
        return self.store.changes_since(self.kind, revision)


class Role:
    """Lets a daemon watch."""

    is_watching = True


class Daemon:
    """View of one daemon and its watchers."""

    def __init__(self, store, clock, kinds=KINDS):
        self.view = examples.new_view(
            has_evacuations=codecs.ObjectKind.EVACUATIONS in kinds
        )
        # Incarnations of servers that were known to leave.
        self.leaving = set()
        self.sources = {kind: Source(store, kind) for kind in kinds}
        self.watchers = {
            kind: store_watcher.ObjectWatcher(
                kind,
                source,
                self.view,
                store_availability.StoreAvailability(),
                Role(),
                clock,
                log.MemoryEventLog(),
                unexpected_errors.ErrorRecorder(log.MemoryEventLog(), print),
                random.Random(1),
                units.Seconds(0.0),
            )
            for kind, source in self.sources.items()
        }

    async def call(self, kind):
        """Makes the next call; returns whether it failed."""
        watcher = self.watchers[kind]
        error = await (
            watcher._list() if watcher._revision is None else watcher._watch()
        )
        if error is not None:
            watcher._on_error(error)
        return error is not None


class StoreMachine(stateful.RuleBasedStateMachine):
    """Guards the order of eras and revisions wherever they are compared.

    The store is restored, compacted, cut off and answers late; daemons restart
    and take state from each other. In the end all views equal the store, no
    configuration in force has gone back, and nothing was asked for ever.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = timers.VirtualTimerService()
        self.clock.advance(units.Seconds(100.0))
        self.store = Store()
        self.copies = [self.store.copy()]
        self.version = 1
        # State and incarnation that each server has written last.
        self.truth = {}
        self.incarnations = 1
        self.daemons = [Daemon(self.store, self.clock) for _ in range(DAEMONS)]
        self.put_configuration()

    def teardown(self):
        self.write_again()
        for daemon in self.daemons:
            for source in daemon.sources.values():
                source.cut, source.late, source.calls = False, None, 0
            for kind in KINDS:
                self.run_until_current(daemon, kind)
        self.clock.advance(units.Seconds(60.0))
        usable = {n for n, (state, _) in self.truth.items() if state is READY}
        for daemon in self.daemons:
            daemon.view.expire(self.clock.now())
            assert daemon.view.version == self.version
            accepting = daemon.view.directory.servers_accepting_work("s")
            assert {e.id for e in accepting} == usable
            for source in daemon.sources.values():
                assert source.calls <= MAX_FINAL_CALLS
        self.loop.close()

    def run_until_current(self, daemon, kind):
        for _ in range(MAX_FINAL_CALLS):
            failed = self.call(daemon, kind)
            revision = daemon.watchers[kind]._revision
            if not failed and revision == self.store.revision:
                return
        raise AssertionError(f"{kind} is not current")

    def write_again(self):
        """The operator and the servers write what the copy lacks."""
        self.store.put(CONFIGURATION, "main", str(self.version).encode())
        for name in set(self.store.objects[SERVERS]) - set(self.truth):
            self.store.delete(SERVERS, name)
        for name in self.truth:
            self.write_entry(name)

    def write_entry(self, name):
        state, incarnation = self.truth[name]
        content = f"{state.value}:{incarnation}"
        self.store.put(SERVERS, name, content.encode())

    def call(self, daemon, kind):
        with mock.patch.object(store_watcher, "_BATCH_DELAY", 0.0):
            return self.loop.run_until_complete(daemon.call(kind))

    @stateful.invariant()
    def servers_that_leave_are_not_used_again(self):
        for daemon in self.daemons:
            for entry in daemon.view.directory.entries:
                if not entry.accepts_work:
                    daemon.leaving.add((entry.id, entry.incarnation))
            for entry in daemon.view.directory.servers_accepting_work("s"):
                assert (entry.id, entry.incarnation) not in daemon.leaving

    @stateful.rule()
    def put_configuration(self):
        self.version += 1
        self.store.put(CONFIGURATION, "main", str(self.version).encode())

    @stateful.rule(name=strategies.sampled_from(examples.NAMES))
    def register_server(self, name):
        if name not in self.truth:
            self.incarnations += 1
            self.truth[name] = READY, self.incarnations
            self.write_entry(name)

    @stateful.rule(name=strategies.sampled_from(examples.NAMES))
    def drain_server(self, name):
        if name in self.truth:
            self.truth[name] = DRAINING, self.truth[name][1]
            self.write_entry(name)

    @stateful.rule(name=strategies.sampled_from(examples.NAMES))
    def remove_server(self, name):
        if self.truth.pop(name, None):
            self.store.delete(SERVERS, name)

    @stateful.rule()
    def copy_store(self):
        self.copies.append(self.store.copy())

    @stateful.rule(position=strategies.integers(0, 9))
    def restore_store(self, position):
        self.store.restore(self.copies[position % len(self.copies)])
        self.copies = [self.store.copy()]

    @stateful.rule(
        name=strategies.sampled_from(examples.NAMES),
        changes=strategies.lists(
            strategies.sampled_from(("configure", "drain", "remove", "add")),
            min_size=1,
            max_size=6,
        ),
    )
    def lose_changes(self, name, changes):
        """The store comes back from a copy without changes that were seen."""
        apply_change = {
            "configure": self.put_configuration,
            "drain": lambda: self.drain_server(name),
            "remove": lambda: self.remove_server(name),
            "add": lambda: self.register_server(name),
        }
        copy = self.store.copy()
        for change in changes:
            apply_change[change]()
            self.follow_store()
            self.servers_that_leave_are_not_used_again()
        self.store.restore(copy)
        self.copies = [copy]

    @stateful.rule()
    def compact_history(self):
        self.store.compact()

    @stateful.rule(number=strategies.integers(0, DAEMONS - 1))
    def cut_or_heal(self, number):
        for source in self.daemons[number].sources.values():
            source.cut = not source.cut

    @stateful.rule(number=strategies.integers(0, DAEMONS - 1))
    def delay_an_answer(self, number):
        """The next listing is answered as of now."""
        for kind, source in self.daemons[number].sources.items():
            source.late = self.store.listing(kind)

    @stateful.rule(number=strategies.integers(0, DAEMONS - 1))
    def restart(self, number):
        self.daemons[number] = Daemon(self.store, self.clock)

    @stateful.rule(
        number=strategies.integers(0, DAEMONS - 1),
        kind=strategies.sampled_from(KINDS),
    )
    def call_once(self, number, kind):
        self.call_store(number, kind)

    def call_store(self, number, kind):
        daemon = self.daemons[number]
        before = daemon.view.version, daemon.view.directory.revision
        self.call(daemon, kind)
        assert daemon.view.version >= before[0]
        assert daemon.view.directory.revision >= before[1]

    @stateful.rule()
    def follow_store(self):
        """All daemons see what the store has."""
        for number in range(DAEMONS):
            for kind in (*KINDS, *KINDS):
                self.call_store(number, kind)

    @stateful.rule(
        receiving=strategies.integers(0, DAEMONS - 1),
        sending=strategies.integers(0, DAEMONS - 1),
    )
    def exchange_state(self, receiving, sending):
        """As the fetcher does for a peer that reports newer state."""
        receiver = self.daemons[receiving].view
        sender = self.daemons[sending].view
        newer = (
            sender.version > receiver.version
            or sender.last_server_change > receiver.directory.revision
        )
        if newer:
            before = receiver.version
            examples.take_state(receiver, sender, self.clock.now())
            assert receiver.version >= before

    @stateful.rule()
    def pass_time(self):
        self.clock.advance(units.Seconds(1.0))
        for daemon in self.daemons:
            daemon.view.expire(self.clock.now())


StoreMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=40,
)
StoreMachineTest = StoreMachine.TestCase

if __name__ == "__main__":
    unittest.main()

"""Simulation of daemons that compete for a lease in a failing store."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units
from lavendershed.placement import lease as lease_module

LIMITS = lease_module.LeaseTimings()
DAEMONS = 3


class FakeLeaseStore:
    """One lease object; writes may take effect late."""

    def __init__(self):
        self.current = None
        self.version = 0

    def put(self, command):
        expected = getattr(command.condition, "version", None)
        if (self.current[0] if self.current else None) != expected:
            return None
        self.version += 1
        self.current = (ids.ObjectVersion(self.version), command.record)
        return self.current[0]


class LeaseSimulation(stateful.RuleBasedStateMachine):
    """Daemons that compete for a lease while store calls fail."""

    def __init__(self):
        super().__init__()
        self.now = units.Instant(100.0)
        self.store = FakeLeaseStore()
        self.late_writes = []
        self.pending_responses = {}
        self.daemons_by_fencing_number = {}
        self.incarnations = [1] * DAEMONS
        self.leases = [self.new_lease(n) for n in range(DAEMONS)]

    def new_lease(self, daemon):
        owner = backend_servers.Owner(
            ids.VmId(str(daemon)), ids.Incarnation(self.incarnations[daemon])
        )
        return lease_module.PlacementLease(owner, LIMITS)

    @stateful.rule(
        daemon=strategies.integers(0, DAEMONS - 1),
        is_assigned=strategies.sampled_from((True, True, True, False)),
        fault=strategies.sampled_from(
            ("none", "none", "none", "lost", "late", "dropped", "down")
        ),
    )
    def call(self, daemon, is_assigned, fault):
        """Sends a store call whose response may arrive much later."""
        if daemon in self.pending_responses:
            return
        lease = self.leases[daemon]
        command = lease.next_command(is_assigned, self.now)
        if command is None:
            return
        if isinstance(command, lease_module.ReadLease):
            if fault == "none":
                version, record = self.store.current or (None, None)
                self.pending_responses[daemon] = lambda: lease.on_read(
                    record, version, self.now
                )
            return
        version = None
        if fault in ("none", "lost"):
            version = self.store.put(command)
        elif fault == "late":
            self.late_writes.append(command)
        if fault == "none" and version is not None:
            self.pending_responses[daemon] = lambda: lease.on_written(
                version, self.now
            )
            return
        kind = {
            "none": object_store.StoreErrorKind.CONFLICT,
            "down": object_store.StoreErrorKind.UNAVAILABLE,
        }.get(fault, object_store.StoreErrorKind.AMBIGUOUS)
        error = object_store.StoreError(kind, "")
        self.pending_responses[daemon] = lambda: lease.on_write_failed(
            error, self.now
        )

    @stateful.precondition(lambda self: self.pending_responses)
    @stateful.rule(position=strategies.integers(0, 100))
    def deliver_response(self, position):
        """Delivers the response to an outstanding store call."""
        daemons = sorted(self.pending_responses)
        self.pending_responses.pop(daemons[position % len(daemons)])()

    @stateful.rule(daemon=strategies.integers(0, DAEMONS - 1))
    def run_alone(self, daemon):
        """Pauses the other daemons for long enough to lose a lease."""
        for _ in range(20):
            self.call_store_now(daemon, True, "none")
            self.advance_time(1.0)

    def call_store_now(self, daemon, is_assigned, fault):
        """Makes one store call with an immediate response."""
        self.pending_responses.pop(daemon, lambda: None)()
        self.call(daemon, is_assigned, fault)
        self.pending_responses.pop(daemon, lambda: None)()

    @stateful.precondition(lambda self: self.late_writes)
    @stateful.rule()
    def late_write_arrives(self):
        self.store.put(self.late_writes.pop(0))

    @stateful.rule(daemon=strategies.integers(0, DAEMONS - 1))
    def restart(self, daemon):
        self.incarnations[daemon] += 1
        self.pending_responses.pop(daemon, None)
        self.leases[daemon] = self.new_lease(daemon)

    @stateful.rule(duration=strategies.sampled_from((0.5, 3.0, 9.0, 16.0)))
    def advance_time(self, duration):
        self.now = units.after(self.now, units.Seconds(duration))

    @stateful.invariant()
    def at_most_one_daemon_may_act(self):
        numbers = [
            lease.usable_fencing_number(self.now, checks_fencing=True)
            for lease in self.leases
        ]
        held = [number for number in numbers if number is not None]
        assert len(held) <= 1, numbers

    @stateful.invariant()
    def every_holder_has_a_number_of_its_own(self):
        for daemon, lease in enumerate(self.leases):
            number = lease.usable_fencing_number(self.now, checks_fencing=True)
            if number is not None:
                holder = (daemon, self.incarnations[daemon])
                assert (
                    self.daemons_by_fencing_number.setdefault(number, holder)
                    == holder
                )

    @stateful.invariant()
    def nobody_acts_with_a_number_below_the_stored_one(self):
        if self.store.current is None:
            return
        stored = self.store.current[1]
        for lease in self.leases:
            number = lease.usable_fencing_number(self.now, checks_fencing=True)
            assert number is None or number == stored.fencing_number

    def teardown(self):
        """Checks that an assigned daemon acquires the lease without faults."""
        for _ in range(40):
            self.call_store_now(0, True, "none")
            self.advance_time(1.0)
        assert self.leases[0].usable_fencing_number(self.now, True) is not None

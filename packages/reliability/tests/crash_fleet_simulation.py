"""Simulates daemons whose engines crash, on a virtual clock."""

from __future__ import annotations

import dataclasses
import itertools
import random

from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.reliability import crash_attribution

ENGINES = 21
RESTART_S = 3.2
REPORT_INTERVAL_S = 0.2
URGENT_REPORT_S = 0.03
MAX_ATTEMPTS = 2
FIRST_PARTS = range(10)
SUBJECTS = range(100, 300)
DEADLY = (1_000, 1_001)


@dataclasses.dataclass(eq=False)
class Request:
    """A prompt that waits for its answer or has been refused."""

    parts: frozenset[ids.CrashSuspectId]
    deadly: bool
    attempts: int = 0
    engine: int = 0


class Simulation:
    """Requests at random daemons; deadly ones crash their engine."""

    def __init__(self, seed, daemons=9, deadly_parts=1, random_crashes=0.2):
        self.timers = timers.VirtualTimerService()
        self.random = random.Random(seed)
        self.deadly_parts = DEADLY[:deadly_parts]
        self.random_crash_rate = random_crashes
        self.waiting = {engine: [] for engine in range(ENGINES)}
        self.down_until = dict.fromkeys(range(ENGINES), 0.0)
        self.incarnations = itertools.count()
        self.crash_times = []
        self.deadly_sent_at = []
        self.sound_refused = 0
        self.sound_answered = 0
        self.daemons = [None] * daemons
        for index in range(daemons):
            self.start_daemon(index)

    def start_daemon(self, index):
        daemon = crash_attribution.CrashAttribution()
        self.daemons[index] = daemon
        daemon.subscribe(
            lambda decision: self.after(
                URGENT_REPORT_S, lambda: self.report(daemon)
            )
        )

    def after(self, seconds, callback):
        when = units.after(self.timers.now(), units.Seconds(seconds))
        self.timers.schedule_at(when, callback)

    def report(self, sender):
        now = self.timers.now()
        for receiver in self.daemons:
            if receiver is not sender:
                receiver.on_peer_evidence(sender.evidence(now), now)

    def run(self, seconds, sound_rate=20.0, deadly_rate=1.0):
        self.repeat(sound_rate, lambda: self.arrive(deadly=False))
        self.repeat(deadly_rate, lambda: self.arrive(deadly=True))
        if self.random_crash_rate:
            self.repeat(
                self.random_crash_rate,
                lambda: self.crash(self.random.randrange(ENGINES)),
            )
        for index in range(len(self.daemons)):
            self.timers.schedule_every(
                units.Seconds(REPORT_INTERVAL_S),
                lambda index=index: self.report(self.daemons[index]),
            )
        self.timers.advance(units.Seconds(seconds))

    def repeat(self, rate, callback):
        def fire():
            callback()
            self.after(self.random.expovariate(rate), fire)

        self.after(self.random.expovariate(rate), fire)

    def arrive(self, *, deadly):
        members = [self.random.choice(FIRST_PARTS)]
        if self.random.random() < 0.5:
            members.append(self.random.choice(SUBJECTS))
        if deadly:
            members.append(self.random.choice(self.deadly_parts))
        request = Request(frozenset(members), deadly)
        self.send(request, self.random.randrange(len(self.daemons)))

    def send(self, request, index):
        now = self.timers.now()
        daemon = self.daemons[index]
        if daemon.quarantine_remaining(request.parts, now) is not None:
            self.sound_refused += not request.deadly
            return
        engines = [e for e, until in self.down_until.items() if until <= now]
        if not engines or request.attempts >= MAX_ATTEMPTS:
            return
        request.attempts += 1
        request.engine = engine = self.random.choice(engines)
        if request.deadly:
            self.deadly_sent_at.append(now)
        entry = (request, index)
        self.waiting[engine].append(entry)
        self.after(
            self.random.uniform(0.1, 0.4),
            lambda: self.begin(engine, entry, request.attempts),
        )

    def begin(self, engine, entry, attempt):
        request, index = entry
        if entry not in self.waiting[engine] or request.attempts != attempt:
            return
        if request.deadly:
            self.crash_times.append(self.timers.now())
            self.crash(engine)
            return
        self.waiting[engine].remove(entry)
        self.sound_answered += 1
        self.daemons[index].on_answer_begun(request.parts, self.timers.now())

    def crash(self, engine):
        now = self.timers.now()
        if self.down_until[engine] > now:
            return
        self.down_until[engine] = now + RESTART_S
        lost, self.waiting[engine] = self.waiting[engine], []
        incarnation = next(self.incarnations)
        for request, index in lost:
            self.daemons[index].on_crash(incarnation, request.parts, now, now)
        for request, index in lost:
            self.send(request, index)

    def deadly_sent_after(self, instant):
        return sum(at > instant for at in self.deadly_sent_at)

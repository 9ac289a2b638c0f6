"""Tests the time limits of connections on a virtual clock."""

from __future__ import annotations

import math
import unittest

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import receive_deadline
from lavendershed.transport import server

Phase = receive_deadline.ReceivePhase


def limits(idle, header=3.0, request=30.0):
    """Returns limits of connections, in virtual seconds."""
    return server.ServerLimits(
        request_timeout=units.Seconds(request),
        idle_timeout=units.Seconds(idle),
        header_timeout=units.Seconds(header),
    )


class _ManualTimer(timers.Timer):
    def __init__(self, when, callback):
        self.when = when
        self.callback = callback

    def cancel(self):
        self.when = math.inf


class ManualTimers(timers.TimerService):
    """Timers of a process that may be held up for longer than they last."""

    def __init__(self):
        self.time = units.Instant(0.0)
        self.pending = []

    def now(self):
        return self.time

    def schedule_at(self, when, callback):
        self.pending.append(_ManualTimer(when, callback))
        return self.pending[-1]

    def hold_up_until(self, time):
        """Fires what is due once the process goes on."""
        self.time = units.Instant(time)
        due = [timer for timer in self.pending if timer.when <= time]
        for timer in due:
            self.pending.remove(timer)
            timer.callback()


class HeldUpProcessTest(unittest.TestCase):
    """Fails if a caller has less time because the process was held up."""

    def test_a_late_timer_extends_the_phase_by_its_delay(self):
        manual_timers = ManualTimers()
        expired = []
        deadline = receive_deadline.ReceiveDeadline(
            manual_timers, limits(idle=1.0), lambda: expired.append(True)
        )
        deadline.enter(Phase.HEAD)
        deadline.enter(Phase.BODY)
        # The timer of the first phase fires after the limit of this one.
        manual_timers.hold_up_until(41.0)
        self.assertEqual(expired, [])
        manual_timers.hold_up_until(69.9)
        self.assertEqual(expired, [])
        manual_timers.hold_up_until(70.0)
        self.assertEqual(expired, [True])


class ReceiveDeadlineTest(unittest.TestCase):
    """Fails if a phase is ended by the limit of another, or by an old one."""

    def setUp(self):
        self.timers = timers.VirtualTimerService()
        self.expired = []
        self.deadline = receive_deadline.ReceiveDeadline(
            self.timers,
            limits(idle=1.0),
            lambda: self.expired.append(self.deadline.phase),
        )

    def advance(self, seconds):
        self.timers.advance(units.Seconds(seconds))

    def test_each_phase_has_a_limit_of_its_own(self):
        for phase, seconds in (
            (Phase.IDLE, 1.0),
            (Phase.HEAD, 3.0),
            (Phase.BODY, 30.0),
            (Phase.HANDLING, None),
        ):
            with self.subTest(phase=phase):
                self.expired.clear()
                self.deadline.enter(Phase.IDLE)
                self.deadline.enter(phase)
                self.advance(100.0 if seconds is None else seconds - 0.1)
                self.assertEqual(self.expired, [])
                self.advance(0.2)
                expected = [] if seconds is None else [phase]
                self.assertEqual(self.expired, expected)

    def test_head_and_body_share_the_time_of_the_request(self):
        self.deadline.enter(Phase.HEAD)
        self.advance(2.0)
        self.deadline.enter(Phase.BODY)
        self.advance(27.9)
        self.assertEqual(self.expired, [])
        self.advance(0.2)
        self.assertEqual(self.expired, [Phase.BODY])

    def test_a_raised_limit_holds_at_once(self):
        self.advance(0.5)
        self.deadline.set_limits(limits(idle=5.0))
        self.advance(4.4)
        self.assertEqual(self.expired, [])
        self.advance(0.2)
        self.assertEqual(self.expired, [Phase.IDLE])

    def test_a_lowered_limit_holds_from_the_next_phase(self):
        self.deadline.set_limits(limits(idle=0.2))
        self.advance(0.9)
        self.assertEqual(self.expired, [])
        self.deadline.enter(Phase.HANDLING)
        self.deadline.enter(Phase.IDLE)
        self.advance(0.3)
        self.assertEqual(self.expired, [Phase.IDLE])

    def test_a_limit_that_was_raised_and_lowered_again_is_kept(self):
        self.deadline.set_limits(limits(idle=5.0))
        self.deadline.set_limits(limits(idle=1.0))
        self.advance(4.9)
        self.assertEqual(self.expired, [])
        self.advance(0.2)
        self.assertEqual(self.expired, [Phase.IDLE])

    def test_a_limit_that_the_caller_was_told_is_kept(self):
        self.deadline.enter(Phase.HANDLING)
        self.deadline.set_limits(limits(idle=0.2))
        self.deadline.enter(Phase.IDLE, units.Seconds(1.0))
        self.advance(0.9)
        self.assertEqual(self.expired, [])
        self.advance(0.2)
        self.assertEqual(self.expired, [Phase.IDLE])

    def test_a_closed_deadline_never_expires(self):
        self.deadline.enter(Phase.HEAD)
        self.deadline.close()
        self.advance(100.0)
        self.assertEqual(self.expired, [])


if __name__ == "__main__":
    unittest.main()

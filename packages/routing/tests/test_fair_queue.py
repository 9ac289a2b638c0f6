"""Tests the shares of the queue that organisations get."""

from __future__ import annotations

import collections
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import attempts
from lavendershed.routing import fair_queue

LARGE = ids.OrganisationId("large")
SMALL = ids.OrganisationId("small")


def item(ticket, organisation, tokens):
    """Returns a queued attempt of a given cost."""
    return attempts.Attempt(
        attempts.Ticket(ticket),
        organisation,
        states.PromptClass.SHORT,
        units.Tokens(tokens),
        units.Tokens(0),
        deadlines.Deadline(units.Instant(60.0)),
    )


def drain(queue, count):
    """Dequeues `count` attempts; returns the tokens by organisation."""
    sent = collections.Counter()
    for _ in range(count):
        head = queue.head()
        sent[head.organisation] += head.total_tokens
        queue.dequeue(head)
    return sent


class FairQueueTest(unittest.TestCase):
    """Fails if an organisation gets more than its share."""

    def test_many_requests_of_one_organisation_do_not_delay_another(self):
        queue = fair_queue.FairQueue()
        for ticket in range(100):
            queue.push(item(ticket, LARGE, 4_000))
        queue.push(item(100, SMALL, 4_000))
        self.assertIn(SMALL, drain(queue, 4))

    def test_tokens_follow_the_weights(self):
        queue = fair_queue.FairQueue()
        queue.on_weights({LARGE: 3.0, SMALL: 1.0})
        for ticket in range(400):
            organisation = LARGE if ticket % 2 else SMALL
            queue.push(item(ticket, organisation, 1_000 + ticket))
        sent = drain(queue, 200)
        self.assertAlmostEqual(sent[LARGE] / sent[SMALL], 3.0, delta=0.4)


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Fails if a request is lost, dequeued twice or blocks the others."""

    def __init__(self):
        super().__init__()
        self.queue = fair_queue.FairQueue()
        self.expected = {}
        self.ticket = 0

    @stateful.rule(
        organisation=strategies.sampled_from(["a", "b", "c"]),
        tokens=strategies.integers(1, 1_000_000),
    )
    def push(self, organisation, tokens):
        self.ticket += 1
        pushed = item(self.ticket, ids.OrganisationId(organisation), tokens)
        self.queue.push(pushed)
        self.expected[pushed.ticket] = pushed

    @stateful.rule()
    def take_head(self):
        head = self.queue.head()
        if head is None:
            return
        self.queue.dequeue(head)
        assert self.expected.pop(head.ticket) == head

    @stateful.rule(data=strategies.data())
    def remove(self, data):
        if not self.expected:
            return
        ticket = data.draw(strategies.sampled_from(sorted(self.expected)))
        removed = self.expected.pop(ticket)
        assert self.queue.remove(removed)
        assert not self.queue.remove(removed)

    @stateful.invariant()
    def counts_match(self):
        assert len(self.queue) == len(self.expected)
        tokens = sum(queued.total_tokens for queued in self.expected.values())
        assert self.queue.tokens == tokens
        assert (self.queue.head() is None) == (not self.expected)


FairQueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=40, derandomize=True, deadline=None
)
FairQueueStatefulTest = FairQueueMachine.TestCase


if __name__ == "__main__":
    unittest.main()

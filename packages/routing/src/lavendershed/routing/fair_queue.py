"""Deficit round robin over organisations.

Source: M. Shreedhar and G. Varghese, "Efficient fair queuing using deficit
round-robin", IEEE/ACM Transactions on Networking 4(3), 1996.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import math

from lavendershed.core import ids
from lavendershed.routing import attempts

# Tokens that an organisation of weight 1 may dispatch per round.
_QUANTUM_TOKENS = 8_000.0
_MIN_WEIGHT = 0.001


class _Flow:
    def __init__(self, organisation: ids.OrganisationId) -> None:
        self.organisation = organisation
        self.items: collections.OrderedDict[
            attempts.Ticket, attempts.Attempt
        ] = collections.OrderedDict()
        self.deficit = 0.0

    @property
    def head(self) -> attempts.Attempt:
        return next(iter(self.items.values()))

    @property
    def shortfall(self) -> float:
        return self.head.total_tokens - self.deficit


class FairQueue:
    """Queue that divides dispatched tokens among organisations by weight."""

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[ids.OrganisationId, _Flow] = (
            collections.OrderedDict()
        )
        self._weights: Mapping[ids.OrganisationId, float] = {}
        self._tokens = 0
        self._size = 0

    def __len__(self) -> int:
        """Number of queued requests."""
        return self._size

    @property
    def tokens(self) -> int:
        """Prompt and answer tokens of all queued requests."""
        return self._tokens

    def on_weights(self, weights: Mapping[ids.OrganisationId, float]) -> None:
        """Applies the weights of organisations; the default is 1."""
        self._weights = weights

    def push(self, attempt: attempts.Attempt) -> None:
        """Queues a request."""
        flow = self._flows.get(attempt.organisation)
        if flow is None:
            flow = self._flows[attempt.organisation] = _Flow(
                attempt.organisation
            )
        flow.items[attempt.ticket] = attempt
        self._tokens += attempt.total_tokens
        self._size += 1

    def head(self) -> attempts.Attempt | None:
        """Returns the next request to dispatch and leaves it queued."""
        if not self._flows:
            return None
        for _ in range(len(self._flows)):
            flow = next(iter(self._flows.values()))
            if flow.shortfall <= 0:
                return flow.head
            self._flows.move_to_end(flow.organisation)
            flow.deficit += self._quantum(flow)
        # Rounds in which no organisation can dispatch are skipped at once.
        rounds = min(
            max(0, math.ceil(flow.shortfall / self._quantum(flow)))
            for flow in self._flows.values()
        )
        for flow in self._flows.values():
            flow.deficit += rounds * self._quantum(flow)
        while True:
            flow = next(iter(self._flows.values()))
            if flow.shortfall <= 0:
                return flow.head
            self._flows.move_to_end(flow.organisation)

    def dequeue(self, attempt: attempts.Attempt) -> None:
        """Removes a request that is dispatched and charges its tokens."""
        flow = self._flows[attempt.organisation]
        flow.deficit -= attempt.total_tokens
        self.remove(attempt)

    def remove(self, attempt: attempts.Attempt) -> bool:
        """Removes a request without charging it; False if it isn't queued."""
        flow = self._flows.get(attempt.organisation)
        if flow is None or flow.items.pop(attempt.ticket, None) is None:
            return False
        self._tokens -= attempt.total_tokens
        self._size -= 1
        if not flow.items:
            del self._flows[attempt.organisation]
        return True

    def _quantum(self, flow: _Flow) -> float:
        weight = self._weights.get(flow.organisation, 1.0)
        return _QUANTUM_TOKENS * max(_MIN_WEIGHT, weight)

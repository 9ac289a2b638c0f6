"""Rate limits of organisations without a coordinator."""

from __future__ import annotations

import abc
from collections.abc import Mapping
import dataclasses

import result

from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.core import units

# Seconds of the limit that an idle organisation may use at once.
_BURST_DURATION = units.Seconds(5.0)


class ShareSource(abc.ABC):
    """Share of an organisation's limits that this daemon may use."""

    @abc.abstractmethod
    def fraction(self, organisation: ids.OrganisationId) -> float:
        """Returns the share, from 0 to 1."""


class FullShare(ShareSource):
    """Share of the only daemon of a deployment."""

    def fraction(self, organisation: ids.OrganisationId) -> float:
        """Returns 1."""
        return 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class OverLimit:
    """An organisation is over its limit until `retry_after` has passed."""

    retry_after: units.Seconds


class TokenBucket:
    """Token bucket whose rate may change between uses.

    A request larger than the whole bucket passes when the bucket is full and
    leaves a debt, so that large requests are limited in rate, not in size.
    """

    def __init__(self, now: units.Instant) -> None:
        self._level: float | None = None
        self._updated = now

    def wait_time(
        self, cost: float, rate: float, now: units.Instant
    ) -> units.Seconds:
        """Returns the time until `cost` may be taken; 0 if it may be now."""
        capacity = rate * _BURST_DURATION
        level = self._refill(rate, capacity, now)
        needed = min(cost, capacity)
        if level >= needed:
            return units.Seconds(0.0)
        return units.Seconds((needed - level) / max(rate, 1e-9))

    def consume(self, cost: float) -> None:
        """Takes `cost`; `wait` has returned 0 before."""
        self._level = (self._level or 0.0) - cost

    def _refill(
        self, rate: float, capacity: float, now: units.Instant
    ) -> float:
        if self._level is None:
            self._level = capacity
        elapsed = max(0.0, now - self._updated)
        self._level = min(capacity, self._level + rate * elapsed)
        self._updated = now
        return self._level


class OrganisationLimits:
    """Buckets for requests and tokens of every organisation."""

    def __init__(self, shares: ShareSource) -> None:
        self._shares = shares
        self._organisations: Mapping[
            ids.OrganisationId, model.Organisation
        ] = {}
        self._buckets: dict[
            ids.OrganisationId, tuple[TokenBucket, TokenBucket]
        ] = {}

    def on_organisations(
        self, organisations: Mapping[ids.OrganisationId, model.Organisation]
    ) -> None:
        """Follows the configured limits; levels of buckets are kept."""
        self._organisations = organisations
        for name in tuple(self._buckets):
            if name not in organisations:
                del self._buckets[name]

    def check(
        self, organisation: ids.OrganisationId, tokens: int, now: units.Instant
    ) -> result.Result[None, OverLimit]:
        """Returns whether a request is within the limits; charges nothing."""
        limits = self._organisations.get(organisation)
        if limits is None:
            return result.Ok(None)
        share = self._shares.fraction(organisation)
        request_bucket, token_bucket = self._organisation_buckets(
            organisation, now
        )
        wait_time = max(
            request_bucket.wait_time(
                1.0, limits.requests_per_second * share, now
            ),
            token_bucket.wait_time(
                tokens, limits.tokens_per_second * share, now
            ),
        )
        if wait_time > 0:
            return result.Err(OverLimit(units.Seconds(wait_time)))
        return result.Ok(None)

    def charge(self, organisation: ids.OrganisationId, tokens: int) -> None:
        """Charges a request that `check` has passed."""
        buckets = self._buckets.get(organisation)
        if buckets is None:
            return
        buckets[0].consume(1.0)
        buckets[1].consume(tokens)

    def _organisation_buckets(
        self, organisation: ids.OrganisationId, now: units.Instant
    ) -> tuple[TokenBucket, TokenBucket]:
        buckets = self._buckets.get(organisation)
        if buckets is None:
            buckets = (TokenBucket(now), TokenBucket(now))
            self._buckets[organisation] = buckets
        return buckets

"""Distributed rate limits of organisations, without a coordinator."""

from __future__ import annotations

import abc
from collections.abc import Mapping
import dataclasses

import result

from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.core import units

# Capacity of a token bucket, as the time in which it fills up.
_BURST_DURATION = units.Seconds(5.0)


class ShareSource(abc.ABC):
    """Source of this daemon's share of an organisation's rate limits."""

    @abc.abstractmethod
    def fraction(self, organisation: ids.OrganisationId) -> float:
        """Returns the share, from 0 to 1."""


class FullShare(ShareSource):
    """Grants the whole limits; for deployments with a single daemon."""

    def fraction(self, organisation: ids.OrganisationId) -> float:
        """Returns 1."""
        return 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class OverLimit:
    """The organisation exceeds its limit until `retry_after` has passed."""

    retry_after: units.Seconds


class TokenBucket:
    """Token bucket with a variable rate.

    A request that exceeds the capacity is admitted when the bucket is full and
    makes its level negative, so that the rate of large requests is limited but
    not their size.
    """

    def __init__(self, now: units.Instant) -> None:
        self._level: float | None = None
        self._updated = now

    def wait_time(
        self, cost: float, rate: float, now: units.Instant
    ) -> units.Seconds:
        """Returns the time until `cost` is available; 0 if it is now."""
        capacity = rate * _BURST_DURATION
        level = self._refill(rate, capacity, now)
        needed = min(cost, capacity)
        if level >= needed:
            return units.Seconds(0.0)
        return units.Seconds((needed - level) / max(rate, 1e-9))

    def consume(self, cost: float) -> None:
        """Consumes `cost`; call it only after `wait_time` has returned 0."""
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
    """Request and token rate limits of all organisations."""

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
        """Applies the configured limits; levels of buckets are kept."""
        self._organisations = organisations
        for name in tuple(self._buckets):
            if name not in organisations:
                del self._buckets[name]

    def check(
        self, organisation: ids.OrganisationId, tokens: int, now: units.Instant
    ) -> result.Result[None, OverLimit]:
        """Checks a request against the limits without charging it."""
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
        """Charges a request that `check` has accepted."""
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

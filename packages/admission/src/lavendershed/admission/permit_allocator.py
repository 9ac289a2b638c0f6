"""Allocation of the requests that limited backend servers take.

Each limited server has one daemon that issues its permits, so that the sum over
all daemons keeps to the limit without any of them knowing what the others send.
"""

from __future__ import annotations

import dataclasses

from lavendershed.core import ids
from lavendershed.core import units

# Permits that were not used are kept for this time, and two in any case.
_BURST_PERIOD = units.Seconds(0.25)
_MIN_BURST = 2.0
# Share of the limit that a standby issues while the issuer is silent, which may
# be alive and issue the whole limit at the same time.
STANDBY_SHARE = 0.25
# As many applicants a second may come back for the next permit at once: most of
# them go elsewhere. The others come back one after the other, so that calls to
# an issuer don't grow with the fleet.
_FREE_RETURNS_PER_SECOND = 8.0
_MAX_WAIT = units.Seconds(10.0)
# An idle bucket is as full as a new one may become in this time, at least.
_IDLE_PERIOD = units.Seconds(30.0)
# A bucket is a few dozen bytes; a daemon issues for a few servers at a time.
_MAX_BUCKETS = 4_096


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of one server.

    Attributes:
        tokens: Permits that can be issued now; may be a fraction.
        updated_at: When `tokens` was computed.
        applicants: Recent applicants without a permit, decaying.
    """

    tokens: float
    updated_at: units.Instant
    applicants: float = 0.0


class PermitAllocator:
    """Token buckets of the servers that this daemon issues permits for.

    A bucket starts empty: another daemon may have issued permits just before.
    Only that of a limit that states a burst starts full, because the burst
    allows for two issuers.
    """

    def __init__(self) -> None:
        self._buckets: dict[tuple[ids.ServerNumber, bool], _Bucket] = {}

    def request(
        self,
        server: ids.ServerNumber,
        rate: units.RequestsPerSecond,
        now: units.Instant,
        *,
        as_standby: bool,
        burst: float | None = None,
    ) -> units.Seconds:
        """Issues a permit for one request, or tells when to come back.

        In any period of T seconds at most `rate` times T permits are issued,
        and `burst` more; without it two or a quarter of a second's worth.

        Args:
            server: The server.
            rate: Requests per second that this daemon may issue for it.
            now: Current time.
            as_standby: Whether this daemon stands in for a silent issuer. The
                permits of both roles are counted apart.
            burst: Permits that may be issued at once, at least one.

        Returns:
            0 if the permit is issued, else the time to wait.
        """
        if as_standby:
            rate = units.RequestsPerSecond(rate * STANDBY_SHARE)
        key = (server, as_standby)
        bucket = self._buckets.get(key)
        if bucket is None:
            self._discard_idle(now)
            bucket = _Bucket(burst or 0.0, now)
            self._buckets[key] = bucket
        elapsed = units.elapsed(bucket.updated_at, now)
        bucket.updated_at = now
        bucket.tokens = min(
            bucket.tokens + elapsed * rate,
            burst or max(_MIN_BURST, rate * _BURST_PERIOD),
        )
        bucket.applicants = max(
            0.0, bucket.applicants - elapsed * _FREE_RETURNS_PER_SECOND
        )
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return units.Seconds(0.0)
        bucket.applicants += 1.0
        queued = max(0.0, bucket.applicants - _FREE_RETURNS_PER_SECOND)
        return units.Seconds(
            min((1.0 - bucket.tokens + queued) / rate, _MAX_WAIT)
        )

    def _discard_idle(self, now: units.Instant) -> None:
        if len(self._buckets) < _MAX_BUCKETS:
            return
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if now - bucket.updated_at < _IDLE_PERIOD
        }

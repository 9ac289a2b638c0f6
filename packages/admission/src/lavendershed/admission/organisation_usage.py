"""Recent engine time of each organisation."""

from __future__ import annotations

import math

from lavendershed.core import ids
from lavendershed.core import units

# Engine time counts half after this time.
_HALF_LIFE = units.Seconds(5.0)
# Organisations with less recent engine time than this are forgotten.
_NEGLIGIBLE_TIME = units.Seconds(0.001)


class OrganisationUsage:
    """Exponentially decayed engine time by organisation."""

    def __init__(self) -> None:
        self._used: dict[ids.OrganisationId | None, float] = {}
        self._updated_at = units.Instant(0.0)

    def record(
        self,
        organisation: ids.OrganisationId | None,
        engine_time: units.Seconds,
        now: units.Instant,
    ) -> None:
        """Adds engine time that a request of an organisation will use."""
        self._decay(now)
        self._used[organisation] = (
            self._used.get(organisation, 0.0) + engine_time
        )

    def share(
        self, organisation: ids.OrganisationId | None, now: units.Instant
    ) -> float:
        """Returns the organisation's share of the recent engine time."""
        self._decay(now)
        total = sum(self._used.values())
        return self._used.get(organisation, 0.0) / total if total else 0.0

    def _decay(self, now: units.Instant) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        factor = math.exp2(-elapsed / _HALF_LIFE)
        self._updated_at = now
        self._used = {
            organisation: used * factor
            for organisation, used in self._used.items()
            if used * factor > _NEGLIGIBLE_TIME
        }

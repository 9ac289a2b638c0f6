"""Reports that an aggregator has received and not yet distributed."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from lavendershed.core import addresses
from lavendershed.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class _EncodedReport:
    zone: ids.AvailabilityZoneId
    encoded: bytes


class ReportAggregation:
    """Latest report of each daemon, and which of them are pending.

    Each report holds the complete state of its daemon, so that only the latest
    one is distributed.
    """

    def __init__(self, own_zone: ids.AvailabilityZoneId) -> None:
        self._own_zone = own_zone
        self._latest: dict[addresses.Address, _EncodedReport] = {}
        # In order of arrival.
        self._pending: dict[addresses.Address, None] = {}

    @property
    def has_pending(self) -> bool:
        """Whether a report was added since the last distribution."""
        return bool(self._pending)

    def add(
        self,
        sender: addresses.Address,
        zone: ids.AvailabilityZoneId,
        encoded: bytes,
    ) -> None:
        """Adds the latest report of a daemon."""
        self.refresh(sender, zone, encoded)
        self._pending[sender] = None

    def refresh(
        self,
        sender: addresses.Address,
        zone: ids.AvailabilityZoneId,
        encoded: bytes,
    ) -> None:
        """Keeps the latest report of a daemon without distributing it."""
        self._latest[sender] = _EncodedReport(zone, encoded)

    def repeat_next(
        self, senders: Iterable[addresses.Address], count: int
    ) -> None:
        """Makes reports pending again, in turn, to make up for lost datagrams.

        Args:
            senders: Daemons whose reports to repeat.
            count: Number of reports.
        """
        repeatable = frozenset(senders)
        in_turn = [sender for sender in self._latest if sender in repeatable]
        for sender in in_turn[:count]:
            # The order of the dictionary is that of the last repetition.
            self._latest[sender] = self._latest.pop(sender)
            self._pending[sender] = None

    def on_distributed(self, sender: addresses.Address) -> None:
        """Marks the report of a daemon as distributed by another aggregator."""
        self._pending.pop(sender, None)

    def take_pending(self) -> tuple[tuple[bytes, ...], tuple[bytes, ...]]:
        """Returns the pending reports of the own and of the other zones."""
        pending = [self._latest[sender] for sender in self._pending]
        self._pending.clear()
        return (
            tuple(r.encoded for r in pending if r.zone == self._own_zone),
            tuple(r.encoded for r in pending if r.zone != self._own_zone),
        )

    def all_reports(
        self, live_peers: tuple[addresses.Address, ...]
    ) -> tuple[bytes, ...]:
        """Returns the latest report of each live daemon; forgets the others."""
        live = frozenset(live_peers)
        self._latest = {
            sender: report
            for sender, report in self._latest.items()
            if sender in live
        }
        self._pending = {s: None for s in self._pending if s in self._latest}
        return tuple(report.encoded for report in self._latest.values())

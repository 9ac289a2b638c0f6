"""Newest versions of the store objects that other daemons have."""

from __future__ import annotations

import dataclasses

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.peer import load_reports


@dataclasses.dataclass(frozen=True, slots=True)
class NewestVersions:
    """Newest versions, each with a daemon that reported it.

    Attributes:
        configuration: Version of the configuration.
        servers: Revision of the server list.
        evacuations: Revision of the last change of the evacuations.
    """

    configuration: tuple[ids.Epoch, addresses.Address | None] = (
        ids.Epoch(0),
        None,
    )
    servers: tuple[store_revisions.StoreRevision, addresses.Address | None] = (
        store_revisions.NONE,
        None,
    )
    evacuations: tuple[
        store_revisions.StoreRevision, addresses.Address | None
    ] = (store_revisions.NONE, None)


class PeerVersions:
    """Newest versions reported in the own and in all availability zones."""

    def __init__(self, own_zone: ids.AvailabilityZoneId) -> None:
        self._own_zone = own_zone
        self._in_zone = NewestVersions()
        self._anywhere = NewestVersions()

    def newest(self, *, in_zone: bool) -> NewestVersions:
        """Returns the newest versions in the own or in all zones."""
        return self._in_zone if in_zone else self._anywhere

    def on_report(
        self, address: addresses.Address, report: load_reports.LoadReport
    ) -> None:
        """Updates the newest versions from a report."""
        self._anywhere = _update(self._anywhere, address, report)
        if report.availability_zone == self._own_zone:
            self._in_zone = _update(self._in_zone, address, report)

    def on_unreachable(self, address: addresses.Address) -> None:
        """Forgets the versions of a daemon until it reports again."""
        self._anywhere = _forget(self._anywhere, address)
        self._in_zone = _forget(self._in_zone, address)


def _update(
    newest: NewestVersions,
    address: addresses.Address,
    report: load_reports.LoadReport,
) -> NewestVersions:
    if report.configuration_epoch >= newest.configuration[0]:
        newest = dataclasses.replace(
            newest, configuration=(report.configuration_epoch, address)
        )
    if report.server_revision >= newest.servers[0]:
        newest = dataclasses.replace(
            newest, servers=(report.server_revision, address)
        )
    if report.evacuation_revision >= newest.evacuations[0]:
        newest = dataclasses.replace(
            newest, evacuations=(report.evacuation_revision, address)
        )
    return newest


def _forget(
    newest: NewestVersions, address: addresses.Address
) -> NewestVersions:
    unknown = NewestVersions()
    if newest.configuration[1] == address:
        newest = dataclasses.replace(
            newest, configuration=unknown.configuration
        )
    if newest.servers[1] == address:
        newest = dataclasses.replace(newest, servers=unknown.servers)
    if newest.evacuations[1] == address:
        newest = dataclasses.replace(newest, evacuations=unknown.evacuations)
    return newest

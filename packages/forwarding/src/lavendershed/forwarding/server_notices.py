"""What answers of backend servers say about these: leaving, and pauses."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import result

from lavendershed.admission import server_pauses
from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.reliability import leaving_servers
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments

_Servers = tuple[server_directory.ServerEntry, ...]


class ServerNoticeObserver:
    """Keeps new work from servers whose answers ask for none."""

    def __init__(
        self,
        pauses: server_pauses.ServerPauses,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
    ) -> None:
        self._leaving = leaving_servers.LeavingServers()
        self._pauses = pauses
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._servers: _Servers = ()
        # Servers of each service, those that are left of them, and the number
        # of changes that this is based on.
        self._remaining: dict[
            ids.ServiceId, tuple[_Servers, int, _Servers]
        ] = {}
        self._listeners: list[Callable[[], object]] = []
        self._on_leaving: list[Callable[[addresses.Address], object]] = []

    def subscribe(self, listener: Callable[[], object]) -> None:
        """Calls `listener` after news that the other daemons need."""
        self._listeners.append(listener)

    def subscribe_to_leaving(
        self, listener: Callable[[addresses.Address], object]
    ) -> None:
        """Calls `listener` with the address of each server that leaves."""
        self._on_leaving.append(listener)

    @property
    def leaving_to_report(self) -> tuple[ids.ServerNumber, ...]:
        """Servers that have told this daemon that they are leaving."""
        return self._leaving.to_report

    def without_leaving(
        self, service: ids.ServiceId, servers: _Servers
    ) -> _Servers:
        """Returns the servers of a service that are not known to leave."""
        changes = self._leaving.change_count
        known = self._remaining.get(service)
        if known is None or known[0] is not servers or known[1] != changes:
            remaining = tuple(
                s for s in servers if not self._leaving.is_leaving(_number(s))
            )
            known = self._remaining[service] = (servers, changes, remaining)
        return known[2]

    def is_leaving(self, server: server_directory.ServerEntry) -> bool:
        """Returns whether a server has said that it is leaving."""
        return self._leaving.is_leaving(_number(server))

    def allows_new_work(self, server: server_directory.ServerEntry) -> bool:
        """Returns whether a server is not leaving and does not pause."""
        number = _number(server)
        return (
            not self._leaving.is_leaving(number)
            and self._pauses.ends_at(number) <= self._timers.now()
        )

    def pause_time(
        self, servers: Iterable[server_directory.ServerEntry]
    ) -> units.Seconds:
        """Returns the time until the first pause ends, if all servers pause."""
        return self._pauses.wait_time(map(_number, servers), self._timers.now())

    def on_answer(
        self,
        server: server_directory.ServerEntry,
        notices: requests.ServerNotices,
    ) -> None:
        """Records what an answer of a server says that has just arrived."""
        if notices.leaving and self._leaving.on_answer(_number(server)):
            self._update_list()
            self._record_leaving(server, leaving_servers.NewsSource.ANSWER)
            for listener in self._listeners:
                listener()
        if isinstance(notices.pause, result.Err):
            self._log.emit(
                events.Event.SERVER_PAUSE_REJECTED,
                server=server.id,
                reason=notices.pause.err_value,
                seconds=server_pauses.UNREADABLE_PAUSE,
            )
            self._pause(server, server_pauses.UNREADABLE_PAUSE)
        elif notices.pause.ok_value is not None:
            asked = notices.pause.ok_value
            pause = server_pauses.bounded(asked)
            if pause != asked:
                self._log.emit(
                    events.Event.SERVER_PAUSE_REJECTED,
                    server=server.id,
                    reason=f"{asked:g} s are out of bounds",
                    seconds=pause,
                )
            self._pause(server, pause)

    def on_peer_news(
        self,
        leaving: Iterable[ids.ServerNumber],
        peer: addresses.Address,
    ) -> None:
        """Records which servers have told another daemon that they leave."""
        news = frozenset(self._leaving.on_peer_news(leaving))
        if not news:
            return
        self._update_list()
        for server in self._servers:
            if _number(server) in news:
                self._record_leaving(
                    server, leaving_servers.NewsSource.PEER, peer
                )

    def on_servers(
        self, servers: Iterable[server_directory.ServerEntry]
    ) -> None:
        """Takes over a new list of the servers."""
        self._servers = tuple(servers)
        self._update_list()
        self._instruments.set_leaving_servers(
            "store", sum(not s.accepts_work for s in self._servers)
        )

    def update_metrics(self) -> None:
        """Sets the metrics that change with time."""
        for source in leaving_servers.NewsSource:
            self._instruments.set_leaving_servers(
                source.value, self._leaving.count(source)
            )
        self._instruments.set_paused_servers(
            self._pauses.count(self._timers.now())
        )

    def _update_list(self) -> None:
        # Hashes of 10,000 servers take 13 ms of processor time.
        if self._leaving.is_empty:
            return
        numbers = {_number(s): s.accepts_work for s in self._servers}
        self._leaving.on_servers(
            frozenset(numbers),
            frozenset(n for n, accepts_work in numbers.items() if accepts_work),
        )

    def _record_leaving(
        self,
        server: server_directory.ServerEntry,
        source: leaving_servers.NewsSource,
        peer: addresses.Address | None = None,
    ) -> None:
        self._log.emit(
            events.Event.SERVER_ANNOUNCED_LEAVING,
            server=server.id,
            born=server.incarnation,
            source=source.value,
            peer=None if peer is None else str(peer),
        )
        for listener in self._on_leaving:
            listener(server.address)

    def _pause(
        self, server: server_directory.ServerEntry, pause: units.Seconds
    ) -> None:
        now = self._timers.now()
        self._pauses.on_asked(_number(server), pause, now)
        self._instruments.count_pause(server.id)
        self._log.emit(
            events.Event.SERVER_PAUSED,
            server=server.id,
            seconds=round(pause, 3),
            left_s=round(
                max(0.0, self._pauses.ends_at(_number(server)) - now), 3
            ),
        )


def _number(server: server_directory.ServerEntry) -> ids.ServerNumber:
    return load_reports.hash_incarnation(server.id, server.incarnation)

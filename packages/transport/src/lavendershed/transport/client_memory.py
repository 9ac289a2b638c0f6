"""Memory and connections that callers can make a process hold.

Each connection has limits of its own, but a crowd of callers may be at them at
once. One owner counts what all of them hold: connections, heads, bodies, input
that was read ahead, and output that was not taken. Near its limits it decides
who gives up what it holds.
"""

from __future__ import annotations

import abc
import collections
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import itertools

from lavendershed.core import units

# Objects of an open connection in the interpreter, without any message.
CONNECTION_BYTES = units.Bytes(8_192)
# Tasks and objects of a request that is handled, the reads of its server, and
# the first bytes of its response. Response bodies have a budget of their own.
SERVED_BYTES = units.Bytes(65_536)
# A request of at most this size takes the place of larger ones that are still
# being received; once it is complete, also of smaller ones.
_SMALL_BYTES = units.Bytes(98_304)
_SMALLEST_VICTIM_BYTES = units.Bytes(16_384)
# Part of a limit that is freed at once, so that a crowd at the limit does not
# make each of its bytes cost a search.
_FREED_SHARE = 1 / 16
# A search that found too little is not repeated sooner.
_SEARCH_INTERVAL = units.Seconds(0.1)


class Standing(enum.Enum):
    """What a connection is doing, in the order in which it is given up."""

    # Its last response was sent, and it is about to be closed.
    CLOSING = "closing"
    # Its caller does not take the response.
    UNREAD = "unread"
    # A request has come in part; nothing of it has run.
    RECEIVING = "receiving"
    # No byte has come since it was opened.
    UNUSED = "unused"
    # Its caller was told that it may send another request.
    KEPT = "kept"
    # A request is handled, or its response is being taken: never given up.
    SERVED = "served"


# Time without progress after which a connection may be given up. Callers that
# take a response may wait for a packet that was lost.
PATIENCE: Mapping[Standing, units.Seconds] = {
    Standing.CLOSING: units.Seconds(0.0),
    Standing.UNREAD: units.Seconds(3.0),
    Standing.RECEIVING: units.Seconds(1.0),
    Standing.UNUSED: units.Seconds(1.0),
    Standing.KEPT: units.Seconds(2.0),
}
NO_PATIENCE: Mapping[Standing, units.Seconds] = dict.fromkeys(
    PATIENCE, units.Seconds(0.0)
)
_RANKS = {standing: rank for rank, standing in enumerate(Standing)}
# What takes as long as its caller wants.
_EXCHANGES = (Standing.UNREAD, Standing.RECEIVING)


class _Search(enum.Enum):
    """What room is looked for; each may give up others than the next."""

    CONNECTION = "connection"
    PART_OF_REQUEST = "part_of_request"
    COMPLETE_REQUEST = "complete_request"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What the callers of a process may hold together.

    Attributes:
        memory: Bytes of connections and messages.
        connections: Open connections.
        patience: Time without progress after which a connection may be given
            up near a limit; standings that are not named are never given up.
    """

    memory: units.Bytes
    connections: int
    patience: Mapping[Standing, units.Seconds] = dataclasses.field(
        default_factory=lambda: PATIENCE
    )


class Holder(abc.ABC):
    """A connection that holds memory."""

    @abc.abstractmethod
    def refresh(self) -> None:
        """Reports what the caller has taken of its response meanwhile.

        May only call `Account.progress` and `Account.reduce`.
        """

    @abc.abstractmethod
    def give_up(self, standing: Standing) -> None:
        """Closes the connection; a request in part is refused before."""


class Account:
    """What one connection holds, until it is closed."""

    __slots__ = (
        "_address",
        "_began_at",
        "_closed",
        "_holder",
        "_memory",
        "_moved_bytes",
        "_progressed_at",
        "_size",
        "_standing",
    )

    def __init__(
        self,
        memory: ClientMemory,
        holder: Holder,
        address: str,
        now: units.Instant,
    ) -> None:
        self._memory = memory
        self._holder = holder
        self._address = address
        self._standing = Standing.UNUSED
        self._size = int(CONNECTION_BYTES)
        self._progressed_at = now
        # Since the connection does what it does now.
        self._began_at = now
        self._moved_bytes = 0
        self._closed = False

    @property
    def size(self) -> units.Bytes:
        """Bytes that are charged, the connection included."""
        return units.Bytes(self._size)

    @property
    def standing(self) -> Standing:
        """What the connection is doing."""
        return self._standing

    @property
    def address(self) -> str:
        """Host of the caller, which may be a balancer."""
        return self._address

    @property
    def progressed_at(self) -> units.Instant:
        """When the caller last sent or took a byte."""
        return self._progressed_at

    @property
    def holder(self) -> Holder:
        """The connection."""
        return self._holder

    @property
    def closed(self) -> bool:
        """Whether everything was given back."""
        return self._closed

    @property
    def began_at(self) -> units.Instant:
        """Since when the connection does what it does."""
        return self._began_at

    def progress(self, now: units.Instant, moved_bytes: int = 0) -> None:
        """Records that the caller has sent or taken bytes."""
        self._progressed_at = now
        self._moved_bytes += moved_bytes

    def rate(self, now: units.Instant) -> float:
        """Returns the bytes per second that the caller has sent or taken."""
        duration = units.elapsed(self._began_at, now)
        return self._moved_bytes / duration if duration > 0 else 0.0

    def update(
        self, standing: Standing, message_bytes: int, now: units.Instant
    ) -> bool:
        """Sets what the connection does and holds beside itself.

        Returns:
            Whether there is room. If not, the account keeps its size, and the
            connection has to refuse what it was about to hold.
        """
        if self._closed:
            return False
        if standing is not self._standing:
            self._began_at = now
            self._moved_bytes = 0
        self._standing = standing
        size = CONNECTION_BYTES + message_bytes
        if size > self._size and not self._memory.make_room(
            self, size - self._size, now
        ):
            return False
        self._memory.exchange(self._size, size)
        self._size = size
        return True

    def reduce(self, standing: Standing, message_bytes: int) -> None:
        """Sets what the connection does, and a size that is not larger.

        Unlike `update`, it never looks for room, so that holders may call it
        while they are asked to refresh.
        """
        if self._closed:
            return
        self._standing = standing
        size = min(self._size, CONNECTION_BYTES + message_bytes)
        self._memory.exchange(self._size, size)
        self._size = size

    def close(self) -> None:
        """Gives everything back. Idempotent."""
        if not self._closed:
            self._closed = True
            self._memory.remove(self)


class ClientMemory:
    """Owns what the callers of one or more listeners hold."""

    def __init__(self, limits: ClientLimits) -> None:
        self._limits = limits
        self._used = 0
        # In the order of their opening.
        self._accounts: dict[Account, None] = {}
        # Until when a search for at least so many bytes would find too little.
        self._failed_searches: dict[_Search, tuple[units.Instant, int]] = {}
        self._connections_searched_until = units.Instant(0.0)
        self._given_up: collections.Counter[Standing] = collections.Counter()
        self._refused = 0

    @property
    def limits(self) -> ClientLimits:
        """The limits."""
        return self._limits

    @property
    def used(self) -> units.Bytes:
        """Bytes that all connections hold."""
        return units.Bytes(self._used)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._accounts)

    @property
    def given_up(self) -> Mapping[Standing, int]:
        """Connections that were closed to make room, since the start."""
        return self._given_up

    @property
    def refused(self) -> int:
        """Growths for which there was no room, since the start."""
        return self._refused

    def has_connection(self, now: units.Instant) -> bool:
        """Returns whether one more connection may be opened.

        Near a limit, connections without progress are given up for it.
        """
        limits = self._limits
        if len(self._accounts) >= limits.connections:
            self._give_up_connections(now)
        return len(self._accounts) < limits.connections and self.make_room(
            None, CONNECTION_BYTES, now
        )

    def open(
        self, holder: Holder, address: str, now: units.Instant
    ) -> Account | None:
        """Returns the account of a new connection; None if there is no room."""
        if not self.has_connection(now):
            return None
        account = Account(self, holder, address, now)
        self._accounts[account] = None
        self._used += account.size
        return account

    def make_room(
        self, asking: Account | None, growth: int, now: units.Instant
    ) -> bool:
        """Returns whether `growth` more bytes fit; called by accounts.

        Args:
            asking: Who grows, and is not given up for it; None for a new
                connection.
            growth: Additional bytes.
            now: The time.
        """
        if self._has_memory(growth):
            return True
        size = growth if asking is None else asking.size + growth
        search = _Search.CONNECTION
        if asking is not None:
            search = (
                _Search.COMPLETE_REQUEST
                if asking.standing is Standing.SERVED
                else _Search.PART_OF_REQUEST
            )
        if self._has_failed(search, size, now):
            self._refused += 1
            return False
        self._refresh()
        spare = int(self._limits.memory * _FREED_SHARE)
        for account in self._without_progress(asking, now):
            if self._has_memory(growth + spare):
                break
            self._end(account)
        for account in self._displaced(search, asking, size, now):
            if self._has_memory(growth):
                break
            self._end(account)
        if self._has_memory(growth):
            return True
        self._failed_searches[search] = (
            units.after(now, _SEARCH_INTERVAL),
            size,
        )
        self._refused += 1
        return False

    def exchange(self, previous: int, size: int) -> None:
        """Replaces the size of an account; called by accounts."""
        self._used += size - previous

    def remove(self, account: Account) -> None:
        """Removes a closed account; called by accounts."""
        del self._accounts[account]
        self._used -= account.size

    def _has_memory(self, growth: int) -> bool:
        return self._used + growth <= self._limits.memory

    def _has_failed(
        self, search: _Search, size: int, now: units.Instant
    ) -> bool:
        """Returns whether a like search has just found too little."""
        until, failed_size = self._failed_searches.get(
            search, (units.Instant(0.0), 0)
        )
        return now < until and size >= failed_size

    def _refresh(self) -> None:
        for account in tuple(self._accounts):
            account.holder.refresh()

    def _give_up_connections(self, now: units.Instant) -> None:
        if now < self._connections_searched_until:
            return
        self._refresh()
        free = max(1, int(self._limits.connections * _FREED_SHARE))
        for account in itertools.chain(
            self._without_progress(None, now), self._slow_exchanges(None, now)
        ):
            if len(self._accounts) + free <= self._limits.connections:
                return
            self._end(account)
        if len(self._accounts) >= self._limits.connections:
            self._connections_searched_until = units.after(
                now, _SEARCH_INTERVAL
            )

    def _displaced(
        self,
        search: _Search,
        asking: Account | None,
        size: int,
        now: units.Instant,
    ) -> Iterator[Account]:
        """Yields who gives way to `asking` in spite of progress."""
        if size > _SMALL_BYTES:
            return
        if search is _Search.COMPLETE_REQUEST:
            size = min(size, _SMALLEST_VICTIM_BYTES)
        yield from self._unfinished_requests(asking, size)
        if search is not _Search.PART_OF_REQUEST:
            yield from self._slow_exchanges(asking, now)

    def _end(self, account: Account) -> None:
        standing = account.standing
        self._given_up[standing] += 1
        account.close()
        account.holder.give_up(standing)

    def _without_progress(
        self, asking: Account | None, now: units.Instant
    ) -> list[Account]:
        """Returns who may be given up, first those that should go first.

        Of those that do the same, callers whose address holds the most come
        first, then those without progress for the longest. Behind a balancer
        all callers have one address, and only the latter counts.
        """
        held: collections.Counter[str] = collections.Counter()
        for account in self._accounts:
            held[account.address] += account.size
        return sorted(
            (
                account
                for account in self._accounts
                if account is not asking
                and self._has_exceeded(account, account.progressed_at, now)
            ),
            key=lambda account: (
                _RANKS[account.standing],
                -held[account.address],
                account.progressed_at,
            ),
        )

    def _slow_exchanges(
        self, asking: Account | None, now: units.Instant
    ) -> Iterator[Account]:
        """Yields who sends or takes slowly, the slowest first.

        A byte now and then is progress, and would keep a place for as long as
        the time limits of requests allow.
        """
        yield from sorted(
            (
                account
                for account in self._accounts
                if account is not asking
                and account.standing in _EXCHANGES
                and self._has_exceeded(account, account.began_at, now)
            ),
            key=lambda account: account.rate(now),
        )

    def _has_exceeded(
        self, account: Account, since: units.Instant, now: units.Instant
    ) -> bool:
        """Returns whether the patience with what it does has ended."""
        patience = self._limits.patience.get(account.standing)
        return patience is not None and units.elapsed(since, now) >= patience

    def _unfinished_requests(
        self, asking: Account | None, size: int
    ) -> Iterator[Account]:
        """Yields requests in part over `size`, the largest first."""
        yield from sorted(
            (
                account
                for account in self._accounts
                if account is not asking
                and account.standing is Standing.RECEIVING
                and account.size > size
            ),
            key=lambda account: -account.size,
        )

"""Encoding of evidence on what crashes engines."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import engine_crashes

# Evidence takes at most this much of a report; older crashes are left out.
_MAX_EVIDENCE = units.Bytes(600)
_MAX_PARTS_PER_GROUP = engine_crashes.MAX_REPORTED_SUSPECTS
# Size of an encoded part, and of an encoded time or count, at most.
_BYTES_PER_NUMBER = units.Bytes(10)
_MS_PER_SECOND = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedEvidence:
    """The lists of a load report, as described in the message definition."""

    crashes: list[int]
    begun: list[int]
    quarantines: list[int]


def encode(evidence: engine_crashes.Evidence) -> EncodedEvidence:
    """Returns evidence as lists of integers, as much as fits into a report.

    Quarantines come first, since other daemons may know nothing else, then the
    newest crashes.
    """
    encoded = EncodedEvidence([], [], [])
    for parts, remaining in reversed(evidence.quarantines):
        # A smaller set would refuse other requests.
        if len(parts) <= _MAX_PARTS_PER_GROUP:
            group = (_to_ms(remaining), *_with_count(parts))
            _extend(encoded, encoded.quarantines, group)
    for crash in reversed(evidence.crashes):
        group = (crash.engine, _to_ms(crash.age), *_with_count(crash.suspects))
        _extend(encoded, encoded.crashes, group)
    for part, age in evidence.cleared:
        _extend(encoded, encoded.begun, (part, _to_ms(age)))
    return encoded


def encoded_size(evidence: EncodedEvidence) -> units.Bytes:
    """Returns the greatest size of encoded evidence."""
    numbers = (
        len(evidence.crashes) + len(evidence.begun) + len(evidence.quarantines)
    )
    return units.Bytes(_BYTES_PER_NUMBER * numbers)


def decode(evidence: EncodedEvidence) -> engine_crashes.Evidence:
    """Returns decoded evidence; incomplete groups are left out."""
    crashes = (
        engine_crashes.Crash(head[0], _to_seconds(head[1]), parts)
        for head, parts in _groups(evidence.crashes, head_size=2)
    )
    begun = zip(evidence.begun[::2], evidence.begun[1::2], strict=False)
    quarantines = (
        (parts, _to_seconds(head[0]))
        for head, parts in _groups(evidence.quarantines, head_size=1)
    )
    return engine_crashes.Evidence(
        tuple(crashes),
        tuple(
            (ids.CrashSuspectId(part), _to_seconds(age)) for part, age in begun
        ),
        tuple(quarantines),
    )


def _groups(
    numbers: list[int], head_size: int
) -> Iterator[tuple[list[int], engine_crashes.Suspects]]:
    """Yields the head of each group and its parts."""
    start = 0
    while start + head_size < len(numbers):
        parts_at = start + head_size + 1
        end = parts_at + max(0, numbers[parts_at - 1])
        if end > len(numbers):
            return
        yield (
            numbers[start : parts_at - 1],
            frozenset(map(ids.CrashSuspectId, numbers[parts_at:end])),
        )
        start = end


def _extend(
    encoded: EncodedEvidence, numbers: list[int], group: tuple[int, ...]
) -> None:
    """Adds a group to one of the lists if it fits."""
    size = encoded_size(encoded) + len(group) * _BYTES_PER_NUMBER
    if size <= _MAX_EVIDENCE:
        numbers += group


def _with_count(parts: engine_crashes.Suspects) -> tuple[int, ...]:
    selected = sorted(parts)[:_MAX_PARTS_PER_GROUP]
    return len(selected), *selected


def _to_ms(seconds: units.Seconds) -> int:
    return round(seconds * _MS_PER_SECOND)


def _to_seconds(milliseconds: int) -> units.Seconds:
    return units.Seconds(max(0, milliseconds) / _MS_PER_SECOND)

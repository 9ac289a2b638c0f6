"""Numbered log events; docs/events.md is their catalogue."""

from __future__ import annotations

import enum


class Event(enum.IntEnum):
    """Numbers of log events, by range of a hundred per subject."""

    REQUEST_ADMITTED = 101
    REQUEST_REFUSED = 102
    REQUEST_DISPATCHED = 103
    REQUEST_FINISHED = 104
    REQUEST_FAILED = 105
    ATTEMPT_FAILED = 106
    STREAM_RESUMED = 107
    REQUEST_QUEUED = 108
    REQUEST_QUARANTINED = 109

    RELEASE_FAILED = 201
    RELEASES_UNCONFIRMED = 202
    LEDGER_FULL = 203
    ALLOCATION_RECLAIMED = 204

    CONFIGURATION_APPLIED = 301
    CONFIGURATION_REJECTED = 302

    STORE_CALL_FAILED = 701

    DAEMON_STARTED = 801
    DAEMON_READY = 802
    DAEMON_STOPPING = 803
    DAEMON_STOPPED = 804
    SETTINGS_REJECTED = 805

    INVARIANT_BROKEN = 901

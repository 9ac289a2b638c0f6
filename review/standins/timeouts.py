"""Checks whether requests are answered at the timeout of their route."""

from __future__ import annotations

import asyncio

import deployment

CALL_TIMEOUT_S = 0.8
_SLACK_S = 0.5
# Fewer late requests show nothing; the rules use the same figure elsewhere.
_LEAST = 8


def start_calls(
    world: deployment.Deployment, per_s: float
) -> list[asyncio.Task[None]]:
    """Sends calls to the plain service, as the sheet has them."""
    return [
        world.background(
            per_s / 2,
            lambda: world.request("GET", "/proof/p", deadline_ms=1_500),
        ),
        world.background(
            per_s / 2,
            lambda: world.request(
                "POST", "/booking/b", b"book", deadline_ms=1_500
            ),
        ),
    ]


def held(world: deployment.Deployment) -> bool:
    """Returns whether the rule held.

    The rule: of the requests that are still unanswered at their route's
    timeout, more than half have no answer half a second later.
    """
    calls = [a for a in world.attempts if not a.path.startswith("/d")]
    unanswered = [
        a for a in calls if not a.complete or a.seconds > CALL_TIMEOUT_S
    ]
    late = [
        a
        for a in unanswered
        if not a.complete or a.seconds > CALL_TIMEOUT_S + _SLACK_S
    ]
    # Requests of one daemon that were sent one after the other.
    stalls = {
        daemon.name: sum(a.daemon == daemon.frontend for a in late)
        for daemon in world.daemons
    }
    world.note(
        "sum",
        calls=len(calls),
        unanswered_at_timeout=len(unanswered),
        unanswered_half_a_second_later=len(late),
        late_by_daemon=stalls,
    )
    print(f"calls: {len(calls)}; unanswered at their timeout, 0.8 s:")
    print(f"{len(unanswered)}; of these 0.5 s later: {len(late)} {stalls}")
    return len(unanswered) < _LEAST or len(late) * 2 <= len(unanswered)

"""Checks of recorded histories and outcomes against invariants."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import pathlib

import orjson

from lavendershed.standin import engine_timing_model
from lavendershed.standin import load_client
from lavendershed.telemetry import events

History = Iterable[Mapping[str, object]]


@dataclasses.dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt and the outcome for its caller."""

    request_id: str
    prompt: str
    max_tokens: int
    timeout: float
    outcome: load_client.RequestOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class SentCall:
    """A call and the outcome for its caller.

    Attributes:
        call_id: Body of the call, which identifies it in the service's history;
            identical for every retry of the call.
    """

    call_id: str
    timeout: float
    outcome: load_client.RequestOutcome


# Scheduling on a busy test machine may delay a caller by this time.
SCHEDULING_SLACK_S = 1.0


def check_prompts(sent: Iterable[SentPrompt]) -> list[str]:
    """Returns violations: incorrect, incomplete or late responses."""
    violations = []
    for sent_prompt in sent:
        outcome = sent_prompt.outcome
        if outcome.duration > sent_prompt.timeout + SCHEDULING_SLACK_S:
            violations.append(
                f"{sent_prompt.request_id}: ended after "
                f"{outcome.duration:.2f} s, timeout {sent_prompt.timeout:.2f} s"
            )
        if outcome.ending is not load_client.OutcomeKind.COMPLETE:
            continue
        expected = "".join(
            engine_timing_model.token_text(sent_prompt.prompt, offset)
            for offset in range(sent_prompt.max_tokens)
        )
        if outcome.text != expected:
            violations.append(f"{sent_prompt.request_id}: wrong response text")
    return violations


def check_calls(
    sent: Iterable[SentCall], histories: Iterable[History]
) -> list[str]:
    """Returns violations of at-most-once execution and of `not_run`.

    Args:
        sent: All calls of the run, including retries.
        histories: Histories of the plain service's backend servers.
    """
    # An execution interrupted by a crash has only a `start` record.
    record_counts = collections.Counter(
        (str(record["body"]), record["action"])
        for history in histories
        for record in history
        if record["action"] in ("start", "execute")
    )
    executed: collections.Counter[str] = collections.Counter()
    for (call_id, _), count in record_counts.items():
        executed[call_id] = max(executed[call_id], count)
    violations = [
        f"{call_id}: executed {count} times"
        for call_id, count in executed.items()
        if count > 1
    ]
    outcomes_by_call: dict[str, list[load_client.RequestOutcome]] = {}
    for sent_call in sent:
        outcomes_by_call.setdefault(sent_call.call_id, []).append(
            sent_call.outcome
        )
        if sent_call.outcome.duration > sent_call.timeout + SCHEDULING_SLACK_S:
            violations.append(f"{sent_call.call_id}: ended after its timeout")
    for call_id, outcomes in outcomes_by_call.items():
        completed = [
            outcome
            for outcome in outcomes
            if outcome.ending is load_client.OutcomeKind.COMPLETE
        ]
        if completed and not executed[call_id]:
            violations.append(
                f"{call_id}: got a response but was never executed"
            )
        if len({outcome.text for outcome in completed}) > 1:
            violations.append(f"{call_id}: got different responses")
        if executed[call_id] and all(
            outcome.execution == "not_run" for outcome in outcomes
        ):
            violations.append(f"{call_id}: executed but reported as not_run")
    return violations


def applied_epochs(log_path: pathlib.Path) -> list[list[int]]:
    """Returns the configuration epochs in a router's log, by start."""
    starts: list[list[int]] = []
    for line in log_path.read_bytes().splitlines():
        if not line.startswith(b"{"):
            continue
        record = orjson.loads(line)
        if record.get("event") == events.Event.DAEMON_STARTED:
            starts.append([])
        elif record.get("event") == events.Event.CONFIGURATION_APPLIED:
            starts[-1].append(record["epoch"])
    return starts


def check_applied_epochs(log_paths: Iterable[pathlib.Path]) -> list[str]:
    """Returns violations: epochs that did not increase in one process."""
    return [
        f"{path.stem}: epochs {epochs}"
        for path in log_paths
        for epochs in applied_epochs(path)
        if any(
            epoch <= previous
            for previous, epoch in zip(epochs, epochs[1:], strict=False)
        )
    ]


def check_starts_after_leaving(
    history: History, leaving_time: float, grace: float
) -> list[str]:
    """Returns violations: streams started after the grace time."""
    return [
        f"stream {record['stream']} started "
        f"{float(str(record['time'])) - leaving_time:.1f} s after "
        "the engine left"
        for record in history
        if record["action"] == "start"
        and float(str(record["time"])) > leaving_time + grace
    ]

"""Checkers of recorded histories against what must always hold."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import pathlib

import orjson

from lavendershed.standin import engine_model
from lavendershed.standin import load_client
from lavendershed.telemetry import events

History = Iterable[Mapping[str, object]]


@dataclasses.dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt and the answer that its caller got."""

    request_id: str
    prompt: str
    max_tokens: int
    timeout: float
    answer: load_client.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class SentCall:
    """A call and the answer that its caller got.

    Attributes:
        subject: Text in the body by which the service's history names it; the
            same for every resend of the same call.
    """

    subject: str
    timeout: float
    answer: load_client.Answer


# Scheduling on a busy test machine may delay a caller by this many seconds.
LATENESS = 1.0


def answers(sent: Iterable[SentPrompt]) -> list[str]:
    """Returns violations: wrong, mixed up, incomplete or late answers."""
    violations = []
    for item in sent:
        answer = item.answer
        if answer.duration > item.timeout + LATENESS:
            violations.append(
                f"{item.request_id}: ended after {answer.duration:.2f} s, "
                f"timeout {item.timeout:.2f} s"
            )
        if answer.ending is not load_client.Ending.WHOLE:
            continue
        expected = "".join(
            engine_model.token_text(item.prompt, offset)
            for offset in range(item.max_tokens)
        )
        if answer.text != expected:
            violations.append(f"{item.request_id}: wrong answer")
    return violations


def calls(sent: Iterable[SentCall], histories: Iterable[History]) -> list[str]:
    """Returns violations of at-most-once execution and of `not_run`.

    Args:
        sent: All calls of the run, resends included.
        histories: What the plain service's backend servers recorded.
    """
    # An execution that a crash cut off has a `start` line only.
    lines = collections.Counter(
        (str(record["body"]), record["action"])
        for history in histories
        for record in history
        if record["action"] in ("start", "execute")
    )
    executed: collections.Counter[str] = collections.Counter()
    for (subject, _), count in lines.items():
        executed[subject] = max(executed[subject], count)
    violations = [
        f"{subject}: executed {count} times"
        for subject, count in executed.items()
        if count > 1
    ]
    outcomes: dict[str, list[load_client.Answer]] = {}
    for item in sent:
        outcomes.setdefault(item.subject, []).append(item.answer)
        if item.answer.duration > item.timeout + LATENESS:
            violations.append(f"{item.subject}: ended late")
    for subject, results in outcomes.items():
        whole = [a for a in results if a.ending is load_client.Ending.WHOLE]
        if whole and not executed[subject]:
            violations.append(f"{subject}: answered but never executed")
        if len({a.text for a in whole}) > 1:
            violations.append(f"{subject}: answered differently")
        if executed[subject] and all(a.execution == "not_run" for a in results):
            violations.append(f"{subject}: executed but told not_run")
    return violations


def applied_epochs(log_path: pathlib.Path) -> list[list[int]]:
    """Returns the epochs that a router's log shows, a list per start."""
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


def configuration(log_paths: Iterable[pathlib.Path]) -> list[str]:
    """Returns violations: epochs that did not grow within one process."""
    return [
        f"{path.stem}: epochs {epochs}"
        for path in log_paths
        for epochs in applied_epochs(path)
        if any(b <= a for a, b in zip(epochs, epochs[1:], strict=False))
    ]


def starts_after(
    history: History, server_time: float, grace: float
) -> list[str]:
    """Returns violations: streams started later than `grace` after a time."""
    return [
        f"stream {record['stream']} started "
        f"{float(str(record['time'])) - server_time:.1f} s after leaving"
        for record in history
        if record["action"] == "start"
        and float(str(record["time"])) > server_time + grace
    ]

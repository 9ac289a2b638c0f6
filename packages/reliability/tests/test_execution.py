"""Tests for the execution status of attempts and requests."""

from __future__ import annotations

import itertools
import unittest

from lavendershed.core import backend_servers
from lavendershed.core import states
from lavendershed.reliability import execution

NOT_RUN = states.Execution.NOT_RUN
UNKNOWN = states.Execution.UNKNOWN
STARTED = states.Execution.FAILED_AFTER_START
COMPLETED = states.Execution.COMPLETED
# (sent, refused, started, completed) -> execution.
TABLE = {
    (False, False, False, False): NOT_RUN,
    (False, True, False, False): NOT_RUN,
    (True, True, False, False): NOT_RUN,
    (True, False, False, False): UNKNOWN,
    (False, False, True, False): STARTED,
    (False, True, True, False): STARTED,
    (True, False, True, False): STARTED,
    (True, True, True, False): STARTED,
}


class ExecutionTest(unittest.TestCase):
    """Fails if `not_run` could be reported for a request that ran."""

    def test_all_combinations_of_evidence(self):
        for flags in itertools.product((False, True), repeat=4):
            with self.subTest(flags=flags):
                evidence = execution.AttemptEvidence(*flags)
                expected = COMPLETED if flags[3] else TABLE[flags]
                self.assertIs(execution.infer_execution(evidence), expected)

    def test_start_errors_of_every_kind(self):
        refused = backend_servers.BackendErrorKind.REFUSED_BEFORE_START
        for kind in backend_servers.BackendErrorKind:
            for sent in (False, True):
                error = backend_servers.BackendError(kind, sent, "")
                with self.subTest(kind=kind, sent=sent):
                    known = execution.infer_execution(
                        execution.evidence_from_start_error(error)
                    )
                    safe = not sent or kind is refused
                    self.assertIs(known, NOT_RUN if safe else UNKNOWN)

    def test_request_has_the_strongest_status_of_its_attempts(self):
        order = [NOT_RUN, UNKNOWN, STARTED, COMPLETED]
        for pair in itertools.product(order, repeat=2):
            self.assertIs(
                execution.combine_executions(pair), max(pair, key=order.index)
            )
        self.assertIs(execution.combine_executions(()), NOT_RUN)


if __name__ == "__main__":
    unittest.main()

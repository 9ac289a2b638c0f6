"""Guards the encoding of load reports and of exchanged store state."""

from __future__ import annotations

import contextlib
import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from lavendershed.admission import engine_limits
from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.peer import load_reports
from lavendershed.peer import peer_state
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes
from lavendershed.reliability import engine_crashes
from lavendershed.reliability import failure_shares
from lavendershed.routing import load_tracker

NOW = units.Instant(1_000.0)
SERVER = ids.BackendServerId("i-1")
MAX_DATAGRAM = 1_400


def task(**changes):
    """Returns one engine task."""
    fields = {
        "request": 0x7FFF_FFFF,
        "server": SERVER,
        "phase": forwarding_states.InferencePhase.PREFILL,
        "prefill_ms": 250.0,
        "first_token_at": units.Instant(NOW + 0.5),
        "completes_at": units.Instant(NOW + 2.0),
        "kv_tokens": 64_000,
        "context_tokens": 64_000,
        "target_inter_token_latency": units.Seconds(0.25),
        "first_token_due_at": units.Instant(NOW + 3.0),
        "utility": 12.5,
        "urgent": False,
        **changes,
    }
    return load_tracker.EngineTask(**fields)


def evidence(crashes):
    """Returns evidence on `crashes` crashes of engines."""
    largest = (1 << 63) - 1
    return engine_crashes.Evidence(
        tuple(
            engine_crashes.Crash(
                (1 << 31) - 1 - number,
                units.Seconds(4.5),
                frozenset(largest - part for part in range(3)),
            )
            for number in range(crashes)
        ),
        ((ids.PromptPartId(largest), units.Seconds(0.25)),),
        ((frozenset({largest, 7}), units.Seconds(119.5)),),
    )


NO_EVIDENCE = engine_crashes.Evidence()


def report(tasks=(), peers=(), evidence=NO_EVIDENCE, call_counts=()):
    """Returns a report."""
    return load_reports.LoadReport(
        ids.Incarnation(1 << 61),
        addresses.Address("10.1.2.9", 7_340),
        ids.AvailabilityZoneId("nbo"),
        7,
        ids.Epoch(12),
        store_revisions.of(1, 99),
        tuple(tasks),
        ((SERVER, 2.5),),
        ((SERVER, units.Seconds(1.25)),),
        tuple(peers),
        watches_store=True,
        configuration_age=units.Seconds(0.25),
        servers_age=units.Seconds(1.5),
        servers_known=store_revisions.of(1, 123_456_789),
        crash_evidence=evidence,
        evacuation_revision=store_revisions.of(1, 123_456_780),
        evacuations_known=store_revisions.of(1, 123_456_789),
        evacuations_age=units.Seconds(2.0),
        call_counts=call_counts,
    )


def call_counts(servers):
    """Returns the largest counts of calls at `servers` servers."""
    return tuple(
        (
            ids.ServerNumber((1 << 32) - 1 - number),
            failure_shares.CallCounts(80_000.5, 20_000.5),
        )
        for number in range(servers)
    )


def lookup(number):
    """Returns the only known server."""
    return SERVER if number == load_reports.hash_server_id(SERVER) else None


class LoadReportTest(unittest.TestCase):
    """Fails if a decoded load report differs from the encoded one."""

    def encode_and_decode(self, sent, later=0.0):
        return load_reports.decode_report(
            load_reports.encode_report(sent, NOW),
            lookup,
            units.Instant(NOW + later),
        )

    def test_a_decoded_report_equals_the_encoded_one(self):
        sent = report(
            [task(), task(phase=forwarding_states.InferencePhase.DECODE)],
            [addresses.Address("10.1.2.3", 7_340)],
            evidence(1),
            call_counts(2),
        )
        self.assertEqual(self.encode_and_decode(sent), sent)

    def test_leaving_servers_are_sent_as_far_as_they_fit(self):
        """Guards against a report that is too large when many servers leave."""
        leaving = tuple(range((1 << 32) - 1_000, 1 << 32))
        limit = engine_limits.LimitNews(
            engine_limits.MAX_RATE, units.Instant(NOW - 900.0)
        )
        sent = dataclasses.replace(
            report(
                [task() for _ in range(200)],
                [addresses.Address("10.255.255.1", n) for n in range(900)],
                evidence(9),
            ),
            limits=tuple((number, limit) for number in leaving),
            leaving=leaving,
        )
        received = self.encode_and_decode(sent).leaving
        self.assertGreaterEqual(len(received), 20)
        self.assertEqual(received, leaving[: len(received)])
        self.assertLessEqual(
            len(load_reports.encode_report(sent, NOW)), MAX_DATAGRAM
        )
        for crashes in range(9):
            fewer = dataclasses.replace(sent, crash_evidence=evidence(crashes))
            self.assertLessEqual(
                len(load_reports.encode_report(fewer, NOW)), MAX_DATAGRAM
            )
        few = dataclasses.replace(sent, leaving=leaving[:2])
        self.assertEqual(self.encode_and_decode(few).leaving, leaving[:2])

    def test_an_older_build_skips_the_leaving_servers(self):
        """Guards against a daemon that rejects the reports of newer ones."""
        sent = dataclasses.replace(report([task()]), leaving=(7, (1 << 32) - 1))
        datagram = load_reports.encode_report(sent, NOW)
        spec = ttypes.LoadReport.thrift_spec
        known_fields = spec[
            : next(
                n
                for n, f in enumerate(spec)
                if f is not None and f[2] == "leaving"
            )
        ]
        with mock.patch.object(ttypes.LoadReport, "thrift_spec", known_fields):
            received = load_reports.decode_report(datagram, lookup, NOW)
        self.assertEqual(received, dataclasses.replace(sent, leaving=()))

    def test_the_newest_crashes_and_all_quarantines_are_sent(self):
        received = self.encode_and_decode(report(evidence=evidence(50)))
        crashes = received.crash_evidence.crashes
        self.assertIn(evidence(50).crashes[-1], crashes)
        self.assertEqual(
            received.crash_evidence.quarantines, evidence(50).quarantines
        )

    def test_times_are_relative_to_the_clock_of_the_receiver(self):
        received = self.encode_and_decode(
            report([task()]), later=100.0
        ).open_tasks[0]
        self.assertAlmostEqual(received.first_token_at, NOW + 100.5)

    def test_tasks_at_unknown_servers_are_skipped(self):
        sent = report([task(server=ids.BackendServerId("other")), task()])
        self.assertEqual(len(self.encode_and_decode(sent).open_tasks), 1)

    def test_a_full_report_fits_into_a_datagram(self):
        sent = report(
            [task() for _ in range(200)],
            [addresses.Address("10.255.255.1", n) for n in range(900)],
        )
        for crashes in (0, 1, 4, 50):
            with self.subTest(crashes=crashes):
                full = dataclasses.replace(
                    sent,
                    crash_evidence=evidence(crashes),
                    call_counts=call_counts(8),
                )
                datagram = load_reports.encode_report(full, NOW)
                self.assertLessEqual(len(datagram), MAX_DATAGRAM)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_malformed_bytes_raise_decode_errors_only(self, data):
        with contextlib.suppress(wire.DECODE_ERRORS):
            load_reports.decode_report(data, lookup, NOW)


class PeerStateTest(unittest.TestCase):
    """Fails if decoded store state differs from the encoded one."""

    def test_decoded_objects_equal_the_encoded_ones(self):
        stored = peer_state.StoredObject(
            "main", store_revisions.of(1, 5), b'{"version":1}'
        )
        zone = peer_state.StoredObject("a", store_revisions.of(1, 4), b"")
        state = peer_state.PeerState(
            store_revisions.of(1, 5),
            (stored,),
            store_revisions.of(1, 6),
            (),
            evacuations=peer_state.EvacuationState(
                store_revisions.of(1, 7), (zone,)
            ),
        )
        encoded = peer_state.encode_state(state)
        self.assertEqual(peer_state.decode_state(encoded), state)


if __name__ == "__main__":
    unittest.main()

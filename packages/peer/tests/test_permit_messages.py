"""Tests the encoding of calls for permits and of limits in load reports."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.peer import permit_messages
from lavendershed.peer import wire

CALL = permit_messages.PermitCall(
    9,
    ids.ServerNumber(0xFFFF_FFFF),
    units.RequestsPerSecond(1.25),
    units.Seconds(0.5),
    as_standby=True,
)


class PermitMessageTest(unittest.TestCase):
    """Guards against permits that are taken for others, or for reports."""

    def test_calls_and_replies_are_decoded(self):
        replies = [
            permit_messages.PermitReply(9, wait)
            for wait in (None, units.Seconds(0.0), units.Seconds(0.25))
        ]
        self.assertEqual(
            permit_messages.decode(permit_messages.encode_call(CALL)), CALL
        )
        for reply in replies:
            encoded = permit_messages.encode_reply(reply)
            self.assertTrue(permit_messages.is_permit_message(encoded))
            self.assertEqual(permit_messages.decode(encoded), reply)

    def test_a_short_wait_is_no_permit(self):
        """Rounded down, it would be one."""
        reply = permit_messages.PermitReply(1, units.Seconds(0.0001))
        decoded = permit_messages.decode(permit_messages.encode_reply(reply))
        self.assertGreater(decoded.wait, 0.0)

    def test_a_low_limit_does_not_become_none(self):
        encoded = permit_messages.encode_rate(units.RequestsPerSecond(0.0001))
        self.assertIsNotNone(permit_messages.decode_rate(encoded))

    def test_damaged_messages_are_rejected(self):
        encoded = permit_messages.encode_call(CALL)
        for end in range(len(b"permit"), len(encoded)):
            with self.subTest(end=end):
                self.assert_rejected_or_harmless(encoded[:end])

    def assert_rejected_or_harmless(self, datagram):
        try:
            decoded = permit_messages.decode(datagram)
        except wire.DECODE_ERRORS:
            return
        self.assertNotEqual(decoded, CALL)


if __name__ == "__main__":
    unittest.main()

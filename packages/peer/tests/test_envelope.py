"""Guards datagrams against lost content, forgery and malformed bytes."""

from __future__ import annotations

import unittest

import examples
import hypothesis
from hypothesis import strategies
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from lavendershed.membership import messages
from lavendershed.peer import authentication
from lavendershed.peer import codec
from lavendershed.peer import envelope
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes

FUZZ = hypothesis.settings(derandomize=True, database=None, max_examples=300)


class EnvelopeTest(unittest.TestCase):
    """Fails if an invalid message is accepted or a valid one is changed."""

    def setUp(self):
        self.envelope, self.rejections = examples.new_envelope(examples.OLD_KEY)
        self.datagram = self.envelope.encode_datagram(examples.MESSAGE)

    def test_message_is_unchanged_and_fits_a_datagram(self):
        self.assertLessEqual(len(self.datagram), envelope.MAX_DATAGRAM_BYTES)
        opened = self.envelope.decode_datagram(self.datagram)
        self.assertEqual(opened, examples.MESSAGE)

    def test_accelerated_protocol_is_in_use(self):
        protocol = TCompactProtocol.TCompactProtocolAccelerated(
            TTransport.TMemoryBuffer(), fallback=False
        )
        self.assertIsNotNone(protocol._fast_encode)

    def test_both_keys_are_accepted_during_rotation(self):
        rotating, _ = examples.new_envelope(examples.NEW_KEY, examples.OLD_KEY)
        self.assertIsNotNone(rotating.decode_datagram(self.datagram))
        renewed = rotating.encode_datagram(examples.MESSAGE)
        self.assertIsNone(self.envelope.decode_datagram(renewed))

    def test_other_deployment_is_dropped_and_reported_once(self):
        other, rejections = examples.new_envelope(
            examples.OLD_KEY, deployment="two"
        )
        for _ in range(3):
            self.assertIsNone(other.decode_datagram(self.datagram))
        self.assertEqual(rejections, ["a message is of deployment 'one'"])

    def test_tag_of_a_datagram_is_invalid_for_a_call(self):
        opened = self.envelope.decode(
            authentication.Purpose.CALL, ttypes.Call, self.datagram
        )
        self.assertIsNone(opened)

    def test_fields_and_record_kinds_of_later_versions_are_ignored(self):
        datagram = ttypes.Datagram(
            deployment="one",
            kind=1,
            sequence=1,
            sender=codec.member_to_thrift(examples.MEMBER),
            epoch=1,
            members=[ttypes.Member(state=99)],
            records=[
                # The first has no known content, the second an invalid count.
                ttypes.Record(version=1, lifetime_ms=5),
                ttypes.Record(
                    origin=codec.owner_to_thrift(examples.OWNER),
                    version=2**63 - 1,
                    lifetime_ms=5,
                    quarantine=ttypes.Quarantine(fingerprint=1),
                ),
            ],
        )
        payload = wire.encode(datagram)
        # A field 100 of type i32 before the stop byte.
        later = payload[:-1] + bytes([0x05, 0xC8, 0x01, 0x02, 0x00])
        signed = authentication.Authenticator((examples.OLD_KEY,)).sign(
            authentication.Purpose.DATAGRAM, later
        )
        message = self.envelope.decode_datagram(signed)
        self.assertEqual(message.kind, messages.MessageKind.PING)
        self.assertEqual((message.members, message.records), ((), ()))

    @hypothesis.given(strategies.integers(0, 10_000), strategies.binary())
    @FUZZ
    def test_changed_datagram_is_dropped(self, position, other):
        start = position % len(self.datagram)
        changed = self.datagram[:start] + other
        if changed != self.datagram:
            self.assertIsNone(self.envelope.decode_datagram(changed))

    @hypothesis.given(strategies.data())
    @FUZZ
    def test_malformed_content_with_a_valid_tag_does_not_raise(self, data):
        # A faulty peer may sign malformed content.
        payload = bytearray(
            codec.encode_message(examples.MESSAGE, "one")
            if data.draw(strategies.booleans())
            else data.draw(strategies.binary(max_size=600))
        )
        for _ in range(data.draw(strategies.integers(0, 6))):
            if payload:
                at = data.draw(strategies.integers(0, len(payload) - 1))
                payload[at] = data.draw(strategies.integers(0, 255))
        signed = authentication.Authenticator((examples.OLD_KEY,)).sign(
            authentication.Purpose.DATAGRAM, bytes(payload)
        )
        message = self.envelope.decode_datagram(signed)
        if message is not None:
            codec.encode_message(message, "one")


if __name__ == "__main__":
    unittest.main()

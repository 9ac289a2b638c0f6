"""Guards against addresses that would need a resolver."""

from __future__ import annotations

import unittest

from lavendershed.transport import address


class AddressTest(unittest.TestCase):
    """Fails if a host name or a bad port is accepted."""

    def test_numeric_addresses_are_parsed(self):
        for text in ("10.0.0.1:80", "[::1]:8080"):
            self.assertEqual(str(address.parse(text).unwrap()), text)

    def test_other_addresses_are_refused_with_a_remedy(self):
        for text in ("localhost:80", "10.0.0.1", "10.0.0.1:x", "1.2.3.4:70000"):
            with self.subTest(text=text):
                self.assertTrue(address.parse(text).is_err())

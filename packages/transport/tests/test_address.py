"""Tests that only addresses without name resolution are accepted."""

from __future__ import annotations

import unittest

from lavendershed.transport import address


class AddressTest(unittest.TestCase):
    """Guards against host names and invalid ports."""

    def test_numeric_addresses_are_parsed(self):
        for text in ("10.0.0.1:80", "[::1]:8080"):
            self.assertEqual(str(address.parse(text).unwrap()), text)

    def test_host_names_and_invalid_ports_are_rejected(self):
        for text in ("localhost:80", "10.0.0.1", "10.0.0.1:x", "1.2.3.4:70000"):
            with self.subTest(text=text):
                self.assertTrue(address.parse(text).is_err())

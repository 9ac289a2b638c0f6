"""Guards against a transport error without a backend error."""

from __future__ import annotations

import unittest

from lavendershed.backend import transport_errors
from lavendershed.transport import errors


class TransportErrorsTest(unittest.TestCase):
    """Fails if a kind of transport error can't be mapped."""

    def test_every_kind_has_a_backend_error(self):
        for kind in errors.TransportErrorKind:
            error = errors.TransportError(kind, True, "detail")
            with self.subTest(kind=kind):
                self.assertTrue(transport_errors.backend_error(error).sent)

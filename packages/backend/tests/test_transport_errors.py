"""Guards against a transport error that no backend error stands for."""

from __future__ import annotations

import unittest

from lavendershed.backend import transport_errors
from lavendershed.transport import errors


class TransportErrorsTest(unittest.TestCase):
    """Fails if a kind of transport error would raise instead."""

    def test_every_kind_has_a_backend_error(self):
        for kind in errors.TransportErrorKind:
            error = errors.TransportError(kind, True, "detail")
            with self.subTest(kind=kind):
                self.assertTrue(transport_errors.backend_error(error).sent)

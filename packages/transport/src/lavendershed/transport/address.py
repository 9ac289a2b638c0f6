"""Numeric socket addresses, as `core.addresses` defines them."""

from __future__ import annotations

from lavendershed.core import addresses

Address = addresses.Address
parse = addresses.parse

"""Client of the object API and codecs of stored objects."""

from __future__ import annotations

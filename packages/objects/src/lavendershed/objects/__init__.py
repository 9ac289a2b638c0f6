"""Client of the object store and codecs of stored objects."""

from __future__ import annotations

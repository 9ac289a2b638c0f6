"""Adapters between lavendershed and the external platform."""

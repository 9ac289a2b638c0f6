"""Execution of opaque requests on backend servers."""

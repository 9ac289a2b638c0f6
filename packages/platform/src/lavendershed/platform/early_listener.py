"""Listening socket that is open before the daemon is loaded.

Loading the modules of a daemon takes several times as long as starting the
interpreter. Callers that connect meanwhile wait instead of being refused, which
they would take for a failure of the daemon. This module imports only what
opening the socket requires.
"""

from __future__ import annotations

import os
import socket
import tomllib

SETTINGS_VARIABLE = "LAVENDERSHED_CONFIG"
# Connections of callers that wait for a daemon that starts.
_BACKLOG = 1_024


def open_listener() -> socket.socket | None:
    """Returns a socket that listens for callers.

    Returns:
        The socket, or None if the settings can't be read or the address can't
        be bound. The daemon reads and binds them again and reports the error.
    """
    try:
        with open(os.environ.get(SETTINGS_VARIABLE, ""), "rb") as file:
            address = tomllib.load(file)["listen"]["frontend"]
        host, _, port = address.rpartition(":")
        return socket.create_server((host, int(port)), backlog=_BACKLOG)
    except (AttributeError, LookupError, OSError, TypeError, ValueError):
        return None

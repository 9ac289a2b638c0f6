"""A crowd of callers that send what they were given, and read nothing.

It runs as a process of its own, so that it takes no time of the others.
"""

from __future__ import annotations

import selectors
import socket
import subprocess
import sys
import time

_LIFETIME_S = 90


class Crowd:
    """Connections to one address; each repeats a part after a head."""

    def __init__(self, address, connections, head, part, repeats):
        self._process = subprocess.Popen(
            [
                sys.executable,
                __file__,
                address[0],
                str(address[1]),
                str(connections),
                str(repeats),
                str(len(head)),
            ],
            stdin=subprocess.PIPE,
        )
        self._process.stdin.write(head + part)
        self._process.stdin.close()

    def leave(self):
        self._process.kill()
        self._process.wait()


def _send(host, port, connections, head, part, repeats):
    # Not one piece: a crowd may send gigabytes.
    copies = max(1, min(repeats, 1_000_000 // len(part)))
    block = memoryview(part * copies)
    total = len(head) + len(part) * repeats
    selector = selectors.DefaultSelector()
    for _ in range(connections):
        member = socket.socket()
        member.setblocking(False)
        member.connect_ex((host, port))
        selector.register(member, selectors.EVENT_WRITE, [0])
    until = time.monotonic() + _LIFETIME_S
    while time.monotonic() < until:
        if not selector.get_map():
            time.sleep(0.5)
            continue
        for key, _ in selector.select(0.5):
            sent = key.data[0]
            if sent < len(head):
                data = memoryview(head)[sent:]
            else:
                offset = (sent - len(head)) % len(block)
                data = block[offset : offset + min(65_536, total - sent)]
            try:
                key.data[0] += key.fileobj.send(data)
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(key.fileobj)
                continue
            if key.data[0] >= total:
                # It stays open.
                selector.unregister(key.fileobj)


if __name__ == "__main__":
    given = sys.stdin.buffer.read()
    head_length = int(sys.argv[5])
    _send(
        sys.argv[1],
        int(sys.argv[2]),
        int(sys.argv[3]),
        given[:head_length],
        given[head_length:],
        int(sys.argv[4]),
    )

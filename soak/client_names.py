"""Finds out which process of a run opened a connection to a link."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

__all__ = ["owner_by_port"]

SOCKET_TABLE = Path("/proc/net/tcp")
PORT = slice(15, 19)  # of the local address, in hexadecimal digits
INODE = 9  # column


def owner_by_port(ports: Collection[int], pids: Iterable[int]) -> dict[int, int]:
    """Return which of some processes have sockets with these local ports."""
    wanted = {f"{port:04X}".encode(): port for port in ports}
    port_by_socket = {}
    for line in SOCKET_TABLE.read_bytes().splitlines():
        port = wanted.get(line[PORT])
        if port is not None:
            port_by_socket[f"socket:[{line.split()[INODE].decode()}]"] = port
    owners = {}
    for pid in pids:
        with suppress(OSError):
            for descriptor in os.scandir(f"/proc/{pid}/fd"):
                with suppress(OSError):
                    port = port_by_socket.get(os.readlink(descriptor.path))
                    if port is not None:
                        owners[port] = pid
    return owners

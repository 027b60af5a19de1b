"""Log lines of an entry instance: bounded per second and kind, and written without blocking."""

from __future__ import annotations

import os
import time
from collections import deque
from dataclasses import dataclass

from loguru import logger

from heatherhead.telemetry.logs import log_event

__all__ = ["configure_bounded_logs", "log_routine"]

ROUTINE_PER_S = 10  # lines of one kind that tell of calls that went well
MAX_BUFFERED_BYTES = 256 * 1024  # a reader that is slower loses lines, which are counted
_LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"


@dataclass(slots=True)
class _Second:
    """Lines of one kind in the current second."""

    began_at: float = 0.0
    written: int = 0
    left_out: int = 0


class BoundedWriter:
    """Writes to a descriptor as far as it takes bytes; keeps a little and drops the rest."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or keep it, or drop it."""
        data = text.encode("utf-8", "replace")
        self._flush()
        if self._waiting_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            data = f"event=log_lines_dropped count={self.dropped}\n".encode() + data
            self.dropped = 0
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:  # nobody reads any more
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written == len(data):
                self._waiting.popleft()
            else:
                self._waiting[0] = data[written:]


_second_by_event: dict[str, _Second] = {}


def log_routine(event: str, **fields: object) -> None:
    """Log an event of a call that went well, unless enough of its kind were logged."""
    now = time.monotonic()
    second = _second_by_event.get(event)
    if second is None:
        second = _second_by_event[event] = _Second(now)
    elif now - second.began_at >= 1.0:
        if second.left_out:
            log_event("lines_left_out", kind=event, count=second.left_out)
        second.began_at, second.written, second.left_out = now, 0, 0
    if second.written >= ROUTINE_PER_S:
        second.left_out += 1
        return
    second.written += 1
    log_event(event, **fields)


def configure_bounded_logs(level: str, descriptor: int = 1) -> BoundedWriter:
    """Send log lines of `level` and above to standard output, without ever blocking."""
    writer = BoundedWriter(descriptor)
    logger.remove()
    logger.add(writer.write, level=level, format=_LINE_FORMAT, colorize=False)
    return writer

"""Logging of an entry instance: rate-limited per event and written without blocking."""

from __future__ import annotations

import os
import time
from collections import deque
from dataclasses import dataclass

from loguru import logger

from heatherhead.telemetry.logs import log_event

__all__ = ["configure_bounded_logs", "log_routine"]

MAX_ROUTINE_LINES_PER_S = 10  # limit for each event that successful calls log
MAX_BUFFERED_BYTES = 256 * 1024  # if a slow reader leaves more, lines are dropped and counted
_LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"


@dataclass(slots=True)
class _LineCounts:
    """Lines of one event in the current one-second interval."""

    started_at: float = 0.0
    written: int = 0
    suppressed: int = 0


class BoundedWriter:
    """Writes lines to a non-blocking descriptor, through a bounded buffer.

    Lines that do not fit into the buffer are dropped; their count is logged with the next line
    that fits.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line; buffer it if the descriptor is not ready, drop it if the buffer is full."""
        data = text.encode("utf-8", "replace")
        self._flush()
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            data = f"event=log_lines_dropped count={self.dropped}\n".encode() + data
            self.dropped = 0
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:  # the reading end is closed
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(data):
                self._buffer.popleft()
            else:
                self._buffer[0] = data[written:]


_counts_by_event: dict[str, _LineCounts] = {}


def log_routine(event: str, **fields: object) -> None:
    """Log an event of a successful call, unless `MAX_ROUTINE_LINES_PER_S` lines of it were logged.

    The first line of the event in a later second is preceded by the count of suppressed lines.
    """
    now = time.monotonic()
    counts = _counts_by_event.get(event)
    if counts is None:
        counts = _counts_by_event[event] = _LineCounts(now)
    elif now - counts.started_at >= 1.0:
        if counts.suppressed:
            log_event("lines_left_out", kind=event, count=counts.suppressed)
        counts.started_at, counts.written, counts.suppressed = now, 0, 0
    if counts.written >= MAX_ROUTINE_LINES_PER_S:
        counts.suppressed += 1
        return
    counts.written += 1
    log_event(event, **fields)


def configure_bounded_logs(level: str, descriptor: int = 1) -> BoundedWriter:
    """Write log lines of `level` and above to `descriptor` (standard output) without blocking."""
    writer = BoundedWriter(descriptor)
    logger.remove()
    logger.add(writer.write, level=level, format=_LINE_FORMAT, colorize=False)
    return writer

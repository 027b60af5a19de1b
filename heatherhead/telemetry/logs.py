"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import sys

from loguru import logger

__all__ = ["configure_logs", "log_event"]

_LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"


def configure_logs(level: str) -> None:
    """Send log lines of `level` and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=_LINE_FORMAT, colorize=False)


def log_event(event: str, *, level: str = "INFO", **fields: object) -> None:
    """Log one event with its fields."""
    pairs = " ".join(f"{name}={_quote(value)}" for name, value in fields.items())
    logger.opt(depth=1).log(level, "{}", f"event={event} {pairs}".rstrip())


def _quote(value: object) -> str:
    text = str(value)
    if text and not any(char.isspace() or char in '"=' for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'

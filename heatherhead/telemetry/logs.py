"""Structured logging: each event is one line of key=value pairs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    EventListener = Callable[[str, str, Mapping[str, object]], None]

__all__ = ["add_event_listener", "configure_logs", "log_event", "remove_event_listener"]

_LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"

_listeners: list[EventListener] = []


def add_event_listener(listener: EventListener) -> None:
    """Call `listener(event, level, fields)` for each further event; it must not block."""
    _listeners.append(listener)


def remove_event_listener(listener: EventListener) -> None:
    """Stop calling a listener."""
    _listeners.remove(listener)


def configure_logs(level: str) -> None:
    """Write log lines of `level` and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=_LINE_FORMAT, colorize=False)


def log_event(event: str, *, level: str = "INFO", **fields: object) -> None:
    """Log one event with its fields."""
    pairs = " ".join(f"{name}={_quote(value)}" for name, value in fields.items())
    logger.opt(depth=1).log(level, "{}", f"event={event} {pairs}".rstrip())
    for listener in tuple(_listeners):
        try:
            listener(event, level, fields)
        except Exception:  # a listener's failure must not reach the code that logs
            logger.opt(exception=True).error("event=event_listener_failed")


def _quote(value: object) -> str:
    text = str(value)
    if text and not any(char.isspace() or char in '"=' for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'

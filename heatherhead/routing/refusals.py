"""Errors with which routing refuses a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from heatherhead.exceptions import (
    DeadlineUnreachableError,
    NoUpstreamError,
    QueueFullError,
)

if TYPE_CHECKING:
    from heatherhead.admission.queue import QueueEntry
    from heatherhead.configuration.model import Service
    from heatherhead.exceptions import CallRefusedError

__all__ = ["deadline_unreachable", "no_upstream", "queue_full", "refuse", "unknown_service"]


def refuse(entry: QueueEntry, error: CallRefusedError) -> None:
    """Complete a waiting call with an error, unless it is already completed."""
    if not entry.future.done():
        entry.future.set_result(Err(error))


def deadline_unreachable() -> DeadlineUnreachableError:
    """Return the error for a call that can't be answered before its deadline."""
    return DeadlineUnreachableError(
        "the call can't be answered before its deadline",
        remedy="allow it more time, or send it again when the load is lower",
    )


def queue_full(service: Service) -> QueueFullError:
    """Return the error for a full queue."""
    return QueueFullError(
        f"{service.queue_limit} calls of service {service.name} wait already",
        remedy="send it again after a pause, or raise the service's queue_limit",
    )


def no_upstream(service: Service) -> NoUpstreamError:
    """Return the error for a service without upstreams."""
    return NoUpstreamError(
        f"service {service.name} has no upstream",
        remedy="add upstreams to the service, or ask again later",
    )


def unknown_service(name: str) -> NoUpstreamError:
    """Return the error for an unknown service."""
    return NoUpstreamError(
        f"there is no service {name}", remedy="ask for a service that is configured"
    )

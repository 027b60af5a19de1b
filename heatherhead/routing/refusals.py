"""The reasons for which routing gives a call no slot."""

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
    """Answer a waiting call with an error."""
    if not entry.future.done():
        entry.future.set_result(Err(error))


def deadline_unreachable() -> DeadlineUnreachableError:
    """Say that the call comes too late."""
    return DeadlineUnreachableError(
        "the call can't be answered before its deadline",
        remedy="allow it more time, or send it again when the load is lower",
    )


def queue_full(service: Service) -> QueueFullError:
    """Say that too many calls wait."""
    return QueueFullError(
        f"{service.queue_limit} calls of service {service.name} wait already",
        remedy="send it again after a pause, or raise the service's queue_limit",
    )


def no_upstream(service: Service) -> NoUpstreamError:
    """Say that the service has no upstream."""
    return NoUpstreamError(
        f"service {service.name} has no upstream",
        remedy="add upstreams to the service, or ask again later",
    )


def unknown_service(name: str) -> NoUpstreamError:
    """Say that there is no such service."""
    return NoUpstreamError(
        f"there is no service {name}", remedy="ask for a service that is configured"
    )

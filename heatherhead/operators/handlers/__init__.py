"""Implementations of the proto file's services, one module each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.operators.handlers.configuration import ConfigurationHandler
from heatherhead.operators.handlers.events import EventsHandler
from heatherhead.operators.handlers.histograms import HistogramsHandler
from heatherhead.operators.handlers.instances import InstancesHandler
from heatherhead.operators.handlers.quarantine import QuarantineHandler
from heatherhead.operators.handlers.services import ServicesHandler
from heatherhead.operators.handlers.upstreams import UpstreamsHandler

if TYPE_CHECKING:
    from grpclib._typing import IServable

    from heatherhead.operators.event_hub import EventHub
    from heatherhead.operators.parts import DaemonParts

__all__ = ["create_handlers"]


def create_handlers(parts: DaemonParts, hub: EventHub) -> list[IServable]:
    """Create the handlers of all services."""
    return [
        ServicesHandler(parts),
        UpstreamsHandler(parts),
        QuarantineHandler(parts),
        InstancesHandler(parts),
        HistogramsHandler(parts),
        ConfigurationHandler(parts),
        EventsHandler(parts, hub),
    ]

"""The services of the proto file, one module each."""

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

    from heatherhead.operators.backend import Backend
    from heatherhead.operators.event_hub import EventHub

__all__ = ["create_handlers"]


def create_handlers(backend: Backend, hub: EventHub) -> list[IServable]:
    """Create the handlers of all services."""
    return [
        ServicesHandler(backend),
        UpstreamsHandler(backend),
        QuarantineHandler(backend),
        InstancesHandler(backend),
        HistogramsHandler(backend),
        ConfigurationHandler(backend),
        EventsHandler(backend, hub),
    ]

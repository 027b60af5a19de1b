"""The whole settings file as one schema."""

from __future__ import annotations

from pydantic import Field

from heatherhead.configuration.schema import ServiceSchema
from heatherhead.settings.admission import AdmissionSettings
from heatherhead.settings.callers import CallersSettings
from heatherhead.settings.instance import InstanceSettings
from heatherhead.settings.membership import MembershipSettings
from heatherhead.settings.operators import OperatorsSettings
from heatherhead.settings.routing import RoutingSettings
from heatherhead.settings.section import Section
from heatherhead.settings.store import StoreSettings
from heatherhead.settings.telemetry import TelemetrySettings

__all__ = ["Settings"]


class Settings(Section):
    """All settings of one daemon."""

    instance: InstanceSettings = Field(default=InstanceSettings(), description="This instance.")
    callers: CallersSettings = Field(default=CallersSettings(), description="Callers' port.")
    operators: OperatorsSettings = Field(
        default=OperatorsSettings(), description="Operators' port."
    )
    membership: MembershipSettings = Field(
        default=MembershipSettings(), description="Peers and instance list."
    )
    store: StoreSettings = Field(default=StoreSettings(), description="Platform's store.")
    admission: AdmissionSettings = Field(
        default=AdmissionSettings(), description="Queues, keys and retries."
    )
    routing: RoutingSettings = Field(default=RoutingSettings(), description="Choice of upstreams.")
    telemetry: TelemetrySettings = Field(
        default=TelemetrySettings(), description="Logs and metrics."
    )
    services: tuple[ServiceSchema, ...] = Field(
        default=(), description="Services put into the embedded store at start."
    )

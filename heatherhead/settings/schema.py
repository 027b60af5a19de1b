"""The schema of a settings file."""

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
    callers: CallersSettings = Field(
        default=CallersSettings(), description="HTTP port for callers."
    )
    operators: OperatorsSettings = Field(
        default=OperatorsSettings(), description="gRPC port for operators."
    )
    membership: MembershipSettings = Field(
        default=MembershipSettings(),
        description="Connections with other instances, and the instance list.",
    )
    store: StoreSettings = Field(
        default=StoreSettings(), description="Connection to the platform's store."
    )
    admission: AdmissionSettings = Field(
        default=AdmissionSettings(), description="Attempts, retries and idempotency keys."
    )
    routing: RoutingSettings = Field(
        default=RoutingSettings(), description="Selection of upstreams."
    )
    telemetry: TelemetrySettings = Field(
        default=TelemetrySettings(), description="Logs and metrics."
    )
    services: tuple[ServiceSchema, ...] = Field(
        default=(), description="Services that are put into the embedded store at the start."
    )

"""The daemon's components that the operators' interface uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.configuration.interface import ConfigurationEditor, ConfigurationStatus
    from heatherhead.configuration.replica import Replica
    from heatherhead.membership.interface import MembershipView
    from heatherhead.routing.interface import Router
    from heatherhead.telemetry.interface import TelemetryReader

__all__ = ["DaemonParts"]


@dataclass(frozen=True, slots=True)
class DaemonParts:
    """The components passed to the handlers; only `editor` and `router` make changes."""

    replica: Replica
    editor: ConfigurationEditor
    status: ConfigurationStatus
    membership: MembershipView
    router: Router
    telemetry: TelemetryReader

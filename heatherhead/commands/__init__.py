"""The verbs of the command-line tool `heatherhead`, one module each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from heatherhead.commands import (
    config_status,
    events,
    explain_route,
    histograms,
    instances,
    quarantine_list,
    quarantine_release,
    services_delete,
    services_get,
    services_list,
    services_put,
    trace,
    upstreams_drain,
    upstreams_list,
    upstreams_undrain,
    version,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.exit_codes import ExitCode
    from heatherhead.commands.session import Session

__all__ = ["COMMAND_BY_VERB", "Command"]


class Command(Protocol):
    """The interface of a module that implements a verb."""

    USAGE: str

    async def run(self, session: Session, arguments: Mapping[str, Any]) -> ExitCode:
        """Run the verb and return the exit code; raises `HeatherheadError`."""
        ...


COMMAND_BY_VERB: dict[tuple[str, ...], Command] = {
    ("services", "list"): services_list,
    ("services", "get"): services_get,
    ("services", "put"): services_put,
    ("services", "delete"): services_delete,
    ("upstreams", "list"): upstreams_list,
    ("upstreams", "drain"): upstreams_drain,
    ("upstreams", "undrain"): upstreams_undrain,
    ("quarantine", "list"): quarantine_list,
    ("quarantine", "release"): quarantine_release,
    ("instances",): instances,
    ("histograms",): histograms,
    ("config", "status"): config_status,
    ("events",): events,
    ("trace",): trace,
    ("explain-route",): explain_route,
    ("version",): version,
}

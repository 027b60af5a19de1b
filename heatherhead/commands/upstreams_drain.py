"""`heatherhead upstreams drain`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.draining import change_draining
from heatherhead.commands.service_changes import CHANGE_OPTIONS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.exit_codes import ExitCode
    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = f"""Drain upstreams: they get no new calls, and calls in progress finish.

With --wait the command returns when no instance sends them new calls.

Usage:
  heatherhead upstreams drain SERVICE UPSTREAM... [--address=ADDRESS]... [options]
{CHANGE_OPTIONS}
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Drain the upstreams."""
    return await change_draining(session, arguments, draining=True)

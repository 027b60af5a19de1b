"""`heatherhead upstreams undrain`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.draining import change_draining
from heatherhead.commands.service_changes import CHANGE_OPTIONS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.exit_codes import ExitCode
    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = f"""Send new calls to drained upstreams again.

Usage:
  heatherhead upstreams undrain SERVICE UPSTREAM... [--address=ADDRESS]... [options]
{CHANGE_OPTIONS}
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Undrain the upstreams."""
    return await change_draining(session, arguments, draining=False)

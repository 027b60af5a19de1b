"""`heatherhead upstreams drain`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.changing import CHANGE_OPTIONS
from heatherhead.commands.draining import change_draining

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.exit_codes import ExitCode
    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = f"""Give upstreams no new work. Calls in progress finish.

With --wait the tool returns when no instance gives them new work.

Usage:
  heatherhead upstreams drain SERVICE UPSTREAM... [--address=ADDRESS]... [options]
{CHANGE_OPTIONS}
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Drain."""
    return await change_draining(session, arguments, draining=True)

"""The context of a verb: client, output and standard input."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from heatherhead.commands.exit_codes import CommandError, ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import TextIO

    from heatherhead.commands.output import Output
    from heatherhead.membership.interface import Address
    from heatherhead.operators.client import OperatorsClient

__all__ = ["Session"]


@dataclass(frozen=True, slots=True)
class Session:
    """The context of one run of the tool."""

    client: OperatorsClient
    output: Output
    stdin: TextIO

    @contextmanager
    def for_instance(self, address: Address) -> Iterator[Session]:
        """Provide a session with the instance at `address` until the end of the block."""
        client = self.client.for_address(address)
        try:
            yield replace(self, client=client)
        finally:
            client.close()

    def confirm(self, question: str) -> None:
        """Ask on the terminal; raises `CommandError` unless the answer is yes."""
        if not self.stdin.isatty():
            raise CommandError(
                ExitCode.NOT_CONFIRMED,
                "the change can't be confirmed: standard input is not a terminal",
                remedy="repeat the command with --yes",
            )
        self.output.print_note(f"{question} [y/N]")
        if self.stdin.readline().strip().lower() not in ("y", "yes"):
            raise CommandError(
                ExitCode.NOT_CONFIRMED, "the change was not confirmed", remedy="answer y to make it"
            )

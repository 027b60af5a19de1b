"""What a verb works with: the client, the output and the answers of a person."""

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
    """One run of the tool."""

    client: OperatorsClient
    output: Output
    stdin: TextIO

    @contextmanager
    def for_address(self, address: Address) -> Iterator[Session]:
        """Work with one instance only until the end of the block."""
        client = self.client.for_address(address)
        try:
            yield replace(self, client=client)
        finally:
            client.close()

    def confirm(self, question: str) -> None:
        """Ask a person; raises `CommandError` unless the answer is yes."""
        if not self.stdin.isatty():
            raise CommandError(
                ExitCode.NOT_CONFIRMED,
                "nobody is there to confirm the change",
                remedy="ask again with --yes",
            )
        self.output.note(f"{question} [y/N]")
        if self.stdin.readline().strip().lower() not in ("y", "yes"):
            raise CommandError(
                ExitCode.NOT_CONFIRMED, "the change was not confirmed", remedy="answer y to make it"
            )

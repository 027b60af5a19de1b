"""The command-line tool `heatherhead` for operators."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any

import uvloop
from docopt import DocoptExit, docopt

from heatherhead.commands import COMMAND_BY_VERB
from heatherhead.commands.error_report import report_error
from heatherhead.commands.exit_codes import CommandError, ExitCode, exit_code_of
from heatherhead.commands.options import COMMON_OPTIONS, parse_common_options
from heatherhead.commands.output import Output
from heatherhead.commands.session import Session
from heatherhead.exceptions import HeatherheadError
from heatherhead.operators.client import create_operators_client

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands import Command
    from heatherhead.commands.options import CommonOptions

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run one verb and return the exit code."""
    raw_arguments = sys.argv[1:] if argv is None else argv
    output = Output(sys.stdout, sys.stderr, as_json="--json" in raw_arguments)
    try:
        command, reordered = _find_command(raw_arguments)
        arguments = _parse(command.USAGE, reordered)
        options = parse_common_options(arguments)
        return _run(command, arguments, options, output)
    except HeatherheadError as error:
        report_error(output, error)
        return exit_code_of(error)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except SystemExit as end:  # raised after the help text was printed
        return int(end.code or 0)


def _find_command(raw_arguments: list[str]) -> tuple[Command, list[str]]:
    """Find the verb, and move the options that precede it behind it."""
    for index in range(len(raw_arguments)):
        for verb, command in COMMAND_BY_VERB.items():
            if tuple(raw_arguments[index : index + len(verb)]) == verb:
                return command, raw_arguments[index:] + raw_arguments[:index]
    if "--help" in raw_arguments or "-h" in raw_arguments:
        sys.stdout.write(f"{_overview()}\n{COMMON_OPTIONS}")
        raise SystemExit(ExitCode.DONE)
    raise CommandError(ExitCode.USAGE, "no verb is named", remedy=_overview())


def _overview() -> str:
    lines = ["Usage: heatherhead VERB [ARGUMENTS] [OPTIONS]", "", "Verbs:"]
    for verb, command in COMMAND_BY_VERB.items():
        lines.append(f"  {' '.join(verb):<20} {command.USAGE.splitlines()[0]}")
    lines += ["", "heatherhead VERB --help shows the arguments and options of a verb."]
    return "\n".join(lines)


def _parse(usage: str, raw_arguments: list[str]) -> Mapping[str, Any]:
    try:
        return docopt(f"{usage}{COMMON_OPTIONS}", raw_arguments)
    except DocoptExit as error:
        raise CommandError(
            ExitCode.USAGE, "the arguments do not fit", remedy=f"see below\n{error}"
        ) from error


def _run(
    command: Command, arguments: Mapping[str, Any], options: CommonOptions, output: Output
) -> int:
    async def run_with_client() -> ExitCode:
        client = create_operators_client(options.addresses, options.tls, options.timeout_s)
        try:
            return await command.run(Session(client, output, sys.stdin), arguments)
        finally:
            client.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_with_client())


if __name__ == "__main__":
    sys.exit(main())

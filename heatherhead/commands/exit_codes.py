"""Exit codes of the tool, and the code of each kind of error."""

from __future__ import annotations

from enum import IntEnum
from functools import singledispatch

from heatherhead.exceptions import FieldError, HeatherheadError
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.client import ChangeOutcomeUnknownError, RefusedError, UnreachableError

__all__ = ["CommandError", "ExitCode", "exit_code_of"]


class ExitCode(IntEnum):
    """The exit codes of the tool."""

    DONE = 0
    FAULT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNREACHABLE = 6
    STORE_UNAVAILABLE = 7
    OUTCOME_UNKNOWN = 8
    NOT_IN_FORCE = 9
    NOT_CONFIRMED = 10
    TOO_BUSY = 11
    INTERRUPTED = 130


class CommandError(HeatherheadError):
    """An error that the tool itself detects; `code` is its exit code."""

    def __init__(self, code: ExitCode, reason: str, *, remedy: str) -> None:
        super().__init__(reason, remedy=remedy)
        self.code = code


_CODE_BY_KIND = {
    pb.ERROR_KIND_INVALID: ExitCode.INVALID,
    pb.ERROR_KIND_CONFLICT: ExitCode.CONFLICT,
    pb.ERROR_KIND_NOT_FOUND: ExitCode.NOT_FOUND,
    pb.ERROR_KIND_STORE_UNAVAILABLE: ExitCode.STORE_UNAVAILABLE,
    pb.ERROR_KIND_OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    pb.ERROR_KIND_TOO_BUSY: ExitCode.TOO_BUSY,
}


@singledispatch
def exit_code_of(error: Exception) -> ExitCode:
    """Return the exit code for an error."""
    return ExitCode.FAULT


@exit_code_of.register
def _(error: CommandError) -> ExitCode:
    return error.code


@exit_code_of.register
def _(error: FieldError) -> ExitCode:
    return ExitCode.INVALID


@exit_code_of.register
def _(error: RefusedError) -> ExitCode:
    return _CODE_BY_KIND.get(error.detail.kind, ExitCode.FAULT)


@exit_code_of.register
def _(error: UnreachableError) -> ExitCode:
    return ExitCode.UNREACHABLE


@exit_code_of.register
def _(error: ChangeOutcomeUnknownError) -> ExitCode:
    return ExitCode.OUTCOME_UNKNOWN

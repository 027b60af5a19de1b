"""Tests that the documentation page of the command line lists every verb and exit code."""

from __future__ import annotations

from pathlib import Path

from heatherhead.commands import COMMAND_BY_VERB
from heatherhead.commands.exit_codes import ExitCode

PAGE = Path(__file__).parents[3] / "docs" / "command-line.md"


def test_page_lists_every_verb_and_exit_code() -> None:
    page = PAGE.read_text(encoding="utf-8")
    for verb in COMMAND_BY_VERB:
        assert f"| `{' '.join(verb)}" in page
    for code in ExitCode:
        assert f"| {code.value} | {code.name.lower()} |" in page

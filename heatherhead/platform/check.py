"""Checks a settings file without starting an instance."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from docopt import DocoptExit, docopt

from heatherhead.exceptions import SettingsError
from heatherhead.platform.settings_file import read_settings, settings_path

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["run_check"]

USAGE = """Run an entry instance on the platform, or check its settings.

Usage:
  platform
  platform --check [FILE]
  platform --help

Without FILE the file is read that HEATHERHEAD_BOOT names. The exit code is 2 if it is wrong.
"""
EXIT_OK = 0
EXIT_INVALID = 2


def run_check(argv: Sequence[str]) -> int:
    """Print the effective settings of a file, or its errors; return the exit code."""
    try:
        arguments = docopt(USAGE, list(argv))
    except DocoptExit as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_INVALID
    path = arguments["FILE"] or settings_path()
    try:
        settings = read_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"{path}: {error}\n")
        return EXIT_INVALID
    for name, value in settings.model_dump().items():
        sys.stdout.write(f"{name} = {value}\n")
    return EXIT_OK

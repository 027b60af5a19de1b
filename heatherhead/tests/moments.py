"""Runs a daemon module that replaces files and signals itself at a moment of its start or stop.

Usage:
  python -m heatherhead.tests.moments MOMENT SIGNALS FILES MODULE [ARGUMENT...]

MOMENT is `FILE:FUNCTION`, the first call of a function in a source file, or `exit`, the end of the
interpreter. SIGNALS are names, FILES are pairs `NEW=CURRENT`, both separated by commas.
"""

from __future__ import annotations

import atexit
import os
import runpy
import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

INTERPRETER_END = "exit"


def _call_at(moment: str, action: Callable[[], None]) -> None:
    if moment == INTERPRETER_END:
        atexit.register(action)
        return
    file, function = moment.split(":")

    def profile(frame: FrameType, event: str, _argument: object) -> None:
        code = frame.f_code
        if event == "call" and code.co_name == function and code.co_filename.endswith(file):
            sys.setprofile(None)
            action()

    sys.setprofile(profile)


def main() -> None:
    """Run the module with the remaining arguments."""
    moment, signals, files, module, *arguments = sys.argv[1:]

    def act() -> None:
        for pair in filter(None, files.split(",")):
            os.replace(*pair.split("="))
        for name in filter(None, signals.split(",")):
            os.kill(os.getpid(), signal.Signals[name])

    _call_at(moment, act)
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()

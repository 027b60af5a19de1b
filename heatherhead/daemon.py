"""The daemon `heatherheadd`.

Usage:
  heatherheadd [--check] SETTINGS
  heatherheadd -h | --help

Options:
  --check  Only check the settings file.
"""

from __future__ import annotations

from heatherhead.signals import block_signals, unblock_signals

__all__ = ["main"]


def main() -> None:
    """Run the daemon, or check its settings."""
    block_signals()  # first, as the other imports take most of the start

    from docopt import docopt

    from heatherhead.daemon_process import check, run

    arguments = docopt(__doc__)
    if arguments["--check"]:
        unblock_signals()
        check(arguments["SETTINGS"])
    else:
        run(arguments["SETTINGS"])


if __name__ == "__main__":
    main()

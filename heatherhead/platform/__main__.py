"""Starts an entry instance on the platform.

The start is kept short: after a power loss the machine serves no calls until this process listens.
"""

from __future__ import annotations

import sys


def main() -> None:
    """Run the daemon, or only check the settings if there are arguments."""
    if sys.argv[1:]:
        from heatherhead.platform.check import run_check

        sys.exit(run_check(sys.argv[1:]))

    from heatherhead.signals import block_signals

    block_signals()  # first, as the other imports take most of the start

    import gc
    import os

    gc.disable()  # objects made by imports are permanent; the daemon sets its own thresholds
    # aiohttp loads all root certificates of the machine on import; no call here uses TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    from heatherhead.platform.daemon import run

    run()


if __name__ == "__main__":
    main()

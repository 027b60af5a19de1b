"""Starts an entry instance on the platform.

A machine that regains power serves nobody until this process listens, so the start saves what it can.
"""

from __future__ import annotations

import gc
import os
import sys


def main() -> None:
    """Import the daemon cheaply and run it; `--check` only reads the settings."""
    if sys.argv[1:]:
        from heatherhead.platform.check import run_check

        sys.exit(run_check(sys.argv[1:]))
    gc.disable()  # what imports build stays; the daemon sets its own thresholds
    # aiohttp reads all root certificates of the machine when imported; no call here uses TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    from heatherhead.platform.daemon import run

    run()


if __name__ == "__main__":
    main()

"""Replays load patterns against the dispatcher and prints the outcomes of calls over several seeds.

Usage:
    replay [--seeds=N] [PATTERN...]

Options:
    --seeds=N  how many plays of each pattern [default: 4]
"""

from __future__ import annotations

from statistics import mean, stdev

from docopt import docopt

from heatherhead.tests.dispatch.homes_replay import PATTERN_BY_NAME, LoadPattern, replay

FIRST_SEED = 11


def measure(pattern: LoadPattern, seeds: int, *, with_dispatcher: bool) -> str:
    """Replay a pattern with several seeds and return the shares of each outcome as a row."""
    runs = [replay(pattern, FIRST_SEED + n, with_dispatcher=with_dispatcher) for n in range(seeds)]
    shares = [run.in_target for run in runs]
    ends = [run.ends for run in runs]
    late, refused, failed = (
        mean(each[name] / each.total() for each in ends) for name in ("late", "refused", "failed")
    )
    spread = stdev(shares) if seeds > 1 else 0.0
    return f"{mean(shares):.3f} +-{spread:.3f}  {late:.3f}  {refused:.3f}  {failed:.3f}"


def main() -> None:
    """Print a row for each pattern and policy."""
    arguments = docopt(__doc__)
    seeds = int(arguments["--seeds"])
    print("pattern            way          in target       late   refused  failed")
    for name in arguments["PATTERN"] or PATTERN_BY_NAME:
        for policy, with_dispatcher in (("dispatcher", True), ("least", False)):
            row = measure(PATTERN_BY_NAME[name], seeds, with_dispatcher=with_dispatcher)
            print(f"{name:18} {policy:12} {row}", flush=True)


if __name__ == "__main__":
    main()

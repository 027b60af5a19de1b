"""Check the specification of the core protocol.

Prints a report for each part and, for each removed guard, a shortest trace that violates an
invariant. The last line is JSON. The exit status is 1 if an invariant fails, a move is unreachable
or the removal of a guard violates nothing.
"""

from __future__ import annotations

import json
import sys

from spec import configuration, keyed_calls, leases, leaving_instances, leaving_upstreams
from spec.checker import PartReport, check_part

__all__ = ["PARTS", "main"]

PARTS = (
    keyed_calls.part,
    configuration.part,
    leases.part,
    leaving_instances.part,
    leaving_upstreams.part,
)


def main() -> int:
    """Check all parts and return the exit status."""
    reports = [check_part(each) for each in PARTS]
    for each in reports:
        _print_report(each)
    holds = all(each.holds for each in reports)
    print(json.dumps(_summary(reports, holds)))
    return 0 if holds else 1


def _print_report(report: PartReport) -> None:
    bounded = report.counterexample or "holds"
    induction = report.induction_counterexample or "holds at every depth"
    reached = report.moves - len(report.unreached_moves)
    print(f"{report.name}: up to {report.depth} moves: {bounded}; by induction: {induction}")
    print(f"  moves_reached={reached}/{report.moves} {' '.join(report.unreached_moves)}".rstrip())
    for guard, mutant in report.mutant_by_guard.items():
        print(f"  without {guard}: {mutant or 'SURVIVES'}")


def _summary(reports: list[PartReport], holds: bool) -> dict[str, object]:
    return {
        "parts": len(reports),
        "depth": {each.name: each.depth for each in reports},
        "moves_reached": sum(each.moves - len(each.unreached_moves) for each in reports),
        "guards": sum(len(each.mutant_by_guard) for each in reports),
        "mutants_caught": sum(each.mutants_caught for each in reports),
        "holds": holds,
    }


if __name__ == "__main__":
    sys.exit(main())

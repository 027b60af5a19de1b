"""Computes the fleet size for the target load from measurements and writes the tables of the page.

Usage:
  capacity [--take]

Options:
  --take  First take new results of the benches from bench/out.

Reads `docs/measurements/*.json` and replaces the marked part of `docs/CAPACITY.md`.
"""

from __future__ import annotations

import json
import math
import shutil
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from docopt import docopt

from bench.fleet import OUT_DIRECTORY
from heatherhead.admission.key_table import KeyTableLimits

__all__ = ["Row", "Sizing", "Target", "create_sizing", "main", "render"]

MEASUREMENTS = Path("docs/measurements")
PAGE = Path("docs/CAPACITY.md")
BEGIN_MARK = "<!-- computed: begin -->"
END_MARK = "<!-- computed: end -->"
RESULT_NAMES = ("path", "kill", "keys", "policy", "choose", "control", "drain", "operators")
SECONDS_PER_DAY = 86_400
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class Target:
    """The target load and budgets, and the assumptions with which the fleet size is computed."""

    calls_per_s: float = 1_100_000
    upstreams: int = 10_000
    services: int = 510
    regions: int = 5
    availability_zones: int = 16
    depth: int = 23
    changes_per_day: int = 4_000
    restarts_per_day: int = 1_900
    failures_per_day: int = 12
    added_ms: float = 0.81
    core_share: float = 0.04
    memory_mb: float = 128
    control_kb_per_s: float = 19
    in_force_s: float = 18
    utilisation: float = 0.5
    keyed_share: float = 0.1
    calls_per_home: float = 800
    callers: int = 50_000
    services_per_caller: int = 3
    addresses_keep_s: float = 30
    grant_slack_s: float = 5
    retention_s: float = 60
    retry_share: float = 0.1
    attempts_per_layer: int = 3
    region_distance_s: float = 0.020
    overlay_degree: int = 6


@dataclass(frozen=True, slots=True)
class Row:
    """The cost of one role at the target size, a row of the page's table."""

    role: str
    state: str
    messages: str
    processor: str
    memory: str
    mechanism: str
    command: str


@dataclass(frozen=True, slots=True)
class Sizing:
    """The figures computed from the target and the measurements."""

    target: Target
    measured: dict[str, dict[str, Any]]

    @property
    def call_us(self) -> float:
        """Processor time of one call in an instance, in microseconds."""
        return float(self.measured["path"]["cpu_us_per_call"]["daemon"])

    @property
    def busy_cores(self) -> float:
        """Number of cores that all calls keep busy."""
        return self.target.calls_per_s * self.call_us / 1e6

    @property
    def instances(self) -> int:
        """Number of one-core instances needed at the target utilisation."""
        return math.ceil(self.busy_cores / self.target.utilisation)

    @property
    def calls_per_instance(self) -> float:
        """Calls per second of one instance."""
        return self.target.calls_per_s / self.instances

    @property
    def homes_per_service_region(self) -> int:
        """Homes of an average service in one region: as many as its load needs, plus one."""
        demand = self.target.calls_per_s / self.target.services / self.target.regions
        return math.ceil(demand / self.target.calls_per_home) + 1

    @property
    def home_roles(self) -> float:
        """Number of services for which an instance is a home."""
        roles = self.target.services * self.target.regions * self.homes_per_service_region
        return roles / self.instances

    @property
    def keyed_per_s(self) -> float:
        """Keyed calls per second whose grants one instance owns."""
        return self.calls_per_instance * self.target.keyed_share

    @property
    def key_entries(self) -> float:
        """Entries of the key table, each kept for its grant's lifetime plus the retention."""
        target = self.target
        life_s = target.addresses_keep_s + target.grant_slack_s + target.retention_s
        return self.keyed_per_s * life_s

    @property
    def address_answers_per_s(self) -> float:
        """Address answers per second of one instance."""
        target = self.target
        questions_per_s = target.callers * target.services_per_caller / target.addresses_keep_s
        return questions_per_s / self.instances

    @property
    def control_kb_per_s(self) -> float:
        """Control traffic of one idle daemon in KB/s."""
        return self._extrapolate("control_kb_per_s", "control_kb_per_s_slope")

    @property
    def control_core_share(self) -> float:
        """Fraction of a core that one idle daemon uses."""
        return self._extrapolate("control_core_share", "control_core_share_slope")

    @property
    def memory_mb(self) -> float:
        """Memory of one idle daemon in MB."""
        return self._extrapolate("rss_mb", "rss_mb_slope_by_instances")

    def _extrapolate(self, field: str, slope: str) -> float:
        """Extrapolate a figure by its slope per instance; a negative slope is noise, used as 0."""
        control = self.measured["control"]
        span = self.instances - control["instances"][1]
        return float(control[field] + max(0.0, control[slope]) * span)

    @property
    def key_mb(self) -> float:
        """Memory of the key table's entries in MB."""
        return self.key_entries * float(self.measured["keys"]["bytes_per_key"]) / BYTES_PER_MB

    @property
    def loaded_memory_mb(self) -> float:
        """Memory in MB of one daemon with the target's keys and the maximum of recorded answers."""
        return self.memory_mb + self.key_mb + KeyTableLimits().max_recorded_bytes / BYTES_PER_MB

    @property
    def overlay_hops(self) -> int:
        """Hops of a change to the farthest instance of a region, plus one between regions."""
        in_region = self.instances / self.target.regions
        return math.ceil(math.log(in_region, self.target.overlay_degree - 1)) + 2

    @property
    def in_force_s(self) -> float:
        """Time in seconds until a change is in force on every instance.

        The time per hop is that of the largest measured fleet, plus the latency between regions.
        This is an upper bound, since only some hops of the overlay cross regions.
        """
        control = self.measured["control"]
        counts = control["instances"]
        measured_s = control["in_force_p99_s"][str(counts[1])]
        hops = math.ceil(math.log(counts[1], self.target.overlay_degree - 1)) + 1
        return self.overlay_hops * (measured_s / hops + self.target.region_distance_s)

    @property
    def orders_unknown_share(self) -> float:
        """Fraction of keyed calls answered with an unknown outcome because their owner failed."""
        target = self.target
        grant_life_s = target.addresses_keep_s + target.grant_slack_s
        lost = target.failures_per_day * grant_life_s
        return lost / (SECONDS_PER_DAY * self.instances)

    def bottom_attempts(self, *, marker: bool) -> float:
        """Return the attempts at the deepest layer for one call at the top while that layer fails.

        With the marker in its answers, only the layer next to the failure retries. Without it,
        each layer retries within its retry budget, and the factors multiply.
        """
        attempts = 1 + self.target.retry_share
        return attempts if marker else attempts**self.target.depth


def create_sizing() -> Sizing:
    """Create the sizing from the committed measurements."""
    measured = {}
    for name in RESULT_NAMES:
        path = MEASUREMENTS / f"{name}.json"
        measured[name] = json.loads(path.read_text(encoding="utf-8"))
    return Sizing(Target(), measured)


def _rows(sizing: Sizing) -> list[Row]:
    target, measured = sizing.target, sizing.measured
    control, keys = measured["control"], measured["keys"]
    changes_per_s = target.changes_per_day / SECONDS_PER_DAY
    key_share = sizing.keyed_per_s * keys["key_us"] / 1e6
    grant_share = sizing.address_answers_per_s * keys["grant_issue_us"] / 1e6
    choose_us = measured["choose"]["choose_us"]["100"]
    by_service = control["slopes"]["rss_mb_per_100_services"] * target.services / 100
    by_upstream = control["slopes"]["rss_mb_per_1000_upstreams"] * target.upstreams / 1000
    return [
        Row(
            "instance as home",
            f"{sizing.home_roles:.1f} services, {sizing.homes_per_service_region} homes each in a "
            "region",
            f"{sizing.calls_per_instance:,.0f} calls/s; vectors to co-homes of the region only",
            f"{sizing.call_us:.0f} µs a call, of it {choose_us:.1f} µs to choose",
            "in the sum below",
            "home sets by weighted rendezvous; late binding; byte buckets",
            "`make bench-path`, `make bench-choose`",
        ),
        Row(
            "instance as grant owner",
            f"{sizing.key_entries:,.0f} keys ({target.keyed_share:.0%} of calls keyed); grants "
            "themselves need none",
            f"{sizing.keyed_per_s:,.0f} keyed calls/s",
            f"{key_share:.2%} of a core",
            f"{sizing.key_mb:.1f} MB and at most "
            f"{KeyTableLimits().max_recorded_bytes / BYTES_PER_MB:.1f} MB of answers",
            "grant with a MAC; bounded key table with a closed watermark",
            "`make bench-keys`",
        ),
        Row(
            "caller's address answer",
            "none",
            f"{sizing.address_answers_per_s:,.1f} answers/s "
            f"({target.callers:,} callers of {target.services_per_caller} services)",
            f"{grant_share:.3%} of a core for grants",
            "none",
            "homes are kept until the view changes; grants are not stored",
            "`make bench-keys`",
        ),
        Row(
            "instance as peer",
            f"{target.services} services, {target.upstreams:,} upstreams, {sizing.instances:,} "
            "members",
            f"{sizing.control_kb_per_s:.1f} KB/s of control",
            f"{sizing.control_core_share:.2%} of a core",
            f"{sizing.memory_mb:.0f} MB the daemon at rest, of it {by_service:.1f} MB for services "
            f"and {by_upstream:.1f} MB for upstreams",
            "sparse overlay, heartbeats on it alone, digests",
            "`make bench-control`",
        ),
        Row(
            "instance as watcher",
            "one watch",
            f"{changes_per_s:.3f} changes/s",
            "in the peer's share",
            "in the peer's memory",
            "a few a region, by rendezvous over live instances",
            "`make bench-control`",
        ),
        Row(
            "store",
            f"{target.services} keys",
            f"{changes_per_s * control['store_calls_per_change']:.3f} calls/s for changes, "
            f"{control['store_calls_idle_per_s']:.2f} calls/s idle (slope by instances "
            f"{control['store_calls_idle_slope']})",
            "the platform's",
            "the platform's",
            "watchers only; status travels over the overlay",
            "`make bench-control`",
        ),
        Row(
            "instance list",
            f"{sizing.instances:,} rows",
            "a few polls in 5 s a region, all others seldom",
            "the platform's",
            "the platform's",
            "the list is corrected by heartbeats and spread by peers",
            "`make bench-control`",
        ),
        Row(
            "operators",
            "none",
            f"{target.changes_per_day:,} changes a day, in force in {sizing.in_force_s:.1f} s "
            f"({sizing.overlay_hops} hops)",
            f"{measured['operators']['put_usual_ms']:.1f} ms a change at one instance",
            "in the sum above",
            "compare-and-swap, watch, overlay",
            "`make bench-control`, `make bench-operators`",
        ),
    ]


def render(sizing: Sizing) -> str:
    """Return the computed part of the page."""
    lines = [
        "| role | state | messages | processor time | memory | mechanism | measured by |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {row.role} | {row.state} | {row.messages} | {row.processor} | {row.memory} "
        f"| {row.mechanism} | {row.command} |"
        for row in _rows(sizing)
    ]
    lines += ["", *_totals(sizing), "", *_failures(sizing)]
    return "\n".join(lines)


def _totals(sizing: Sizing) -> list[str]:
    target = sizing.target
    added_ms = sizing.measured["path"]["added_p99_ms"]
    checks = [
        ("added to a call, 99 in 100, as measured", added_ms, target.added_ms, "ms"),
        ("control traffic a daemon", sizing.control_kb_per_s, target.control_kb_per_s, "KB/s"),
        ("control, share of a core", sizing.control_core_share * 100, target.core_share * 100, "%"),
        (
            "memory a daemon, keys and answers included",
            sizing.loaded_memory_mb,
            target.memory_mb,
            "MB",
        ),
        ("a change in force", sizing.in_force_s, target.in_force_s, "s"),
    ]
    lines = [
        f"Instances of one core: **{sizing.instances:,}** at {target.utilisation:.0%} utilisation "
        f"({sizing.busy_cores:,.0f} cores busy with calls).",
        "",
        "| budget | worked out | target | holds |",
        "|---|---|---|---|",
    ]
    for name, worked_out, bound, unit in checks:
        holds = "yes" if worked_out <= bound else "**no**"
        lines.append(f"| {name} | {worked_out:.2f} {unit} | {bound:g} {unit} | {holds} |")
    return lines


def _failures(sizing: Sizing) -> list[str]:
    target, control = sizing.target, sizing.measured["control"]
    zone_share = 1 / target.availability_zones
    after_loss = target.utilisation / (1 - zone_share)
    seen_s = control["failure_seen_p99_s"]
    restarts = target.restarts_per_day / SECONDS_PER_DAY
    leaving_s = target.addresses_keep_s + target.grant_slack_s
    return [
        "| failure | what follows |",
        "|---|---|",
        f"| an upstream leaves | every home of the service knows within "
        f"{sizing.measured['drain']['drain_known_p99_s']:.2f} s (`make bench-drain`) |",
        f"| the deepest of {target.depth} layers fails | attempts there for one call at the top: "
        f"{sizing.bottom_attempts(marker=True):.2f} with the marker, "
        f"{sizing.bottom_attempts(marker=False):.1f} without it and a retry budget of "
        f"{target.retry_share:.0%} in each layer, "
        f"{float(target.attempts_per_layer**target.depth):.0e} without either |",
        f"| an availability zone is lost | {zone_share:.1%} of calls in progress are hit, and their "
        f"idempotent part is sent again by callers to the next address; other instances know of it "
        f"within {seen_s:.1f} s, callers' answers run out within {target.addresses_keep_s:.0f} s; "
        f"the rest then runs at {after_loss:.0%} |",
        f"| {target.restarts_per_day:,} restarts a day | one every {1 / restarts:.0f} s; about "
        f"{restarts * leaving_s:.1f} instances are leaving at any time, each until its grants have "
        "run out, so no order is told unknown because of a restart |",
        f"| {target.failures_per_day} failures a day | the grants of a failed owner are lost with it: "
        f"{sizing.orders_unknown_share:.1e} of keyed calls are told unknown at most |",
    ]


def _copy_results() -> None:
    MEASUREMENTS.mkdir(parents=True, exist_ok=True)
    for name in RESULT_NAMES:
        result = OUT_DIRECTORY / f"{name}.json"
        if result.exists():
            shutil.copy(result, MEASUREMENTS / result.name)


def replace_computed_part(page: str, computed: str) -> str:
    """Return the page with the text between its marks replaced by the computed part."""
    head, _, rest = page.partition(BEGIN_MARK)
    _, _, tail = rest.partition(END_MARK)
    return f"{head}{BEGIN_MARK}\n\n{computed}\n\n{END_MARK}{tail}"


def main() -> None:
    """Update the computed part of the page."""
    if docopt(__doc__)["--take"]:
        _copy_results()
    page = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(replace_computed_part(page, render(create_sizing())), encoding="utf-8")


if __name__ == "__main__":
    main()

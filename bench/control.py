"""Measures configuration and membership with many daemon processes on the loopback.

Usage: python -m bench.control [--short]

The store and the instance list are fake HTTP servers. There is no added latency between zones and
regions. The last line is the result.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

from bench.control_fleet import control_fleet, service_schema
from bench.fleet import cpu_seconds, rss_mb, save_result

if TYPE_CHECKING:
    from bench.control_fleet import ControlFleet

SERVICES = 510
UPSTREAMS = 10_000
CHANGES_PER_S = 5.0
IDLE_S = 20.0
LONG_PAUSE_S = 10.0  # long enough for a paused daemon to be suspected


async def _measure_changes(control: ControlFleet, changes: int, version: int) -> dict[str, float]:
    """Change services at random daemons and measure when each change is in force on each daemon."""
    await control.get_all("/seen", control.daemons)
    requested_at: dict[tuple[str, int], float] = {}
    calls = await control.store_calls()

    async def change(number: int) -> None:
        service = service_schema(number, UPSTREAMS // SERVICES, version).model_dump(mode="json")
        body = {"service": service, "change_id": f"change-{version}-{number}"}
        daemon = control.random.choice(control.daemons)
        body["expected_revision"] = revision_by_name[service["name"]]
        reply = await control.post(daemon, "/put", body)
        requested_at[service["name"], reply["revision"]] = reply["asked_at"]
        revision_by_name[service["name"]] = reply["revision"]

    revision_by_name = control.revision_by_name
    running = []
    for number in range(changes):
        running.append(asyncio.create_task(change(number)))
        await asyncio.sleep(1 / CHANGES_PER_S)
    await asyncio.gather(*running)
    last = max(revision for _, revision in requested_at)
    await control.wait_all(lambda stats: stats["applied"] >= last, control.daemons)
    calls_used = await control.store_calls() - calls
    times = []
    for seen in await control.get_all("/seen", control.daemons):
        in_force = {(name, revision): at for name, revision, at in seen["in_force"]}
        times.extend(in_force[change_key] - at for change_key, at in requested_at.items())
    return {"p99_s": _p99(times), "max_s": round(max(times), 4), "calls": calls_used / changes}


def _p99(values: list[float]) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))], 4)


async def _measure_idle(control: ControlFleet, seconds: float) -> dict[str, float]:
    """Measure the traffic, processor time and memory of the idle fleet."""
    processes = [control.fleet.process_by_name[each.id].pid for each in control.daemons]
    before = await control.get_all("/stats", control.daemons)
    cpu = [cpu_seconds(each) for each in processes]
    calls = await control.store_calls()
    began_at = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - began_at
    cpu_spent_s = [cpu_seconds(each) - was for each, was in zip(processes, cpu, strict=True)]
    calls = await control.store_calls() - calls
    after = await control.get_all("/stats", control.daemons)
    sent = [
        (now["control_bytes"] - was["control_bytes"]) / 1024 / elapsed_s
        for now, was in zip(after, before, strict=True)
    ]
    return {
        "store_calls_idle_per_s": round(calls / elapsed_s, 4),
        "control_kb_per_s": round(max(sent), 3),
        "control_core_share": round(max(cpu_spent_s) / elapsed_s, 4),
        "control_core_share_mean": round(sum(cpu_spent_s) / len(cpu_spent_s) / elapsed_s, 4),
        "rss_mb": round(max(map(rss_mb, processes)), 1),
        "watchers": sum(each["is_watching"] for each in after),
        "neighbours_max": max(len(each["neighbours"]) for each in after),
    }


async def _measure_region_loss(control: ControlFleet) -> dict[str, float]:
    """Partition a region from peers and store, change services, and measure its recovery."""
    inside = [each for each in control.daemons if each.region == "r0"]
    outside = [each for each in control.daemons if each.region != "r0"]
    in_ids, out_ids = [each.id for each in inside], [each.id for each in outside]
    await control.post_all("/faults", {"cut": out_ids, "is_store_cut": True}, inside)
    await control.post_all("/faults", {"cut": in_ids, "is_store_cut": False}, outside)
    revisions = control.revision_by_name
    last = 0
    for number in range(20):
        service = service_schema(100 + number, UPSTREAMS // SERVICES, 77).model_dump(mode="json")
        body = {
            "service": service,
            "change_id": f"cut-{number}",
            "expected_revision": revisions[service["name"]],
        }
        reply = await control.post(control.random.choice(outside), "/put", body)
        last = revisions[service["name"]] = reply["revision"]
    outside_s = await control.wait_all(lambda stats: stats["applied"] >= last, outside)
    await asyncio.sleep(12)
    behind = [each["applied"] < last for each in await control.get_all("/stats", inside)]
    await control.post_all("/faults", {"cut": [], "is_store_cut": False}, control.daemons)
    in_force_s = await control.wait_all(lambda stats: stats["applied"] >= last, inside)
    count = len(control.daemons)
    rejoined_s = in_force_s + await control.wait_all(
        lambda stats: stats["live"] == count, control.daemons
    )
    return {
        "was_cut": all(behind),
        "outside_s": round(outside_s, 3),
        "in_force_s": round(in_force_s, 3),
        "rejoined_s": round(rejoined_s, 3),
    }


async def _measure_failures(control: ControlFleet, *, kills: int, pauses: int) -> dict[str, Any]:
    """Kill and pause daemons under 5% loss of heartbeats, and measure their detection."""
    await control.post_all("/faults", {"heartbeat_loss": 0.05}, control.daemons)
    await control.get_all("/seen", control.daemons)
    victims = control.random.sample(control.daemons, kills + 2 * pauses)
    killed, briefly_paused, long_paused = victims[:kills], victims[kills:-pauses], victims[-pauses:]
    began_by_id: dict[str, float] = {}
    for each in killed:
        began_by_id[each.id] = time.monotonic()
        control.fleet.kill(each.id)
        await asyncio.sleep(1.5)
    for each in briefly_paused:
        control.fleet.signal(each.id, signal.SIGSTOP)
    await asyncio.sleep(2)
    for each in briefly_paused:
        control.fleet.signal(each.id, signal.SIGCONT)
    for each in long_paused:
        began_by_id[each.id] = time.monotonic()
        control.fleet.signal(each.id, signal.SIGSTOP)
    await asyncio.sleep(LONG_PAUSE_S)
    for each in long_paused:
        control.fleet.signal(each.id, signal.SIGCONT)
    alive = [each for each in control.daemons if each not in killed]
    recovery_s = await control.wait_all(lambda stats: stats["live"] == len(alive), alive)
    observers = [each for each in alive if each not in long_paused]
    seen_by_id: dict[str, list[float]] = {each.id: [] for each in killed + long_paused}
    false_suspicions = 0
    for daemon, seen in zip(alive, await control.get_all("/seen", alive), strict=True):
        first_by_id: dict[str, float] = {}
        for instance_id, state, at in seen["states"]:
            if state in ("suspected", "dead"):
                first_by_id.setdefault(instance_id, at)
        false_suspicions += sum(each not in began_by_id for each in first_by_id)
        if daemon in observers:
            for each, began_at in began_by_id.items():
                if each in first_by_id:
                    seen_by_id[each].append(first_by_id[each] - began_at)
    await control.post_all("/faults", {"heartbeat_loss": 0.0}, alive)
    kill_times = [at for each in killed for at in seen_by_id[each.id]]
    pause_times = [at for each in long_paused for at in seen_by_id[each.id]]
    expected = len(observers) * len(began_by_id)
    return {
        "failure_seen_p99_s": _p99(kill_times + pause_times),
        "killed_seen_p99_s": _p99(kill_times),
        "paused_seen_p99_s": _p99(pause_times),
        "failures_unseen": expected - len(kill_times) - len(pause_times),
        "false_suspicions": false_suspicions,
        "back_after_pause_s": round(recovery_s, 3),
    }


async def _measure(
    count: int, *, changes: int, idle_s: float, settle_s: float, with_failures: bool
) -> dict[str, Any]:
    """Run the measurements on one fleet."""
    result: dict[str, Any] = {"instances": count}
    async with control_fleet(count, SERVICES, UPSTREAMS) as control:
        await asyncio.sleep(settle_s)
        result["idle"] = await _measure_idle(control, idle_s)
        _print_figures("idle", result["idle"])
        result["changes"] = await _measure_changes(control, changes, 1)
        _print_figures("changes", result["changes"])
        await control.store_faults(delay_s=0.5)
        result["store_slow"] = await _measure_changes(control, changes // 2, 2)
        await control.store_faults(delay_s=0.0)
        _print_figures("store slow", result["store_slow"])
        await control.post_all("/faults", {"without_routing": True}, control.daemons)
        result["without_routing"] = await _measure_idle(control, idle_s / 2)
        _print_figures("idle without routing", result["without_routing"])
        if with_failures:
            result["lost_region"] = await _measure_region_loss(control)
            _print_figures("lost region", result["lost_region"])
            result["failures"] = await _measure_failures(control, kills=count // 15 + 1, pauses=2)
            _print_figures("failures", result["failures"])
        running_names = set(control.fleet.process_by_name)
        alive = [each for each in control.daemons if each.id in running_names]
        stats = await control.get_all("/stats", alive)
        result["reverts"] = sum(each["reverts"] for each in stats)
    return result


async def _measure_slopes(count: int, idle_s: float) -> dict[str, float]:
    """Measure memory and processor time of a small fleet with three configurations."""
    rows = {}
    for services, upstreams in ((51, 1_000), (510, 1_020), (510, 10_000)):
        async with control_fleet(count, services, upstreams) as control:
            await asyncio.sleep(4)
            rows[services, upstreams] = await _measure_idle(control, idle_s)
            _print_figures(f"{services} services, {upstreams} upstreams", rows[services, upstreams])
    small, middle, large = rows.values()
    # The fleets differ by 4.59 hundred services and by 8.98 thousand upstreams.
    return {
        "core_share_per_100_services": round(
            (middle["control_core_share_mean"] - small["control_core_share_mean"]) / 4.59, 5
        ),
        "core_share_per_1000_upstreams": round(
            (large["control_core_share_mean"] - middle["control_core_share_mean"]) / 8.98, 5
        ),
        "rss_mb_per_100_services": round((middle["rss_mb"] - small["rss_mb"]) / 4.59, 3),
        "rss_mb_per_1000_upstreams": round((large["rss_mb"] - middle["rss_mb"]) / 8.98, 3),
        "rss_mb_smallest": small["rss_mb"],
    }


def _print_figures(title: str, values: object) -> None:
    print(f"{title}: {values}", flush=True)


def _summary(small: dict[str, Any], large: dict[str, Any], slopes: Any) -> dict[str, Any]:
    idle, counts = large["idle"], (small["instances"], large["instances"])
    span = max(1, counts[1] - counts[0])

    def slope(field: str) -> float:
        return round((idle[field] - small["idle"][field]) / span, 6)

    return {
        "instances": list(counts),
        "services": SERVICES,
        "upstreams": UPSTREAMS,
        "in_force_p99_s": {
            str(each["instances"]): each["changes"]["p99_s"] for each in (small, large)
        },
        "in_force_store_slow_p99_s": {
            str(each["instances"]): each["store_slow"]["p99_s"] for each in (small, large)
        },
        "in_force_after_lost_region_s": large["lost_region"]["in_force_s"],
        "rejoined_after_lost_region_s": large["lost_region"]["rejoined_s"],
        "store_calls_idle_per_s": idle["store_calls_idle_per_s"],
        "store_calls_idle_slope": slope("store_calls_idle_per_s"),
        "store_watchers": idle["watchers"],
        "store_calls_per_change": large["changes"]["calls"],
        "reverts": small["reverts"] + large["reverts"],
        "control_kb_per_s": idle["control_kb_per_s"],
        "control_kb_per_s_slope": slope("control_kb_per_s"),
        "control_core_share": max(idle["control_core_share"], small["idle"]["control_core_share"]),
        "control_core_share_without_routing": large["without_routing"]["control_core_share"],
        "control_core_share_slope": slope("control_core_share_mean"),
        "rss_mb": max(idle["rss_mb"], small["idle"]["rss_mb"]),
        "rss_mb_slope_by_instances": slope("rss_mb"),
        "slopes": slopes,
        **large["failures"],
    }


async def _main(*, is_short: bool) -> None:
    if is_short:
        only = await _measure(12, changes=20, idle_s=5, settle_s=4, with_failures=True)
        save_result("control-short", _summary(only, only, None))
        return
    small = await _measure(19, changes=60, idle_s=IDLE_S, settle_s=10, with_failures=False)
    large = await _measure(60, changes=60, idle_s=IDLE_S, settle_s=10, with_failures=True)
    slopes = await _measure_slopes(3, 8.0)
    save_result("control", _summary(small, large, slopes))


if __name__ == "__main__":
    asyncio.run(_main(is_short="--short" in sys.argv))

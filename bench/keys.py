"""Measures grants and the key table: processor time of each step, and memory per key.

Usage: python -m bench.keys

The last line is JSON: microseconds to issue, parse and verify a grant, microseconds to begin and
finish a key, the slowest single key of the run, bytes per entry at two sizes of the table, and the
slope between them.
"""

from __future__ import annotations

import gc
import time
import tracemalloc

from bench.fleet import save_result
from heatherhead.admission.grants import GrantIssuer, create_grant_issuer, parse_key
from heatherhead.admission.key_table import (
    KeyRun,
    KeyTable,
    KeyTableLimits,
    create_key_table,
    request_fingerprint,
)
from heatherhead.calls import AttemptState

KEYS = 100_000
CALLS_PER_S = 2_000
TABLE_SIZES = (20_000, 100_000)
LIMITS = KeyTableLimits(max_entries=1_000_000)
CALLER_ID_FORMAT = "7f9c24e8-3b12-4fbe-a8a1-0c5d5d4f{:04x}"


def main() -> None:
    """Run the measurement and save its result."""
    issuer = create_grant_issuer("entry-algarine-07", "1f3a9c20b7e4")
    result: dict[str, float] = {"keys": KEYS}
    result.update(_measure_grants(issuer, KEYS))
    result.update(_measure_keys(issuer, 3 * KEYS))
    result.update(_measure_memory(issuer))
    for name, value in result.items():
        print(f"{name:>24} {value:>12.2f}")
    save_result("keys", {name: round(value, 3) for name, value in result.items()})


def _measure_grants(issuer: GrantIssuer, count: int) -> dict[str, float]:
    began = time.perf_counter()
    grants = [issuer.issue(1_000.0) for _ in range(count)]
    issued = time.perf_counter()
    keys = [parse_key(f"{grant}.{CALLER_ID_FORMAT.format(1)}").unwrap() for grant in grants]
    parsed = time.perf_counter()
    for key in keys:
        issuer.verify(key.grant).unwrap()
    verified = time.perf_counter()
    return {
        "grant_issue_us": (issued - began) / count * 1e6,
        "key_parse_us": (parsed - issued) / count * 1e6,
        "grant_verify_us": (verified - parsed) / count * 1e6,
        "grant_chars": len(grants[0]),
    }


def _measure_keys(issuer: GrantIssuer, count: int) -> dict[str, float]:
    """Begin and finish keys at a steady rate, so that the table expires old ones continuously."""
    table = create_key_table(issuer, LIMITS)
    now = 1_000.0
    spent_s = 0.0
    slowest_s = 0.0
    largest = 0
    for number in range(count):
        now += 1 / CALLS_PER_S
        grant = issuer.verify(parse_key(f"{issuer.issue(now)}.x").unwrap().grant).unwrap()
        began = time.perf_counter()
        _run_key(table, grant, CALLER_ID_FORMAT.format(number % 65_536), now)
        took_s = time.perf_counter() - began
        spent_s += took_s
        slowest_s = max(slowest_s, took_s)
        largest = max(largest, len(table))
    return {
        "key_us": spent_s / count * 1e6,
        "slowest_key_us": slowest_s * 1e6,
        "most_entries": largest,
        "core_percent_at_2000_s": spent_s / count * CALLS_PER_S * 100,
    }


def _run_key(table: KeyTable, grant: object, caller_id: str, now: float) -> None:
    fingerprint = request_fingerprint("POST", "/orders", 200)
    run = table.begin(grant, caller_id, fingerprint, now).unwrap()  # type: ignore[arg-type]
    assert isinstance(run, KeyRun)
    run.begin_attempt()
    run.end_attempt(AttemptState.ANSWERED)
    run.finish_answered(None)


def _measure_memory(issuer: GrantIssuer) -> dict[str, float]:
    by_size = {size: _memory_of(issuer, size) for size in TABLE_SIZES}
    small, large = TABLE_SIZES
    return {
        f"bytes_per_key_{small}": by_size[small] / small,
        "bytes_per_key": by_size[large] / large,
        "bytes_per_key_slope": (by_size[large] - by_size[small]) / (large - small),
    }


def _memory_of(issuer: GrantIssuer, size: int) -> int:
    table = create_key_table(issuer, LIMITS)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(size):
        now = 1_000.0 + number / CALLS_PER_S
        grant = issuer.verify(parse_key(f"{issuer.issue(now)}.x").unwrap().grant).unwrap()
        _run_key(table, grant, CALLER_ID_FORMAT.format(number % 65_536), now)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


if __name__ == "__main__":
    main()

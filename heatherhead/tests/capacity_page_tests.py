"""Tests that `docs/CAPACITY.md` is up to date with the committed measurements."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from bench.capacity import PAGE, create_sizing, render, replace_computed_part

ROOT = Path(__file__).parents[2]


@pytest.fixture(autouse=True)
def in_repository(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)


def test_page_is_current() -> None:
    page = PAGE.read_text(encoding="utf-8")
    assert replace_computed_part(page, render(create_sizing())) == page, "run `make capacity`"


def test_more_calls_need_more_instances() -> None:
    sizing = create_sizing()
    doubled = replace(sizing, target=replace(sizing.target, calls_per_s=2_200_000))
    assert doubled.instances == pytest.approx(2 * sizing.instances, abs=1)
    assert doubled.control_kb_per_s >= sizing.control_kb_per_s


def test_marker_prevents_retries_from_multiplying_across_layers() -> None:
    sizing = create_sizing()
    assert sizing.bottom_attempts(marker=True) == pytest.approx(1.1)
    assert sizing.bottom_attempts(marker=False) == pytest.approx(1.1**23)


def test_exceeded_budget_is_marked() -> None:
    sizing = create_sizing()
    strict = replace(sizing, target=replace(sizing.target, memory_mb=1))
    row = next(line for line in render(strict).splitlines() if line.startswith("| memory a"))
    assert row.endswith("**no** |")

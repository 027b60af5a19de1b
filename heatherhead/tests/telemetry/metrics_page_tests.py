"""Tests that the documentation page of metrics lists every counter and gauge."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
PAGE = PACKAGE.parent / "docs" / "metrics.md"

LITERAL_NAME = re.compile(r"\.(?:count|gauge)\(\s*\"([a-z0-9_.]+)\"")


def test_page_lists_every_counter_and_gauge() -> None:
    names: set[str] = set()
    for path in PACKAGE.rglob("*.py"):
        if "tests" not in path.parts:
            names.update(LITERAL_NAME.findall(path.read_text(encoding="utf-8")))
    assert "calls.answered" in names
    page = PAGE.read_text(encoding="utf-8")
    assert sorted(name for name in names if f"`{name}`" not in page) == []

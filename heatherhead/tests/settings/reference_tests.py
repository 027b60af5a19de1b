"""Tests of `heatherhead.settings.reference`."""

from __future__ import annotations

from pathlib import Path

from heatherhead.settings.reference import render_reference

PAGE = Path(__file__).parents[3] / "docs" / "settings.md"


def test_committed_page_is_up_to_date() -> None:
    assert PAGE.read_text(encoding="utf-8") == render_reference(), "run: make docs"


def test_page_lists_type_bounds_default_and_description() -> None:
    lines = render_reference().splitlines()
    assert "## callers.listen, operators.listen, membership.listen" in lines
    assert (
        "| `statsd_port` | whole number; at least 1; at most 65,535 | `8125` |"
        " UDP port of statsd. |" in lines
    )
    assert any(line.startswith("| `host` | IP number | required |") for line in lines)
    assert "| `upstreams` | list of object; at most 2000 long | `[]` | Servers. |" in lines

"""Tests of the programs in `bench`."""

from __future__ import annotations

import pkgutil
from importlib import import_module

import pytest

import bench


@pytest.mark.parametrize("name", [each.name for each in pkgutil.iter_modules(bench.__path__)])
def test_bench_finds_all_that_it_imports(name: str) -> None:
    """Names had moved out of packages that two benches still imported them from."""
    import_module(f"bench.{name}")

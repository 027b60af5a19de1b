"""Tests that the committed generated code matches the proto file."""

from __future__ import annotations

from pathlib import Path

import pytest

from heatherhead.operators.generate import GENERATED_FILES, generate


def test_committed_code_is_up_to_date(tmp_path: Path) -> None:
    pytest.importorskip("grpc_tools", reason="the proto compiler is not installed")
    generate(tmp_path)
    root = Path(__file__).parents[3]
    for name in GENERATED_FILES:
        assert (tmp_path / name).read_text() == (root / name).read_text(), "run: make generate"

"""Tests of `--check`, which validates a settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.platform.check import EXIT_INVALID, EXIT_OK, run_check
from heatherhead.tests.platform.documents_tests import SETTINGS

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def test_valid_file_is_printed(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "boot.conf"
    path.write_text(SETTINGS)
    assert run_check(["--check", str(path)]) == EXIT_OK
    assert "drain_s = 3.0" in capsys.readouterr().out


def test_invalid_field_is_named(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "boot.conf"
    path.write_text(SETTINGS.replace("Limits.CpuShare=0.5", "Limits.CpuShare=half"))
    assert run_check(["--check", str(path)]) == EXIT_INVALID
    assert "Limits.CpuShare" in capsys.readouterr().err
    assert run_check(["--check", str(tmp_path / "none")]) == EXIT_INVALID


def test_unknown_arguments_are_refused_with_the_usage(capsys: pytest.CaptureFixture[str]) -> None:
    assert run_check(["--sing"]) == EXIT_INVALID
    assert "--check" in capsys.readouterr().err

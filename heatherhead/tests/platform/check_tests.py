"""Tests of the check of a settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.platform.check import EXIT_DONE, EXIT_WRONG, run_check
from heatherhead.tests.platform.documents_tests import SETTINGS

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def test_right_file_is_printed_as_it_is_taken(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "boot.conf"
    path.write_text(SETTINGS)
    assert run_check(["--check", str(path)]) == EXIT_DONE
    assert "drain_s = 3.0" in capsys.readouterr().out


def test_wrong_file_is_told_with_its_field(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "boot.conf"
    path.write_text(SETTINGS.replace("Limits.CpuShare=0.5", "Limits.CpuShare=half"))
    assert run_check(["--check", str(path)]) == EXIT_WRONG
    assert "Limits.CpuShare" in capsys.readouterr().err
    assert run_check(["--check", str(tmp_path / "none")]) == EXIT_WRONG


def test_unknown_words_are_refused_with_the_usage(capsys: pytest.CaptureFixture[str]) -> None:
    assert run_check(["--sing"]) == EXIT_WRONG
    assert "--check" in capsys.readouterr().err

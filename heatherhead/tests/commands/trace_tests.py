"""Tests of the verb that collects the lines about one request from logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.__main__ import main
from heatherhead.commands.exit_codes import ExitCode

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

EDGE_1 = """half a line
time=2026-02-10T03:32:06.100+00:00 level=INFO event=placed id=r1 upstream=i-1 waited_s=0.000
time=2026-02-10T03:32:06.150+00:00 level=INFO event=placed id=r2 upstream=i-2 waited_s=0.000
time=2026-02-10T03:32:06.400+00:00 level=INFO event=timed_out id=r1 upstreams=i-1 sent=1
time=2026-02-10T03:32:06.500+00:00 level=WARNING event=store_lost reason="status 503"
time=2026-02-10T03:32:09.000+00:00 level=INFO event=connect_failed upstream=i-1 reason="late"
"""
EDGE_2 = """time=2026-02-10T03:32:06.300+00:00 level=INFO event=connect_failed upstream=i-1 reason="a b"
time=2026-02-10T03:32:06.310+00:00 level=INFO event=connect_failed upstream=i-9 reason="a b"
time=2026-02-10T03:32:06.320+00:00 level=WARNING event=store_lost reason="of another instance"
"""


def test_lines_of_a_request_are_collected_from_several_logs(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "edge-1.log").write_text(EDGE_1)
    (tmp_path / "edge-2.log").write_text(EDGE_2)
    files = [str(tmp_path / "edge-2.log"), str(tmp_path / "edge-1.log")]
    assert main(["trace", "r1", *files]) == ExitCode.DONE
    lines = capsys.readouterr().out.splitlines()
    assert [line.split(": ")[0] for line in lines] == ["edge-1", "edge-2", "edge-1", "edge-1"]
    assert "event=placed id=r1" in lines[0]
    assert "event=connect_failed upstream=i-1" in lines[1]
    assert "event=timed_out id=r1" in lines[2]
    assert "event=store_lost" in lines[3]


def test_unknown_request_and_missing_file_are_errors(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "edge-1.log").write_text(EDGE_1)
    assert main(["trace", "r7", str(tmp_path / "edge-1.log")]) == ExitCode.NOT_FOUND
    assert "logs of all instances" in capsys.readouterr().err
    assert main(["trace", "r1", str(tmp_path / "none.log")]) == ExitCode.USAGE
    assert "can't be read" in capsys.readouterr().err

"""Tests of `heatherhead.daemon` as a process."""

from __future__ import annotations

import json
import re
import signal
import socket
import subprocess
import sys
import threading
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING

from heatherhead.tests.callers.fakes import settings_for

if TYPE_CHECKING:
    from pathlib import Path

INVALID_SETTINGS = """{
    "operators": {"listen": {"host": "localhost", "port": 1}},
    "routing": {"homes_minimum": 9, "homes_maximum": 8},
    "services": [{"name": "orders", "hosts": ["a.test"]}],
}"""
SETTINGS_WITH_WARNINGS = """{
    "callers": {"listen": {"port": 0}},
    "operators": {"listen": {"port": 0}},
    "membership": {"listen": {"port": 0}},
    "services": [{"name": "orders", "hosts": ["a.test"]}],
}"""


class _UpstreamHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802
        body = self.path.encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        pass


def test_daemon_serves_a_call_and_leaves_on_sigterm(tmp_path: Path) -> None:
    upstream = ThreadingHTTPServer(("127.0.0.1", 0), _UpstreamHandler)
    threading.Thread(target=upstream.serve_forever, daemon=True).start()
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings_for([upstream.server_port])))
    daemon = subprocess.Popen(
        [sys.executable, "-m", "heatherhead.daemon", str(path)], stderr=subprocess.PIPE, text=True
    )
    try:
        assert daemon.stderr is not None
        port = _listening_port(daemon.stderr)
        _wait_for_line(daemon.stderr, "event=started")
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/stock?page=2") as answer:
            assert answer.read() == b"/stock?page=2"
        daemon.send_signal(signal.SIGTERM)
        _wait_for_line(daemon.stderr, "event=stopped")
        assert daemon.wait() == 0
    finally:
        daemon.kill()
        daemon.wait()
        daemon.stderr.close()
        upstream.shutdown()
        upstream.server_close()


def test_check_prints_all_problems_and_warnings(tmp_path: Path) -> None:
    result = _run_daemon(tmp_path, INVALID_SETTINGS, "--check")
    assert result.returncode == 2
    assert "error: operators.listen.host" in result.stderr
    assert "error: routing.homes_minimum" in result.stderr
    assert "warning: services.0.upstreams" in result.stderr


def test_check_of_valid_settings_prints_the_warnings(tmp_path: Path) -> None:
    result = _run_daemon(tmp_path, SETTINGS_WITH_WARNINGS, "--check")
    assert result.returncode == 0
    assert "warning: services.0.upstreams" in result.stdout


def test_daemon_does_not_start_with_contradictory_fields(tmp_path: Path) -> None:
    result = _run_daemon(tmp_path, INVALID_SETTINGS)
    assert result.returncode == 2
    assert "operators.listen.host" in result.stderr
    assert "routing.homes_minimum" in result.stderr


def test_start_logs_the_warnings(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text(SETTINGS_WITH_WARNINGS)
    daemon = subprocess.Popen(
        [sys.executable, "-m", "heatherhead.daemon", str(path)], stderr=subprocess.PIPE, text=True
    )
    try:
        assert daemon.stderr is not None
        line = _wait_for_line(daemon.stderr, "event=settings_warning")
        assert "field=services.0.upstreams" in line
    finally:
        daemon.kill()
        daemon.wait()
        daemon.stderr.close()


def _run_daemon(tmp_path: Path, settings: str, *options: str) -> subprocess.CompletedProcess[str]:
    path = tmp_path / "settings.json"
    path.write_text(settings)
    return subprocess.run(
        [sys.executable, "-m", "heatherhead.daemon", *options, str(path)],
        capture_output=True,
        text=True,
    )


def _listening_port(lines: object) -> int:
    line = _wait_for_line(lines, "listener=callers")
    match = re.search(r"port=(\d+)", line)
    assert match
    return int(match.group(1))


def _wait_for_line(lines: object, text: str) -> str:
    for line in lines:  # type: ignore[attr-defined]
        if text in line:
            return line
    raise AssertionError(f"the daemon ended before it logged {text}")


def test_address_in_use_is_logged_as_a_failed_start(tmp_path: Path) -> None:
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        settings = settings_for([1])
        settings["callers"]["listen"]["port"] = occupied.getsockname()[1]
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings))
        result = subprocess.run(
            [sys.executable, "-m", "heatherhead.daemon", str(path)], capture_output=True, text=True
        )
    assert result.returncode == 1
    assert "event=start_failed" in result.stderr
    assert "Address already in use" in result.stderr

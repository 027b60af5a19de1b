"""Starts and stops the processes of a benchmark: daemons, fake upstreams and load generators."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import SystemRandom
from typing import TYPE_CHECKING, Any, Self

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.fake_upstream import UpstreamScript

__all__ = [
    "DaemonPorts",
    "Fleet",
    "cpu_seconds",
    "free_ports",
    "rss_mb",
    "save_result",
    "standalone_daemon_settings",
]

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
# Below the ephemeral ports: an outgoing connection could otherwise occupy a daemon's port first.
LISTEN_PORT_RANGE = range(12_000, 32_000)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
OUT_DIRECTORY = Path("bench/out")


@dataclass(frozen=True, slots=True)
class DaemonPorts:
    """The loopback ports on which one daemon listens."""

    id: str
    callers: int
    operators: int
    peers: int


@dataclass(slots=True)
class Fleet:
    """Runs processes in a scratch directory; leaving its context kills all of them."""

    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="heatherhead-")))
    process_by_name: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_all()

    def start(self, name: str, arguments: Sequence[str]) -> subprocess.Popen[bytes]:
        """Start `python -m` with the arguments; stdout goes to NAME.out and stderr to NAME.log."""
        with (
            (self.directory / f"{name}.out").open("wb") as output,
            (self.directory / f"{name}.log").open("ab") as log,
        ):
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=output, stderr=log, close_fds=True
            )
        self.process_by_name[name] = process
        return process

    def start_upstreams(self, name: str, scripts: Sequence[UpstreamScript]) -> None:
        """Start one process of fake upstreams and wait until it listens."""
        path = self.write_json(f"{name}.json", [asdict(each) for each in scripts])
        self.start(name, ["bench.fake_upstream", str(path)])
        self.wait_for(lambda: self.output(name).startswith("ready"), f"upstreams {name}")

    def start_daemon(self, ports: DaemonPorts, settings: dict[str, Any]) -> None:
        """Start a daemon with these settings; use `wait_ready` to wait until it serves."""
        path = self.write_json(f"{ports.id}.json", settings)
        self.start(ports.id, ["heatherhead.daemon", str(path)])

    def wait_ready(self, ports: DaemonPorts) -> None:
        """Wait until a daemon reports that it is ready."""
        url = f"http://127.0.0.1:{ports.callers}/v1/ready"
        self.wait_for(lambda: _is_ready(url), f"daemon {ports.id}")

    def wait_for(self, condition: Any, description: str) -> None:
        """Poll until a condition holds; raise `TimeoutError` after `START_TIMEOUT_S`."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"{description} did not start within {START_TIMEOUT_S} s; "
                    f"logs are in {self.directory}"
                )
            time.sleep(POLL_INTERVAL_S)

    def write_json(self, name: str, document: object) -> Path:
        """Write a document as JSON into the scratch directory and return its path."""
        path = self.directory / name
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    def output(self, name: str) -> str:
        """Return what a process has printed so far."""
        return (self.directory / f"{name}.out").read_text(encoding="utf-8")

    def log(self, name: str) -> str:
        """Return what a process has logged so far."""
        return (self.directory / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of this fleet."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Terminate one process and return its exit code; kill it after `STOP_TIMEOUT_S`."""
        process = self.process_by_name.pop(name)
        process.terminate()
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> None:
        """Kill every process, paused ones included."""
        for process in self.process_by_name.values():
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.process_by_name.clear()


def standalone_daemon_settings(daemon: DaemonPorts, service: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a single daemon with the embedded store and one service."""
    return {
        "instance": {"id": daemon.id},
        "callers": {"listen": {"port": daemon.callers}},
        "operators": {"listen": {"port": daemon.operators}},
        "membership": {"listen": {"port": daemon.peers}},
        "telemetry": {"log_level": "WARNING"},
        "services": [service],
    }


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now, chosen at random from `LISTEN_PORT_RANGE`."""
    sockets: list[socket.socket] = []
    candidates = SystemRandom().sample(LISTEN_PORT_RANGE, len(LISTEN_PORT_RANGE))
    try:
        for port in candidates:
            if len(sockets) == count:
                break
            bound = socket.socket()
            try:
                bound.bind(("127.0.0.1", port))
            except OSError:
                bound.close()
            else:
                sockets.append(bound)
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def rss_mb(process_id: int) -> float:
    """Return a process's resident memory in MB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu_seconds(process_id: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def save_result(name: str, result: dict[str, Any]) -> None:
    """Write a result to `bench/out` for `make capacity` and print it as the last line."""
    OUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    (OUT_DIRECTORY / f"{name}.json").write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result), flush=True)


def _is_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1) as answer:
            return answer.status == 200
    except (urllib.error.URLError, ConnectionError, TimeoutError):
        return False

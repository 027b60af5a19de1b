"""Tests of signals and changed files at each moment of a daemon's start and stop."""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import ssl
import subprocess
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from heatherhead.tests.callers.fakes import settings_for
from heatherhead.tests.certificates import AUTHORITY, INSTANCE, STRANGER

if TYPE_CHECKING:
    from collections.abc import Iterator

# Loopback addresses that no other run of the tests uses.
_PREFIX = f"127.{16 + os.getpid() // 250 % 200}.{1 + os.getpid() % 250}"
OWN_HOST, OLD_SEED, NEW_SEED = (f"{_PREFIX}.{number}" for number in (1, 2, 3))
CONTROL_PORT, PEER_PORT, CLOSED_PORT = 18721, 18724, 18729
PLATFORM_SETTINGS = f"""
NodeName=edge-1
Ip={OWN_HOST}
Zone=zone-1
Region=region-1
Zones.zone-1=region-1
Listen.Front={OWN_HOST}:18722
Listen.Readiness={OWN_HOST}:18723
Listen.Directory={OWN_HOST}:{CONTROL_PORT}
InternalPorts={PEER_PORT},{PEER_PORT + 3}
SeedNodes={OLD_SEED}:{CONTROL_PORT}
PlatformConfig.Address={OWN_HOST}:{CLOSED_PORT}
"""
CONNECT_TIMEOUT_S = 20.0
END_TIMEOUT_S = 30.0

# Moments are functions that are called for the first time then, see `moments.py`.
PLATFORM_START = [
    "platform/daemon.py:<module>",
    "entry/service.py:<module>",
    "platform/settings_file.py:read_settings",
    "platform/settings_file.py:settings_from_text",
    "platform/store.py:create_platform_store",
    "entry/service.py:start",
    "platform/daemon.py:poll",
]
PLATFORM_STOP = [
    "entry/service.py:leave",
    "entry/service.py:stop",
    "asyncio/runners.py:close",
    "exit",
]
OWN_START = [
    "heatherhead/assembly.py:<module>",
    "settings/check.py:load_checked_settings",
    "heatherhead/assembly.py:create_assembly",
    "heatherhead/assembly.py:start",
    "configuration/service.py:start",
]
OWN_STOP = [
    "heatherhead/assembly.py:leave",
    "heatherhead/assembly.py:stop",
    "asyncio/runners.py:close",
    "exit",
]


class _Daemon:
    """A daemon process whose log lines are read in the background."""

    def __init__(self, moment: str, signals: str, files: str, *module: str, **env: str) -> None:
        # A parent such as nohup may ignore SIGHUP, which its children inherit.
        prefix = ["env", "--default-signal=HUP,INT,TERM", sys.executable]
        launcher = ["-m", "heatherhead.tests.moments", moment, signals, files]
        self.process = subprocess.Popen(
            [*prefix, *launcher, *module],
            env={**os.environ, **env},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.lines: list[str] = []
        self._seen = threading.Condition()
        self._reader = threading.Thread(target=self._read)
        self._reader.start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        with self.process.stdout as stream:
            for line in stream:
                with self._seen:
                    self.lines.append(line)
                    self._seen.notify_all()

    def wait_for(self, text: str) -> str:
        """Return the first log line with a text."""

        def find() -> str:
            return next((each for each in self.lines if text in each), "")

        with self._seen:
            assert self._seen.wait_for(find, END_TIMEOUT_S), "".join(self.lines)
            return find()

    def stop(self) -> int:
        """Send SIGTERM, and return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Return the exit status."""
        return self.process.wait(END_TIMEOUT_S)

    def kill(self) -> None:
        """End the process, if it still runs."""
        self.process.kill()
        self.process.wait()
        self._reader.join()


@contextlib.contextmanager
def _platform_daemon(
    tmp_path: Path, moment: str, signals: str, seed: str = ""
) -> Iterator[_Daemon]:
    """Run a platform daemon, which replaces its seeds if there is a new one."""
    path = tmp_path / "settings.conf"
    path.write_text(PLATFORM_SETTINGS)
    files = ""
    if seed:
        changed = tmp_path / "changed.conf"
        changed.write_text(PLATFORM_SETTINGS.replace(OLD_SEED, seed))
        files = f"{changed}={path}"
    daemon = _Daemon(moment, signals, files, "heatherhead.platform", HEATHERHEAD_BOOT=str(path))
    try:
        yield daemon
    finally:
        daemon.kill()


@contextlib.contextmanager
def _own_daemon(tmp_path: Path, moment: str, signals: str) -> Iterator[_Daemon]:
    """Run a `heatherheadd`, which replaces its certificate if it gets SIGHUP."""
    pairs = []
    for name, current, changed in zip(("own.pem", "own.key"), INSTANCE, STRANGER, strict=True):
        shutil.copy(current, tmp_path / name)
        shutil.copy(changed, tmp_path / f"changed-{name}")
        pairs.append(f"{tmp_path}/changed-{name}={tmp_path}/{name}")
    files = ",".join(pairs) if "SIGHUP" in signals else ""
    tls = {"certificate": str(tmp_path / "own.pem"), "key": str(tmp_path / "own.key")}
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings_for([1], callers={"listen": {"port": 0, "tls": tls}})))
    daemon = _Daemon(moment, signals, files, "heatherhead.daemon", str(path))
    try:
        yield daemon
    finally:
        daemon.kill()


@pytest.mark.parametrize("signals", ["SIGHUP", ""])
@pytest.mark.parametrize("moment", PLATFORM_START)
def test_seeds_that_change_during_the_start_are_followed(
    tmp_path: Path, moment: str, signals: str
) -> None:
    # review/13: SIGHUP ended a process that was importing its modules; without it, a change
    # between the read of the file and the first check of its age was never applied.
    with socket.create_server((NEW_SEED, PEER_PORT)) as seed:
        seed.settimeout(CONNECT_TIMEOUT_S)
        with _platform_daemon(tmp_path, moment, signals, NEW_SEED) as daemon:
            connection, _ = seed.accept()
            connection.close()
            assert daemon.stop() == 0


@pytest.mark.parametrize("signals", ["SIGTERM", "SIGINT"])
@pytest.mark.parametrize("moment", PLATFORM_START)
def test_stop_of_a_starting_platform_daemon_is_graceful(
    tmp_path: Path, moment: str, signals: str
) -> None:
    with _platform_daemon(tmp_path, moment, signals) as daemon:
        assert daemon.wait() == 0
    listened = any("event=starting" in line for line in daemon.lines)
    assert listened == any("event=stopped" in line for line in daemon.lines)
    assert not any("Traceback" in line for line in daemon.lines)


@pytest.mark.parametrize("moment", PLATFORM_STOP)
def test_signals_do_not_cut_the_stop_of_a_platform_daemon_short(
    tmp_path: Path, moment: str
) -> None:
    # A signal after the loop was closed ended the process with that signal as its status.
    with _platform_daemon(tmp_path, moment, "SIGHUP,SIGTERM,SIGINT") as daemon:
        daemon.wait_for("event=started")
        assert daemon.stop() == 0
    assert any("event=stopped" in line for line in daemon.lines)


@pytest.mark.parametrize("moment", OWN_START)
def test_certificate_that_changes_during_the_start_is_used(tmp_path: Path, moment: str) -> None:
    # SIGHUP ended `heatherheadd` until it had started.
    with _own_daemon(tmp_path, moment, "SIGHUP") as daemon:
        daemon.wait_for("event=reloaded")
        port = int(daemon.wait_for("listener=callers").rpartition("port=")[2])
        assert _served_certificate(port) == _der(STRANGER[0])
        assert daemon.stop() == 0


@pytest.mark.parametrize("signals", ["SIGTERM", "SIGINT"])
@pytest.mark.parametrize("moment", OWN_START)
def test_stop_of_a_starting_daemon_is_graceful(tmp_path: Path, moment: str, signals: str) -> None:
    # A stop that came after the listeners were open cut the calls in progress.
    with _own_daemon(tmp_path, moment, signals) as daemon:
        assert daemon.wait() == 0
    listened = any("listener=callers" in line for line in daemon.lines)
    assert listened == any("event=stopped" in line for line in daemon.lines)
    assert not any("Traceback" in line for line in daemon.lines)


@pytest.mark.parametrize("moment", OWN_STOP)
def test_sighup_does_not_cut_the_stop_of_a_daemon_short(tmp_path: Path, moment: str) -> None:
    with _own_daemon(tmp_path, moment, "SIGHUP") as daemon:
        daemon.wait_for("event=started")
        assert daemon.stop() == 0
    assert any("event=stopped" in line for line in daemon.lines)


@pytest.mark.parametrize("moment", OWN_STOP)
def test_second_stop_signal_ends_a_daemon_only_while_it_stops(tmp_path: Path, moment: str) -> None:
    has_stopped = moment in ("asyncio/runners.py:close", "exit")
    with _own_daemon(tmp_path, moment, "SIGTERM,SIGINT") as daemon:
        daemon.wait_for("event=started")
        assert daemon.stop() == (0 if has_stopped else -signal.SIGTERM)
    assert any("event=stopped" in line for line in daemon.lines) == has_stopped


def _served_certificate(port: int) -> bytes | None:
    context = ssl.create_default_context(cafile=str(AUTHORITY))
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    with (
        socket.create_connection(("127.0.0.1", port), END_TIMEOUT_S) as plain,
        context.wrap_socket(plain) as secured,
    ):
        return secured.getpeercert(binary_form=True)


def _der(certificate: str) -> bytes:
    return ssl.PEM_cert_to_DER_cert(Path(certificate).read_text())

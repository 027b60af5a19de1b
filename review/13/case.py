"""Case 13: a process that gets SIGHUP while it starts ends."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins3 import fleet
from standins3.store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = ["127.13.3.1", "127.13.3.2"]
ROUNDS = 5
GRACE_S = 6.0
SIGNAL_AFTER_S = 0.05  # after the start whose machine the new settings name first
RESTART_S = 0.5
CONFIGURATION = {
    "ConfigVersion": 7,
    "Routes": {},
    "Services": {},
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeoutS": 3,
        "IdleTimeoutS": 15,
    },
}


class Case:
    """Two machines that are stopped and started in turn."""

    def __init__(self, folder: Path) -> None:
        self.store = Store("127.13.0.1", 18384)
        self.daemons = [
            fleet.Daemon(folder, host, zone, MACHINES, "127.13.0.1:18384")
            for host, zone in zip(MACHINES, fleet.ZONES, strict=True)
        ]
        self.stopped: set[str] = set()  # machines whose process the platform stops
        self.ends: list[tuple[float, str, int, float]] = []
        self.events: list[str] = []
        self.began = time.monotonic()

    async def play(self) -> None:
        """Start the machines, then stop and start each of them in turn."""
        await self.store.start()
        self.store.put("op/config", CONFIGURATION)
        for daemon in self.daemons:
            daemon.start()
        watch = asyncio.create_task(self._restart_ended())
        for daemon in self.daemons:
            await daemon.wait_ready()
        for number in range(ROUNDS):
            for daemon in self.daemons:
                await self._roll(daemon, number)
        watch.cancel()

    async def _roll(self, daemon: fleet.Daemon, number: int) -> None:
        """Stop a machine's process as planned, start it again, and change the settings of all."""
        self.stopped.add(daemon.name)
        daemon.signal(signal.SIGTERM)
        if await daemon.ended(GRACE_S) is None:
            daemon.signal(signal.SIGKILL)
            await daemon.ended(1.0)
        await asyncio.sleep(0.3)
        daemon.start()
        self.stopped.discard(daemon.name)
        await asyncio.sleep(SIGNAL_AFTER_S)
        seeds = MACHINES if number % 2 else MACHINES[::-1]
        for each in self.daemons:
            self._change_seeds(each, seeds)
            if TROUBLE:
                each.signal(signal.SIGHUP)
        self._note(f"round {number + 1}: {daemon.name} was started, new seeds for both machines")
        await asyncio.sleep(RESTART_S + 0.5)
        await daemon.wait_ready()

    def _change_seeds(self, daemon: fleet.Daemon, seeds: list[str]) -> None:
        lines = daemon.settings.read_text().splitlines()
        text = "SeedNodes=" + ",".join(f"{each}:{fleet.CONTROL}" for each in seeds)
        changed = [text if line.startswith("SeedNodes=") else line for line in lines]
        replacement = daemon.settings.with_suffix(".new")
        replacement.write_text("\n".join(changed) + "\n")
        replacement.replace(daemon.settings)

    async def _restart_ended(self) -> None:
        """Start a process again that has ended by itself, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            for daemon in self.daemons:
                process = daemon.process
                if daemon.name in self.stopped or process is None or process.poll() is None:
                    continue
                ran_s = time.monotonic() - daemon.started_at
                self.ends.append((self._now(), daemon.name, process.returncode, ran_s))
                self._note(f"{daemon.name} has ended by itself: status {process.returncode}")
                await asyncio.sleep(RESTART_S)
                daemon.start()

    def _now(self) -> float:
        return time.monotonic() - self.began

    def _note(self, text: str) -> None:
        self.events.append(f"{self._now():6.2f} s {text}")


def main() -> int:
    """Play the case and write the record."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes too
    record = Path(__file__).with_name("record.txt")
    with tempfile.TemporaryDirectory() as name:
        case = Case(Path(name))
        try:
            asyncio.run(case.play())
        except (OSError, TimeoutError) as error:
            record.write_text(f"could not run: {error!r}\n" + "\n".join(case.events) + "\n")
            return 2
        finally:
            for daemon in case.daemons:
                daemon.end()
    count = Counter(each for _, each, _, _ in case.ends)
    broken = sum(number >= 3 for number in count.values()) >= 2
    lines = [f"trouble: {TROUBLE}", *case.events]
    lines += [f"{each}: {count[each]} ends by itself" for each in sorted(count)]
    lines.append("Fault: three ends on two machines" if broken else "no Fault")
    record.write_text("\n".join(lines) + "\n")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

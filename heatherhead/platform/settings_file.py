"""Reads the platform's settings file: lines of `a.b=value`, with comma-separated lists."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from heatherhead.entry.settings import EntrySettings, HostPort
from heatherhead.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TypeVar

    T = TypeVar("T")

__all__ = ["read_settings", "settings_path", "settings_from_text"]

PATH_VARIABLE = "HEATHERHEAD_BOOT"
# The settings file belongs to the platform and has no field for it.
HEDGE_RATIO_VARIABLE = "HEATHERHEAD_HEDGE_RATIO"
DEFAULT_PATH = "/etc/heatherhead/boot.conf"


@dataclass(frozen=True, slots=True)
class _Fields:
    """The fields of the file by dotted name; unknown ones are ignored."""

    by_name: dict[str, str]

    def text(self, name: str) -> str:
        """Return a required field."""
        try:
            return self.by_name[name]
        except KeyError:
            raise SettingsError(name, "is missing", remedy="set it") from None

    def get(self, name: str, convert: Callable[[str], T], default: T) -> T:
        """Return a converted field, or the default if it is absent or empty."""
        text = self.by_name.get(name, "")
        if not text:
            return default
        return _convert(name, text, convert)

    def address(self, name: str) -> HostPort:
        """Return a required address."""
        return _convert(name, self.text(name), _host_port)


def _convert(name: str, text: str, convert: Callable[[str], T]) -> T:
    try:
        return convert(text)
    except ValueError as error:
        raise SettingsError(
            name, f"{text!r} can't be read: {error}", remedy="correct the value"
        ) from error


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read_settings(path: str) -> EntrySettings:
    """Read and validate the file; raises `SettingsError`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            path, f"can't be read: {error}", remedy=f"write the file, or set {PATH_VARIABLE}"
        ) from error
    return settings_from_text(text)


def settings_from_text(text: str) -> EntrySettings:
    """Convert the text of a settings file; raises `SettingsError`."""
    fields = _Fields(_parse_lines(text))
    bounds = _Fields(_parse_bounds(fields.by_name.get("Bounds", "")))
    first_port, last_port = _convert("InternalPorts", fields.text("InternalPorts"), _port_range)
    zones = {
        name.removeprefix("Zones."): region
        for name, region in fields.by_name.items()
        if name.startswith("Zones.")
    }
    return EntrySettings(
        instance=fields.text("NodeName"),
        host=fields.text("Ip"),
        availability_zone=fields.text("Zone"),
        region=fields.text("Region"),
        region_by_zone=zones,
        callers=fields.address("Listen.Front"),
        readiness=fields.address("Listen.Readiness"),
        addresses=fields.address("Listen.Directory"),
        control=fields.get("Listen.Control", _host_port, None),
        peer_port=first_port,
        detour_port=first_port + 1 if first_port < last_port else None,
        metrics_port=last_port,
        seeds=fields.get("SeedNodes", _host_ports, ()),
        store=fields.address("PlatformConfig.Address"),
        min_lease_s=fields.get("PlatformConfig.MinTtlS", float, 1.0),
        cpu_cores=fields.get("Limits.CpuShare", float, 1.0)
        * fields.get("Limits.CpuCores", float, 1.0),
        link_mbps=fields.get("Limits.LinkMbps", float, 1000.0),
        memory_mb=fields.get("Limits.MemoryMb", float, 300.0),
        max_descriptors=fields.get("Limits.MaxFds", int, 4096),
        drain_s=bounds.get("DrainS", float, 2.5),
        grace_s=bounds.get("GraceS", float, 6.0),
        address_ttl_max_s=bounds.get("ttl_max_s", float, 5.0),
        retry_ratio=bounds.get("RetryBudgetRatio", float, 0.2),
        retry_window_s=bounds.get("BudgetWindowS", float, 10.0),
        retry_slack=bounds.get("BudgetSlack", float, 50.0),
        hedge_ratio=_Fields(dict(os.environ)).get(HEDGE_RATIO_VARIABLE, _ratio, 0.0),
        probes_per_s=bounds.get("ProbesPerS", float, 60.0),
        cap_window_s=bounds.get("QuotaWindowS", float, 5.0),
        cap_overage=bounds.get("QuotaOverage", float, 0.1),
        cap_slack=bounds.get("QuotaSlack", float, 20.0),
    )


def _parse_lines(text: str) -> dict[str, str]:
    by_name = {}
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        name, separator, value = stripped.partition("=")
        if not separator:
            raise SettingsError(f"line {number}", "has no '='", remedy="write it as name=value")
        by_name[name.strip()] = value.strip()
    return by_name


def _parse_bounds(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split(",") if part)
    return {name.strip(): value.strip() for name, _, value in pairs}


def _ratio(text: str) -> float:
    ratio = float(text)
    if not 0 <= ratio <= 1:
        raise ValueError("it is not between 0 and 1")
    return ratio


def _host_port(text: str) -> HostPort:
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError("no host before the port")
    return HostPort(host, int(port))


def _host_ports(text: str) -> tuple[HostPort, ...]:
    return tuple(_host_port(part.strip()) for part in text.split(",") if part.strip())


def _port_range(text: str) -> tuple[int, int]:
    first, _, last = text.partition(",")
    return int(first), int(last or first)

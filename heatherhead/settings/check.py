"""Checks a settings file as a whole: all wrong fields, and fields that do not fit together."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from heatherhead.configuration.schema import service_from_schema
from heatherhead.configuration.service_checks import all_overlaps, warnings_of
from heatherhead.exceptions import FieldProblem, SettingsError
from heatherhead.settings.loader import load_settings
from heatherhead.settings.tls import create_server_context

if TYPE_CHECKING:
    from collections.abc import Iterator

    from heatherhead.settings.instance import ListenSettings
    from heatherhead.settings.schema import Settings

__all__ = ["SettingsReport", "check_settings", "check_settings_file", "load_checked_settings"]


@dataclass(frozen=True, slots=True)
class SettingsReport:
    """What a check found: problems keep a daemon from starting, warnings do not."""

    problems: tuple[FieldProblem, ...] = ()
    warnings: tuple[FieldProblem, ...] = ()

    def __str__(self) -> str:
        lines = [f"error: {each}" for each in self.problems]
        lines += [f"warning: {each}" for each in self.warnings]
        lines.append(
            f"{len(self.problems)} errors, {len(self.warnings)} warnings"
            if lines
            else "the settings are in order"
        )
        return "\n".join(lines)


def check_settings_file(path: str) -> SettingsReport:
    """Check a settings file and report everything that is found; raises nothing."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        return SettingsReport(problems=error.problems)
    return check_settings(settings)


def load_checked_settings(path: str) -> tuple[Settings, SettingsReport]:
    """Load a settings file for a daemon; raises `SettingsError` that carries all problems."""
    settings = load_settings(path)
    report = check_settings(settings)
    if report.problems:
        first, *others = report.problems
        raise SettingsError(first.path, first.reason, remedy=first.remedy, others=tuple(others))
    return settings, report


def check_settings(settings: Settings) -> SettingsReport:
    """Check how the fields of valid settings fit together."""
    problems = [
        *_addresses(settings),
        *_ports(settings),
        *_tls_files(settings),
        *_store_and_list(settings),
        *_orders(settings),
        *_services(settings),
    ]
    warnings = [
        *_strangers(settings),
        *_alone(settings),
        *_doubtful_services(settings),
    ]
    return SettingsReport(tuple(problems), tuple(warnings))


def _listeners(settings: Settings) -> dict[str, ListenSettings]:
    return {
        "callers.listen": settings.callers.listen,
        "operators.listen": settings.operators.listen,
        "membership.listen": settings.membership.listen,
    }


def _addresses(settings: Settings) -> Iterator[FieldProblem]:
    for path, listen in _listeners(settings).items():
        if not _is_ip(listen.host):
            yield _no_ip(f"{path}.host", listen.host)
    sections = {"callers": settings.callers, "membership": settings.membership}
    for name, section in sections.items():
        advertised = section.advertised_host
        if advertised is not None and not _is_ip(advertised):
            yield _no_ip(f"{name}.advertised_host", advertised)
        elif _is_wildcard(advertised or section.listen.host):
            yield FieldProblem(
                f"{name}.advertised_host",
                f"nobody can connect to {advertised or section.listen.host}",
                "set it to the IP number that this instance is reached by",
            )


def _no_ip(path: str, text: str) -> FieldProblem:
    return FieldProblem(path, f"{text!r} is no IP number", "host names are not looked up; give one")


def _ports(settings: Settings) -> Iterator[FieldProblem]:
    path_by_port: dict[int, str] = {}
    for path, listen in _listeners(settings).items():
        first = path_by_port.setdefault(listen.port, path)
        if listen.port == 0 or first == path:
            continue
        hosts = {listen.host, _listeners(settings)[first].host}
        if len(hosts) == 1 or any(_is_wildcard(host) for host in hosts):
            yield FieldProblem(
                f"{path}.port", f"{listen.port} is the port of {first} too", "choose another port"
            )


def _tls_files(settings: Settings) -> Iterator[FieldProblem]:
    for path, listen in _listeners(settings).items():
        if listen.tls is None:
            continue
        try:
            create_server_context(listen.tls)
        except SettingsError as error:
            first = error.problems[0]
            yield FieldProblem(f"{path}.{first.path}", first.reason, first.remedy)


def _store_and_list(settings: Settings) -> Iterator[FieldProblem]:
    for index, url in enumerate(settings.store.urls):
        if not _is_url(url):
            yield _no_url(f"store.urls.{index}", url)
    list_url = settings.membership.instance_list_url
    if list_url is None:
        return
    if not _is_url(list_url):
        yield _no_url("membership.instance_list_url", list_url)
    if not settings.store.urls:
        yield FieldProblem(
            "store.urls",
            "several instances need the platform's store",
            "name the store's URLs, or leave out membership.instance_list_url",
        )


def _no_url(path: str, text: str) -> FieldProblem:
    return FieldProblem(path, f"{text!r} is no URL", "write it as http://IP-NUMBER:PORT")


def _orders(settings: Settings) -> Iterator[FieldProblem]:
    """Find pairs of fields of which the first must be the smaller one."""
    membership, routing = settings.membership, settings.routing
    pairs = (
        ("membership.heartbeat_ms", membership.heartbeat_ms, "suspect_after_ms",
         membership.suspect_after_ms - 1),
        ("membership.list_poll_s", membership.list_poll_s, "list_seldom_poll_s",
         membership.list_seldom_poll_s),
        ("routing.health_timeout_ms", routing.health_timeout_ms, "health_interval_ms",
         routing.health_interval_ms),
        ("routing.homes_minimum", routing.homes_minimum, "homes_maximum", routing.homes_maximum),
    )  # fmt: skip
    for path, value, other, bound in pairs:
        if value > bound:
            section = path.partition(".")[0]
            yield FieldProblem(
                path,
                f"{value} is too large beside {section}.{other}",
                f"lower it, or raise {other}",
            )


def _services(settings: Settings) -> Iterator[FieldProblem]:
    services = [service_from_schema(each) for each in settings.services]
    names: set[str] = set()
    for index, service in enumerate(services):
        if service.name in names:
            yield FieldProblem(
                f"services.{index}.name",
                f"{service.name} is the name of an earlier service",
                "choose another name",
            )
        names.add(service.name)
    for service, problem in all_overlaps(services):
        path = f"services.{services.index(service)}.{problem.path}"
        yield FieldProblem(path, problem.reason, problem.remedy)


def _strangers(settings: Settings) -> Iterator[FieldProblem]:
    """Find ports for operators and peers that are open to strangers."""
    for path in ("operators.listen", "membership.listen"):
        listen = _listeners(settings)[path]
        has_client_ca = listen.tls is not None and listen.tls.client_ca is not None
        if not has_client_ca and _is_ip(listen.host) and not _is_loopback(listen.host):
            yield FieldProblem(
                f"{path}.tls",
                f"everyone who reaches {listen.host} is let in",
                "set tls with client_ca, or let the network keep strangers out",
            )


def _alone(settings: Settings) -> Iterator[FieldProblem]:
    if settings.store.urls and settings.membership.instance_list_url is None:
        yield FieldProblem(
            "membership.instance_list_url",
            "without it this instance knows of no others",
            "name the platform's instance list",
        )
    if settings.store.urls and settings.services:
        yield FieldProblem(
            "services",
            "they are put into the embedded store only, and store.urls names another one",
            "put them with: heatherhead services put",
        )


def _doubtful_services(settings: Settings) -> Iterator[FieldProblem]:
    regions: set[str] = set()
    for index, schema in enumerate(settings.services):
        service = service_from_schema(schema)
        regions.update(each.region for each in service.upstreams)
        for warning in warnings_of(service):
            yield FieldProblem(f"services.{index}.{warning.path}", warning.reason, warning.remedy)
    if regions and settings.instance.region not in regions:
        yield FieldProblem(
            "instance.region",
            f"no upstream is in region {settings.instance.region}",
            f"name a region of the upstreams, as {min(regions)}",
        )


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_wildcard(text: str) -> bool:
    return _is_ip(text) and ipaddress.ip_address(text).is_unspecified


def _is_loopback(text: str) -> bool:
    return ipaddress.ip_address(text).is_loopback


def _is_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False

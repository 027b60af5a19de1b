"""Checks a settings file: invalid fields, and fields that are inconsistent with each other."""

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
    """The result of a check: problems prevent a daemon from starting, warnings do not."""

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
    """Check a settings file; an unreadable or invalid file is reported and not raised."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        return SettingsReport(problems=error.problems)
    return check_settings(settings)


def load_checked_settings(path: str) -> tuple[Settings, SettingsReport]:
    """Load and check a settings file; raises `SettingsError` with all problems."""
    settings = load_settings(path)
    report = check_settings(settings)
    if report.problems:
        first, *other_problems = report.problems
        raise SettingsError(
            first.path, first.reason, remedy=first.remedy, other_problems=tuple(other_problems)
        )
    return settings, report


def check_settings(settings: Settings) -> SettingsReport:
    """Check that the fields of valid settings are consistent with each other."""
    problems = [
        *_check_addresses(settings),
        *_check_ports(settings),
        *_check_tls_files(settings),
        *_check_store_and_instance_list(settings),
        *_check_ordered_fields(settings),
        *_check_services(settings),
    ]
    warnings = [
        *_warn_of_open_listeners(settings),
        *_warn_of_store_settings(settings),
        *_warn_of_services(settings),
    ]
    return SettingsReport(tuple(problems), tuple(warnings))


def _listen_settings_by_path(settings: Settings) -> dict[str, ListenSettings]:
    return {
        "callers.listen": settings.callers.listen,
        "operators.listen": settings.operators.listen,
        "membership.listen": settings.membership.listen,
    }


def _check_addresses(settings: Settings) -> Iterator[FieldProblem]:
    for path, listen in _listen_settings_by_path(settings).items():
        if not _is_ip(listen.host):
            yield _not_an_ip(f"{path}.host", listen.host)
    sections = {"callers": settings.callers, "membership": settings.membership}
    for name, section in sections.items():
        advertised = section.advertised_host
        if advertised is not None and not _is_ip(advertised):
            yield _not_an_ip(f"{name}.advertised_host", advertised)
        elif _is_wildcard(advertised or section.listen.host):
            yield FieldProblem(
                f"{name}.advertised_host",
                f"{advertised or section.listen.host} is not an address to connect to",
                "set it to the IP number at which this instance can be reached",
            )


def _not_an_ip(path: str, text: str) -> FieldProblem:
    return FieldProblem(
        path, f"{text!r} is not an IP number", "set an IP number; host names are not looked up"
    )


def _check_ports(settings: Settings) -> Iterator[FieldProblem]:
    path_by_port: dict[int, str] = {}
    for path, listen in _listen_settings_by_path(settings).items():
        first = path_by_port.setdefault(listen.port, path)
        if listen.port == 0 or first == path:
            continue
        hosts = {listen.host, _listen_settings_by_path(settings)[first].host}
        if len(hosts) == 1 or any(_is_wildcard(host) for host in hosts):
            yield FieldProblem(
                f"{path}.port", f"port {listen.port} is also used by {first}", "choose another port"
            )


def _check_tls_files(settings: Settings) -> Iterator[FieldProblem]:
    for path, listen in _listen_settings_by_path(settings).items():
        if listen.tls is None:
            continue
        try:
            create_server_context(listen.tls)
        except SettingsError as error:
            first = error.problems[0]
            yield FieldProblem(f"{path}.{first.path}", first.reason, first.remedy)


def _check_store_and_instance_list(settings: Settings) -> Iterator[FieldProblem]:
    for index, url in enumerate(settings.store.urls):
        if not _is_url(url):
            yield _not_a_url(f"store.urls.{index}", url)
    list_url = settings.membership.instance_list_url
    if list_url is None:
        return
    if not _is_url(list_url):
        yield _not_a_url("membership.instance_list_url", list_url)
    if not settings.store.urls:
        yield FieldProblem(
            "store.urls",
            "several instances can't share the embedded store",
            "set the URLs of the platform's store, or leave out membership.instance_list_url",
        )


def _not_a_url(path: str, text: str) -> FieldProblem:
    return FieldProblem(path, f"{text!r} is not a URL", "write it as http://IP-NUMBER:PORT")


def _check_ordered_fields(settings: Settings) -> Iterator[FieldProblem]:
    """Report pairs of fields in which the first exceeds the limit that the second sets."""
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
                f"{value} is too large compared with {section}.{other}",
                f"lower it, or raise {other}",
            )


def _check_services(settings: Settings) -> Iterator[FieldProblem]:
    services = [service_from_schema(each) for each in settings.services]
    names: set[str] = set()
    for index, service in enumerate(services):
        if service.name in names:
            yield FieldProblem(
                f"services.{index}.name",
                f"an earlier service is also named {service.name}",
                "choose another name",
            )
        names.add(service.name)
    for service, problem in all_overlaps(services):
        path = f"services.{services.index(service)}.{problem.path}"
        yield FieldProblem(path, problem.reason, problem.remedy)


def _warn_of_open_listeners(settings: Settings) -> Iterator[FieldProblem]:
    """Warn of ports for operators and peers that accept clients without a certificate."""
    for path in ("operators.listen", "membership.listen"):
        listen = _listen_settings_by_path(settings)[path]
        has_client_ca = listen.tls is not None and listen.tls.client_ca is not None
        if not has_client_ca and _is_ip(listen.host) and not _is_loopback(listen.host):
            yield FieldProblem(
                f"{path}.tls",
                f"{listen.host} accepts every client, because no certificate is required",
                "set tls with client_ca, or restrict access by the network",
            )


def _warn_of_store_settings(settings: Settings) -> Iterator[FieldProblem]:
    if settings.store.urls and settings.membership.instance_list_url is None:
        yield FieldProblem(
            "membership.instance_list_url",
            "without it this instance does not find other instances",
            "set the URL of the platform's instance list",
        )
    if settings.store.urls and settings.services:
        yield FieldProblem(
            "services",
            "they are put into the embedded store only, and store.urls selects another store",
            "put them with: heatherhead services put",
        )


def _warn_of_services(settings: Settings) -> Iterator[FieldProblem]:
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
            f"set it to a region of the upstreams, such as {min(regions)}",
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

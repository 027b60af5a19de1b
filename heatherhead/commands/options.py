"""The options common to every verb."""

from __future__ import annotations

import os
import ssl
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.membership.interface import Address

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["COMMON_OPTIONS", "CommonOptions", "parse_common_options", "parse_number"]

ADDRESS_VARIABLE = "HEATHERHEAD_ADDRESS"
DEFAULT_ADDRESS = "127.0.0.1:8081"

COMMON_OPTIONS = """
Options of every verb:
  --address=ADDRESS  Operators' address HOST:PORT of an instance. May be repeated or list several,
                     separated by commas; they are tried in order. Without it the variable
                     HEATHERHEAD_ADDRESS is read, and without that 127.0.0.1:8081 is used.
  --timeout=SECONDS  Time for a request, including all attempts [default: 10].
  --json             Print JSON.
  --ca=FILE          Use TLS; these authorities (PEM) must have issued the instance's certificate.
  --certificate=FILE  Client certificate (PEM).
  --key=FILE         Private key of the client certificate (PEM).
  -h, --help         Show this text.
"""


@dataclass(frozen=True, slots=True)
class CommonOptions:
    """The parsed options common to every verb."""

    addresses: tuple[Address, ...]
    timeout_s: float
    as_json: bool
    tls: ssl.SSLContext | None


def parse_common_options(arguments: Mapping[str, Any]) -> CommonOptions:
    """Parse the options common to every verb; raises `CommandError`."""
    texts = arguments["--address"] or [os.environ.get(ADDRESS_VARIABLE) or DEFAULT_ADDRESS]
    return CommonOptions(
        addresses=tuple(_parse_address(each) for text in texts for each in text.split(",")),
        timeout_s=parse_number("--timeout", arguments["--timeout"]),
        as_json=arguments["--json"],
        tls=_tls_context(arguments["--ca"], arguments["--certificate"], arguments["--key"]),
    )


def parse_number(option: str, text: str) -> float:
    """Parse a number greater than 0; raises `CommandError`."""
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0 < number < float("inf"):
        raise _usage_error(f"{option}={text} is not a number greater than 0")
    return number


def _parse_address(text: str) -> Address:
    host, _, port = text.strip().rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise _usage_error(f"--address={text} is not HOST:PORT")
    return Address(host, int(port))


def _tls_context(
    authorities: str | None, certificate: str | None, key: str | None
) -> ssl.SSLContext | None:
    """Create the TLS context for connections.

    Host names are not checked, since instances are addressed by IP address and not by name.
    """
    if authorities is None:
        if certificate or key:
            raise _usage_error("--certificate and --key need --ca")
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    context.set_alpn_protocols(["h2"])
    try:
        context.load_verify_locations(authorities)
        if certificate:
            context.load_cert_chain(certificate, key)
    except OSError as error:
        raise _usage_error(f"the PEM files can't be used: {error}") from error
    return context


def _usage_error(reason: str) -> CommandError:
    return CommandError(ExitCode.USAGE, reason, remedy="see --help")

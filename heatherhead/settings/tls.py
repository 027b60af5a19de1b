"""TLS contexts for listeners and for connections between instances."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

from heatherhead.exceptions import SettingsError

if TYPE_CHECKING:
    from heatherhead.settings.instance import TlsSettings

__all__ = ["create_client_context", "create_server_context", "reload_certificate"]

_PEM_REMEDY = "name readable PEM files that belong together"


def create_server_context(settings: TlsSettings) -> ssl.SSLContext:
    """Create a listener's context; with `client_ca`, clients must present a certificate of it.

    Raises `SettingsError`.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    reload_certificate(context, settings)
    if settings.client_ca is not None:
        _load_authorities(context, settings.client_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def create_client_context(settings: TlsSettings) -> ssl.SSLContext:
    """Create the context for connections to other instances.

    The peer must present a certificate signed by `client_ca`, or else by one of the system's
    authorities. Host names are not verified: instances are addressed by IP number, which their
    certificates need not contain. Raises `SettingsError`.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    reload_certificate(context, settings)
    if settings.client_ca is not None:
        _load_authorities(context, settings.client_ca)
    else:
        context.load_default_certs()
    return context


def reload_certificate(context: ssl.SSLContext, settings: TlsSettings) -> None:
    """Reload certificate and key, for new connections; raises `SettingsError`."""
    try:
        context.load_cert_chain(settings.certificate, settings.key)
    except OSError as error:
        raise SettingsError(
            "tls.certificate", f"{settings.certificate}: {error}", remedy=_PEM_REMEDY
        ) from error


def _load_authorities(context: ssl.SSLContext, path: str) -> None:
    try:
        context.load_verify_locations(path)
    except OSError as error:
        raise SettingsError("tls.client_ca", f"{path}: {error}", remedy=_PEM_REMEDY) from error

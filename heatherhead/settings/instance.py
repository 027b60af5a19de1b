"""Settings of this instance and of listening addresses with TLS."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["InstanceSettings", "ListenSettings", "TlsSettings"]


class TlsSettings(Section):
    """TLS of a listener; with `client_ca`, clients must present a certificate signed by it."""

    certificate: str = Field(description="Path of the certificate chain, a PEM file.")
    key: str = Field(description="Path of the private key, a PEM file.")
    client_ca: str | None = Field(
        default=None,
        description="Path of the authorities that sign client certificates, a PEM file.",
    )


class ListenSettings(Section):
    """A listening address."""

    host: str = Field(default="127.0.0.1", description="IP number to listen on.")
    port: int = Field(ge=0, le=65535, description="Port to listen on; 0 for any free port.")
    tls: TlsSettings | None = Field(
        default=None, description="TLS of this listener; none for plain TCP."
    )


class InstanceSettings(Section):
    """Name and location of this instance."""

    id: str = Field(
        default="instance-1",
        min_length=1,
        max_length=64,
        description="Name of this instance, unique among all instances.",
    )
    region: str = Field(default="local", min_length=1, max_length=64, description="Region.")
    availability_zone: str = Field(
        default="local", min_length=1, max_length=64, description="Availability zone."
    )

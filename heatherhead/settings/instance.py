"""Settings that say what and where this instance is."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["InstanceSettings", "ListenSettings", "TlsSettings"]


class TlsSettings(Section):
    """TLS of one listener; peers and operators must then show a certificate of `client_ca`."""

    certificate: str = Field(description="Path of the PEM certificate chain.")
    key: str = Field(description="Path of the PEM private key.")
    client_ca: str | None = Field(
        default=None, description="Path of the PEM authorities whose clients are let in."
    )


class ListenSettings(Section):
    """One listening address."""

    host: str = Field(default="127.0.0.1", description="IP number to listen on.")
    port: int = Field(ge=0, le=65535, description="Port to listen on; 0 takes a free one.")
    tls: TlsSettings | None = Field(default=None, description="TLS of this listener.")


class InstanceSettings(Section):
    """Name and place of this instance."""

    id: str = Field(default="instance-1", min_length=1, max_length=64, description="Unique name.")
    region: str = Field(default="local", min_length=1, max_length=64, description="Region.")
    availability_zone: str = Field(
        default="local", min_length=1, max_length=64, description="Availability zone."
    )

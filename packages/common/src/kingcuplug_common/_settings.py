"""Settings of one host, read from a JSON file.

They are the only source of a process's addresses, its availability zone and its data
folder.
"""

import ipaddress
from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
    model_validator,
)

from kingcuplug_common._errors import KingcuplugError

__all__ = [
    "HostSettings",
    "SettingsInvalid",
    "SettingsUnreadable",
    "TlsSettings",
    "load_settings",
]

_MAX_PORT = 65_535
_NO_JSON = "json_invalid"  # The type of the fault in the validation library.


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if int(port) > _MAX_PORT:
        raise ValueError(f"port {port} is above {_MAX_PORT}")
    return address


Address = Annotated[
    str,
    StringConstraints(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$"),
    AfterValidator(_check_address),
]
Role = Literal["entry", "control"]


class SettingsInvalid(KingcuplugError):
    """A settings file that cannot be used; the message lists every fault."""


class SettingsUnreadable(SettingsInvalid):
    """A file of the settings is missing or incomplete, perhaps only for a moment."""


class TlsSettings(BaseModel):
    """Files of one TLS identity, in PEM form."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    certificate: Path
    private_key: Path
    authority: Path


class HostSettings(BaseModel):
    """Settings of one host.

    Attributes
    ----------
    caller_address, peer_address : str
        ``ip:port`` of the listeners for callers and for other hosts.
    control_seeds : tuple of str
        Peer addresses of the control hosts, as ``ip:port``.
    data_folder : Path or None
        Folder for durable state; needed by the role ``control``.
    operator_token_file, announce_token_file : Path or None
        Files with bearer tokens, one per line; ``None`` accepts anyone, for use on
        loopback only.
    caller_tls, peer_tls, backend_tls : TlsSettings or None
        Identities of the callers' listener, of both sides of traffic between hosts
        (mutual), and towards backend servers.
    trace_file : Path or None
        JSON-lines file that gets one span per hop.
    trace_share : float
        Share of requests that are traced, 0 to 1.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    availability_zone: Annotated[str, StringConstraints(min_length=1, max_length=63)]
    roles: frozenset[Role] = Field(min_length=1)
    caller_address: Address
    peer_address: Address
    control_seeds: tuple[Address, ...] = ()
    data_folder: Path | None = None
    services: tuple[str, ...] | None = None
    operator_token_file: Path | None = None
    announce_token_file: Path | None = None
    caller_tls: TlsSettings | None = None
    peer_tls: TlsSettings | None = None
    backend_tls: TlsSettings | None = None
    statsd_address: Address | None = None
    trace_file: Path | None = None
    trace_share: float = Field(default=1.0, ge=0, le=1)
    log_file: Path | None = None
    shutdown_grace_ms: int = Field(default=3_000, ge=0, le=600_000)
    body_limit_bytes: int = Field(default=1_048_576, ge=1)

    @model_validator(mode="after")
    def _check_roles(self) -> "HostSettings":
        if "control" in self.roles and self.data_folder is None:
            raise ValueError("the role 'control' needs data_folder")
        if "control" not in self.roles and not self.control_seeds:
            raise ValueError("a host without the role 'control' needs control_seeds")
        return self


def load_settings(path: Path) -> HostSettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsUnreadable
        If the file cannot be read or is no JSON.
    SettingsInvalid
        If any field is wrong.
    """
    try:
        return HostSettings.model_validate_json(path.read_bytes())
    except OSError as error:
        raise SettingsUnreadable(
            f"settings file {path} cannot be read: {error.strerror}",
            "check the path and its permissions",
        ) from error
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(str(part) for part in fault['loc']) or 'file'}: {fault['msg']}"
            for fault in error.errors()
        )
        is_incomplete = error.errors()[0]["type"] == _NO_JSON
        raise (SettingsUnreadable if is_incomplete else SettingsInvalid)(
            f"settings file {path} has {error.error_count()} faults: {faults}",
            "correct the named fields",
        ) from error

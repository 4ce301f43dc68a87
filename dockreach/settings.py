"""Settings of one daemon, read from an INI file and validated."""

from __future__ import annotations

import configparser
from typing import Annotated

import msgspec
from msgspec import Meta

from .addresses import ADDRESS_PATTERN, IP_PATTERN, PORT_PATTERN
from .declarations import convert_section, new_parser
from .errors import SettingsError

Address = Annotated[str, Meta(pattern=rf"\A{IP_PATTERN}:(0|{PORT_PATTERN})\Z")]
Url = Annotated[str, Meta(pattern=rf"\Ahttp://{ADDRESS_PATTERN}\Z")]
Role = Annotated[str, Meta(pattern="^(entry|agent)$")]
DaemonName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]


class DaemonSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[daemon]``: identity of this process.

    Attributes:
        name: Name of the daemon; an agent has the name of its endpoint.
        role: ``entry``, which serves callers, or ``agent``, which runs beside an endpoint.
        hall: Data hall of the daemon.
        region: Accepted but not used.
    """

    name: DaemonName
    role: Role
    hall: str
    region: str = ""


class ListenSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[listen]``: IP addresses and ports to listen on; port 0 selects a free port.

    Attributes:
        http: Address for HTTP.
        link: Address for connections of other daemons.
    """

    http: Address
    link: Address


class PlatformSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[platform]``: the platform service, which publishes the configuration and VM list.

    Attributes:
        url: URL of the service.
        watchers: Number of entries in each data hall that read from the service.
        vm_poll_s: Interval at which the VM list is read, in seconds.
        watch_s: Longest wait of one call for a changed configuration, in seconds.
    """

    url: Url
    watchers: Annotated[int, Meta(ge=1)] = 2
    vm_poll_s: Annotated[float, Meta(gt=0)] = 1.0
    watch_s: Annotated[float, Meta(gt=0)] = 20.0


class PeersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[peers]``: addresses to connect to if the platform is unavailable at startup."""

    seeds: Annotated[
        str, Meta(pattern=rf"\A({ADDRESS_PATTERN}([ \t]*,[ \t]*{ADDRESS_PATTERN})*)?\Z")
    ] = ""

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses, each an IP address and a port."""
        return tuple(part.strip() for part in self.seeds.split(",") if part.strip())


class EngineSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[engine]``: the endpoint of an agent."""

    url: Url


class LimitsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[limits]``: limits of this process, in seconds, bytes or counts.

    Attributes:
        body_bytes: Largest body of a request.
        waiting_bytes: Memory for the bodies of waiting requests.
        callers: Connections served at the same time.
        sender_s: Socket timeout of a caller's connection.
        stalled_s: Accepted but not used.
        queue: Requests that an agent queues.
        retention_s: How long an agent remembers finished requests and idempotency keys.
        grace_s: How long after its deadline a dispatched request may continue.
        unclear_s: How long to wait for an unreachable agent before the request is refused
            with the verdict that it may have run.
    """

    body_bytes: Annotated[int, Meta(ge=1024)] = 4 << 20
    waiting_bytes: Annotated[int, Meta(ge=1024)] = 16 << 20
    callers: Annotated[int, Meta(ge=1)] = 2000
    sender_s: Annotated[float, Meta(gt=0)] = 10.0
    stalled_s: Annotated[float, Meta(gt=0)] = 30.0
    queue: Annotated[int, Meta(ge=1)] = 2000
    retention_s: Annotated[float, Meta(gt=0)] = 600.0
    grace_s: Annotated[float, Meta(gt=0)] = 60.0
    unclear_s: Annotated[float, Meta(gt=0)] = 5.0


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[log]``: logging of JSON lines to standard output.

    Attributes:
        level: Lowest level that is logged.
    """

    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


class OperatorsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[operators]``: access to the operators' pages.

    Attributes:
        key_sha256: SHA-256 of the operators' key, in hexadecimal; if empty, all access is
            denied.
    """

    key_sha256: Annotated[str, Meta(pattern="^([0-9a-f]{64})?$")] = ""


class Settings(msgspec.Struct, frozen=True):
    """All settings of one daemon."""

    daemon: DaemonSection
    listen: ListenSection
    platform: PlatformSection
    engine: EngineSection | None
    limits: LimitsSection
    log: LogSection
    peers: PeersSection
    operators: OperatorsSection


_SECTION_TYPES: dict[str, type[msgspec.Struct]] = {
    "daemon": DaemonSection,
    "listen": ListenSection,
    "platform": PlatformSection,
    "engine": EngineSection,
    "limits": LimitsSection,
    "log": LogSection,
    "peers": PeersSection,
    "operators": OperatorsSection,
}

_OPTIONAL_SECTIONS = ("limits", "log", "peers", "operators")


def load(path: str) -> Settings:
    """Read and validate a settings file.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(path, "", "", f"cannot be read: {exc}") from exc
    return parse(text, path)


def parse(text: str, file: str = "settings") -> Settings:
    """Parse and validate the text of a settings file.

    Raises:
        SettingsError: A section or key is missing, unknown or has an invalid value.
    """
    parser = new_parser()
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        problem = f"not valid INI: {str(exc).splitlines()[0]}"
        raise SettingsError(file, "", "", problem) from exc
    for section in parser.sections():
        if section not in _SECTION_TYPES:
            allowed = ", ".join(_SECTION_TYPES)
            raise SettingsError(file, section, "", f"unknown section; allowed: {allowed}")
    parts = {name: _parse_section(parser, name, file) for name in _SECTION_TYPES}
    settings = Settings(**parts)  # type: ignore[arg-type]
    if settings.daemon.role == "agent" and settings.engine is None:
        raise SettingsError(file, "engine", "url", "an agent needs its endpoint's URL")
    return settings


def _parse_section(
    parser: configparser.ConfigParser, name: str, file: str
) -> msgspec.Struct | None:
    if parser.has_section(name):
        return convert_section(_SECTION_TYPES[name], parser[name], file, name)
    if name in _OPTIONAL_SECTIONS:
        return _SECTION_TYPES[name]()
    if name == "engine":
        return None
    raise SettingsError(file, name, "", "section is missing")

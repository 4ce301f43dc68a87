"""Declarations: organisations, tiers, pools, endpoints, models and services.

They are the configuration of the whole fleet: INI files that operators keep in version
control and the platform publishes. This module parses and validates them. A section header
consists of a kind and a name, as in ``[tier bulletin]``.
"""

from __future__ import annotations

import configparser
import hmac
from collections.abc import Mapping
from functools import cached_property
from hashlib import sha256
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from .errors import SettingsError

MAX_BODY_BYTES = 1 << 20
"""Maximum size of a declarations file; the platform stores values of up to a megabyte."""

PositiveFloat = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
Sha256Hex = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class Tier(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A priority class of requests.

    Attributes:
        rank: Priority of the tier; 0 is the highest.
        deadline_s: Time for the whole response if the caller sets no deadline, in seconds.
        first_token_ms: Objective for the time to the first token, in milliseconds.
        between_ms: Objective for the time between two tokens, in milliseconds.
        objective: Target fraction of requests with a complete response in time.
    """

    rank: NonNegativeInt
    deadline_s: PositiveFloat = 30.0
    first_token_ms: PositiveFloat = 410.0
    between_ms: PositiveFloat = 39.0
    objective: Annotated[float, Meta(gt=0, lt=1)] = 0.95


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer.

    Attributes:
        key_sha256: SHA-256 of its key, in hexadecimal; the key itself is not stored.
        tiers: Names of the tiers that it may use, separated by commas.
        share: Weight relative to other organisations in the same tier.
        requests_per_s: Request limit over all entries; 0 for no limit.
        tokens_per_s: Limit on prompt and output tokens; 0 for no limit.
        concurrency: Limit on concurrent requests; 0 for no limit.
    """

    key_sha256: Sha256Hex
    tiers: str
    share: PositiveFloat = 1.0
    requests_per_s: Annotated[float, Meta(ge=0)] = 0.0
    tokens_per_s: Annotated[float, Meta(ge=0)] = 0.0
    concurrency: NonNegativeInt = 0

    @property
    def tier_names(self) -> tuple[str, ...]:
        """The names of the tiers; the first one is the default."""
        return tuple(part.strip() for part in self.tiers.split(",") if part.strip())


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of interchangeable endpoints."""

    description: str = ""


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A back end: an inference engine or a worker of a plain HTTP service.

    Attributes:
        pool: Pool of the endpoint.
        hall: Data hall of the endpoint.
        kind: Protocol of the endpoint: ``openai`` or ``service``.
        slots: Requests that it processes concurrently.
        prefill_rate: Prompt tokens per second; the agent refines it by measurements.
        gap_ms: Time between two tokens of one request, in milliseconds; the agent refines
            it by measurements.
        cache_blocks: Capacity of its prefix cache, in blocks.
        drained: Whether it gets no new requests.
        checks_fence: Whether it rejects orders older than one that it has accepted; see
            `dockreach.orders`.
        adapters: Adapters that it should load, separated by commas.
        version: Version of the model that it should load; empty for no change.
    """

    pool: str
    hall: str
    kind: Annotated[str, Meta(pattern="^(openai|service)$")] = "openai"
    slots: PositiveInt = 8
    prefill_rate: PositiveFloat = 4000.0
    gap_ms: PositiveFloat = 20.0
    cache_blocks: PositiveInt = 4096
    drained: bool = False
    checks_fence: bool = False
    adapters: str = ""
    version: str = ""


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model that callers can request.

    Attributes:
        pool: Pool that serves it.
        output_tokens: Expected output length if the caller sets no limit.
    """

    pool: str
    output_tokens: PositiveInt = 256


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain HTTP service that callers reach under ``/services/NAME/``.

    Attributes:
        pool: Pool that serves it.
        repeatable: Whether running a request twice is harmless, so that callers may be
            advised to retry one that may have run.
        cost_tokens: Cost of one request, in output tokens.
    """

    pool: str
    repeatable: bool = True
    cost_tokens: PositiveInt = 16


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the whole fleet.

    Attributes:
        revision: Number that increases with each change.
        entries: Names of the entry VMs, separated by commas; limits are divided among them.
        prefill_weight: Weight of a second of prefill relative to a second of response time.
        loads_at_once: Endpoints of a pool that may load model weights concurrently.
        load_s: Time after which the next endpoints may start loading, in seconds.
    """

    revision: PositiveInt
    entries: str = ""
    prefill_weight: Annotated[float, Meta(ge=0)] = 1.0
    loads_at_once: PositiveInt = 2
    load_s: PositiveFloat = 30.0

    @property
    def entry_names(self) -> tuple[str, ...]:
        """The names of the declared entries."""
        return tuple(part.strip() for part in self.entries.split(",") if part.strip())


class Declarations(msgspec.Struct, frozen=True, dict=True):
    """The validated, immutable declarations of one revision."""

    fleet: Fleet
    tiers: dict[str, Tier]
    organisations: dict[str, Organisation]
    pools: dict[str, Pool]
    endpoints: dict[str, Endpoint]
    models: dict[str, Model]
    services: dict[str, Service]

    @property
    def revision(self) -> int:
        """The revision of these declarations."""
        return self.fleet.revision

    @cached_property
    def tier_names_by_rank(self) -> dict[int, str]:
        """The names of all tiers by their rank."""
        return {tier.rank: name for name, tier in self.tiers.items()}

    def organisation_of(self, key: str) -> str | None:
        """Return the name of the organisation with a key; ``None`` if there is none.

        Every hash is compared in constant time, so that timing reveals nothing about keys.
        """
        digest = key_hash(key)
        found = None
        for name, organisation in self.organisations.items():
            if hmac.compare_digest(organisation.key_sha256, digest):
                found = name
        return found


_Item = TypeVar("_Item", bound=msgspec.Struct)

_SECTION_TYPES: dict[str, type[msgspec.Struct]] = {
    "fleet": Fleet,
    "tier": Tier,
    "organisation": Organisation,
    "pool": Pool,
    "endpoint": Endpoint,
    "model": Model,
    "service": Service,
}


def key_hash(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal, as declarations store it."""
    return sha256(key.encode()).hexdigest()


def content_hash(body: str) -> str:
    """Return a hash that distinguishes two bodies with the same revision.

    It does not depend on the order of sections, so that a body rebuilt from a delta has the
    same hash as the original.
    """
    sections = split_sections(body)
    joined = "\0".join(sections[header].strip() for header in sorted(sections))
    return sha256(joined.encode()).hexdigest()[:16]


def new_parser() -> configparser.ConfigParser:
    """Return an INI parser without interpolation and without a default section."""
    return configparser.ConfigParser(
        interpolation=None, default_section="", delimiters=("=",)
    )


def parse(body: str, file: str = "declarations") -> Declarations:
    """Parse and validate declarations.

    Args:
        body: Text of the declarations file.
        file: Name of the file, for error messages.

    Returns:
        The declarations.

    Raises:
        SettingsError: A section or key is missing, unknown or has an invalid value.
    """
    if len(body.encode()) > MAX_BODY_BYTES:
        raise SettingsError(file, "", "", f"larger than {MAX_BODY_BYTES} bytes")
    parser = new_parser()
    try:
        parser.read_string(body)
    except configparser.Error as exc:
        problem = str(exc).splitlines()[0]
        raise SettingsError(file, "", "", f"not valid INI: {problem}") from exc
    items: dict[str, dict[str, msgspec.Struct]] = {kind: {} for kind in _SECTION_TYPES}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if kind not in _SECTION_TYPES:
            allowed = ", ".join(_SECTION_TYPES)
            raise SettingsError(file, section, "", f"unknown kind; allowed: {allowed}")
        if kind != "fleet" and not name:
            raise SettingsError(file, section, "", f"write [{kind} NAME]")
        items[kind][name] = convert_section(
            _SECTION_TYPES[kind], parser[section], file, section
        )
    declarations = _assemble(items, file)
    _check_references(declarations, file)
    return declarations


def convert_section(
    kind: type[_Item], values: Mapping[str, str], file: str, section: str
) -> _Item:
    """Convert the keys and values of a section to a validated object.

    Args:
        kind: Type of the object.
        values: Keys and values of the section.
        file: Name of the file, for error messages.
        section: Name of the section, for error messages.

    Raises:
        SettingsError: A key is missing, unknown or has an invalid value.
    """
    raw = {key: _normalize_boolean(value) for key, value in values.items()}
    try:
        return msgspec.convert(raw, kind, strict=False)
    except msgspec.ValidationError as exc:
        text = str(exc)
        problem, _, path = text.partition(" - at `$.")
        key = path.rstrip("`")
        if not key and "`" in problem:
            key = problem.split("`")[-2]
        allowed = ", ".join(kind.__struct_fields__)
        if "unknown field" in problem:
            problem += f"; allowed: {allowed}"
        raise SettingsError(file, section, key, problem) from exc


def _normalize_boolean(value: str) -> str:
    """Return ``true`` for ``yes`` and ``false`` for ``no``; other values as they are."""
    return {"yes": "true", "no": "false"}.get(value.lower(), value)


def _assemble(items: dict[str, dict[str, msgspec.Struct]], file: str) -> Declarations:
    fleets = items["fleet"]
    if len(fleets) != 1:
        raise SettingsError(file, "fleet", "", "exactly one [fleet] section is needed")
    return msgspec.convert(
        {
            "fleet": next(iter(fleets.values())),
            "tiers": items["tier"],
            "organisations": items["organisation"],
            "pools": items["pool"],
            "endpoints": items["endpoint"],
            "models": items["model"],
            "services": items["service"],
        },
        Declarations,
    )


def _check_references(declarations: Declarations, file: str) -> None:
    ranks: dict[int, str] = {}
    for name, tier in declarations.tiers.items():
        if tier.rank in ranks:
            problem = f"rank {tier.rank} is already that of tier {ranks[tier.rank]}"
            raise SettingsError(file, f"tier {name}", "rank", problem)
        ranks[tier.rank] = name
    for name, organisation in declarations.organisations.items():
        section = f"organisation {name}"
        if not organisation.tier_names:
            raise SettingsError(file, section, "tiers", "name at least one tier")
        for tier_name in organisation.tier_names:
            _check_name(file, section, "tiers", tier_name, declarations.tiers)
    for name, endpoint in declarations.endpoints.items():
        _check_name(file, f"endpoint {name}", "pool", endpoint.pool, declarations.pools)
    for name, model in declarations.models.items():
        _check_name(file, f"model {name}", "pool", model.pool, declarations.pools)
    for name, service in declarations.services.items():
        _check_name(file, f"service {name}", "pool", service.pool, declarations.pools)


def _check_name(
    file: str, section: str, key: str, name: str, known: Mapping[str, object]
) -> None:
    if name not in known:
        allowed = ", ".join(known) or "none declared"
        problem = f"{name!r} is not declared; allowed: {allowed}"
        raise SettingsError(file, section, key, problem)


def split_sections(body: str) -> dict[str, str]:
    """Return the text of each section by its header, from which deltas are computed.

    Text before the first header has an empty string as its key.
    """
    sections: dict[str, list[str]] = {"": []}
    header = ""
    for line in body.splitlines(keepends=True):
        if line.startswith("["):
            header = line.strip()
            sections[header] = []
        sections[header].append(line)
    return {name: "".join(lines).strip() + "\n" for name, lines in sections.items()}


def join_sections(sections: Mapping[str, str]) -> str:
    """Join sections into a body, in the given order."""
    return "\n".join(sections.values())

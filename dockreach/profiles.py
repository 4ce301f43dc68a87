"""Fleets and loads of fixed sizes: a small one, and those of the two current customers."""

from __future__ import annotations

from typing import NamedTuple

from .launching import EndpointSpec, FleetSpec, OrganisationSpec
from .load import RequestKind


class Profile(NamedTuple):
    """A fleet, a load for it, and the rate of a calm load in requests per second."""

    fleet: FleetSpec
    kinds: list[RequestKind]
    calm_rate: float


_ENGINE_SPEEDS = (
    # slots, prefill tokens per second, milliseconds between tokens
    (8, 8000.0, 12.0),
    (6, 4000.0, 20.0),
    (4, 2000.0, 35.0),
)


def _engines(count: int, halls: int, pool: str) -> list[EndpointSpec]:
    engines = []
    for index in range(count):
        slots, prefill, gap = _ENGINE_SPEEDS[index % len(_ENGINE_SPEEDS)]
        engines.append(
            EndpointSpec(
                name=f"engine{index + 1}",
                pool=pool,
                hall=f"hall{index % halls + 1}",
                slots=slots,
                prefill_rate=prefill,
                gap_ms=gap,
                cache_blocks=512,
            )
        )
    return engines


def _workers(name: str, count: int, halls: int) -> list[EndpointSpec]:
    return [
        EndpointSpec(
            name=f"{name}{index + 1}",
            pool=name,
            hall=f"hall{index % halls + 1}",
            kind="service",
            slots=16,
        )
        for index in range(count)
    ]


def _kinds(main: str, second: str, tiers: tuple[str, str, str]) -> list[RequestKind]:
    """Return a mix of requests whose lengths differ by a factor of about a hundred."""
    top, middle, low = tiers
    return [
        RequestKind("bulletin", 2, main, top, 1500, 80, shared_tokens=1024, variants=4),
        RequestKind("draft", 1, main, middle, 3000, 160, shared_tokens=2048, variants=8),
        RequestKind("lookup", 5, second, low, 40, 12, deadline_s=10.0),
        RequestKind("record", 2, second, low, 1, 1, deadline_s=5.0, service="records"),
    ]


def small() -> Profile:
    """Three engines of unlike speeds, one plain service, two organisations, two entries."""
    fleet = FleetSpec(
        endpoints=[*_engines(3, 1, "models"), *_workers("records", 1, 1)],
        organisations=[
            OrganisationSpec("assessors", "bulletin, notice, lookup"),
            OrganisationSpec("clerks", "lookup"),
        ],
        models={"m": "models"},
        services={"records": "pool=records"},
    )
    kinds = _kinds("assessors", "clerks", ("bulletin", "notice", "lookup"))
    return Profile(fleet, kinds, 6.0)


def _customer_profile(engines: int, drafting: int, records: int, weight: float) -> Profile:
    halls = 3
    organisations = [
        OrganisationSpec("large1", "bulletin, notice, lookup", share=3.0),
        OrganisationSpec("large2", "bulletin, notice, lookup", share=3.0),
        OrganisationSpec("small1", "lookup"),
        OrganisationSpec("small2", "lookup"),
        OrganisationSpec("small3", "lookup"),
    ]
    fleet = FleetSpec(
        endpoints=[
            *_engines(engines, halls, "models"),
            *_workers("drafting", drafting, halls),
            *_workers("records", records, halls),
        ],
        organisations=organisations,
        entries=[(f"entry{index + 1}", f"hall{index + 1}") for index in range(halls)],
        models={"m": "models"},
        services={
            "records": "pool=records",
            "drafting": "pool=drafting\nrepeatable=no",
        },
        prefill_weight=weight,
    )
    kinds = [
        *_kinds("large1", "small1", ("bulletin", "notice", "lookup")),
        *_kinds("large2", "small2", ("bulletin", "notice", "lookup")),
        RequestKind(
            "filing", 1, "large1", "notice", 1, 1, deadline_s=5.0, service="drafting"
        ),
    ]
    return Profile(fleet, kinds, engines * 1.5)


def bilbao() -> Profile:
    """A software house: 30 engines, 5 drafting and 3 records workers."""
    return _customer_profile(30, 5, 3, weight=2.0)


def remar() -> Profile:
    """An air quality network: 40 engines, 6 model and 3 station data workers."""
    return _customer_profile(40, 6, 3, weight=0.5)


PROFILES = {"small": small, "bilbao": bilbao, "remar": remar}
"""Profiles by name."""

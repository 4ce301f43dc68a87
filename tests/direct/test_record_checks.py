"""Endpoints' records with values that no socket, message or sum can hold."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given

from dockreach.direct import view
from dockreach.direct.endpoints import Published
from dockreach.direct.record_checks import (
    MAX_COLD_S,
    MAX_COUNT,
    MAX_SLOTS,
    RecordError,
    RecordFault,
    check_record,
)

from ..peer_bytes import records

RECORD = Published(
    "i-1", "s", "10.0.0.1:80", "z", 5, False, 1_700_000_000_123, 4, 1.5, "v1"
)


def fault_of(**fields: object) -> RecordFault:
    """Return why a record with some fields changed is refused."""
    with pytest.raises(RecordError) as found:
        check_record(replace(RECORD, **fields))  # type: ignore[arg-type]
    assert len(str(found.value)) < 150
    return found.value.fault


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"slots": MAX_SLOTS, "sequence": MAX_COUNT, "born": MAX_COUNT},
        {"cold_s": MAX_COLD_S},
        {"born": 0, "sequence": 0, "cold_s": 0, "software_version": None},
        {"address": "255.249.199.0:65535"},
        {"address": "0.9.10.99:1"},
        {"id": "\u00e9-7", "service": "\u00e9", "hall": " "},
    ],
)
def test_usual_and_extreme_values_are_valid(fields: dict[str, object]) -> None:
    check_record(replace(RECORD, **fields))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "address",
    [
        "",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:00",
        "10.0.0.1:65536",
        "10.0.0.1:70000",
        "10.0.0.1:99999",
        "10.0.0.1:123456",
        "10.0.0.1:080",
        "10.0.0.1:-1",
        "10.0.0.1:+8",
        "10.0.0.1:8_0",
        "10.0.0.1: 80",
        "10.0.0.1:80\n",
        "\n10.0.0.1:80",
        "256.0.0.1:80",
        "10.0.0.256:80",
        "10.0.0.999:80",
        "10.0.0.010:80",
        "10.0.0:80",
        "10.0.0.0.1:80",
        "1\u0660.0.0.1:80",
        "10.0.0.1:8\u0660",
        "10.0.0.1:\u00b2",
        "10.0.0.1:\uff18\uff10",
        "[::1]:80",
        "redactor.example:80",
        "1" * 10_000,
    ],
)
def test_an_address_that_no_socket_connects_to_is_refused(address: str) -> None:
    assert fault_of(address=address) is RecordFault.ADDRESS


@pytest.mark.parametrize("name", ["slots", "born", "sequence", "cold_s"])
@pytest.mark.parametrize("value", [-1, 2**63, 2**64, 10**30, 10**400, math.nan, math.inf])
def test_a_number_that_makes_no_sense_is_refused(name: str, value: float) -> None:
    """Guards against rounds that fail for all requests while one record is listed."""
    assert fault_of(**{name: value}) is RecordFault.NUMBER


def test_slots_are_bounded() -> None:
    assert fault_of(slots=0) is RecordFault.NUMBER
    assert fault_of(slots=MAX_SLOTS + 1) is RecordFault.NUMBER


@pytest.mark.parametrize("name", ["id", "service", "hall"])
def test_a_missing_name_is_refused(name: str) -> None:
    assert fault_of(**{name: ""}) is RecordFault.FORM


@pytest.mark.parametrize("name", ["i-1\r\nX: 1", "i\0", "i\n", "\ud800", "i\u2028"])
def test_an_id_that_is_no_header_value_is_refused(name: str) -> None:
    assert fault_of(id=name) is RecordFault.FORM


@given(records(Published))
def test_a_valid_record_can_be_relayed(record: Published) -> None:
    named = replace(record, id="i-1", service="s", address="10.0.0.1:80", hall="z")
    try:
        check_record(named)
    except RecordError as exc:
        assert exc.fault is RecordFault.NUMBER
        return
    relayed = view.View(7, b"", 1, [named])
    assert view.decode(view.encode(relayed)) == relayed

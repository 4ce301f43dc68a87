"""What happens to requests at an endpoint that restarts under the same id."""

from __future__ import annotations

from dataclasses import replace

import eventlet
import pytest

from dockreach.direct.endpoints import Published
from dockreach.direct.entry import Entry
from dockreach.direct.routing_config import CallerLimits, ConfigRevision, Service

from .standins import (
    Caller,
    Dialog,
    EndpointStandIn,
    body_of,
    entry_settings,
    published,
    revision,
    start_entry,
    status_of,
)


def event(number: int) -> bytes:
    return f"id: {number}\ndata: {number}\n\n".encode()


def never_respond(dialog: Dialog) -> None:
    dialog.wait_until_closed()


def stall_after_first_event(dialog: Dialog) -> None:
    dialog.start_stream()
    dialog.chunk(event(1))
    dialog.wait_until_closed()


def respond_unframed(dialog: Dialog) -> None:
    dialog.send(
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + dialog.rid + b"\r\nSeal: s\r\n"
        b"Content-Type: text/event-stream\r\n\r\n" + event(1)
    )
    dialog.wait_until_closed()


def send_remaining_events(dialog: Dialog) -> None:
    dialog.start_stream()
    dialog.chunk(event(2))
    dialog.chunk(b"")


def published_at(
    endpoint: EndpointStandIn, start_time: int, endpoint_id: str = "e-0"
) -> Published:
    return replace(published(endpoint_id, endpoint.address), born=start_time, sequence=1)


def entry_with_endpoints(*endpoints: EndpointStandIn) -> Entry:
    entry = start_entry()
    records = [published_at(row, 1000, f"e-{index}") for index, row in enumerate(endpoints)]
    entry.replace_endpoints(records, 2)
    return entry


def send_request(entry: Entry, path: str) -> Caller:
    caller = Caller(entry)
    caller.send(path, body=b"prompt", deadline_ms=20_000)
    eventlet.sleep(0.1)
    return caller


@pytest.mark.parametrize("script", [never_respond, stall_after_first_event])
def test_a_request_that_cannot_be_resumed_fails_at_once(script: object) -> None:
    """Guards against a caller that waits 12 s after its engine has exited."""
    endpoint = EndpointStandIn(script)  # type: ignore[arg-type]
    entry = entry_with_endpoints(endpoint)
    caller = send_request(entry, "/draft/a")
    entry.apply_endpoint(published_at(endpoint, 2000))
    with eventlet.Timeout(0.5):
        response = caller.read_response()
    assert script is stall_after_first_event or status_of(response) == 502
    assert script is never_respond or not response.endswith(b"0\r\n\r\n")
    assert len(endpoint.requests) == 1


def test_a_resumable_stream_continues_at_another_endpoint() -> None:
    first, second = (
        EndpointStandIn(stall_after_first_event),
        EndpointStandIn(send_remaining_events),
    )
    entry = entry_with_endpoints(first)
    caller = send_request(entry, "/brief/a")
    entry.apply_endpoint(published_at(second, 1000, "e-1"))
    entry.apply_endpoint(published_at(first, 2000))
    response = caller.read_response()
    assert body_of(response) == event(1) + event(2)
    assert len(first.requests) == 1


def test_a_response_without_a_length_does_not_look_complete() -> None:
    endpoint = EndpointStandIn(respond_unframed)
    entry = entry_with_endpoints(endpoint)
    caller = send_request(entry, "/draft/a")
    entry.apply_endpoint(published_at(endpoint, 2000))
    assert not caller.read_response().endswith(b"0\r\n\r\n")


def test_a_request_at_a_removed_incarnation_fails_when_the_next_one_starts() -> None:
    endpoint = EndpointStandIn(never_respond)
    entry = entry_with_endpoints(endpoint)
    caller = send_request(entry, "/once/a")
    entry.remove_endpoint("e-0")
    entry.apply_endpoint(published_at(endpoint, 2000))
    with eventlet.Timeout(0.5):
        assert status_of(caller.read_response()) == 502
    assert len(endpoint.requests) == 1


def test_a_record_of_an_older_incarnation_fails_no_request() -> None:
    endpoint = EndpointStandIn(never_respond)
    entry = entry_with_endpoints(endpoint)
    caller = send_request(entry, "/draft/a")
    entry.apply_endpoint(published_at(endpoint, 500))
    eventlet.sleep(0.1)
    row = entry.endpoints.get("e-0")
    assert row is not None
    assert (row.in_flight_here, len(row.connections)) == (1, 1)
    caller.close()


def drafts_bound_to(region: str, *, organisation_region: str = "") -> ConfigRevision:
    """Return a configuration in which drafts run only in one region.

    Args:
        region: Region of the drafts.
        organisation_region: Region to which the organisation is bound; empty for any.
    """
    route = next(row for row in revision().routes if row.name == "draft")
    organisation = revision().organisations[0]
    if organisation_region:
        organisation = replace(organisation, regions=frozenset({organisation_region}))
    return ConfigRevision(
        number=2,
        routes=(replace(route, regions=frozenset({region})),),
        services={"work": Service("work", 100)},
        organisations=(organisation,),
        limits=CallerLimits(),
    )


def test_a_request_runs_only_in_regions_that_its_route_allows() -> None:
    near, far = (
        EndpointStandIn(send_remaining_events),
        EndpointStandIn(send_remaining_events),
    )
    regions = {"hall1": "north", "hall2": "south"}
    settings = replace(entry_settings(), region_of_hall=regions)
    entry = start_entry(config=drafts_bound_to("south"), settings=settings)
    far_endpoint = replace(published("e-1", far.address), hall="hall2")
    entry.replace_endpoints([published("e-0", near.address), far_endpoint], 2)
    assert status_of(send_request(entry, "/draft/a").read_response()) == 200
    assert (len(near.requests), len(far.requests)) == (0, 1)


def test_a_request_that_no_region_may_run_is_refused_with_that_reason(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", logger="dockreach")
    endpoint = EndpointStandIn(send_remaining_events)
    regions = {"hall1": "north", "hall2": "south"}
    settings = replace(entry_settings(), region_of_hall=regions)
    content = drafts_bound_to("south", organisation_region="north")
    entry = start_entry(endpoint, config=content, settings=settings)
    with eventlet.Timeout(0.5):
        assert status_of(send_request(entry, "/draft/a").read_response()) == 503
    assert endpoint.requests == []
    refused = [vars(row) for row in caplog.records if vars(row)["event"] == 701]
    assert [row["reason"] for row in refused] == ["no_region"]

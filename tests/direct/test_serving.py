"""Callers that close their connection before their request is served."""

from __future__ import annotations

import time

import eventlet

from .standins import Caller, Dialog, EndpointStandIn, fill_pool, start_entry


def respond_ok(dialog: Dialog) -> None:
    dialog.respond(b"fine")


def test_a_request_of_a_disconnected_caller_reaches_no_endpoint() -> None:
    """After a pause, an entry finds requests together with the ends of their connections.

    Without a check before serving, endpoints would run requests that callers gave up.
    """
    endpoint = EndpointStandIn(respond_ok)
    entry = start_entry(endpoint)
    fill_pool(entry, endpoint, 5)
    callers = [Caller(entry) for _ in range(5)]
    for number, caller in enumerate(callers):
        caller.send("/safe/a", rid=f"r-{number}")
        caller.close()
    # Blocks the entry's thread, so that it finds each request with its connection closed.
    time.sleep(0.1)
    eventlet.sleep(0.3)
    assert len(endpoint.requests) == 5, "more than the requests that filled the pool"

"""Callers that left before their request was served."""

from __future__ import annotations

import time

import eventlet

from .standins import Caller, Dialog, EndpointStandIn, fill_pool, start_entry


def ok(dialog: Dialog) -> None:
    dialog.answer(b"fine")


def test_a_request_whose_caller_has_left_already_reaches_no_endpoint() -> None:
    endpoint = EndpointStandIn(ok)
    entry = start_entry(endpoint)
    fill_pool(entry, endpoint, 5)
    callers = [Caller(entry) for _ in range(5)]
    for number, caller in enumerate(callers):
        caller.send("/safe/a", rid=f"r-{number}")
        caller.close()
    # The entry finds the requests and the ends of their connections together.
    time.sleep(0.1)
    eventlet.sleep(0.3)
    assert len(endpoint.requests) == 5, "only those that filled the pool"

"""The stand-ins leave nothing behind that another test trips over."""

from __future__ import annotations

import eventlet
from eventlet.hubs import get_hub
from eventlet.hubs.hub import READ

from .standins import Dialog, EndpointStandIn


def ok(dialog: Dialog) -> None:
    dialog.answer(b"fine")


def test_a_closed_endpoint_no_longer_waits_for_callers() -> None:
    """A test was refused a connection, once, beside a busy machine.

    An endpoint had been closed while a greenlet waited on its listener. The hub went on to
    hold that number of a file, the next listener got the same one, and its entry failed:
    "Second simultaneous read on fileno 99 detected".
    """
    engine = EndpointStandIn(ok)
    eventlet.sleep(0)
    number = engine._listener.fileno()
    assert number in get_hub().listeners[READ]
    engine.close()
    eventlet.sleep(0)
    assert number not in get_hub().listeners[READ]

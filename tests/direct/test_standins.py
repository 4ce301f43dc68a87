"""Stand-ins leave no state behind that makes another test fail."""

from __future__ import annotations

import eventlet
from eventlet.hubs import get_hub
from eventlet.hubs.hub import READ

from .standins import Dialog, EndpointStandIn


def respond_ok(dialog: Dialog) -> None:
    dialog.respond(b"fine")


def test_closing_a_stand_in_unregisters_its_listener() -> None:
    """A listener that stays registered in eventlet's hub breaks a later listener.

    If a stand-in is closed while a greenlet waits on its listener, the hub keeps the file
    descriptor. The next listener gets the same one, and its entry fails with "Second
    simultaneous read on fileno 99 detected", so that a test's connection is refused.
    """
    engine = EndpointStandIn(respond_ok)
    eventlet.sleep(0)
    number = engine._listener.fileno()
    assert number in get_hub().listeners[READ]
    engine.close()
    eventlet.sleep(0)
    assert number not in get_hub().listeners[READ]

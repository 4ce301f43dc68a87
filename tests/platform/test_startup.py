"""Listening for callers before the rest of the program is imported."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import eventlet
from eventlet.green import socket

from dockreach.direct.entry import Entry
from dockreach.errors import SettingsError
from dockreach_platform.headers import PlatformAdapter
from dockreach_platform.startup import load_and_listen
from tests.direct.standins import (
    LOCAL,
    Caller,
    EndpointStandIn,
    entry_settings,
    free_port,
    published,
    revision,
    status_of,
)

from .test_platform_settings import settings_fields, write_settings


def fields_with_free_ports() -> dict[str, object]:
    addresses = {"front": f"{LOCAL}:{free_port()}", "ready": f"{LOCAL}:{free_port()}"}
    return {**settings_fields(), "ip": LOCAL, "listen_addrs": addresses}


def test_callers_can_connect_before_the_program_is_imported(tmp_path: Path) -> None:
    listener = load_and_listen(write_settings(tmp_path, fields_with_free_ports())).listener
    assert listener is not None
    with listener, socket.create_connection(listener.getsockname(), timeout=1.0):
        pass


def test_invalid_settings_are_returned_as_the_error(tmp_path: Path) -> None:
    startup = load_and_listen(write_settings(tmp_path, {"ip": "front-a-1"}))
    assert startup.listener is None
    assert isinstance(startup.settings, SettingsError)


def test_the_startup_module_does_not_import_eventlet_click_or_h11() -> None:
    code = (
        "import sys; import dockreach_platform.startup;"
        "print([name for name in ('eventlet', 'click', 'h11') if name in sys.modules])"
    )
    root = Path(__file__).resolve().parents[2]
    found = subprocess.run(
        [sys.executable, "-c", code],
        env={"PYTHONPATH": f"{root}:{root / 'platform'}"},
        capture_output=True,
        check=True,
        text=True,
    )
    assert found.stdout.strip() == "[]"


def test_a_caller_that_connected_early_is_served_once_the_configuration_is_applied(
    tmp_path: Path,
) -> None:
    content = fields_with_free_ports()
    listener = load_and_listen(write_settings(tmp_path, content)).listener
    assert listener is not None
    settings = entry_settings(callers_port=listener.getsockname()[1])
    entry = Entry(settings, PlatformAdapter(), listener=listener)
    caller = Caller(entry)
    caller.send("/once/a")
    entry.start()
    eventlet.sleep(0.1)
    endpoint = EndpointStandIn(lambda dialog: dialog.respond(b"fine"))
    entry.apply_revision(revision(), "test")
    entry.replace_endpoints([published("e-1", endpoint.address)], 1)
    assert status_of(caller.read_response()) == 200

"""Numbered log events. docs/EVENTS.md is their catalogue; a test compares the two."""

from __future__ import annotations

import enum
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_LOGGER = logging.getLogger("dockreach")


class Event(enum.IntEnum):
    """Numbers of log events; a number is never used again for something else."""

    STARTED = 100
    READY = 101
    STOPPING = 103
    STOPPED = 104
    PAUSED = 105
    PEER_UP = 200
    PEER_DOWN = 201
    VM_GONE = 202
    LEAVING = 203
    CONFIG_IN_FORCE = 300
    CONFIG_REFUSED = 301
    CONFIG_CONFLICT = 302
    PLATFORM_DOWN = 303
    PLATFORM_BACK = 304
    ENGINE_SUSPECT = 500
    ENGINE_RECOVERED = 501
    ENGINE_UNREACHABLE = 502
    ORDER_GIVEN = 520
    ORDER_REFUSED = 521
    ENDPOINT_PUBLISHED = 530
    ENDPOINT_GONE = 531
    ENDPOINT_REFUSED = 532
    OPERATOR_QUERY = 600
    OPERATOR_CANCEL = 601
    REQUEST_ANSWERED = 700
    REQUEST_REFUSED = 701
    REQUEST_LOST = 702
    REQUEST_CUT = 703
    ATTEMPT_ENDED = 704
    BAD_REQUEST = 705
    DIGEST_REFUSED = 720
    DIGEST_TOO_LARGE = 721
    ACCEPT_FAILED = 730
    INTERNAL_ERROR = 731


_LEVELS: dict[Event, int] = {
    Event.PAUSED: logging.WARNING,
    Event.PEER_DOWN: logging.WARNING,
    Event.CONFIG_REFUSED: logging.WARNING,
    Event.CONFIG_CONFLICT: logging.ERROR,
    Event.PLATFORM_DOWN: logging.WARNING,
    Event.ENGINE_SUSPECT: logging.WARNING,
    Event.ENGINE_UNREACHABLE: logging.WARNING,
    Event.ORDER_REFUSED: logging.ERROR,
    Event.ENDPOINT_REFUSED: logging.WARNING,
    Event.REQUEST_LOST: logging.WARNING,
    Event.REQUEST_CUT: logging.WARNING,
    Event.DIGEST_REFUSED: logging.WARNING,
    Event.DIGEST_TOO_LARGE: logging.ERROR,
    Event.ACCEPT_FAILED: logging.WARNING,
    Event.INTERNAL_ERROR: logging.ERROR,
}


def set_up(name: str, level: str) -> None:
    """Log JSON lines to standard error.

    Args:
        name: The daemon's name, put on every line.
        level: The lowest level that is logged.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"daemon": name},
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    _LOGGER.handlers = [handler]
    _LOGGER.setLevel(level.upper())
    _LOGGER.propagate = False


def log(event: Event, text: str = "", **fields: str | float | bool | None) -> None:
    """Log a numbered event.

    Args:
        event: The event; its level is part of the catalogue.
        text: One sentence for a person.
        **fields: Values for a machine.
    """
    level = _LEVELS.get(event, logging.INFO)
    if not _LOGGER.isEnabledFor(level):
        return
    extra = {"event": int(event), "name_of_event": event.name.lower(), **fields}
    _LOGGER.log(level, text or event.name.lower().replace("_", " "), extra=extra)


def level_of(event: Event) -> str:
    """Return the name of the level at which an event is logged."""
    return logging.getLevelName(_LEVELS.get(event, logging.INFO)).lower()

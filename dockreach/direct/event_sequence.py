"""Which event of a stream comes next, over all runs that serve one caller.

A stream may be sent by several endpoints, one after another. A caller may miss no event of
it and get none twice, and must not take the end of one run for the end of another.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from .event_run import MAX_SHOWN_ID_CHARACTERS, EventRun
from .event_stream import StreamEvent
from .http1 import ResponseError

MAX_NUMBER_DIGITS = 32
"""Longest id that counts as a whole number, in digits."""

MAX_REMEMBERED_IDS = 200
"""Most ids that are remembered of a stream whose ids are no numbers. A stream of more
events cannot be resumed: a run that begins too early could not be told from a right one."""

MAX_REMEMBERED_EVENTS = 200
"""Most events of a run of which it is remembered what they were, to recognise copies."""

MIN_EVEN_STEPS = 2
"""Differences between ids, all of them 1, from which on a larger one is a lost event."""

_NUMBER = re.compile(rf"[0-9]{{1,{MAX_NUMBER_DIGITS}}}")


class EventOrderError(ResponseError):
    """An endpoint sent an event, or an end, that cannot be the next one of the stream.

    Args:
        problem: Description of what was received, and what the caller has.
    """


@dataclass(frozen=True, slots=True)
class Selection:
    """The events of a batch that the caller is to get.

    Attributes:
        events: These events, in order.
        dropped: Number of events that the caller has already.
        error: Why nothing that follows them may be passed on; ``None`` if it may.
    """

    events: list[StreamEvent]
    dropped: int
    error: EventOrderError | None


class EventSequence:
    """Selects the events of all runs of a stream that the caller is to get.

    Ids that are whole numbers rise. The first event of a resumed run that is above the last
    one has to be its successor. Of other ids it is only known which ones the caller has.

    Args:
        last_id: Id of the last event that the caller has from an earlier request; empty if
            the stream begins with this one.

    Attributes:
        last_id: Id of the last event that the caller has; empty if there is none.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._last_number = _number_of(last_id)
        self._text_ids = dict.fromkeys([last_id] if last_id else [])
        self._has_forgotten = False
        self._is_mixed = False
        self._has_unnumbered = False
        self._steps = _Steps()
        self._run: EventRun | None = None
        self._is_run_resumed = False
        self._hashes: dict[int, int] = {}

    @property
    def can_resume(self) -> bool:
        """Whether it is known after which event another run has to begin.

        It is not after an event without an id, until one with an id follows.
        """
        return not (self._has_unnumbered or self._is_mixed or self._has_forgotten)

    def accept(self, run: EventRun, events: Sequence[StreamEvent]) -> Selection:
        """Select the events that the caller is to get, and take them for delivered.

        Args:
            run: The run that they belong to.
            events: Events that follow those that were selected from before, in order.
        """
        selected: list[StreamEvent] = []
        dropped = 0
        for event in events:
            try:
                is_new = self._is_new(run, event)
            except EventOrderError as exc:
                return Selection(selected, dropped, exc)
            if is_new:
                selected.append(event)
                self._advance(run, event)
            else:
                dropped += 1
        return Selection(selected, dropped, None)

    def has_next(self, run: EventRun, events: Sequence[StreamEvent]) -> bool:
        """Return whether one of the events is the next one for the caller.

        Comments, and events that the caller has, are not.

        Raises:
            EventOrderError: The first other event cannot be the next one.
        """
        return any(_has_position(event) and self._is_new(run, event) for event in events)

    def check_end(self, run: EventRun) -> None:
        """Check that the end of a run can be the end of the stream.

        Raises:
            EventOrderError: The run ended before the last event that the caller has.
        """
        if run is not self._run and run.last_id and run.last_id != self.last_id:
            raise EventOrderError(
                f"run ended at event {_shown(run.last_id)}, before {_shown(self.last_id)}"
            )

    def _is_new(self, run: EventRun, event: StreamEvent) -> bool:
        """Return whether the caller does not have an event yet.

        Raises:
            EventOrderError: It cannot be the next event.
        """
        if not _has_position(event):
            return True
        is_first_of_run = run is not self._run
        is_resumed = self._has_begun if is_first_of_run else self._is_run_resumed
        if self._last_number is not None:
            number = _number_of(event.id)
            if number is not None and number <= self._last_number:
                if not is_first_of_run:
                    self._require_copy(event, number)
                return False
            if is_first_of_run:
                self._require_successor(event, number)
            elif number is not None:
                self._require_no_jump(event, number - self._last_number)
        elif is_resumed:
            if event.id in self._text_ids:
                return False
            if is_first_of_run and not (event.id and self.can_resume):
                raise self._error_of(event)
        return True

    def _require_successor(self, event: StreamEvent, number: int | None) -> None:
        """Check the first event of a run that begins behind the last event."""
        step = self._steps.expected
        is_successor = (
            number is not None
            and self.can_resume
            and self._last_number is not None
            and (step is None or number == self._last_number + step)
        )
        if not is_successor:
            raise self._error_of(event)

    def _require_no_jump(self, event: StreamEvent, step: int) -> None:
        """Check an event of a run against the events before it."""
        is_even = self._steps.are_all_one or (
            self._is_run_resumed and self._steps.expected == 1
        )
        if step > 1 and is_even and self.can_resume:
            raise self._error_of(event)

    def _require_copy(self, event: StreamEvent, number: int) -> None:
        """Check an event whose id this run has passed already."""
        if self._hashes.get(number) != hash(event.data):
            raise self._error_of(event)

    def _error_of(self, event: StreamEvent) -> EventOrderError:
        shown = _shown(event.id) if event.id else "without an id"
        return EventOrderError(f"event {shown} does not follow {_shown(self.last_id)}")

    @property
    def _has_begun(self) -> bool:
        return bool(self.last_id) or self._has_unnumbered

    def _advance(self, run: EventRun, event: StreamEvent) -> None:
        """Take an event for the last one that the caller has."""
        if not _has_position(event):
            return
        is_first_of_run = run is not self._run
        if is_first_of_run:
            self._is_run_resumed = self._has_begun
            self._run = run
            self._hashes.clear()
        if not event.id:
            self._has_unnumbered = True
            return
        number = _number_of(event.id)
        if not self.last_id:
            self._last_number = number
        elif self._last_number is not None and number is None:
            self._is_mixed = True
        elif self._last_number is not None and number is not None:
            if not (is_first_of_run or self._has_unnumbered):
                self._steps.record(number - self._last_number)
            self._last_number = number
        self.last_id = event.id
        self._has_unnumbered = False
        self._remember(event, number)

    def _remember(self, event: StreamEvent, number: int | None) -> None:
        """Remember what an event was, to recognise it if it comes again."""
        if number is not None:
            self._hashes[number] = hash(event.data)
            if len(self._hashes) > MAX_REMEMBERED_EVENTS:
                del self._hashes[next(iter(self._hashes))]
        if self._last_number is not None:
            return
        self._text_ids[event.id] = None
        if len(self._text_ids) > MAX_REMEMBERED_IDS:
            del self._text_ids[next(iter(self._text_ids))]
            self._has_forgotten = True


class _Steps:
    """Differences between the ids of successive events of a run."""

    def __init__(self) -> None:
        self._count = 0
        self._size: int | None = 1

    @property
    def expected(self) -> int | None:
        """The difference to the next id; ``None`` if it is not known."""
        return self._size

    @property
    def are_all_one(self) -> bool:
        """Whether several were seen, and all were 1."""
        return self._count >= MIN_EVEN_STEPS and self._size == 1

    def record(self, size: int) -> None:
        """Record one difference."""
        if not self._count:
            self._size = size
        elif size != self._size:
            self._size = None
        self._count += 1


def _has_position(event: StreamEvent) -> bool:
    """Return whether an event counts in the order; comments may come at any time."""
    return bool(event.id) or event.has_data


def _number_of(event_id: str) -> int | None:
    """Return the whole number that an id is; ``None`` if it is none."""
    return int(event_id) if _NUMBER.fullmatch(event_id) else None


def _shown(event_id: str) -> str:
    return repr(event_id[:MAX_SHOWN_ID_CHARACTERS])

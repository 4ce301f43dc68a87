"""Notices that this entry's list of endpoints is not confirmed: it is out of step.

The platform confirms the list with each response, and so do peers that the platform has
answered. An entry that is cut off from both, or that stood still, does not know of changes
that the others have applied.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from ..events import Event, log
from ..metrics import Sample
from .version_coverage import PLATFORM, Confirmation

MAX_AGE_FRACTION = 2.0
"""Age of the last confirmation from which an entry is out of step, as a fraction of the
time within which a change must be applied: two long polls and the retry of a failed one."""


class ListConfirmation:
    """Tells when an entry gets out of step with the platform, and back in step.

    Args:
        confirmation: Returns up to when all changes of the list of endpoints were seen, and
            who read it then.
        max_age_s: Returns for how long the list may be unconfirmed, in seconds.

    Attributes:
        is_out_of_step: Whether it was not confirmed for longer.
        count: How often the entry got out of step.
        last: The confirmation at the last check.
        revision: The platform's revision up to which the list was read; 0 for none.
    """

    def __init__(
        self, confirmation: Callable[[], Confirmation], max_age_s: Callable[[], float]
    ) -> None:
        self._confirmation = confirmation
        self._max_age_s = max_age_s
        self._last_confirmed_at = -math.inf
        self.is_out_of_step = False
        self.count = 0
        self.last = Confirmation(-math.inf, PLATFORM)
        self.revision = 0

    def age_s(self, now: float) -> float:
        """Return for how long the list has not been confirmed, in seconds.

        It is 0 while there is no list.
        """
        return _age_s(self._confirmation(), now)

    def last_age_s(self, now: float) -> float:
        """Return the same as of the last check: peers are not looked at again."""
        return _age_s(self.last, now)

    def check(self, now: float) -> None:
        """Log if the entry got out of step, or is back in step."""
        self.last = self._confirmation()
        age_s = self.last_age_s(now)
        was_out_of_step = self.is_out_of_step
        self.is_out_of_step = age_s > self._max_age_s()
        if self.is_out_of_step and not was_out_of_step:
            self._last_confirmed_at = now - age_s
            self.count += 1
            log(Event.OUT_OF_STEP, unconfirmed_ms=round(age_s * 1000))
        elif was_out_of_step and not self.is_out_of_step:
            unconfirmed_s = now - self._last_confirmed_at
            log(Event.BACK_IN_STEP, unconfirmed_ms=round(unconfirmed_s * 1000))

    def samples(self, now: float) -> Iterator[Sample]:
        """Return metrics of the age of the last confirmation."""
        yield Sample(
            "dockreach_direct_list_unconfirmed_seconds",
            "Seconds for which neither the platform nor a peer confirmed the endpoints",
            self.age_s(now),
            {},
            is_counter=False,
        )
        yield Sample(
            "dockreach_direct_out_of_step_total",
            "Times at which the endpoints had not been confirmed for too long",
            self.count,
            {},
        )


def _age_s(confirmation: Confirmation, now: float) -> float:
    return now - confirmation.at if confirmation.at > -math.inf else 0.0

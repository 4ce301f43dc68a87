"""A table of the streams that broke their order, by kind, way and the last fault before."""

from __future__ import annotations

from collections import Counter

from .invariants import Observations
from .rejoined_invariants import order_cases
from .worker_facts import Fact, FactKind

NO_FAULT = "none"
ENDPOINT_EXIT = "endpoint_exit"


def order_table(observed: Observations, facts: list[Fact]) -> list[str]:
    """Return a line for each kind of stream, way and last fault before it.

    Args:
        observed: What callers received, and the faults.
        facts: What endpoints did.
    """
    exits = {fact.rid: fact.at for fact in facts if fact.kind is FactKind.EXIT}
    counts: Counter[tuple[str, str, str]] = Counter()
    for case in order_cases(observed):
        faults = [*observed.injected]
        if case.rid in exits:
            faults.append((exits[case.rid], ENDPOINT_EXIT))
        before = [fault for fault in faults if fault[0] <= case.at]
        last = max(before)[1] if before else NO_FAULT
        counts[case.kind, case.fault.value, last] += 1
    return [
        f"  {kind:8} | {way:15} | {last:24} | {counts[kind, way, last]}"
        for kind, way, last in sorted(counts)
    ]

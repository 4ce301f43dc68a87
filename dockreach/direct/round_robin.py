"""Selects a few items of a list at a time, in round-robin order."""

from __future__ import annotations

from typing import TypeVar

T = TypeVar("T")


class RoundRobin:
    """Selects items in round-robin order from a list that may change between calls."""

    def __init__(self) -> None:
        self._offset = 0

    def next_items(self, items: list[T], max_count: int) -> list[T]:
        """Return the next items; all of them if the list is short enough.

        Args:
            items: The list to select from.
            max_count: Maximum number of items to return.
        """
        if len(items) <= max_count:
            return items
        self._offset = (self._offset + max_count) % len(items)
        return (items + items)[self._offset : self._offset + max_count]

"""Values that stay in force although the platform lists others."""

import collections
from collections.abc import Container

import msgspec


class _Hold(msgspec.Struct, frozen=True):
    """A value to use instead of the listed one; None if the key is absent."""

    value: bytes | None
    until_s: float


class HeldEntries:
    """Overrides entries of the platform for a limited time.

    After an outage the platform may lack entries whose owners still exist, and
    after a restore it may list old values and entries that had been removed.

    Args:
        removal_memory_s: Seconds for which removals are remembered.
        max_removals: Maximum number of removals that are remembered.
    """

    def __init__(self, removal_memory_s: float, max_removals: int) -> None:
        self._removal_memory_s = removal_memory_s
        self._max_removals = max_removals
        self._holds: dict[str, _Hold] = {}
        self._removed_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __contains__(self, key: str) -> bool:
        """Returns whether a value or the absence of a key is held."""
        return key in self._holds

    def hold(self, key: str, value: bytes | None, until_s: float) -> None:
        """Holds a value, or the absence of a key, until a time."""
        self._holds[key] = _Hold(value, until_s)

    def value_of(self, key: str, listed: bytes | None) -> bytes | None:
        """Returns the value that is held for a key, or else the listed one."""
        hold = self._holds.get(key)
        return listed if hold is None else hold.value

    def release(self, key: str) -> None:
        """Ends the hold of a key and forgets that it was removed."""
        self._holds.pop(key, None)
        self._removed_s.pop(key, None)

    def end(self, key: str) -> None:
        """Ends the hold of a key."""
        self._holds.pop(key, None)

    def extend(self, keys: Container[str], until_s: float) -> None:
        """Extends the holds of some keys."""
        for key, hold in self._holds.items():
            if key in keys:
                self._holds[key] = _Hold(hold.value, until_s)

    def expire(self, now_s: float) -> int:
        """Ends the holds that are due; returns how many did."""
        due = [key for key, h in self._holds.items() if now_s >= h.until_s]
        for key in due:
            del self._holds[key]
        return len(due)

    def apply_to(self, values: dict[str, bytes]) -> None:
        """Overrides the listed values by those that are held."""
        for key, hold in self._holds.items():
            if hold.value is None:
                values.pop(key, None)
            else:
                values[key] = hold.value

    def remember_removal(self, key: str, now_s: float) -> None:
        """Remembers that the platform removed an entry."""
        self._removed_s.pop(key, None)
        self._removed_s[key] = now_s
        if len(self._removed_s) > self._max_removals:
            self._removed_s.popitem(last=False)

    def was_removed(self, key: str, now_s: float) -> bool:
        """Returns whether an entry was removed recently."""
        removed_s = self._removed_s.get(key, float("-inf"))
        return now_s - removed_s < self._removal_memory_s

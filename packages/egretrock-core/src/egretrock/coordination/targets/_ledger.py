"""Count of the outstanding permits of a service."""

import collections

import msgspec

from egretrock.state.ids import InstanceId, TargetId


class IssuedPermit(msgspec.Struct):
    """A permit in the books of the home.

    Attributes:
        number: Number in the session of its node.
        target: Target.
        instance: Instance it was issued for, or None if unknown.
        new_connection: Whether the node may open its first connection with
            it; such a request may reach an instance that is not known yet.
        issued_s: Time of issue.
        ask: Ask from whose send the node counts the validity.
        standing: Whether it may be used repeatedly.
        confirmed: Whether the node said that it received it.
        sent_s: Time of the last send.
        queried_s: Time of the last query, issue or renewal.
        busy: Busy fraction of a standing permit.
    """

    number: int
    target: TargetId
    instance: InstanceId | None
    new_connection: bool
    issued_s: float
    ask: int = 0
    standing: bool = False
    confirmed: bool = False
    sent_s: float = 0.0
    queried_s: float = 0.0
    busy: float = 1.0


class Ledger:
    """Outstanding permits by target, instance and kind.

    A request on an open connection reaches the instance that the connection
    was made to. So only permits for an instance, and those that may open a
    connection, count for it.
    """

    def __init__(self) -> None:
        self._counts: dict[
            TargetId, collections.Counter[tuple[InstanceId | None, bool]]
        ] = {}
        self.standing = 0
        self.total = 0
        self._idle = 0.0

    def busy(self) -> float:
        """Returns the outstanding permits less the idle standing ones."""
        return self.total - self._idle

    def set_busy(self, permit: IssuedPermit, busy: float) -> None:
        """Sets the busy fraction of a counted standing permit."""
        self._idle += permit.busy - busy
        permit.busy = busy

    def add(self, permit: IssuedPermit) -> None:
        """Counts a permit."""
        counts = self._counts.setdefault(permit.target, collections.Counter())
        counts[permit.instance, permit.new_connection] += 1
        self.standing += permit.standing
        self.total += 1
        self._idle += 1.0 - permit.busy

    def remove(self, permit: IssuedPermit) -> None:
        """Ends the count of a permit that was added."""
        counts = self._counts[permit.target]
        key = permit.instance, permit.new_connection
        counts[key] -= 1
        if not counts[key]:
            del counts[key]
        self.standing -= permit.standing
        self.total -= 1
        self._idle -= 1.0 - permit.busy
        if not counts:
            del self._counts[permit.target]

    def outstanding(self, target: TargetId, instance: InstanceId | None) -> int:
        """Returns how many permits may put load on an instance."""
        counts = self._counts.get(target)
        if counts is None:
            return 0
        return sum(
            count
            for (issued_for, new_connection), count in counts.items()
            if new_connection or issued_for == instance
        )

    def new_connections(self, target: TargetId) -> int:
        """Returns how many permits may open a first connection."""
        counts = self._counts.get(target, {})
        return sum(
            count
            for (_, new_connection), count in counts.items()
            if new_connection
        )

"""Count of the outstanding permits of a service."""

import collections

import msgspec

from egretrock.state.ids import InstanceId, TargetId


class IssuedPermit(msgspec.Struct):
    """A permit as the home records it.

    Attributes:
        number: Number in the session of its node.
        target: Target.
        instance: Instance it was issued for, or None if unknown.
        new_connection: Whether the node may open its first connection with
            it; such a request may reach an instance that the home does
            not know yet.
        issued_s: Time of issue.
        ask_seq: Number of the ask from whose send the validity counts.
        standing: Whether it may be used repeatedly.
        confirmed: Whether the node confirmed that it received it.
        sent_s: Time at which its grant was last sent.
        queried_s: Time of the last query, issue or renewal.
        busy_fraction: Fraction of the time that a standing permit is in use;
            1 for others.
    """

    number: int
    target: TargetId
    instance: InstanceId | None
    new_connection: bool
    issued_s: float
    ask_seq: int = 0
    standing: bool = False
    confirmed: bool = False
    sent_s: float = 0.0
    queried_s: float = 0.0
    busy_fraction: float = 1.0


class Ledger:
    """Outstanding permits by target, instance and kind.

    A request on an open connection reaches the instance that the connection
    was made to. So an instance's count has only the permits for it and those
    that may open a connection.
    """

    def __init__(self) -> None:
        self._counts: dict[
            TargetId, collections.Counter[tuple[InstanceId | None, bool]]
        ] = {}
        self.standing = 0
        self.total = 0
        self._idle_standing = 0.0

    def busy_count(self) -> float:
        """Returns the outstanding permits without the idle standing ones."""
        return self.total - self._idle_standing

    def set_busy_fraction(self, permit: IssuedPermit, fraction: float) -> None:
        """Sets the fraction of time in use of a counted standing permit."""
        self._idle_standing += permit.busy_fraction - fraction
        permit.busy_fraction = fraction

    def add(self, permit: IssuedPermit) -> None:
        """Adds a permit to the counts."""
        counts = self._counts.setdefault(permit.target, collections.Counter())
        counts[permit.instance, permit.new_connection] += 1
        self.standing += permit.standing
        self.total += 1
        self._idle_standing += 1.0 - permit.busy_fraction

    def remove(self, permit: IssuedPermit) -> None:
        """Removes a permit that was added."""
        counts = self._counts[permit.target]
        key = permit.instance, permit.new_connection
        counts[key] -= 1
        if not counts[key]:
            del counts[key]
        self.standing -= permit.standing
        self.total -= 1
        self._idle_standing -= 1.0 - permit.busy_fraction
        if not counts:
            del self._counts[permit.target]

    def outstanding(self, target: TargetId, instance: InstanceId | None) -> int:
        """Returns how many permits may put load on an instance."""
        counts = self._counts.get(target)
        if counts is None:
            return 0
        return sum(
            count
            for (permit_instance, new_connection), count in counts.items()
            if new_connection or permit_instance == instance
        )

    def new_connections(self, target: TargetId) -> int:
        """Returns how many permits may open a first connection."""
        counts = self._counts.get(target, {})
        return sum(
            count
            for (_, new_connection), count in counts.items()
            if new_connection
        )

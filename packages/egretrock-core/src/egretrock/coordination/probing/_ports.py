"""What the chooser asks other parts of the node."""

from typing import Protocol

from egretrock.coordination.targets import AttemptOutcome
from egretrock.state.ids import InstanceId, ServiceId, TargetId


class TargetEvidence(Protocol):
    """Outcomes of attempts at the targets, also those of other nodes."""

    def record(
        self,
        service: ServiceId,
        target: TargetId,
        instance: InstanceId | None,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        """Records the outcome of an attempt of this node."""
        ...

    def failure_rate(self, target: TargetId, now_s: float) -> float:
        """Returns the recent share of failures at a target, from 0 to 1."""
        ...

    def is_out(self, target: TargetId, now_s: float) -> bool:
        """Returns whether a target is taken out of service for failures."""
        ...

    def take_try(self, target: TargetId, now_s: float) -> bool:
        """Takes the right to send one request to a target that is out."""
        ...


class NoEvidence:
    """Evidence of a node that learns nothing from others."""

    def record(
        self,
        service: ServiceId,
        target: TargetId,
        instance: InstanceId | None,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        """Does nothing."""

    def failure_rate(self, target: TargetId, now_s: float) -> float:
        """Returns 0."""
        del target, now_s
        return 0.0

    def is_out(self, target: TargetId, now_s: float) -> bool:
        """Returns False."""
        del target, now_s
        return False

    def take_try(self, target: TargetId, now_s: float) -> bool:
        """Returns False: no target is out."""
        del target, now_s
        return False


class IdleConnections(Protocol):
    """The open connections of this node that no request uses."""

    def has_idle_connection(
        self, address: str, at_most_once: bool = False
    ) -> bool:
        """Returns whether a request could be sent without a new connection.

        Args:
            address: ``"ip:port"`` of the target.
            at_most_once: Whether the request must run at most once.
        """
        ...


class NoConnections:
    """Connections of a node that does not know them."""

    def has_idle_connection(
        self, address: str, at_most_once: bool = False
    ) -> bool:
        """Returns False."""
        del address, at_most_once
        return False

"""Start of a process, until it has caught up with the fleet."""

import msgspec

from egretrock.coordination.fleet._documents import DocumentName
from egretrock.coordination.fleet._messages import NodeFlag
from egretrock.coordination.fleet._peers import PeerState
from egretrock.coordination.fleet._settings import FleetSettings
from egretrock.state.ids import Revision
from egretrock.state.membership import VmList, majority_size


class KnownState(msgspec.Struct, frozen=True):
    """Documents and confirmations that a starting process has.

    Attributes:
        vm_list: VM list in force.
        vms_accepted_s: Time at which it was accepted.
        vms_in_force: Its revision.
        seen: Highest revision checked of each document.
        confirmed_s: The earlier of the times at which the two documents were
            last confirmed.
    """

    vm_list: VmList
    vms_accepted_s: float
    vms_in_force: Revision
    seen: dict[DocumentName, Revision]
    confirmed_s: float


class Bootstrap:
    """Decides when a new process has caught up with the fleet.

    A revision that a majority accepted must not be lost when a node of that
    majority restarts. So the new process needs answers from enough *other*
    established processes that every majority contains one of them:
    ``count - majority_size(count) + 1``. It must not count itself: of three
    nodes, it and one that missed the revision would be a majority.

    Where a majority of the listed nodes has new processes, no other process
    can be relied on to have a later revision than they have, and their highest
    revision is enough.

    Args:
        settings: Settings of the fleet component.
        start_s: Start of the process.
    """

    def __init__(self, settings: FleetSettings, start_s: float) -> None:
        self._settings = settings
        self._start_s = start_s
        self.established_s: float | None = None
        #: Time from which the process may use its share and partitions.
        self.usable_from_s = float("inf")

    @property
    def is_established(self) -> bool:
        """Whether the process has caught up."""
        return self.established_s is not None

    def can_vote(self, now_s: float) -> bool:
        """Whether all votes of the previous process have expired."""
        waited = now_s >= self._start_s + self._settings.given_vote_s
        return self.is_established and waited

    def has_handover_ended(self, now_s: float) -> bool:
        """Whether all leases and grants of the previous process have ended."""
        return now_s >= self._start_s + self._settings.handover_s

    def establish_if_caught_up(
        self, known: KnownState, peers: list[PeerState], now_s: float
    ) -> bool:
        """Establishes the process if it has caught up.

        Args:
            known: Documents and confirmations that it has.
            peers: Listed peers that were heard from.
            now_s: Current time.

        Returns:
            Whether the process is established by this call.
        """
        node, settings = self._settings.node, self._settings
        if self.is_established or node not in known.vm_list.vms:
            return False
        if now_s > known.confirmed_s + settings.freshness_s:
            return False
        if any(_has_later_revision(peer, known) for peer in peers):
            return False
        answered = [p for p in peers if p.answered_s is not None]
        if self._has_enough_established_answers(known, answered):
            self.established_s = now_s
        elif self._has_new_majority_answers(known, answered, now_s):
            self.established_s = now_s
            usable_from_s = known.vms_accepted_s + settings.increase_delay_s
            self.usable_from_s = usable_from_s
        return self.is_established

    def set_usable_from(
        self, known: KnownState, peers: list[PeerState], now_s: float
    ) -> None:
        """Decides from when shares and partitions may be used.

        The process does not know which lists the one in force replaced, and
        a majority of such a list may still use that list. So the process
        waits until an established process reports that no change is in
        progress, or until the processes of all listed nodes report no earlier
        list.
        """
        if not self.is_established or self.usable_from_s < float("inf"):
            return
        current = [p for p in peers if p.vms_in_force == known.vms_in_force]
        if any(peer.has(NodeFlag.SETTLED) for peer in current):
            self.usable_from_s = now_s
            return
        alive_since_s = now_s - self._settings.alive_s
        without_change = [
            peer
            for peer in current
            if peer.heard_s >= alive_since_s and not peer.has(NodeFlag.CHANGING)
        ]
        if len(without_change) == len(known.vm_list.vms) - 1:
            self.usable_from_s = now_s + self._settings.increase_delay_s

    def _has_enough_established_answers(
        self, known: KnownState, answered: list[PeerState]
    ) -> bool:
        count = len(known.vm_list.vms)
        established = sum(
            peer.has(NodeFlag.ESTABLISHED)
            and peer.vms_in_force == known.vms_in_force
            and peer.peer.node in known.vm_list.vms
            for peer in answered
        )
        return established >= self._needed_answers(count)

    def _has_new_majority_answers(
        self, known: KnownState, answered: list[PeerState], now_s: float
    ) -> bool:
        new_count = 1 + sum(
            not peer.has(NodeFlag.ESTABLISHED)
            and peer.peer.node in known.vm_list.vms
            for peer in answered
        )
        needed_count = majority_size(len(known.vm_list.vms))
        # The wait gives established processes time to answer.
        return new_count >= needed_count and self.has_handover_ended(now_s)

    def _needed_answers(self, count: int) -> int:
        return count - majority_size(count) + 1


def _has_later_revision(peer: PeerState, known: KnownState) -> bool:
    return (
        peer.config_seen > known.seen[DocumentName.CONFIG]
        or peer.vms_seen > known.seen[DocumentName.VMS]
    )

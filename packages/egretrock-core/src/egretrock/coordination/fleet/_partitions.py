"""Partition leases: placement, votes given and votes received."""

from collections.abc import Iterable

import msgspec

from egretrock.coordination.base import (
    PARTITION_COUNT,
    Peer,
    rendezvous_node,
)
from egretrock.coordination.fleet._lists import NEVER_S, ListHistory
from egretrock.state.ids import NodeId

ALL_PARTITIONS = frozenset(range(PARTITION_COUNT))


class Placement:
    """Preferred home of each partition among a set of candidates."""

    def __init__(self) -> None:
        self.candidates: frozenset[NodeId] = frozenset()
        self.unchanged_since_s = NEVER_S
        self._preferred: list[NodeId | None] = [None] * PARTITION_COUNT

    def update(self, candidates: frozenset[NodeId], now_s: float) -> None:
        """Sets the candidates; hashes only if they changed."""
        if candidates == self.candidates:
            return
        self.candidates = candidates
        self.unchanged_since_s = now_s
        self._preferred = [
            rendezvous_node(f"partition {partition}", candidates)
            for partition in range(PARTITION_COUNT)
        ]

    def preferred(self, partition: int) -> NodeId | None:
        """Returns the preferred home, or None without a candidate."""
        return self._preferred[partition]


class _GivenVote(msgspec.Struct, frozen=True):
    """A vote that was given.

    Attributes:
        voted_for: The process that may count the vote; a later process of
            the same node may not.
        question: The question that the vote answers.
        until_s: Time until which no other process gets the vote.
    """

    voted_for: Peer
    question: int
    until_s: float


class Voter:
    """Votes given; at most one process has the vote for a partition.

    Args:
        given_vote_s: Seconds after sending a vote in which no other process
            gets it.
    """

    def __init__(self, given_vote_s: float) -> None:
        self._given_vote_s = given_vote_s
        self._given_votes: dict[int, _GivenVote] = {}

    def vote(
        self,
        voted_for: Peer,
        question: int,
        wanted: Iterable[int],
        now_s: float,
    ) -> list[int]:
        """Gives or renews votes, for a message that is sent now.

        Args:
            voted_for: The process that asked.
            question: Its question.
            wanted: Partitions that it should hold.
            now_s: Current time.

        Returns:
            The partitions whose vote was free or given to ``voted_for``
            already.
        """
        until_s = now_s + self._given_vote_s
        granted = []
        for partition in wanted:
            given_vote = self._valid_vote(partition, now_s)
            if given_vote is None or given_vote.voted_for == voted_for:
                granted.append(partition)
                renewed = _GivenVote(voted_for, question, until_s)
                self._given_votes[partition] = renewed
        return granted

    def free(
        self, by: Peer, last_question: int, partitions: Iterable[int]
    ) -> None:
        """Frees votes that the process ``by`` no longer uses."""
        for partition in partitions:
            given_vote = self._given_votes.get(partition)
            if given_vote is None or given_vote.voted_for != by:
                continue
            if given_vote.question <= last_question:
                del self._given_votes[partition]

    def voted_node(self, partition: int, now_s: float) -> NodeId | None:
        """Returns the node that has this node's vote for a partition."""
        given_vote = self._valid_vote(partition, now_s)
        return None if given_vote is None else given_vote.voted_for.node

    def _valid_vote(self, partition: int, now_s: float) -> _GivenVote | None:
        given_vote = self._given_votes.get(partition)
        if given_vote is None or now_s >= given_vote.until_s:
            return None
        return given_vote


class PartitionHolder:
    """Votes received, and the partitions that this process holds by them.

    Args:
        lists: The VM lists; a majority of each of them must vote.
        vote_s: Seconds for which a vote is valid, from the sending of the
            question that it answers.
    """

    def __init__(self, lists: ListHistory, vote_s: float) -> None:
        self._lists = lists
        self._vote_s = vote_s
        self._votes: dict[int, dict[NodeId, float]] = {}
        self._held_until_s = dict.fromkeys(ALL_PARTITIONS, NEVER_S)
        self._held_since_s: dict[int, float] = {}
        self._released_s = dict.fromkeys(ALL_PARTITIONS, NEVER_S)

    def add_votes(
        self,
        voter: NodeId,
        partitions: Iterable[int],
        sent_s: float,
        now_s: float,
    ) -> None:
        """Counts votes that answer a question sent at ``sent_s``."""
        for partition in partitions:
            if sent_s <= self._released_s[partition]:
                continue
            votes = self._votes.setdefault(partition, {})
            until_s = self._expires_s(sent_s, now_s)
            votes[voter] = max(votes.get(voter, NEVER_S), until_s)
            self._recount(partition, now_s)

    def recount(self, now_s: float) -> None:
        """Counts all votes again after a change of the VM lists."""
        for partition in self._votes:
            self._recount(partition, now_s)

    def release(self, partitions: Iterable[int], now_s: float) -> None:
        """Gives up partitions, and votes that answer questions up to now."""
        for partition in partitions:
            self._votes.pop(partition, None)
            self._held_until_s[partition] = NEVER_S
            self._released_s[partition] = now_s

    def holds(self, partition: int, now_s: float) -> bool:
        """Returns whether this process is the only holder now."""
        return now_s < self._held_until_s[partition]

    def held(self, now_s: float) -> frozenset[int]:
        """Returns the partitions that this process holds now."""
        return frozenset(p for p in ALL_PARTITIONS if self.holds(p, now_s))

    def held_since_s(self, partition: int) -> float | None:
        """Returns when the latest uninterrupted holding began."""
        return self._held_since_s.get(partition)

    def _expires_s(self, sent_s: float, now_s: float) -> float:
        del now_s  # The validity starts at the sending of the question.
        return sent_s + self._vote_s

    def _recount(self, partition: int, now_s: float) -> None:
        until_s = self._lists.majority_time_s(self._votes[partition])
        if now_s < until_s and not self.holds(partition, now_s):
            self._held_since_s[partition] = now_s
        self._held_until_s[partition] = until_s

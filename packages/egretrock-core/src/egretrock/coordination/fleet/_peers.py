"""What a node knows of its peers, and the questions it has asked."""

import collections
import dataclasses
import random

from egretrock.coordination.base import Peer
from egretrock.coordination.fleet._messages import (
    Heartbeat,
    NodeFlag,
    parse_partitions,
)
from egretrock.state.ids import NodeId, Revision

#: Seconds for which datagrams of an ended process are ignored. A limit in
#: time keeps a mistaken order of two processes from becoming permanent.
_RETIRED_S = 10.0
_RETIRED_COUNT = 8
#: Question ids start at a random point, so that an answer to a predecessor's
#: question is not taken for an answer to this process.
_QUESTION_BITS = 32
_NO_REVISION = Revision(0)


@dataclasses.dataclass
class PeerState:
    """What one process of a peer said.

    Attributes:
        peer: The process.
        heard_s: When its latest heartbeat arrived.
        question: Its latest question.
        answered_s: When the latest question that it answered was sent.
        config_seen: Highest configuration revision that it reported.
        vms_seen: Highest VM list revision that it reported.
        vms_in_force: VM list revision that it has in force.
        flags: Flags of its latest heartbeat.
        held: Partitions that it said it holds.
    """

    peer: Peer
    heard_s: float
    question: int = 0
    answered_s: float | None = None
    config_seen: Revision = _NO_REVISION
    vms_seen: Revision = _NO_REVISION
    vms_in_force: Revision = _NO_REVISION
    flags: int = 0
    held: frozenset[int] = frozenset()

    def update(self, body: Heartbeat, now_s: float) -> None:
        """Takes a heartbeat; a late one changes only what never falls."""
        self.config_seen = max(self.config_seen, body.config_seen)
        self.vms_in_force = max(self.vms_in_force, body.vms_in_force)
        vms_seen = max(body.vms_seen, body.vms_in_force)
        self.vms_seen = max(self.vms_seen, vms_seen)
        if body.question <= self.question:
            return
        self.question = body.question
        self.heard_s = now_s
        self.flags = body.flags
        self.held = parse_partitions(body.held)

    def has(self, flag: NodeFlag) -> bool:
        """Returns whether the latest heartbeat set ``flag``."""
        return bool(self.flags & flag)


class PeerTable:
    """The latest process of each peer."""

    def __init__(self) -> None:
        self._states: dict[NodeId, PeerState] = {}
        self._retired: collections.deque[tuple[Peer, float]] = (
            collections.deque(maxlen=_RETIRED_COUNT)
        )

    def accept(self, sender: Peer, now_s: float) -> PeerState | None:
        """Returns the state of the sender, new for a new process.

        Returns:
            The state, or None for a late datagram of an ended process.
        """
        state = self._states.get(sender.node)
        if state is not None and state.peer == sender:
            return state
        for retired, retired_s in self._retired:
            if retired == sender and now_s < retired_s + _RETIRED_S:
                return None
        if state is not None:
            self._retired.append((state.peer, now_s))
        state = PeerState(sender, now_s)
        self._states[sender.node] = state
        return state

    def get(self, node: NodeId) -> PeerState | None:
        """Returns the state of a peer, if it was heard."""
        return self._states.get(node)

    def listed(self, nodes: frozenset[NodeId]) -> list[PeerState]:
        """Returns the states of the peers among ``nodes``."""
        return [s for node, s in self._states.items() if node in nodes]

    def alive(
        self, nodes: frozenset[NodeId], now_s: float, alive_s: float
    ) -> list[PeerState]:
        """Returns the peers among ``nodes`` heard within ``alive_s``."""
        return [s for s in self.listed(nodes) if now_s <= s.heard_s + alive_s]

    def all(self) -> list[PeerState]:
        """Returns all states."""
        return list(self._states.values())

    def keep(self, nodes: frozenset[NodeId]) -> None:
        """Forgets peers that no list names any more."""
        self._states = {n: s for n, s in self._states.items() if n in nodes}


class QuestionLog:
    """Send times of this process's questions.

    Args:
        rng: Source of the first id.
        keep_s: Seconds for which an answer is of use.
    """

    def __init__(self, rng: random.Random, keep_s: float) -> None:
        self.latest = rng.getrandbits(_QUESTION_BITS) + 1
        self._keep_s = keep_s
        self._sent_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def ask(self, now_s: float) -> int:
        """Returns the id of a question sent now."""
        self.latest += 1
        self._sent_s[self.latest] = now_s
        while next(iter(self._sent_s.values())) < now_s - self._keep_s:
            self._sent_s.popitem(last=False)
        return self.latest

    def sent_s(self, question: int) -> float | None:
        """Returns when a question was sent; None for an unknown one."""
        return self._sent_s.get(question)

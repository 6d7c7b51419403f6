"""State of a node's peers, and the questions that the node has asked."""

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

#: Seconds for which datagrams of an ended process are ignored. If the older of
#: two processes was taken for the newer, the error lasts only this long.
_ENDED_PROCESS_IGNORED_S = 10.0
_MAX_ENDED_PROCESSES = 8
#: Question ids start at a random number of this many bits, so that an answer
#: to a previous process is not mistaken for an answer to this one.
_QUESTION_BITS = 32
_NO_REVISION = Revision(0)


@dataclasses.dataclass
class PeerState:
    """Latest reports of one process of a peer.

    Attributes:
        peer: The process.
        heard_s: Arrival time of its latest heartbeat.
        question: Id of its latest question.
        answered_s: Time at which the latest question that it answered was
            sent.
        config_seen: Highest configuration revision that it reported.
        vms_seen: Highest VM list revision that it reported.
        vms_in_force: Highest VM list revision that it reported in force.
        flags: Flags of its latest heartbeat.
        held: Partitions that it reported to hold.
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
        """Applies a heartbeat; a late one can only raise the revisions."""
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
    """State of the latest process of each peer."""

    def __init__(self) -> None:
        self._states: dict[NodeId, PeerState] = {}
        self._ended: collections.deque[tuple[Peer, float]] = collections.deque(
            maxlen=_MAX_ENDED_PROCESSES
        )

    def accept(self, sender: Peer, now_s: float) -> PeerState | None:
        """Returns the state of the sender, and creates it if it is new.

        Returns:
            The state, or None for a late datagram of an ended process.
        """
        state = self._states.get(sender.node)
        if state is not None and state.peer == sender:
            return state
        for ended, ended_s in self._ended:
            if ended == sender and now_s < ended_s + _ENDED_PROCESS_IGNORED_S:
                return None
        if state is not None:
            self._ended.append((state.peer, now_s))
        state = PeerState(sender, now_s)
        self._states[sender.node] = state
        return state

    def get(self, node: NodeId) -> PeerState | None:
        """Returns the state of a peer, or None if it was never heard from."""
        return self._states.get(node)

    def states_of(self, nodes: frozenset[NodeId]) -> list[PeerState]:
        """Returns the states of the peers among ``nodes``."""
        return [s for node, s in self._states.items() if node in nodes]

    def alive(
        self, nodes: frozenset[NodeId], now_s: float, alive_s: float
    ) -> list[PeerState]:
        """Returns the peers among ``nodes`` heard from within ``alive_s``."""
        return [
            s for s in self.states_of(nodes) if now_s <= s.heard_s + alive_s
        ]

    def states(self) -> list[PeerState]:
        """Returns all states."""
        return list(self._states.values())

    def retain(self, nodes: frozenset[NodeId]) -> None:
        """Drops all peers but ``nodes``."""
        self._states = {n: s for n, s in self._states.items() if n in nodes}


class QuestionLog:
    """Sending times of this process's questions.

    Args:
        rng: Source of the first id.
        keep_s: Seconds after which an answer is useless.
    """

    def __init__(self, rng: random.Random, keep_s: float) -> None:
        self.latest = rng.getrandbits(_QUESTION_BITS) + 1
        self._keep_s = keep_s
        self._sent_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def ask(self, now_s: float) -> int:
        """Returns the id of a new question that is sent now."""
        self.latest += 1
        self._sent_s[self.latest] = now_s
        while next(iter(self._sent_s.values())) < now_s - self._keep_s:
            self._sent_s.popitem(last=False)
        return self.latest

    def sent_s(self, question: int) -> float | None:
        """Returns when a question was sent; None for an unknown one."""
        return self._sent_s.get(question)

"""Crash quarantine: a request that crashes targets is stopped in the fleet.

Evidence is one fingerprint that was in flight at one instance when the
instance died. It is sent to every node until the node has acknowledged it.
"""

import functools
import hashlib
from collections.abc import Callable, Iterable, Sequence

import msgspec
from expression import Error, Ok, Result

from egretrock.coordination.base import (
    Counters,
    Message,
    MessageHandler,
    NullCounters,
    Outbound,
    Peer,
    ignore_message,
)
from egretrock.state.ids import (
    Fingerprint,
    InstanceId,
    NodeId,
    OrganisationId,
    TargetId,
)
from egretrock.state.outcome import Refusal, RefusalCode, RunState

#: Evidence counts, and a fingerprint is refused, for this time.
QUARANTINE_S = 60.0
#: Time of a refusal whose evidence points at other requests as well. If the
#: instances died for another reason, innocent requests come back sooner.
SHARED_QUARANTINE_S = 20.0
#: Instances that must have died.
CRASH_COUNT = 2
#: Pieces of evidence kept; the oldest give way.
MAX_EVIDENCE = 10_000
#: Bytes of the evidence in one message, of 1,400 for the datagram.
BATCH_BYTES = 1_100
FIRST_RESEND_S = 0.02
MAX_RESEND_S = 1.0
#: Pieces sent to one peer in one tick.
MAX_SENT_PER_TICK = 100
#: Bytes of the body that enter the fingerprint.
BODY_BYTES = 4096


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """One piece of evidence, or the end of one.

    Attributes:
        fingerprint: Request.
        target: Target.
        instance: Instance that died.
        age_ms: Milliseconds since it was noted.
        cleared: Whether a success has shown that it misleads.
    """

    fingerprint: Fingerprint
    target: TargetId
    instance: InstanceId
    age_ms: int
    cleared: bool = False


class EvidenceBatch(
    Message, frozen=True, omit_defaults=True, tag="retries.evidence"
):
    """Evidence for one peer; the answer repeats ``batch``."""

    batch: int
    items: Sequence[Evidence]


class EvidenceAck(Message, frozen=True, tag="retries.evidence_ack"):
    """The receiver has the evidence of a batch."""

    batch: int


class EvidencePull(Message, frozen=True, tag="retries.evidence_pull"):
    """A new process asks for all evidence."""


RETRY_MESSAGES = (EvidenceBatch, EvidenceAck, EvidencePull)

_Key = tuple[Fingerprint, TargetId, InstanceId]


def fingerprint_of(
    organisation: OrganisationId | None,
    method: str,
    path: str,
    query: str,
    content_length: int | None,
    body_start: bytes,
) -> Fingerprint:
    """Returns the fingerprint of a request.

    Args:
        organisation: Organisation, or None on an open route.
        method: Method.
        path: Path as received.
        query: Query as received, without the caller's key.
        content_length: Declared length of the body, if any.
        body_start: Start of the body; the first 4 KB count.

    Example:
        >>> first = fingerprint_of("a", "GET", "/", "", None, b"")
        >>> first == fingerprint_of("a", "GET", "/", "", 0, b"")
        False
    """
    digest = hashlib.blake2b(digest_size=16)
    fields = (organisation, method, path, query, content_length)
    for field in fields:
        # The length before each field keeps two splits of one text apart.
        data = b"-" if field is None else b"+" + str(field).encode()
        digest.update(len(data).to_bytes(4, "big") + data)
    digest.update(body_start[:BODY_BYTES])
    return Fingerprint(digest.hexdigest())


class _Piece(msgspec.Struct):
    noted_s: float
    cleared: bool = False


class _PeerState(msgspec.Struct):
    """What a peer has not acknowledged."""

    unsent: dict[_Key, None] = msgspec.field(default_factory=dict)
    batches: dict[int, list[_Key]] = msgspec.field(default_factory=dict)
    resend_s: float = FIRST_RESEND_S
    due_s: float = 0.0


class CrashQuarantine(MessageHandler):
    """Evidence of crashes, shared by all nodes.

    Args:
        node: This node.
        peers: Returns all listed nodes.
        now_s: Time of the start of the process.
        counters: Counters.
    """

    def __init__(
        self,
        node: NodeId,
        peers: Callable[[], Iterable[NodeId]],
        now_s: float,
        counters: Counters | None = None,
    ) -> None:
        self._node = node
        self._peers = peers
        self._counters = counters or NullCounters()
        self._evidence: dict[_Key, _Piece] = {}
        self._by_fingerprint: dict[Fingerprint, set[_Key]] = {}
        self._by_instance: dict[InstanceId, set[Fingerprint]] = {}
        self._until_s: dict[Fingerprint, float] = {}
        self._states: dict[NodeId, _PeerState] = {}
        self._next_batch = 0
        self._pulled = False
        self._pull_due_s = now_s

    def check(
        self, fingerprint: Fingerprint, now_s: float
    ) -> Result[None, Refusal]:
        """Returns whether a request may be sent at this moment.

        Called on admission and again right before the dispatch, because
        evidence may arrive while the request waits.
        """
        until_s = self._until_s.get(fingerprint, 0.0)
        if now_s >= until_s:
            return Ok(None)
        return Error(
            Refusal(
                RefusalCode.CRASH_QUARANTINE,
                RunState.NOT_RUN,
                f"an equal request was in flight when {CRASH_COUNT} targets "
                "died",
                max(1, round((until_s - now_s) * 1000)),
            )
        )

    def has_evidence(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Returns whether there is any valid evidence against a request."""
        return any(self._valid(fingerprint, now_s))

    def report(
        self,
        fingerprint: Fingerprint,
        target: TargetId,
        instance: InstanceId,
        now_s: float,
    ) -> list[Outbound]:
        """Notes that an instance died with a request in flight."""
        key = (fingerprint, target, instance)
        if self._note(key, now_s, now_s):
            self._counters.increment("quarantine.evidence")
            self._spread(key)
        return self._send(now_s)

    def clear(self, fingerprint: Fingerprint, now_s: float) -> list[Outbound]:
        """Takes that a request succeeded; its evidence misled."""
        keys = list(self._valid(fingerprint, now_s))
        for key in keys:
            self._clear(key, now_s)
            self._spread(key)
        return self._send(now_s) if keys else []

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Repeats what is not acknowledged and drops what has expired."""
        # A cleared piece stays as long, so that a late copy does not
        # bring it back.
        for key, piece in list(self._evidence.items()):
            if now_s - piece.noted_s >= QUARANTINE_S:
                self._forget(key)
        for fingerprint, until_s in list(self._until_s.items()):
            if now_s >= until_s:
                del self._until_s[fingerprint]
        listed = frozenset(self._peers())
        for node in self._states.keys() - listed:
            del self._states[node]
        return self._send(now_s) + self._pull(listed, now_s)

    _handle = functools.singledispatchmethod(ignore_message)

    @_handle.register
    def _(
        self, body: EvidenceBatch, sender: Peer, now_s: float
    ) -> list[Outbound]:
        self._pulled = True
        for item in body.items:
            key = (item.fingerprint, item.target, item.instance)
            noted_s = now_s - max(0, item.age_ms) / 1000
            self._note(key, noted_s, now_s)
            if item.cleared:
                self._clear(key, now_s)
        return [Outbound(sender.node, EvidenceAck(body.batch))]

    @_handle.register
    def _(
        self, body: EvidenceAck, sender: Peer, now_s: float
    ) -> list[Outbound]:
        state = self._states.get(sender.node)
        if state is not None and state.batches.pop(body.batch, None):
            state.resend_s = FIRST_RESEND_S
        return []

    @_handle.register
    def _(
        self, body: EvidencePull, sender: Peer, now_s: float
    ) -> list[Outbound]:
        state = self._states.setdefault(sender.node, _PeerState())
        state.batches.clear()
        state.unsent = dict.fromkeys(self._evidence)
        # An empty batch tells the new process that there is no evidence.
        self._next_batch += 1
        empty = EvidenceBatch(self._next_batch, ())
        return [Outbound(sender.node, empty), *self._send(now_s)]

    # Evidence.

    def _valid(self, fingerprint: Fingerprint, now_s: float) -> Iterable[_Key]:
        for key in self._by_fingerprint.get(fingerprint, ()):
            piece = self._evidence[key]
            if not piece.cleared and now_s - piece.noted_s < QUARANTINE_S:
                yield key

    def _note(self, key: _Key, noted_s: float, now_s: float) -> bool:
        """Notes a piece; returns False for a known one."""
        if key in self._evidence or now_s - noted_s >= QUARANTINE_S:
            return False
        if len(self._evidence) >= MAX_EVIDENCE:
            self._counters.increment("quarantine.evidence_dropped")
            self._forget(next(iter(self._evidence)))
        fingerprint, _, instance = key
        self._evidence[key] = _Piece(noted_s)
        self._by_fingerprint.setdefault(fingerprint, set()).add(key)
        self._by_instance.setdefault(instance, set()).add(fingerprint)
        self._judge(fingerprint, now_s)
        self._judge_others(key, now_s)
        return True

    def _judge(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Sets or ends the quarantine of a fingerprint."""
        keys = list(self._valid(fingerprint, now_s))
        instances = {instance for _, _, instance in keys}
        if len(instances) < CRASH_COUNT:
            self._until_s.pop(fingerprint, None)
            return
        alone = any(self._suspects(*key[1:]) == 1 for key in keys)
        # More deaths than needed leave little doubt even if each of them
        # hit other requests too.
        certain = alone or len(instances) > CRASH_COUNT
        span_s = QUARANTINE_S if certain else SHARED_QUARANTINE_S
        latest_s = max(self._evidence[key].noted_s for key in keys)
        self._until_s[fingerprint] = latest_s + span_s

    def _judge_others(self, key: _Key, now_s: float) -> None:
        """Judges the quarantined requests that share an instance anew."""
        for fingerprint in self._by_instance[key[2]]:
            if fingerprint != key[0] and fingerprint in self._until_s:
                self._judge(fingerprint, now_s)

    def _suspects(self, target: TargetId, instance: InstanceId) -> int:
        """Returns how many requests may have caused the end of an instance."""
        return sum(
            not self._evidence[fingerprint, target, instance].cleared
            for fingerprint in self._by_instance[instance]
            if (fingerprint, target, instance) in self._evidence
        )

    def _clear(self, key: _Key, now_s: float) -> None:
        piece = self._evidence.get(key)
        if piece is not None and not piece.cleared:
            piece.cleared = True
            self._judge(key[0], now_s)
            self._judge_others(key, now_s)

    def _forget(self, key: _Key) -> None:
        fingerprint, _, instance = key
        del self._evidence[key]
        for index, name, member in (
            (self._by_fingerprint, fingerprint, key),
            (self._by_instance, instance, fingerprint),
        ):
            index[name].discard(member)
            if not index[name]:
                del index[name]

    # Sending.

    def _spread(self, key: _Key) -> None:
        for node in self._peers():
            if node != self._node:
                state = self._states.setdefault(node, _PeerState())
                state.unsent[key] = None

    def _send(self, now_s: float) -> list[Outbound]:
        out = []
        for node, state in self._states.items():
            if state.batches and now_s >= state.due_s:
                self._repeat(state)
            if state.unsent:
                out += self._send_batches(node, state, now_s)
                state.due_s = now_s + state.resend_s
        return out

    def _repeat(self, state: _PeerState) -> None:
        """Plans to send again what was not acknowledged."""
        self._counters.increment("quarantine.resent")
        for keys in state.batches.values():
            state.unsent.update(dict.fromkeys(keys))
        state.batches.clear()
        state.resend_s = min(MAX_RESEND_S, state.resend_s * 2)

    def _pull(self, listed: frozenset[NodeId], now_s: float) -> list[Outbound]:
        """Asks for the evidence noted before this process started."""
        if self._pulled or now_s < self._pull_due_s:
            return []
        self._pull_due_s = now_s + MAX_RESEND_S / 2
        others = sorted(listed - {self._node})
        return [Outbound(node, EvidencePull()) for node in others]

    def _send_batches(
        self, node: NodeId, state: _PeerState, now_s: float
    ) -> list[Outbound]:
        out = []
        items: list[Evidence] = []
        keys: list[_Key] = []
        size_bytes = 0
        sent = list(state.unsent)[:MAX_SENT_PER_TICK]
        for key in sent:
            del state.unsent[key]
            piece = self._evidence.get(key)
            if piece is None:
                continue
            age_ms = round((now_s - piece.noted_s) * 1000)
            item = Evidence(*key, age_ms, piece.cleared)
            item_bytes = len(msgspec.json.encode(item)) + 1
            if items and size_bytes + item_bytes > BATCH_BYTES:
                out.append(self._batch(node, state, items, keys))
                items, keys, size_bytes = [], [], 0
            items.append(item)
            keys.append(key)
            size_bytes += item_bytes
        if items:
            out.append(self._batch(node, state, items, keys))
        return out

    def _batch(
        self,
        node: NodeId,
        state: _PeerState,
        items: list[Evidence],
        keys: list[_Key],
    ) -> Outbound:
        self._next_batch += 1
        state.batches[self._next_batch] = keys
        return Outbound(node, EvidenceBatch(self._next_batch, items))

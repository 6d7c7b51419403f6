"""Crash quarantine: the whole fleet refuses a request that crashes targets.

A piece of evidence says that a request with a fingerprint was in flight at an
instance when the instance crashed. It is resent to each node until the node
acknowledges it.
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

#: Time for which evidence is valid and a fingerprint is refused.
QUARANTINE_S = 60.0
#: Quarantine time if the evidence names other requests too. It is shorter
#: because the instances may have crashed for another reason, and then harmless
#: requests are refused.
SHARED_QUARANTINE_S = 20.0
#: Crashed instances needed for a quarantine.
CRASH_COUNT = 2
#: Maximum number of pieces of evidence; the oldest are dropped first.
MAX_EVIDENCE = 10_000
#: Maximum size of the evidence in one message; a datagram has 1,400 bytes.
MAX_BATCH_BYTES = 1_100
#: First and longest delay before unacknowledged evidence is resent; it doubles
#: with each resend.
MIN_RESEND_S = 0.02
MAX_RESEND_S = 1.0
#: Maximum number of pieces sent to one peer per tick.
MAX_ITEMS_PER_PEER_TICK = 100
#: Bytes at the start of the body that the fingerprint covers.
FINGERPRINT_BODY_BYTES = 4096


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """One piece of evidence, or its withdrawal.

    Attributes:
        fingerprint: Fingerprint of the request.
        target: Target of the request.
        instance: Instance that crashed.
        age_ms: Milliseconds since the crash was noticed.
        cleared: Whether a later success of the request withdrew the evidence.
    """

    fingerprint: Fingerprint
    target: TargetId
    instance: InstanceId
    age_ms: int
    cleared: bool = False


class EvidenceBatch(
    Message, frozen=True, omit_defaults=True, tag="retries.evidence"
):
    """Evidence for one peer; the acknowledgement repeats ``batch``."""

    batch: int
    items: Sequence[Evidence]


class EvidenceAck(Message, frozen=True, tag="retries.evidence_ack"):
    """Acknowledges the evidence of a batch."""

    batch: int


class EvidencePull(Message, frozen=True, tag="retries.evidence_pull"):
    """Requests all evidence; sent by a new process."""


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
        organisation: Organisation, or None on an open route (no API key).
        method: Method.
        path: Path as received.
        query: Query as received, without the caller's API key.
        content_length: Content-Length of the body, if given.
        body_start: Start of the body; bytes after the first 4 KB are ignored.

    Example:
        >>> first = fingerprint_of("a", "GET", "/", "", None, b"")
        >>> first == fingerprint_of("a", "GET", "/", "", 0, b"")
        False
    """
    fingerprint_hash = hashlib.blake2b(digest_size=16)
    fields = (organisation, method, path, query, content_length)
    for field in fields:
        # The length prefix distinguishes fields whose concatenation is equal,
        # and the sign an absent field from an empty one.
        data = b"-" if field is None else b"+" + str(field).encode()
        fingerprint_hash.update(len(data).to_bytes(4, "big") + data)
    fingerprint_hash.update(body_start[:FINGERPRINT_BODY_BYTES])
    return Fingerprint(fingerprint_hash.hexdigest())


class _EvidenceState(msgspec.Struct):
    """When evidence was noted, and whether it was withdrawn."""

    noted_s: float
    cleared: bool = False


class _PeerState(msgspec.Struct):
    """Evidence that a peer has not acknowledged.

    Attributes:
        unsent: Keys to send, as an ordered set.
        batches: Keys of each batch sent and not acknowledged, by its number.
        resend_s: Current delay before a resend.
        due_s: When the batches are due to be resent.
    """

    unsent: dict[_Key, None] = msgspec.field(default_factory=dict)
    batches: dict[int, list[_Key]] = msgspec.field(default_factory=dict)
    resend_s: float = MIN_RESEND_S
    due_s: float = 0.0


class CrashQuarantine(MessageHandler):
    """Crash evidence that all nodes share.

    Args:
        node: This node.
        peers: Returns the nodes to send evidence to; may include this node.
        now_s: Start time of the process.
        counters: Metrics.
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
        self._evidence: dict[_Key, _EvidenceState] = {}
        self._by_fingerprint: dict[Fingerprint, set[_Key]] = {}
        self._by_instance: dict[InstanceId, set[Fingerprint]] = {}
        self._quarantined_until_s: dict[Fingerprint, float] = {}
        self._peer_states: dict[NodeId, _PeerState] = {}
        self._next_batch = 0
        self._pull_answered = False
        self._pull_due_s = now_s

    def check(
        self, fingerprint: Fingerprint, now_s: float
    ) -> Result[None, Refusal]:
        """Returns Ok if a request may be sent now, or a refusal.

        Called on admission and again right before dispatch, because evidence
        may arrive while the request waits.
        """
        until_s = self._quarantined_until_s.get(fingerprint, 0.0)
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
        return any(self._valid_keys(fingerprint, now_s))

    def report(
        self,
        fingerprint: Fingerprint,
        target: TargetId,
        instance: InstanceId,
        now_s: float,
    ) -> list[Outbound]:
        """Adds evidence: an instance crashed with a request in flight."""
        key = (fingerprint, target, instance)
        if self._add_evidence(key, now_s, now_s):
            self._counters.increment("quarantine.evidence")
            self._spread(key)
        return self._send_due(now_s)

    def clear(self, fingerprint: Fingerprint, now_s: float) -> list[Outbound]:
        """Withdraws the evidence against a request that has succeeded."""
        keys = list(self._valid_keys(fingerprint, now_s))
        for key in keys:
            self._clear(key, now_s)
            self._spread(key)
        return self._send_due(now_s) if keys else []

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Resends unacknowledged evidence and drops expired evidence."""
        # Cleared evidence is kept as long as other evidence, so that a late
        # message does not restore it.
        for key, evidence in list(self._evidence.items()):
            if now_s - evidence.noted_s >= QUARANTINE_S:
                self._drop_evidence(key)
        for fingerprint, until_s in list(self._quarantined_until_s.items()):
            if now_s >= until_s:
                del self._quarantined_until_s[fingerprint]
        current_peers = frozenset(self._peers())
        for node in self._peer_states.keys() - current_peers:
            del self._peer_states[node]
        return self._send_due(now_s) + self._pull(current_peers, now_s)

    _handle = functools.singledispatchmethod(ignore_message)

    @_handle.register
    def _(
        self, body: EvidenceBatch, sender: Peer, now_s: float
    ) -> list[Outbound]:
        self._pull_answered = True
        for item in body.items:
            key = (item.fingerprint, item.target, item.instance)
            noted_s = now_s - max(0, item.age_ms) / 1000
            self._add_evidence(key, noted_s, now_s)
            if item.cleared:
                self._clear(key, now_s)
        return [Outbound(sender.node, EvidenceAck(body.batch))]

    @_handle.register
    def _(
        self, body: EvidenceAck, sender: Peer, now_s: float
    ) -> list[Outbound]:
        state = self._peer_states.get(sender.node)
        if state is not None and state.batches.pop(body.batch, None):
            state.resend_s = MIN_RESEND_S
        return []

    @_handle.register
    def _(
        self, body: EvidencePull, sender: Peer, now_s: float
    ) -> list[Outbound]:
        state = self._peer_states.setdefault(sender.node, _PeerState())
        state.batches.clear()
        state.unsent = dict.fromkeys(self._evidence)
        # An empty batch answers the new process if there is no evidence.
        self._next_batch += 1
        empty = EvidenceBatch(self._next_batch, ())
        return [Outbound(sender.node, empty), *self._send_due(now_s)]

    # Evidence.

    def _valid_keys(
        self, fingerprint: Fingerprint, now_s: float
    ) -> Iterable[_Key]:
        for key in self._by_fingerprint.get(fingerprint, ()):
            evidence = self._evidence[key]
            if not evidence.cleared and now_s - evidence.noted_s < QUARANTINE_S:
                yield key

    def _add_evidence(self, key: _Key, noted_s: float, now_s: float) -> bool:
        """Adds a piece of evidence; returns False if known or expired."""
        if key in self._evidence or now_s - noted_s >= QUARANTINE_S:
            return False
        if len(self._evidence) >= MAX_EVIDENCE:
            self._counters.increment("quarantine.evidence_dropped")
            self._drop_evidence(next(iter(self._evidence)))
        fingerprint, _, instance = key
        self._evidence[key] = _EvidenceState(noted_s)
        self._by_fingerprint.setdefault(fingerprint, set()).add(key)
        self._by_instance.setdefault(instance, set()).add(fingerprint)
        self._update_quarantine(fingerprint, now_s)
        self._update_related(key, now_s)
        return True

    def _update_quarantine(
        self, fingerprint: Fingerprint, now_s: float
    ) -> None:
        """Starts, extends or ends the quarantine of a fingerprint."""
        keys = list(self._valid_keys(fingerprint, now_s))
        instances = {instance for _, _, instance in keys}
        if len(instances) < CRASH_COUNT:
            self._quarantined_until_s.pop(fingerprint, None)
            return
        is_only_candidate = any(
            self._candidate_count(*key[1:]) == 1 for key in keys
        )
        # More crashes than needed leave little doubt, even if each of them
        # involved other requests too.
        is_certain = is_only_candidate or len(instances) > CRASH_COUNT
        quarantine_s = QUARANTINE_S if is_certain else SHARED_QUARANTINE_S
        latest_crash_s = max(self._evidence[key].noted_s for key in keys)
        self._quarantined_until_s[fingerprint] = latest_crash_s + quarantine_s

    def _update_related(self, key: _Key, now_s: float) -> None:
        """Updates the other quarantined requests that share an instance."""
        for fingerprint in self._by_instance[key[2]]:
            if (
                fingerprint != key[0]
                and fingerprint in self._quarantined_until_s
            ):
                self._update_quarantine(fingerprint, now_s)

    def _candidate_count(self, target: TargetId, instance: InstanceId) -> int:
        """Returns how many requests may have crashed an instance."""
        return sum(
            not self._evidence[fingerprint, target, instance].cleared
            for fingerprint in self._by_instance[instance]
            if (fingerprint, target, instance) in self._evidence
        )

    def _clear(self, key: _Key, now_s: float) -> None:
        evidence = self._evidence.get(key)
        if evidence is not None and not evidence.cleared:
            evidence.cleared = True
            self._update_quarantine(key[0], now_s)
            self._update_related(key, now_s)

    def _drop_evidence(self, key: _Key) -> None:
        fingerprint, _, instance = key
        del self._evidence[key]
        for index, index_key, member in (
            (self._by_fingerprint, fingerprint, key),
            (self._by_instance, instance, fingerprint),
        ):
            index[index_key].discard(member)
            if not index[index_key]:
                del index[index_key]

    # Sending.

    def _spread(self, key: _Key) -> None:
        for node in self._peers():
            if node != self._node:
                state = self._peer_states.setdefault(node, _PeerState())
                state.unsent[key] = None

    def _send_due(self, now_s: float) -> list[Outbound]:
        out = []
        for node, state in self._peer_states.items():
            if state.batches and now_s >= state.due_s:
                self._requeue(state)
            if state.unsent:
                out += self._make_batches(node, state, now_s)
                state.due_s = now_s + state.resend_s
        return out

    def _requeue(self, state: _PeerState) -> None:
        """Queues unacknowledged evidence again and doubles the delay."""
        self._counters.increment("quarantine.resent")
        for keys in state.batches.values():
            state.unsent.update(dict.fromkeys(keys))
        state.batches.clear()
        state.resend_s = min(MAX_RESEND_S, state.resend_s * 2)

    def _pull(
        self, current_peers: frozenset[NodeId], now_s: float
    ) -> list[Outbound]:
        """Requests the evidence from before this process started."""
        if self._pull_answered or now_s < self._pull_due_s:
            return []
        self._pull_due_s = now_s + MAX_RESEND_S / 2
        peers = sorted(current_peers - {self._node})
        return [Outbound(node, EvidencePull()) for node in peers]

    def _make_batches(
        self, node: NodeId, state: _PeerState, now_s: float
    ) -> list[Outbound]:
        out = []
        items: list[Evidence] = []
        keys: list[_Key] = []
        size_bytes = 0
        keys_to_send = list(state.unsent)[:MAX_ITEMS_PER_PEER_TICK]
        for key in keys_to_send:
            del state.unsent[key]
            evidence = self._evidence.get(key)
            if evidence is None:
                continue
            age_ms = round((now_s - evidence.noted_s) * 1000)
            item = Evidence(*key, age_ms, evidence.cleared)
            item_bytes = len(msgspec.json.encode(item)) + 1
            if items and size_bytes + item_bytes > MAX_BATCH_BYTES:
                out.append(self._make_batch(node, state, items, keys))
                items, keys, size_bytes = [], [], 0
            items.append(item)
            keys.append(key)
            size_bytes += item_bytes
        if items:
            out.append(self._make_batch(node, state, items, keys))
        return out

    def _make_batch(
        self,
        node: NodeId,
        state: _PeerState,
        items: list[Evidence],
        keys: list[_Key],
    ) -> Outbound:
        self._next_batch += 1
        state.batches[self._next_batch] = keys
        return Outbound(node, EvidenceBatch(self._next_batch, items))

"""State of the fleet at one node.

Whether the node's configuration is confirmed, the configuration and VM list,
homes, and partition leases.
"""

import dataclasses
import functools
import random

from egretrock.coordination.base import (
    Counters,
    Message,
    NullCounters,
    Outbound,
    Peer,
    rendezvous_node,
)
from egretrock.coordination.fleet._bootstrap import Bootstrap, KnownState
from egretrock.coordination.fleet._documents import (
    Document,
    DocumentName,
    DocumentSource,
    DocumentStore,
    OfferResult,
)
from egretrock.coordination.fleet._freshness import Freshness
from egretrock.coordination.fleet._growth import (
    LimitHistory,
    OrganisationLimits,
)
from egretrock.coordination.fleet._lists import NEVER_S, ListHistory
from egretrock.coordination.fleet._messages import (
    Heartbeat,
    NodeFlag,
    Release,
    format_partitions,
    parse_partitions,
)
from egretrock.coordination.fleet._partitions import (
    ALL_PARTITIONS,
    PartitionHolder,
    Placement,
    Voter,
)
from egretrock.coordination.fleet._peers import (
    PeerState,
    PeerTable,
    QuestionLog,
)
from egretrock.coordination.fleet._settings import FleetSettings
from egretrock.coordination.fleet._status import (
    FleetStatus,
    document_status,
    peer_status,
)
from egretrock.state.config import (
    PublishedConfig,
    check_config,
    check_vm_list,
)
from egretrock.state.findings import Finding
from egretrock.state.ids import Incarnation, NodeId, OrganisationId, Revision
from egretrock.state.membership import VmList

#: Fraction by which the heartbeat interval varies, so that the heartbeats of
#: several nodes do not synchronise.
_HEARTBEAT_JITTER = 0.1
_MAX_CACHED_HOMES = 4096
#: Senders for which a process without a VM list keeps state.
_MAX_UNLISTED_PEERS = 64


@dataclasses.dataclass
class _HomeCache:
    """Cached homes and holders, because each request looks one up.

    Attributes:
        candidates: Nodes that may be homes.
        until_s: Time until which the cache is valid.
        homes: Home of each kind and name, chosen by hashing.
        holders: Likely holders of partitions.
    """

    candidates: frozenset[NodeId]
    until_s: float
    homes: dict[tuple[str, str], NodeId | None]
    holders: dict[int, NodeId | None]


class Fleet:
    """One node's view of the fleet; it does no I/O.

    Every method takes the current time, and every result holds at that time
    only: a process that may have been suspended calls again before it acts.

    Args:
        settings: Times and the node's own id.
        incarnation: Random number of this process.
        rng: Source of jitter and question ids.
        now_s: Start of the process.
        counters: Receives the counts of events.

    Example:
        >>> settings = FleetSettings(NodeId("127.0.0.1:7000"))
        >>> fleet = Fleet(settings, Incarnation(1), random.Random(1), 0.0)
        >>> fleet.is_fresh(0.0), fleet.holds(3, 0.0)
        (False, False)
    """

    #: Types of the components; tests replace one to disable a rule.
    lists_type = ListHistory
    freshness_type = Freshness
    bootstrap_type = Bootstrap
    voter_type = Voter
    holder_type = PartitionHolder
    store_type = DocumentStore
    questions_type = QuestionLog

    def __init__(
        self,
        settings: FleetSettings,
        incarnation: Incarnation,
        rng: random.Random,
        now_s: float,
        counters: Counters | None = None,
    ) -> None:
        self.settings = settings
        self.peer = Peer(settings.node, incarnation)
        self._rng = rng
        self._counters = counters or NullCounters()
        self._config: DocumentStore[PublishedConfig] = self.store_type(
            DocumentName.CONFIG, check_config
        )
        self._vms: DocumentStore[VmList] = self.store_type(
            DocumentName.VMS, check_vm_list
        )
        self._stores = {s.name: s for s in (self._config, self._vms)}
        self._lists = self.lists_type(settings.node, settings.increase_delay_s)
        self._freshness = self.freshness_type(settings.node, self._lists)
        self._bootstrap = self.bootstrap_type(settings, now_s)
        self._limits = LimitHistory(settings.increase_delay_s)
        self._peers = PeerTable()
        keep_s = max(settings.freshness_s, settings.vote_s)
        self._questions = self.questions_type(rng, keep_s)
        self._placement = Placement()
        self._voter = self.voter_type(settings.given_vote_s)
        self._holder = self.holder_type(self._lists, settings.vote_s)
        self._is_released = False
        self._fresh_until_s = NEVER_S
        self._home_cache: _HomeCache | None = None
        self._next_heartbeat_s = now_s + settings.heartbeat_s * rng.random()

    # Documents.

    def on_document(
        self,
        document: DocumentName,
        revision: Revision,
        value: bytes | None,
        sent_s: float,
        now_s: float,
        source: DocumentSource = DocumentSource.PLATFORM,
    ) -> list[Outbound]:
        """Handles a document that was read.

        Args:
            document: Which document.
            revision: Revision that was read.
            value: Its bytes, or None if the platform returned "unchanged".
            sent_s: Time at which the read was sent. A read from the platform
                confirms the revision at this time; a read from a peer does
                not confirm it.
            now_s: Current time.
            source: Where it was read from.

        Returns:
            Heartbeats that announce a new revision at once.
        """
        self._home_cache = None
        store = self._stores[document]
        result = store.offer(revision, value, now_s)
        self._counters.increment(f"fleet.{document.value}.{result.value}")
        if result is OfferResult.ACCEPTED:
            self._adopt(document, now_s)
        if source is DocumentSource.PLATFORM:
            self._confirm_by_platform(document, result, sent_s)
        self._update_freshness(now_s)
        if result in (OfferResult.ACCEPTED, OfferResult.REFUSED):
            return self._heartbeats(now_s)
        return []

    def document(self, document: DocumentName) -> Document | None:
        """Returns the latest revision, accepted or refused, for peers."""
        return self._stores[document].latest

    def seen_revision(self, document: DocumentName) -> Revision:
        """Returns the highest revision checked; 0 if none.

        A read from the platform asks for later revisions only.
        """
        return self._stores[document].seen

    def revision(self, document: DocumentName) -> Revision:
        """Returns the revision in force; 0 if none."""
        return self._stores[document].revision

    def findings(self, document: DocumentName) -> list[Finding]:
        """Returns the findings of the latest revision, if it was refused."""
        return list(self._stores[document].findings)

    def wanted_document(self) -> tuple[NodeId, DocumentName] | None:
        """Returns a document to fetch, and a peer that has it.

        The peer is chosen at random among those with the highest revision, so
        that one that does not answer is not asked every time.
        """
        for name in (DocumentName.VMS, DocumentName.CONFIG):
            peers = self._known_peers()
            highest = max((_seen_revision(p, name) for p in peers), default=0)
            if highest > self._stores[name].seen:
                holders = [
                    p for p in peers if _seen_revision(p, name) == highest
                ]
                return self._rng.choice(holders).peer.node, name
        return None

    def config(self) -> PublishedConfig | None:
        """Returns the configuration in force."""
        return self._config.value

    def vms(self) -> VmList | None:
        """Returns the VM list in force."""
        return self._vms.value

    # Freshness and limits.

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether configuration and VM list were confirmed recently.

        Only then may requests be admitted.
        """
        return now_s <= self._fresh_until_s

    def is_ready(self, now_s: float) -> bool:
        """Returns whether the platform's balancer may send requests."""
        return (
            self.is_fresh(now_s)
            and self._bootstrap.has_handover_ended(now_s)
            and self.usable_share(now_s) > 0
            and not self._is_released
        )

    def usable_share(self, now_s: float) -> float:
        """Returns the fraction of every rate that this node owns now.

        During a VM list change it is the smallest share of all lists that
        are still valid, and 0 where one of them does not name this node.
        """
        if now_s < self._bootstrap.usable_from_s:
            return 0.0
        return self._lists.smallest_share(self.settings.node)

    def usable_limits(
        self, organisation: OrganisationId, now_s: float
    ) -> OrganisationLimits | None:
        """Returns the limits of an organisation, or None if it has none."""
        return self._limits.usable(organisation, now_s)

    def alive_nodes(self, now_s: float) -> frozenset[NodeId]:
        """Returns the listed nodes heard from recently, and this node."""
        listed = self._current_nodes()
        alive = self._peers.alive(listed, now_s, self.settings.alive_s)
        nodes = {state.peer.node for state in alive}
        if self.settings.node in listed:
            nodes.add(self.settings.node)
        return frozenset(nodes)

    # Homes.

    def preferred_home(
        self, kind: str, name: str, now_s: float
    ) -> NodeId | None:
        """Returns the home by hashing; two nodes may disagree on it."""
        cache = self._valid_home_cache(now_s)
        key = (kind, name)
        if key not in cache.homes:
            if len(cache.homes) >= _MAX_CACHED_HOMES:
                cache.homes.clear()
            cache.homes[key] = rendezvous_node(
                f"{kind}\0{name}", cache.candidates
            )
        return cache.homes[key]

    def partition_holder(self, partition: int, now_s: float) -> NodeId | None:
        """Returns the likely holder of a partition, or None."""
        cache = self._valid_home_cache(now_s)
        if partition not in cache.holders:
            self._placement.update(cache.candidates, now_s)
            # Each request looks up one partition; collecting the claims to
            # all 64 would take a fifth of its processor time.
            claimants = [
                node
                for node in self._placement.candidates
                if self._claims_partition(node, partition, now_s)
            ]
            cache.holders[partition] = self._vote_choice(
                partition, {partition: claimants}, now_s
            )
        return cache.holders[partition]

    def next_holder(self, partition: int, now_s: float) -> NodeId | None:
        """Returns the node that voters prefer after this node has released."""
        others = self._candidates(now_s) - {self.settings.node}
        return rendezvous_node(f"partition {partition}", others)

    def holds(self, partition: int, now_s: float) -> bool:
        """Returns whether this process is the only holder at ``now_s``."""
        return self._holder.holds(partition, now_s)

    def held_since_s(self, partition: int) -> float | None:
        """Returns when the latest uninterrupted holding of a partition began.

        If the value has changed, the partition was lost in between, even if
        no call of ``holds`` returned False.
        """
        return self._holder.held_since_s(partition)

    def partitions_to_move(self, now_s: float) -> dict[int, NodeId]:
        """Returns held partitions that another node should hold.

        Voters keep voting for a holder, because a partition that moves
        without a handover loses its state. The caller hands the state over
        and then calls ``release`` with these partitions. Without such calls
        the partitions stay, which only leaves the load unbalanced.
        """
        self._placement.update(self._candidates(now_s), now_s)
        changed_s = self._placement.unchanged_since_s
        if now_s < changed_s + self.settings.rebalance_s:
            return {}
        homes = {
            partition: self._placement.preferred(partition)
            for partition in self._holder.held(now_s)
        }
        own = self.settings.node
        return {p: home for p, home in homes.items() if home not in (own, None)}

    def release(
        self, now_s: float, partitions: frozenset[int] | None = None
    ) -> list[Outbound]:
        """Gives up partitions, so that other nodes may hold them at once.

        Args:
            now_s: Current time. The caller has stopped using the partitions.
            partitions: The partitions; None for a planned stop, after which
                this process never holds a partition or is a home again.
        """
        self._home_cache = None
        if partitions is None:
            self._is_released = True
            partitions = ALL_PARTITIONS
        self._holder.release(partitions, now_s)
        latest = self._questions.latest
        self._voter.free(self.peer, latest, partitions)
        body = Release(latest, format_partitions(partitions))
        messages = [Outbound(node, body) for node in self._destinations()]
        return messages + self._heartbeats(now_s)

    # Time and messages.

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Sends heartbeats when they are due."""
        if self._lists.expire(now_s):
            self._on_lists_changed(now_s)
        if now_s < self._next_heartbeat_s:
            return []
        self._home_cache = None
        self._update_freshness(now_s)
        self._counters.gauge("fleet.fresh", float(self.is_fresh(now_s)))
        held = len(self._holder.held(now_s))
        self._counters.gauge("fleet.partitions_held", held)
        self._counters.gauge("fleet.alive", len(self.alive_nodes(now_s)))
        self._counters.gauge("fleet.settled", float(self._lists.is_settled))
        return self._heartbeats(now_s)

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Handles a message of the fleet component from a peer."""
        if sender.node == self.settings.node:
            self._counters.increment("fleet.messages.own")
            return []
        if not self._is_accepted_sender(sender.node):
            self._counters.increment("fleet.messages.unlisted")
            return []
        state = self._peers.accept(sender, now_s)
        if state is None:
            self._counters.increment("fleet.messages.ended_process")
            return []
        self._home_cache = None
        self._handle(body, state, now_s)
        return []

    @functools.singledispatchmethod
    def _handle(self, body: Message, state: PeerState, now_s: float) -> None:
        del body, state, now_s
        self._counters.increment("fleet.messages.unknown")

    @_handle.register
    def _on_heartbeat(
        self, body: Heartbeat, state: PeerState, now_s: float
    ) -> None:
        state.update(body, now_s)
        if state.has(NodeFlag.ESTABLISHED):
            node = state.peer.node
            self._lists.report(node, state.vms_in_force, now_s)
        if state.has(NodeFlag.RELEASED):
            self._voter.free(state.peer, state.question, ALL_PARTITIONS)
        sent_s = self._questions.sent_s(body.answered)
        if sent_s is not None:
            self._on_answer(body, state, sent_s, now_s)
        self._update_freshness(now_s)

    @_handle.register
    def _on_release(
        self, body: Release, state: PeerState, now_s: float
    ) -> None:
        del now_s
        partitions = parse_partitions(body.partitions)
        self._voter.free(state.peer, body.last_question, partitions)
        if body.last_question >= state.question:
            state.question = body.last_question
            state.held -= partitions

    def status(self, now_s: float) -> FleetStatus:
        """Returns the status for operators."""
        return FleetStatus(
            established=self._bootstrap.is_established,
            fresh=self.is_fresh(now_s),
            ready=self.is_ready(now_s),
            settled=self._lists.is_settled,
            usable_share=self.usable_share(now_s),
            documents=[
                document_status(
                    store, self._freshness.confirmed_s(store.name), now_s
                )
                for store in self._stores.values()
            ],
            peers=[peer_status(state, now_s) for state in self._peers.states()],
            held_partitions=sorted(self._holder.held(now_s)),
        )

    # Internal steps.

    def _adopt(self, document: DocumentName, now_s: float) -> None:
        if document is DocumentName.CONFIG and self._config.value is not None:
            self._limits.adopt(self._config.value, now_s)
        if document is DocumentName.VMS and self._vms.value is not None:
            self._lists.adopt(
                self._vms.value,
                self._vms.revision,
                self._bootstrap.is_established,
                now_s,
            )
            self._on_lists_changed(now_s)

    def _on_lists_changed(self, now_s: float) -> None:
        nodes = self._lists.nodes()
        self._peers.retain(nodes)
        self._freshness.retain(nodes)
        self._holder.recount(now_s)
        self._update_freshness(now_s)

    def _confirm_by_platform(
        self, document: DocumentName, result: OfferResult, sent_s: float
    ) -> None:
        if result not in (
            OfferResult.ACCEPTED,
            OfferResult.REFUSED,
            OfferResult.UNCHANGED,
        ):
            return
        # A platform replica with an older revision than a peer has is stale.
        reported = max(
            (_seen_revision(peer, document) for peer in self._known_peers()),
            default=0,
        )
        if reported > self._stores[document].seen:
            self._counters.increment(f"fleet.{document.value}.behind_peer")
            return
        self._freshness.confirm_by_platform(document, sent_s)

    def _on_answer(
        self, body: Heartbeat, state: PeerState, sent_s: float, now_s: float
    ) -> None:
        if state.answered_s is None or state.answered_s < sent_s:
            state.answered_s = sent_s
        seen = {
            name: store.seen
            for name, store in self._stores.items()
            if not self._is_behind(name, now_s)
        }
        node = state.peer.node
        self._freshness.confirm_by_peer(node, body, seen, sent_s)
        # A voter with a later VM list may already have dropped a list by
        # which this node would count its vote.
        if body.vms_in_force <= self._vms.revision and (
            self._is_candidate(now_s)
        ):
            votes = parse_partitions(body.votes)
            self._holder.add_votes(node, votes, sent_s, now_s)

    def _is_behind(self, document: DocumentName, now_s: float) -> bool:
        """Returns whether an alive peer has a revision that this node lacks.

        Answers of other peers are then ignored. Otherwise, if the document
        cannot be fetched from that peer, they would keep confirming the old
        revision, and a revoked key would stay valid. The reports of peers that
        are not alive are ignored too: their revision may be lost, and a lost
        revision must not stop the fleet.
        """
        known = self._stores[document].seen
        nodes, alive_s = self._lists.nodes(), self.settings.alive_s
        alive = self._peers.alive(nodes, now_s, alive_s)
        return any(_seen_revision(peer, document) > known for peer in alive)

    def _update_freshness(self, now_s: float) -> None:
        """Checks whether the process has caught up and is fresh.

        Records until when it is fresh, if it has caught up.
        """
        vm_list, accepted_s = self._vms.value, self._vms.accepted_s
        if self._config.value is None or vm_list is None or accepted_s is None:
            return
        confirmed_s = min(
            self._freshness.confirmed_s(name) for name in DocumentName
        )
        if self._bootstrap.usable_from_s == float("inf"):
            known = KnownState(
                vm_list=vm_list,
                vms_accepted_s=accepted_s,
                vms_in_force=self._vms.revision,
                seen={n: store.seen for n, store in self._stores.items()},
                confirmed_s=confirmed_s,
            )
            peers = self._known_peers()
            if self._bootstrap.establish_if_caught_up(known, peers, now_s):
                self._counters.increment("fleet.established")
            self._bootstrap.set_usable_from(known, peers, now_s)
        if not self._bootstrap.is_established:
            return
        self._fresh_until_s = confirmed_s + self.settings.freshness_s

    def _current_nodes(self) -> frozenset[NodeId]:
        value = self._vms.value
        return frozenset() if value is None else value.nodes

    def _is_accepted_sender(self, node: NodeId) -> bool:
        if self._vms.value is not None:
            return node in self._lists.nodes()
        # Without a VM list any node may report a revision to fetch.
        known = self._peers.states()
        return len(known) < _MAX_UNLISTED_PEERS or any(
            state.peer.node == node for state in known
        )

    def _known_peers(self) -> list[PeerState]:
        if self._vms.value is None:
            return self._peers.states()
        return self._peers.states_of(self._lists.nodes())

    def _destinations(self) -> list[NodeId]:
        return sorted(self._lists.nodes() - {self.settings.node})

    def _is_candidate(self, now_s: float) -> bool:
        value = self._vms.value
        return (
            value is not None
            and self.settings.node in value.live_nodes
            and not self._is_released
            and now_s >= self._bootstrap.usable_from_s
        )

    def _valid_home_cache(self, now_s: float) -> _HomeCache:
        cache = self._home_cache
        if cache is not None and now_s <= cache.until_s:
            return cache
        candidates = self._candidates(now_s)
        heard = [
            state.heard_s
            for node in candidates
            if (state := self._peers.get(node)) is not None
        ]
        alive_until_s = min(heard, default=now_s) + self.settings.alive_s
        until_s = min(alive_until_s, now_s + self.settings.heartbeat_s)
        self._home_cache = _HomeCache(candidates, until_s, {}, {})
        return self._home_cache

    def _candidates(self, now_s: float) -> frozenset[NodeId]:
        value = self._vms.value
        if value is None:
            return frozenset()
        alive = self._peers.alive(
            value.live_nodes, now_s, self.settings.alive_s
        )
        nodes = {s.peer.node for s in alive if s.has(NodeFlag.CANDIDATE)}
        if self._is_candidate(now_s):
            nodes.add(self.settings.node)
        return frozenset(nodes)

    def _claims_partition(
        self, node: NodeId, partition: int, now_s: float
    ) -> bool:
        state = self._peers.get(node)
        if state is None:
            return self._holder.holds(partition, now_s)
        return partition in state.held

    def _claims(self, now_s: float) -> dict[int, list[NodeId]]:
        """Returns the candidates that claim to hold each partition."""
        claims: dict[int, list[NodeId]] = {}
        for node in self._placement.candidates:
            state = self._peers.get(node)
            held = state.held if state else self._holder.held(now_s)
            for partition in held:
                claims.setdefault(partition, []).append(node)
        return claims

    def _vote_choice(
        self, partition: int, claims: dict[int, list[NodeId]], now_s: float
    ) -> NodeId | None:
        """Returns the node that gets this node's vote for a partition.

        A holder keeps its partition while it is a candidate.
        """
        claimants = claims.get(partition)
        if not claimants:
            return self._placement.preferred(partition)
        voted_node = self._voter.voted_node(partition, now_s)
        if voted_node in claimants:
            return voted_node
        return rendezvous_node(f"partition {partition}", claimants)

    def _heartbeats(self, now_s: float) -> list[Outbound]:
        """Returns one heartbeat for every other node of the VM lists."""
        spread = self._rng.uniform(1 - _HEARTBEAT_JITTER, 1 + _HEARTBEAT_JITTER)
        self._next_heartbeat_s = now_s + self.settings.heartbeat_s * spread
        if self._vms.value is None:
            return []
        question = self._questions.ask(now_s)
        votes = self._cast_votes(question, now_s)
        held = format_partitions(self._holder.held(now_s))
        flags = self._flags(now_s)
        messages = []
        for node in self._destinations():
            state = self._peers.get(node)
            vms_seen = self._vms.seen
            body = Heartbeat(
                question=question,
                answered=state.question if state else 0,
                config_seen=self._config.seen,
                vms_in_force=self._vms.revision,
                vms_seen=(
                    Revision(0) if vms_seen == self._vms.revision else vms_seen
                ),
                flags=flags.value,
                held=held,
                votes=format_partitions(votes.get(node, [])),
            )
            messages.append(Outbound(node, body))
        return messages

    def _flags(self, now_s: float) -> NodeFlag:
        flags = NodeFlag(0)
        if self._bootstrap.is_established:
            flags |= NodeFlag.ESTABLISHED
        if not self._lists.is_settled:
            flags |= NodeFlag.CHANGING
        elif now_s >= self._bootstrap.usable_from_s:
            flags |= NodeFlag.SETTLED
        if self._is_candidate(now_s):
            flags |= NodeFlag.CANDIDATE
        if self._is_released:
            flags |= NodeFlag.RELEASED
        return flags

    def _cast_votes(
        self, question: int, now_s: float
    ) -> dict[NodeId, list[int]]:
        """Returns the votes for other nodes.

        Votes for this node itself are counted without a message.
        """
        self._placement.update(self._candidates(now_s), now_s)
        if not self._bootstrap.can_vote(now_s):
            return {}
        claims = self._claims(now_s)
        wanted: dict[NodeId, list[int]] = {}
        for partition in ALL_PARTITIONS:
            node = self._vote_choice(partition, claims, now_s)
            if node is not None:
                wanted.setdefault(node, []).append(partition)
        votes = {}
        for node, partitions in wanted.items():
            if node == self.settings.node:
                own = self._voter.vote(self.peer, question, partitions, now_s)
                self._holder.add_votes(node, own, now_s, now_s)
                continue
            state = self._peers.get(node)
            if state is not None:
                votes[node] = self._voter.vote(
                    state.peer, state.question, partitions, now_s
                )
        return votes


def _seen_revision(peer: PeerState, document: DocumentName) -> Revision:
    if document is DocumentName.CONFIG:
        return peer.config_seen
    return peer.vms_seen

"""Rate limiter of a node."""

import functools
import math
import random
from collections.abc import Iterable, Iterator

import msgspec
from expression import Error, Ok, Result

from egretrock.coordination.base import (
    Counters,
    Message,
    NullCounters,
    Outbound,
    Peer,
    rendezvous_node,
)
from egretrock.coordination.limits._messages import (
    Ask,
    AskEntry,
    Busy,
    Grant,
    GrantEntry,
    Lease,
    Release,
    TokenEntry,
)
from egretrock.coordination.limits._organisation import OrganisationState
from egretrock.coordination.limits._pool import HeldLease, PoolLimits
from egretrock.coordination.limits._settings import LimitSettings
from egretrock.coordination.limits._view import ConfigInForce, FleetView
from egretrock.state.ids import NodeId, OrganisationId
from egretrock.state.outcome import Refusal, RefusalCode, RunState

ORGANISATION_HOME_KIND = "organisation"
#: Interval at which the pools of idle organisations are advanced.
IDLE_ADVANCE_INTERVAL_S = 1.0
#: Bytes of an entry besides the organisation's id: numbers and punctuation.
ENTRY_OVERHEAD_BYTES = 56


class _AskState:
    """Asks sent to one node; at most one is unanswered."""

    def __init__(self) -> None:
        self.number = 0
        self.sent_s = -math.inf
        self.wanted: dict[OrganisationId, int] = {}
        self.waiting = False
        self.failures = 0
        self.suspect_until_s = -math.inf

    def is_waiting(self, now_s: float, timeout_s: float) -> bool:
        """Whether an ask waits for its answer and has not timed out."""
        return self.waiting and now_s - self.sent_s < timeout_s

    def clear_suspicion(self) -> None:
        """Resets the failures after a message from the node."""
        self.failures = 0
        self.suspect_until_s = -math.inf


class _PendingAsk(msgspec.Struct, frozen=True):
    """An ask whose answer waits for the first leases."""

    ask: Ask
    received_s: float


class _Asker:
    """State that a home keeps for an asking process."""

    def __init__(self, now_s: float) -> None:
        self.last_number = 0
        self.heard_s = now_s
        self.pending: _PendingAsk | None = None


class RateLimiter:
    """Admits requests so that no organisation exceeds its rate and burst.

    Over all nodes and every window of t seconds, the admitted requests of an
    organisation are at most rate x t + burst. The bound does not depend on
    any agreement between nodes, only on clock rates within 1% of each other
    and on the rule that a larger limit is used only after a delay (see
    ``FleetView``).

    A node spends tokens of its own share, or tokens granted by the home of
    the organisation. The home also refills its bucket at the rate of the shares
    that idle nodes lease to it.

    A request that gets no token may wait until the time that
    ``wait_until_s`` returns. The caller sends what ``request_tokens`` returns,
    and calls ``admit`` again with ``is_recheck=True`` after each message that
    the limiter has handled, and at the time that ``wait_until_s`` returned.

    Args:
        peer: This node and the incarnation of this process.
        fleet: Membership, freshness and limits in force.
        rng: Source of jitter.
        start_s: Start of the process.
        settings: Constants; equal on all nodes.
        counters: Receives the counts of events.
    """

    def __init__(
        self,
        peer: Peer,
        fleet: FleetView,
        rng: random.Random,
        start_s: float,
        settings: LimitSettings | None = None,
        counters: Counters | None = None,
    ) -> None:
        self._peer = peer
        self._fleet = fleet
        self._rng = rng
        self._settings = settings or LimitSettings()
        self._counters = counters or NullCounters()
        wait_s = self._settings.handover_s * self._settings.clock_margin
        #: By then all leases and grants of the previous process have ended.
        self._refill_from_s = start_s + wait_s
        self._states: dict[OrganisationId, OrganisationState] = {}
        #: Organisations with recent demand here or at an asker.
        self._active: set[OrganisationId] = set()
        self._seen_config: ConfigInForce | None = None
        self._ask_states: dict[NodeId, _AskState] = {}
        self._askers: dict[Peer, _Asker] = {}
        self._ask_number = 0
        self._busy_number = 0
        self._busy_sent_s: dict[int, float] = {}
        self._lease_number = 0
        self._next_idle_advance_s = start_s
        self._stopped = False

    # Status.

    @property
    def peer(self) -> Peer:
        """This node and the incarnation of this process."""
        return self._peer

    def organisations(self) -> frozenset[OrganisationId]:
        """Returns the organisations with state at this node."""
        return frozenset(self._states)

    def bucket_level(self, organisation: OrganisationId) -> float:
        """Returns the tokens in the bucket, as of the last advance."""
        state = self._states.get(organisation)
        return 0.0 if state is None else state.pool.level

    def leased_share(self, organisation: OrganisationId) -> float:
        """Returns the total share leased to this node."""
        state = self._states.get(organisation)
        if state is None:
            return 0.0
        return sum(lease.share for lease in state.pool.leases.values())

    # Requests.

    def is_ready(self, now_s: float) -> bool:
        """Whether the wait after the start is over and no stop has begun."""
        return now_s >= self._refill_from_s and not self._stopped

    def admit(
        self,
        organisation: OrganisationId,
        now_s: float,
        is_recheck: bool = False,
    ) -> Result[None, Refusal]:
        """Spends a token for one request.

        Args:
            organisation: The organisation of the request.
            now_s: Current time; the caller reads the clock for each call.
            is_recheck: Whether this request was refused before and has waited.

        Returns:
            Ok, or a refusal with ``node_not_fresh`` or ``over_rate``.
        """
        if not self._fleet.is_fresh(now_s):
            return Error(_not_fresh_refusal())
        state = self._advanced_state(organisation, now_s)
        if state is None:
            return Error(_no_limits_refusal(organisation))
        if not is_recheck:
            state.demand.add(now_s)
            self._active.add(organisation)
        if state.spend(now_s):
            return Ok(None)
        if not is_recheck:
            state.add_waiting(now_s)
        return Error(self._over_rate_refusal(state, now_s))

    def wait_until_s(
        self, organisation: OrganisationId, now_s: float
    ) -> float | None:
        """Returns until when a refused request may wait for a token.

        Returns:
            A time at most ``wait_s`` ahead, or None if waiting is useless
            because no answer and no further ask is due within ``wait_s``.
        """
        state = self._states.get(organisation)
        if state is None or not self._fleet.is_fresh(now_s):
            return None
        latest_s = now_s + self._settings.wait_s
        home = self._home(organisation, now_s)
        if home is None:
            return None
        if home == self._peer.node:
            return latest_s if state.is_active_home(now_s) else None
        ask_state = self._ask_states.get(home)
        if ask_state is None:
            return latest_s
        timeout_s = self._settings.ask_timeout_s
        answer_s = ask_state.sent_s + timeout_s
        if (
            ask_state.waiting
            and organisation in ask_state.wanted
            and answer_s > now_s
        ):
            return min(latest_s, answer_s)
        if state.backoff_until_s >= latest_s:
            return None
        return latest_s

    def request_tokens(
        self, organisation: OrganisationId, now_s: float
    ) -> list[Outbound]:
        """Returns the messages that are due after a refused request.

        The call is cheap when nothing is due; the caller makes it after each
        refusal.
        """
        state = self._states.get(organisation)
        if state is None or not self._fleet.is_fresh(now_s):
            return []
        home = self._home(organisation, now_s)
        if home is None or not state.needs_tokens(now_s):
            return []
        if home == self._peer.node:
            state.claim_for_self(now_s)
            return (
                self._send_busy(now_s)
                if state.is_lease_request_due(now_s)
                else []
            )
        if not state.is_ask_due(now_s):
            return []
        return self._ask(home, now_s)

    def hand_over(self, now_s: float) -> list[Outbound]:
        """Returns all leased shares at a planned stop.

        The shares leased from others are returned to their owners. Where the
        node's own share is leased out, the lease is renewed a last time. The
        node can still spend granted tokens.
        """
        self._stopped = True
        messages = self._release(list(self._states.values()), now_s)
        notified = {message.to for message in messages}
        askers = {asker.node for asker in self._askers} - notified
        body = Release(self._busy_number, 0.0, [], stopping=True)
        messages += [Outbound(node, body) for node in sorted(askers)]
        by_given_lease: dict[tuple[Peer, int], list[TokenEntry]] = {}
        duration_s = self._settings.handover_lease_s
        share = self._fleet.usable_share(now_s)
        for state in self._states.values():
            state.advance(self._pool_limits(state.organisation, now_s), now_s)
            given_lease = state.given_lease
            if given_lease is None or not state.is_leased_out(now_s):
                continue
            margin = self._settings.clock_margin
            state.pool.own_share_from_s = now_s + duration_s * margin
            key = (given_lease.home, given_lease.busy_number)
            entry = TokenEntry(state.organisation, 0.0)
            by_given_lease.setdefault(key, []).append(entry)
        if share <= 0 or not self._fleet.is_fresh(now_s):
            return messages
        for (home, number), entries in by_given_lease.items():
            messages += self._leases(home, number, share, duration_s, entries)
        return messages

    # Ticks and messages.

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Sends due asks, renews leases and returns unused shares."""
        self._apply_config(now_s)
        self._drop_idle(now_s)
        if self._stopped or not self._fleet.is_fresh(now_s):
            return []
        messages: list[Outbound] = []
        homes: set[NodeId] = set()
        for organisation in sorted(self._active):
            state = self._advanced_state(organisation, now_s)
            if state is None:
                continue
            home = self._home(organisation, now_s)
            if home == self._peer.node and state.needs_tokens(now_s):
                state.claim_for_self(now_s)
            elif home != self._peer.node and state.is_ask_due(now_s):
                homes.add(home)
        homes.discard(None)
        for home in sorted(homes):
            messages += self._ask(home, now_s)
        messages += self._send_busy(now_s)
        messages += self._release_unused(now_s)
        messages += self._answer_pending(now_s)
        return messages

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Handles a message from a node of the VM list."""
        vms = self._fleet.vms()
        if vms is None or sender.node not in vms.nodes:
            self._counters.increment("limits.unlisted_sender")
            return []
        return self._handle(body, sender, now_s)

    @functools.singledispatchmethod
    def _handle(
        self, body: Message, sender: Peer, now_s: float
    ) -> list[Outbound]:
        self._counters.increment("limits.unknown_message")
        return []

    # Asker.

    def _ask(self, home: NodeId, now_s: float) -> list[Outbound]:
        ask_state = self._ask_states.setdefault(home, _AskState())
        timeout_s = self._settings.ask_timeout_s
        if ask_state.is_waiting(now_s, timeout_s):
            return []
        if ask_state.waiting:
            ask_state.waiting = False
            ask_state.failures += 1
            self._counters.increment("limits.ask_timeouts")
            if ask_state.failures >= self._settings.ask_failures:
                ask_state.failures = 0
                ask_state.suspect_until_s = now_s + self._settings.suspect_s
                self._counters.increment("limits.suspected_homes")
                return []
        entries = self._ask_entries(home, now_s)
        if not entries:
            return []
        self._ask_number += 1
        ask_state.number, ask_state.sent_s, ask_state.waiting = (
            self._ask_number,
            now_s,
            True,
        )
        ask_state.wanted = {
            entry.organisation: entry.wanted_tokens for entry in entries
        }
        self._counters.increment("limits.asks")
        return [Outbound(home, Ask(ask_state.number, entries))]

    def _ask_entries(self, home: NodeId, now_s: float) -> list[AskEntry]:
        """Returns entries for the organisations that need tokens of one home.

        Those that want most tokens come first; entries that do not fit into
        one message are left for the next ask.
        """
        entries = []
        for organisation in sorted(self._active):
            state = self._advanced_state(organisation, now_s)
            if state is None or self._home(organisation, now_s) != home:
                continue
            in_backoff = now_s < state.backoff_until_s
            if in_backoff or not state.needs_tokens(now_s):
                continue
            entry = state.ask_entry(home, now_s)
            if entry is not None:
                entries.append(entry)
        entries.sort(key=lambda entry: -entry.wanted_tokens)
        return next(self._chunks(entries), [])

    @_handle.register
    def _on_grant(
        self, body: Grant, sender: Peer, now_s: float
    ) -> list[Outbound]:
        ask_state = self._ask_states.get(sender.node)
        if (
            ask_state is None
            or body.asker_incarnation != self._peer.incarnation
        ):
            self._counters.increment("limits.stray_grants")
            return []
        if body.number != ask_state.number or not ask_state.wanted:
            self._counters.increment("limits.stray_grants")
            return []
        ask_state.clear_suspicion()
        ask_state.waiting = False
        wanted, ask_state.wanted = ask_state.wanted, {}
        for entry in body.entries:
            life_s = min(entry.life_s, self._settings.grant_s)
            expires_s = ask_state.sent_s + life_s
            state = self._states.get(entry.organisation)
            if state is None or entry.organisation not in wanted:
                continue
            if entry.extended and expires_s > now_s:
                state.stock.add(sender, entry.tokens, expires_s, now_s)
            wanted_tokens = wanted[entry.organisation]
            state.on_granted(wanted_tokens, entry.tokens, now_s)
        return []

    # Home.

    @_handle.register
    def _on_ask(self, body: Ask, sender: Peer, now_s: float) -> list[Outbound]:
        asker = self._askers.setdefault(sender, _Asker(now_s))
        if body.number <= asker.last_number:
            self._counters.increment("limits.repeated_asks")
            return []
        asker.last_number, asker.heard_s = body.number, now_s
        if self._stopped:
            body = Release(self._busy_number, 0.0, [], stopping=True)
            return [Outbound(sender.node, body)]
        if not self._fleet.is_fresh(now_s):
            return []
        for entry in body.entries:
            state = self._advanced_state(entry.organisation, now_s)
            if state is not None:
                state.claim(sender, entry, now_s)
                self._active.add(entry.organisation)
        asker.pending = _PendingAsk(body, now_s)
        return self._send_busy(now_s) + self._answer_pending(now_s)

    def _answer_pending(self, now_s: float) -> list[Outbound]:
        messages = []
        for sender, asker in self._askers.items():
            pending = asker.pending
            if pending is None or self._should_wait_for_leases(
                sender, pending, now_s
            ):
                continue
            asker.pending = None
            if now_s - pending.received_s < self._settings.ask_timeout_s:
                messages.append(self._grant(sender, pending.ask, now_s))
        return messages

    def _should_wait_for_leases(
        self, sender: Peer, pending: _PendingAsk, now_s: float
    ) -> bool:
        """Whether leases that may still arrive would allow a larger grant."""
        for entry in pending.ask.entries:
            state = self._states.get(entry.organisation)
            if state is None or not state.waits_for_leases(now_s):
                continue
            if (
                state.grantable(sender, entry.wanted_tokens, now_s)
                < entry.wanted_tokens
            ):
                return True
        return False

    def _grant(self, asker: Peer, ask: Ask, now_s: float) -> Outbound:
        entries = []
        for entry in ask.entries:
            state = self._advanced_state(entry.organisation, now_s)
            tokens, extended, life_s = 0, False, 0.0
            if state is not None and entry.wanted_tokens >= 0:
                tokens, extended = state.grant(
                    asker, entry.wanted_tokens, now_s
                )
                life_s = state.grant_life_s()
            name = entry.organisation
            entries.append(GrantEntry(name, tokens, extended, life_s))
        self._counters.increment("limits.grants")
        body = Grant(ask.number, asker.incarnation, entries)
        return Outbound(asker.node, body)

    def _send_busy(self, now_s: float) -> list[Outbound]:
        due = []
        for organisation in sorted(self._active):
            state = self._states.get(organisation)
            if state is not None and state.is_lease_request_due(now_s):
                # Jitter keeps several homes from renewing at the same time.
                jitter = 0.9 + 0.2 * self._rng.random()
                state.next_lease_request_s = (
                    now_s + self._settings.renew_s * jitter
                )
                due.append(state.organisation)
        messages = []
        peers = sorted(self._fleet.alive_nodes(now_s) - {self._peer.node})
        for organisations in self._chunks(due):
            self._busy_number += 1
            self._busy_sent_s[self._busy_number] = now_s
            body = Busy(self._busy_number, organisations)
            messages += [Outbound(peer, body) for peer in peers]
        return messages

    @_handle.register
    def _on_lease(
        self, body: Lease, sender: Peer, now_s: float
    ) -> list[Outbound]:
        sent_s = self._busy_sent_s.get(body.busy_number)
        is_for_this_process = body.home_incarnation == self._peer.incarnation
        is_valid = 0 < body.share <= 1 and body.duration_s > 0
        if (
            sent_s is None
            or not is_for_this_process
            or not is_valid
            or self._stopped
        ):
            self._counters.increment("limits.stray_leases")
            return []
        end_s = sent_s + min(body.duration_s, self._settings.handover_s)
        if end_s <= now_s:
            self._counters.increment("limits.late_leases")
            return []
        lease = HeldLease(body.number, body.share, end_s)
        for entry in body.entries:
            state = self._advanced_state(entry.organisation, now_s)
            if state is None or body.busy_number <= state.void_busy_number:
                continue
            state.pool.accept(sender, lease, entry.tokens)
        return self._answer_pending(now_s)

    def _release_unused(self, now_s: float) -> list[Outbound]:
        """Returns leased shares that the preferred home can use better."""
        states_to_release = []
        for organisation in sorted(self._active):
            state = self._states.get(organisation)
            if state is None or not state.pool.leases:
                continue
            home = self._home(organisation, now_s)
            if home != self._peer.node and state.has_no_remote_askers(now_s):
                states_to_release.append(state)
        return self._release(states_to_release, now_s)

    def _release(
        self, states: list[OrganisationState], now_s: float
    ) -> list[Outbound]:
        by_owner: dict[NodeId, list[OrganisationId]] = {}
        hold_s = 0.0
        for state in states:
            state.advance(self._pool_limits(state.organisation, now_s), now_s)
            for owner in state.pool.leases:
                organisation_ids = by_owner.setdefault(owner.node, [])
                organisation_ids.append(state.organisation)
            end_s = state.void_leases(self._busy_number, now_s)
            hold_s = max(hold_s, end_s - now_s)
        return [
            Outbound(
                owner,
                Release(self._busy_number, hold_s, chunk, self._stopped),
            )
            for owner, organisation_ids in by_owner.items()
            for chunk in self._chunks(organisation_ids)
        ]

    # Owner of a share.

    @_handle.register
    def _on_busy(
        self, body: Busy, sender: Peer, now_s: float
    ) -> list[Outbound]:
        self._ask_states.setdefault(sender.node, _AskState()).clear_suspicion()
        share = self._fleet.usable_share(now_s)
        if self._stopped or share <= 0 or not self._fleet.is_fresh(now_s):
            return []
        duration_s = self._settings.lease_s
        entries = []
        for organisation in body.organisations:
            state = self._advanced_state(organisation, now_s)
            if state is None or not state.should_give_lease(now_s):
                continue
            tokens = state.give_lease(sender, body.number, duration_s, now_s)
            if tokens is not None:
                entries.append(TokenEntry(organisation, tokens))
        return self._leases(sender, body.number, share, duration_s, entries)

    def _leases(
        self,
        home: Peer,
        busy_number: int,
        share: float,
        duration_s: float,
        entries: list[TokenEntry],
    ) -> list[Outbound]:
        messages = []
        for chunk in self._chunks(entries):
            self._lease_number += 1
            body = Lease(
                busy_number=busy_number,
                home_incarnation=home.incarnation,
                number=self._lease_number,
                share=share,
                duration_s=duration_s,
                entries=chunk,
            )
            self._counters.increment("limits.leases")
            messages.append(Outbound(home.node, body))
        return messages

    @_handle.register
    def _on_release(
        self, body: Release, sender: Peer, now_s: float
    ) -> list[Outbound]:
        for organisation in body.organisations:
            state = self._advanced_state(organisation, now_s)
            if state is not None:
                number = body.busy_number
                state.end_given_lease(sender, number, body.hold_s, now_s)
        if body.stopping:
            ask_state = self._ask_states.setdefault(sender.node, _AskState())
            ask_state.suspect_until_s = now_s + self._settings.suspect_s
        return []

    # State.

    def _advanced_state(
        self, organisation: OrganisationId, now_s: float
    ) -> OrganisationState | None:
        """Returns the state, advanced to now; None without limits in force."""
        pool_limits = self._pool_limits(organisation, now_s)
        state = self._states.get(organisation)
        if state is None:
            if pool_limits.rate_per_s <= 0:
                return None
            state = self._add_state(organisation, now_s)
        state.advance(pool_limits, now_s)
        return state if pool_limits.rate_per_s > 0 else None

    def _add_state(
        self, organisation: OrganisationId, now_s: float
    ) -> OrganisationState:
        state = OrganisationState(
            organisation, self._settings, self._refill_from_s, now_s
        )
        self._states[organisation] = state
        return state

    def _pool_limits(
        self, organisation: OrganisationId, now_s: float
    ) -> PoolLimits:
        limits = self._fleet.usable_limits(organisation, now_s)
        if limits is None:
            return PoolLimits()
        share = 0.0 if self._stopped else self._fleet.usable_share(now_s)
        return PoolLimits(limits.rate_per_s, limits.burst, share)

    def _apply_config(self, now_s: float) -> None:
        """Starts refilling for new organisations before their first request.

        A pool is refilled at the smaller of the limits at two successive
        advances. The pools of idle organisations are advanced too, once a
        second; otherwise an old, smaller limit would apply to the whole idle
        time.
        """
        if now_s >= self._next_idle_advance_s:
            self._next_idle_advance_s = now_s + IDLE_ADVANCE_INTERVAL_S
            for state in self._states.values():
                state.advance(
                    self._pool_limits(state.organisation, now_s), now_s
                )
        config = self._fleet.config()
        if config is None or config is self._seen_config:
            return
        self._seen_config = config
        for organisation in config.organisations:
            if organisation not in self._states:
                self._add_state(organisation, now_s)
        for organisation in list(self._states):
            state = self._states[organisation]
            if organisation in config.organisations:
                continue
            state.advance(self._pool_limits(organisation, now_s), now_s)
            if state.is_removable(now_s):
                del self._states[organisation]
            else:
                # Check again at the next tick.
                self._seen_config = None

    def _drop_idle(self, now_s: float) -> None:
        """Drops state that is no longer used.

        This is the state of idle organisations, of former askers and of
        unlisted nodes, and the old numbers of ``limits.busy``.
        """
        retention_s = self._settings.handover_s
        for number, sent_s in list(self._busy_sent_s.items()):
            if now_s - sent_s < retention_s:
                break
            del self._busy_sent_s[number]
        for organisation in list(self._active):
            state = self._states.get(organisation)
            if state is None or state.is_idle(now_s):
                self._active.discard(organisation)
        for peer, asker in list(self._askers.items()):
            if now_s - asker.heard_s > retention_s:
                del self._askers[peer]
        vms = self._fleet.vms()
        if vms is not None:
            for node in [n for n in self._ask_states if n not in vms.nodes]:
                del self._ask_states[node]

    def _home(
        self, organisation: OrganisationId, now_s: float
    ) -> NodeId | None:
        """Returns the preferred home, or the next one while it is suspected."""
        home = self._fleet.preferred_home(
            ORGANISATION_HOME_KIND, organisation, now_s
        )
        if home is None or not self._is_suspect(home, now_s):
            return home
        alive = self._fleet.alive_nodes(now_s)
        candidates = [n for n in alive if not self._is_suspect(n, now_s)]
        return rendezvous_node(
            f"{ORGANISATION_HOME_KIND} {organisation}", candidates
        )

    def _is_suspect(self, node: NodeId, now_s: float) -> bool:
        ask_state = self._ask_states.get(node)
        return ask_state is not None and ask_state.suspect_until_s > now_s

    def _chunks(self, entries: Iterable) -> Iterator[list]:
        """Splits entries into lists that fit into one message."""
        chunk, size_bytes = [], 0
        for entry in entries:
            name = getattr(entry, "organisation", entry)
            entry_bytes = len(str(name).encode()) + ENTRY_OVERHEAD_BYTES
            size_bytes += entry_bytes
            if chunk and size_bytes > self._settings.message_bytes:
                yield chunk
                chunk, size_bytes = [], entry_bytes
            chunk.append(entry)
        if chunk:
            yield chunk

    def _over_rate_refusal(
        self, state: OrganisationState, now_s: float
    ) -> Refusal:
        self._counters.increment("limits.refused")
        pool_limits = state.limits
        return Refusal(
            RefusalCode.OVER_RATE,
            RunState.NOT_RUN,
            f"organisation {state.organisation} has no token left; its rate "
            f"is {pool_limits.rate_per_s:g} requests a second with a burst of "
            f"{pool_limits.burst:g}",
            state.retry_after_ms(now_s),
        )


def _not_fresh_refusal() -> Refusal:
    return Refusal(
        RefusalCode.NODE_NOT_FRESH,
        RunState.NOT_RUN,
        "the node's configuration and VM list are not confirmed; another "
        "node may answer",
        1000,
    )


def _no_limits_refusal(organisation: OrganisationId) -> Refusal:
    return Refusal(
        RefusalCode.OVER_RATE,
        RunState.NOT_RUN,
        f"organisation {organisation} has no rate in force yet; a new rate "
        "is in force some seconds after its publication",
        2000,
    )

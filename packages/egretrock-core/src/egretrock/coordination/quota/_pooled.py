"""Rate limits: one part divided among the nodes, the rest pooled at a home.

The total over the fleet stays within the rate without consensus:

* A node uses ``local_ratio`` of a rate, divided by the size of the fleet. The
  size includes recently lost members, so that the two sides of a partition
  together use this part only once.
* The home of an organisation, a node chosen by rendezvous hashing, grants
  tokens for the rest. It fills its bucket in proportion to the share of the
  known fleet that it reaches, so that two homes on two sides of a partition
  together grant this part only once.
* A home that stops, or that is superseded by another node, hands over its
  tokens and grants no more.
* All buckets start empty in a new process, so a restart loses tokens but
  never creates any.
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from expression import Error, Ok, Result

from egretrock.coordination.base import (
    Counters,
    MessageHandler,
    NullCounters,
    Outbound,
    Peer,
    TokenBucket,
    ignore_message,
    rendezvous_node,
)
from egretrock.coordination.gossip import Membership
from egretrock.coordination.quota._accounts import (
    HomeChange,
    OrganisationQuota,
)
from egretrock.coordination.quota._messages import (
    TokenAnswer,
    TokenAsk,
    TokenHandover,
)
from egretrock.coordination.quota._settings import QuotaSettings
from egretrock.state.config import UNLIMITED_RATE_PER_S, Organisation
from egretrock.state.ids import NodeId, OrganisationId
from egretrock.state.outcome import Refusal, RefusalCode, RunState

_DEFAULTS = QuotaSettings()
#: Window over which a node estimates its own demand.
_DEMAND_WINDOW_S = 1.0
#: Maximum number of tokens in one ask.
_MAX_ASK_TOKENS = 1000
#: Consecutive unanswered asks after which a home is skipped; a single one may
#: be a lost datagram.
_MAX_UNANSWERED_ASKS = 2
#: Seconds between checks for which organisations this node is the home.
_POOL_CHECK_INTERVAL_S = 0.1
#: Seconds within which nodes count as started together.
_SAME_START_SPAN_S = 3.0
#: Seconds for which a node that has not yet learned that it is the home keeps
#: the tokens handed over by its predecessor.
_PENDING_HANDOVER_S = 1.0
#: Seconds for which a home that has handed over its tokens is not chosen
#: again; by then gossip has spread that it is leaving.
_FORMER_HOME_SKIP_S = 1.0
#: Seconds for which a node that answered that it is not the home is skipped.
_NOT_HOME_SKIP_S = 0.25
#: Senders whose last handover number is kept to detect duplicates.
_MAX_HANDOVER_SENDERS = 256


class PooledRates(MessageHandler):
    """Admits requests of organisations within their rates.

    Args:
        membership: Members of the fleet.
        organisation_of: Returns the limits of an organisation, or None if it
            is not in the published configuration.
        now_s: Start time.
        settings: How a rate is divided.
        counters: Metrics.
    """

    def __init__(
        self,
        membership: Membership,
        organisation_of: Callable[[OrganisationId], Organisation | None],
        now_s: float,
        settings: QuotaSettings = _DEFAULTS,
        counters: Counters | None = None,
    ) -> None:
        self._membership = membership
        self._organisation_of = organisation_of
        self._started_s = now_s
        self._settings = settings
        self._counters = counters or NullCounters()
        self._accounts: dict[OrganisationId, OrganisationQuota] = {}
        self._skipped_homes_until_s: dict[NodeId, float] = {}
        self._unanswered_asks: dict[NodeId, int] = {}
        self._next_number = 0
        self._next_pool_check_s = now_s
        # A node that knows no other node considers itself the home of every
        # organisation.
        self._last_alone_s = now_s
        self._home_cache: dict[OrganisationId, NodeId | None] = {}
        self._home_cache_nodes: frozenset[NodeId] = frozenset()
        self._homes_at_last_check: dict[OrganisationId, NodeId | None] = {}
        self._last_handover_numbers: dict[Peer, int] = {}
        self._former_homes_until_s: dict[NodeId, float] = {}
        self._home_changes: list[HomeChange] = []

    # Methods for the request path.

    def admit(
        self,
        organisation: OrganisationId,
        now_s: float,
        is_recheck: bool = False,
    ) -> Result[None, Refusal]:
        """Admits one request, or refuses it as over the rate.

        Args:
            organisation: Organisation that the request's API key belongs to.
            now_s: Current time.
            is_recheck: Whether this request was already refused once and has
                waited for tokens since.
        """
        limits = self._organisation_of(organisation)
        if limits is None or limits.rate_per_s >= UNLIMITED_RATE_PER_S:
            return Ok(None)
        account = self._account(organisation, now_s)
        if not is_recheck:
            self._update_demand(account, now_s)
        self._refill_local_bucket(account, limits, now_s)
        if account.granted_tokens > 0 and now_s < account.granted_until_s:
            account.granted_tokens -= 1
            return Ok(None)
        if account.local_bucket.take(1.0):
            return Ok(None)
        if not is_recheck:
            account.unserved_count += 1
        wait_s = max(account.home_empty_until_s - now_s, 1 / limits.rate_per_s)
        return Error(
            Refusal(
                RefusalCode.OVER_RATE,
                RunState.NOT_RUN,
                f"{organisation!r} has used its rate of"
                f" {limits.rate_per_s:g} a second over all nodes;"
                f" {account.home_status}"
                f" {now_s - account.home_status_set_s:.2f} s ago, and"
                f" {account.local_bucket.tokens:.1f} tokens of this node"
                " are left",
                max(1, round(wait_s * 1000)),
            )
        )

    def wait_until_s(
        self, organisation: OrganisationId, now_s: float
    ) -> float | None:
        """Returns until when a refused request may wait for tokens.

        Returns:
            The time, or None if the request should be refused now.
        """
        account = self._account(organisation, now_s)
        if account.ask_sent_s is not None:
            return account.ask_sent_s + self._settings.ask_timeout_s
        wait_s = account.home_empty_until_s - now_s
        if 0.0 < wait_s <= self._settings.max_wait_s:
            return account.home_empty_until_s + self._settings.ask_timeout_s
        return None

    def request_tokens(
        self, organisation: OrganisationId, now_s: float
    ) -> list[Outbound]:
        """Sends the home an ask for the requests that found no token."""
        account = self._account(organisation, now_s)
        if account.ask_sent_s is not None:
            if now_s - account.ask_sent_s < self._settings.ask_timeout_s:
                return []
            self._on_ask_timeout(account, now_s)
        if now_s < account.home_empty_until_s or not account.unserved_count:
            return []
        home = self._home_to_ask(organisation)
        if home is None:
            return []
        expected_count = account.demand_per_s * self._settings.prefetch_s
        count = min(
            _MAX_ASK_TOKENS,
            max(1, account.unserved_count + int(expected_count)),
        )
        self._next_number += 1
        account.ask_sent_s = now_s
        account.ask_number = self._next_number
        account.ask_home = home
        account.ask_unserved_count = account.unserved_count
        account.unserved_count = 0
        self._counters.increment("quota.asks")
        ask = TokenAsk(organisation, self._next_number, count)
        return [Outbound(home, ask)]

    # Methods of the protocol ``Part``, and the changes of homes.

    def set_organisations(
        self, organisations: Iterable[OrganisationId], now_s: float
    ) -> None:
        """Applies the organisations of a new configuration."""
        published = set(organisations)
        for organisation in self._accounts.keys() - published:
            del self._accounts[organisation]
            self._homes_at_last_check.pop(organisation, None)
        for organisation in published:
            self._account(organisation, now_s)

    def take_home_changes(self) -> list[HomeChange]:
        """Returns the changes of homes since the last call, for the log."""
        changes, self._home_changes = self._home_changes, []
        return changes

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Times out asks, and opens and closes the pools of this node."""
        out = []
        if len(self._membership.alive_nodes()) == 1:
            self._last_alone_s = now_s
        if now_s >= self._next_pool_check_s:
            self._next_pool_check_s = now_s + _POOL_CHECK_INTERVAL_S
            out = self._update_pools(now_s)
        for node, until_s in list(self._skipped_homes_until_s.items()):
            if now_s >= until_s:
                del self._skipped_homes_until_s[node]
        for node, until_s in list(self._former_homes_until_s.items()):
            if now_s >= until_s:
                del self._former_homes_until_s[node]
                self._home_cache.clear()
        while len(self._last_handover_numbers) > _MAX_HANDOVER_SENDERS:
            del self._last_handover_numbers[
                next(iter(self._last_handover_numbers))
            ]
        for account in self._accounts.values():
            if (
                account.ask_sent_s is not None
                and now_s - account.ask_sent_s >= self._settings.ask_timeout_s
            ):
                self._on_ask_timeout(account, now_s)
        return out

    _handle = singledispatchmethod(ignore_message)

    @_handle.register
    def _(self, body: TokenAsk, sender: Peer, now_s: float) -> list[Outbound]:
        limits = self._organisation_of(body.organisation)
        if limits is None:
            return []
        account = self._account(body.organisation, now_s)
        if self._rendezvous_home(body.organisation) != self._membership.node:
            # The sender lost a message and assumed that the home had failed.
            # Tokens granted here would add to those of the actual home.
            self._counters.increment("quota.not_home")
            answer = TokenAnswer(
                body.organisation, body.number, 0, 0, is_home=False
            )
            # Sent before the answer, so that the next home has the tokens
            # when the sender asks it.
            handovers = self._update_pools(now_s)
            return [*handovers, Outbound(sender.node, answer)]
        if account.pool_bucket is None:
            self._open_pool(body.organisation, account, now_s)
        rate_per_s = self._refill_pool_bucket(account, limits, now_s)
        count = min(body.count, int(account.pool_bucket.tokens))
        wait_s = 0.0
        if count:
            account.pool_bucket.take(count)
        else:
            wait_s = (1.0 - account.pool_bucket.tokens) / rate_per_s
            self._counters.increment("quota.home_empty")
        answer = TokenAnswer(
            body.organisation, body.number, count, round(wait_s * 1000)
        )
        return [Outbound(sender.node, answer)]

    @_handle.register
    def _(
        self, body: TokenAnswer, sender: Peer, now_s: float
    ) -> list[Outbound]:
        account = self._accounts.get(body.organisation)
        if account is None or account.ask_number != body.number:
            # Tokens of a late answer are lost, which is safe: the home has
            # already deducted them.
            self._counters.increment("quota.late_answers")
            return []
        account.ask_sent_s = None
        account.ask_number = 0
        account.unserved_count += max(
            0, account.ask_unserved_count - body.count
        )
        account.home_status = (
            f"home {sender.node} gave {body.count}"
            f" of {account.ask_unserved_count}"
        )
        account.home_status_set_s = now_s
        self._skipped_homes_until_s.pop(sender.node, None)
        self._unanswered_asks.pop(sender.node, None)
        if not body.is_home:
            # It has just left, or its membership view or this node's is out
            # of date; ask the next node in rendezvous order meanwhile.
            self._skipped_homes_until_s[sender.node] = now_s + _NOT_HOME_SKIP_S
            account.home_status = f"{sender.node} is not the home any more"
        elif body.count:
            if now_s >= account.granted_until_s:
                account.granted_tokens = 0
            account.granted_tokens += body.count
            account.granted_until_s = now_s + self._settings.token_lifetime_s
        else:
            account.home_empty_until_s = now_s + body.wait_ms / 1000
        return []

    @_handle.register
    def _(
        self, body: TokenHandover, sender: Peer, now_s: float
    ) -> list[Outbound]:
        account = self._accounts.get(body.organisation)
        if account is None or body.number <= self._last_handover_numbers.get(
            sender, 0
        ):
            return []
        self._last_handover_numbers[sender] = body.number
        if sender.node == self._rendezvous_home(body.organisation):
            self._former_homes_until_s[sender.node] = (
                now_s + _FORMER_HOME_SKIP_S
            )
            self._home_cache.clear()
        # This node may not have learned yet that it is the home.
        if now_s >= account.pending_handover_until_s:
            account.pending_handover_tokens = 0.0
        account.pending_handover_tokens += body.tokens
        account.pending_handover_until_s = now_s + _PENDING_HANDOVER_S
        if account.pool_bucket is not None:
            self._add_pending_handover(account, now_s)
        return []

    # Helpers.

    def _account(
        self, organisation: OrganisationId, now_s: float
    ) -> OrganisationQuota:
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = OrganisationQuota(
                self._started_s
            )
        return account

    def _refill_local_bucket(
        self, account: OrganisationQuota, limits: Organisation, now_s: float
    ) -> None:
        settings = self._settings
        node_count = self._membership.serving_count()
        if node_count == 1 and len(self._membership.alive_nodes()) == 1:
            # There may be other nodes that this node does not know yet.
            node_count = settings.assumed_nodes
        rate_per_s = limits.rate_per_s * settings.local_ratio / node_count
        size = limits.burst * settings.local_ratio + settings.local_slack
        size /= node_count
        account.local_bucket.refill(rate_per_s, size, now_s)

    def _update_demand(self, account: OrganisationQuota, now_s: float) -> None:
        elapsed_s = now_s - account.demand_updated_s
        account.demand_updated_s = now_s
        decay = max(0.0, 1.0 - elapsed_s / _DEMAND_WINDOW_S)
        account.demand_per_s = account.demand_per_s * decay + (
            1.0 / _DEMAND_WINDOW_S
        )

    def _refill_pool_bucket(
        self, account: OrganisationQuota, limits: Organisation, now_s: float
    ) -> float:
        """Refills the pool of a home and returns its current refill rate."""
        settings = self._settings
        reachable = self._membership.reachable_share(settings.assumed_nodes)
        rate_per_s = limits.rate_per_s * settings.pooled_ratio
        size = limits.burst * settings.pooled_ratio
        size = max(1.0, (size + settings.slack) * reachable)
        # Accrues at the lower of the reachable shares at the last refill and
        # now: the share may have changed at any time in between, and the
        # higher one could grant tokens twice.
        accrual_share = min(reachable, account.pool_reachable_share)
        account.pool_reachable_share = reachable
        account.pool_bucket.refill(rate_per_s * accrual_share, size, now_s)
        return rate_per_s * reachable

    def _update_pools(self, now_s: float) -> list[Outbound]:
        """Opens and closes pools after changes of the homes.

        A pool is the token bucket of a home. Pools fill before the first ask,
        because a pool opened by the first ask would be empty and refuse it.
        If an organisation has a new home, the tokens are handed over to it.
        """
        out = []
        for organisation, account in self._accounts.items():
            home = self._rendezvous_home(organisation)
            limits = self._organisation_of(organisation)
            if home == self._membership.node:
                self._open_pool(organisation, account, now_s)
                if limits is not None:
                    self._refill_pool_bucket(account, limits, now_s)
            elif account.pool_bucket is not None:
                self._home_changes.append(
                    HomeChange(organisation, home, account.pool_bucket.tokens)
                )
                if limits is not None and home is not None:
                    self._refill_pool_bucket(account, limits, now_s)
                    self._next_number += 1
                    body = TokenHandover(
                        organisation,
                        self._next_number,
                        account.pool_bucket.tokens,
                    )
                    out.append(Outbound(home, body))
                account.pool_bucket = None
            self._homes_at_last_check[organisation] = home
        return out

    def _open_pool(
        self,
        organisation: OrganisationId,
        account: OrganisationQuota,
        now_s: float,
    ) -> None:
        if account.pool_bucket is not None:
            return
        previous_home = self._homes_at_last_check.get(organisation)
        account.pool_bucket = TokenBucket(
            now_s - self._opening_credit_s(previous_home, now_s)
        )
        account.pool_reachable_share = self._membership.reachable_share(
            self._settings.assumed_nodes
        )
        self._add_pending_handover(account, now_s)
        self._home_changes.append(
            HomeChange(
                organisation, self._membership.node, account.pool_bucket.tokens
            )
        )

    @staticmethod
    def _add_pending_handover(account: OrganisationQuota, now_s: float) -> None:
        if now_s < account.pending_handover_until_s:
            account.pool_bucket.tokens += account.pending_handover_tokens
        account.pending_handover_tokens = 0.0

    def _opening_credit_s(
        self, previous_home: NodeId | None, now_s: float
    ) -> float:
        """Returns how many seconds of the rate a new home may grant at once.

        There is a credit only if nobody granted tokens just before: after a
        home has failed, or the whole fleet has started. A home that leaves in
        an orderly way grants tokens until it hands over.
        """
        if previous_home is None:
            rate_was_in_use = not self._membership.started_together(
                _SAME_START_SPAN_S
            )
        else:
            rate_was_in_use = not self._membership.is_gone(previous_home)
        if rate_was_in_use:
            return 0.0
        return min(self._settings.credit_s, now_s - self._last_alone_s)

    def _home_to_ask(self, organisation: OrganisationId) -> NodeId | None:
        """Returns the first node in rendezvous order that is not skipped."""
        home = self._rendezvous_home(organisation)
        if home not in self._skipped_homes_until_s:
            return home
        nodes = (
            self._membership.alive_nodes() - self._skipped_homes_until_s.keys()
        )
        return rendezvous_node(_home_key(organisation), nodes)

    def _rendezvous_home(self, organisation: OrganisationId) -> NodeId | None:
        """Returns the home among the members alive, cached per member view."""
        alive = self._membership.alive_nodes()
        if alive is not self._home_cache_nodes:
            self._home_cache_nodes = alive
            self._home_cache.clear()
        if organisation not in self._home_cache:
            alive = alive - self._former_homes_until_s.keys()
            if self._membership.is_leaving:
                # Another node becomes the home although this one still serves.
                alive = alive - {self._membership.node}
            key = _home_key(organisation)
            self._home_cache[organisation] = rendezvous_node(key, alive)
        return self._home_cache[organisation]

    def _on_ask_timeout(self, account: OrganisationQuota, now_s: float) -> None:
        account.ask_sent_s = None
        account.ask_number = 0
        account.unserved_count += account.ask_unserved_count
        account.home_status = f"home {account.ask_home} did not answer"
        account.home_status_set_s = now_s
        home, account.ask_home = account.ask_home, None
        if home is not None and home != self._membership.node:
            self._counters.increment("quota.silent_homes")
            self._membership.ping_soon(home)
            unanswered = self._unanswered_asks.get(home, 0) + 1
            self._unanswered_asks[home] = unanswered
            if unanswered >= _MAX_UNANSWERED_ASKS:
                del self._unanswered_asks[home]
                self._skipped_homes_until_s[home] = (
                    now_s + self._settings.suspect_s
                )


def _home_key(organisation: OrganisationId) -> str:
    return f"quota {organisation}"

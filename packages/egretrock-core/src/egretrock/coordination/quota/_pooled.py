"""A part of each rate is divided among the nodes, the rest pooled at a home.

The sum over the fleet stays within the rate without any agreement:

* A node uses ``local_ratio`` of a rate divided by the size of the fleet. The
  size counts members that were lost of late, so that both sides of a
  partition together use that part once.
* The home of an organisation hands out the rest. It fills its bucket by the
  share of the known fleet that it reaches, so that two homes on two sides of
  a partition together hand out that part once.
* A home that stops, or finds a better one, hands its tokens over and gives
  out nothing more.
* All buckets start empty in a new process, so a restart loses tokens and
  never makes any.
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
    rendezvous_first,
)
from egretrock.coordination.gossip import Membership
from egretrock.coordination.quota._accounts import (
    Account,
    HomeChange,
)
from egretrock.coordination.quota._messages import (
    TokenAnswer,
    TokenAsk,
    TokenHandOver,
)
from egretrock.coordination.quota._settings import QuotaSettings
from egretrock.state.config import UNLIMITED_PER_S, Organisation
from egretrock.state.ids import NodeId, OrganisationId
from egretrock.state.outcome import Refusal, RefusalCode, RunState

_DEFAULTS = QuotaSettings()
#: Time over which a node measures its own demand.
_DEMAND_WINDOW_S = 1.0
_MAX_ASK = 1000
#: Unanswered asks in turn after which a home counts as silent; a single one
#: may be a lost datagram.
_SILENCES = 2
#: Seconds between two looks at which organisations are at home here.
_POOLS_S = 0.1
#: Difference of the starts of nodes that count as started together.
_START_S = 3.0
#: Seconds for which a node that does not know yet that it is the home keeps
#: the tokens of the home before it.
_HANDED_S = 1.0
#: Seconds for which a home that has handed its tokens over is passed over; by
#: then the members know that it leaves.
_MOVED_S = 1.0
#: Seconds for which a node that says that it is not the home is not asked.
_NOT_HOME_S = 0.25
#: Senders of handed tokens whose last message is remembered.
_MAX_HANDED = 256


class PooledRates(MessageHandler):
    """Admits requests of organisations within their rates.

    Args:
        membership: The members of the fleet.
        organisation_of: Limits of an organisation, or None where it is not
            published.
        now_s: Time of the start.
        settings: How a rate is divided.
        counters: Counters.
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
        self._accounts: dict[OrganisationId, Account] = {}
        self._suspects: dict[NodeId, float] = {}
        self._silences: dict[NodeId, int] = {}
        self._next_number = 0
        self._pools_s = now_s
        # A node that knows no other takes itself for every home.
        self._joined_s = now_s
        self._homes: dict[OrganisationId, NodeId | None] = {}
        self._homes_view: frozenset[NodeId] = frozenset()
        self._last_homes: dict[OrganisationId, NodeId | None] = {}
        self._handed: dict[Peer, int] = {}
        self._left: dict[NodeId, float] = {}
        self._changes: list[HomeChange] = []

    # RatePort.

    def admit(
        self, organisation: OrganisationId, now_s: float, again: bool = False
    ) -> Result[None, Refusal]:
        """Admits one request, or refuses it as over the rate.

        Args:
            organisation: Owner of the key.
            now_s: Time.
            again: Whether the request was refused before and has waited.
        """
        limits = self._organisation_of(organisation)
        if limits is None or limits.rate_per_s >= UNLIMITED_PER_S:
            return Ok(None)
        account = self._account(organisation, now_s)
        if not again:
            self._note_demand(account, now_s)
        self._refill_local(account, limits, now_s)
        if account.granted > 0 and now_s < account.granted_until_s:
            account.granted -= 1
            return Ok(None)
        if account.local.take(1.0):
            return Ok(None)
        if not again:
            account.unserved += 1
        wait_s = max(account.refused_until_s - now_s, 1 / limits.rate_per_s)
        return Error(
            Refusal(
                RefusalCode.OVER_RATE,
                RunState.NOT_RUN,
                f"{organisation!r} has used its rate of"
                f" {limits.rate_per_s:g} a second over all nodes;"
                f" {account.basis} {now_s - account.basis_s:.2f} s ago, and"
                f" {account.local.tokens:.1f} tokens of this node are left",
                max(1, round(wait_s * 1000)),
            )
        )

    def wait_until_s(
        self, organisation: OrganisationId, now_s: float
    ) -> float | None:
        """Returns until when a refused request may wait for the home."""
        account = self._account(organisation, now_s)
        if account.asked_s is not None:
            return account.asked_s + self._settings.ask_s
        wait_s = account.refused_until_s - now_s
        if 0.0 < wait_s <= self._settings.longest_wait_s:
            return account.refused_until_s + self._settings.ask_s
        return None

    def flush(
        self, organisation: OrganisationId, now_s: float
    ) -> list[Outbound]:
        """Asks the home for tokens after a refusal."""
        account = self._account(organisation, now_s)
        if account.asked_s is not None:
            if now_s - account.asked_s < self._settings.ask_s:
                return []
            self._on_silent_home(account, now_s)
        if now_s < account.refused_until_s or not account.unserved:
            return []
        home = self._home(organisation)
        if home is None:
            return []
        ahead = account.demand_per_s * self._settings.ahead_s
        count = min(_MAX_ASK, max(1, account.unserved + int(ahead)))
        self._next_number += 1
        account.asked_s = now_s
        account.asked_number = self._next_number
        account.asked_home = home
        account.asked_count = account.unserved
        account.unserved = 0
        self._counters.increment("quota.asks")
        ask = TokenAsk(organisation, self._next_number, count)
        return [Outbound(home, ask)]

    # Part.

    def set_organisations(
        self, organisations: Iterable[OrganisationId], now_s: float
    ) -> None:
        """Takes the organisations of a new configuration."""
        wanted = set(organisations)
        for organisation in self._accounts.keys() - wanted:
            del self._accounts[organisation]
            self._last_homes.pop(organisation, None)
        for organisation in wanted:
            self._account(organisation, now_s)

    def take_changes(self) -> list[HomeChange]:
        """Returns which homes moved since the last call, for the log."""
        changes, self._changes = self._changes, []
        return changes

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Passes over homes that do not answer, opens and closes own pools."""
        out = []
        if len(self._membership.alive_nodes()) == 1:
            self._joined_s = now_s
        if now_s >= self._pools_s:
            self._pools_s = now_s + _POOLS_S
            out = self._open_pools(now_s)
        for node, until_s in list(self._suspects.items()):
            if now_s >= until_s:
                del self._suspects[node]
        for node, until_s in list(self._left.items()):
            if now_s >= until_s:
                del self._left[node]
                self._homes.clear()
        while len(self._handed) > _MAX_HANDED:
            del self._handed[next(iter(self._handed))]
        for account in self._accounts.values():
            if (
                account.asked_s is not None
                and now_s - account.asked_s >= self._settings.ask_s
            ):
                self._on_silent_home(account, now_s)
        return out

    _handle = singledispatchmethod(ignore_message)

    @_handle.register
    def _(self, body: TokenAsk, sender: Peer, now_s: float) -> list[Outbound]:
        limits = self._organisation_of(body.organisation)
        if limits is None:
            return []
        account = self._account(body.organisation, now_s)
        if self._placed_home(body.organisation) != self._membership.node:
            # The asker took a lost message for a lost home. Tokens of a
            # second home would come on top of those of the first.
            self._counters.increment("quota.not_home")
            answer = TokenAnswer(
                body.organisation, body.number, 0, 0, is_home=False
            )
            # Before the answer, so that the asker finds the next home ready.
            moved = self._open_pools(now_s)
            return [*moved, Outbound(sender.node, answer)]
        if account.pool is None:
            self._open_pool(body.organisation, account, now_s)
        rate_per_s = self._refill_pool(account, limits, now_s)
        count = min(body.count, int(account.pool.tokens))
        wait_s = 0.0
        if count:
            account.pool.take(count)
        else:
            wait_s = (1.0 - account.pool.tokens) / rate_per_s
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
        if account is None or account.asked_number != body.number:
            # Late tokens were deducted for nothing, which is safe.
            self._counters.increment("quota.late_answers")
            return []
        account.asked_s = None
        account.asked_number = 0
        account.unserved += max(0, account.asked_count - body.count)
        account.basis = (
            f"home {sender.node} gave {body.count} of {account.asked_count}"
        )
        account.basis_s = now_s
        self._suspects.pop(sender.node, None)
        self._silences.pop(sender.node, None)
        if not body.is_home:
            # It has just left, or this node lags behind; the next one knows.
            self._suspects[sender.node] = now_s + _NOT_HOME_S
            account.basis = f"{sender.node} is not the home any more"
        elif body.count:
            if now_s >= account.granted_until_s:
                account.granted = 0
            account.granted += body.count
            account.granted_until_s = now_s + self._settings.tokens_s
        else:
            account.refused_until_s = now_s + body.wait_ms / 1000
        return []

    @_handle.register
    def _(
        self, body: TokenHandOver, sender: Peer, now_s: float
    ) -> list[Outbound]:
        account = self._accounts.get(body.organisation)
        if account is None or body.number <= self._handed.get(sender, 0):
            return []
        self._handed[sender] = body.number
        if sender.node == self._placed_home(body.organisation):
            self._left[sender.node] = now_s + _MOVED_S
            self._homes.clear()
        # This node may not know yet that it is the home.
        if now_s >= account.handed_until_s:
            account.handed = 0.0
        account.handed += body.tokens
        account.handed_until_s = now_s + _HANDED_S
        if account.pool is not None:
            self._take_handed(account, now_s)
        return []

    # Parts of it.

    def _account(self, organisation: OrganisationId, now_s: float) -> Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = Account(self._started_s)
        return account

    def _refill_local(
        self, account: Account, limits: Organisation, now_s: float
    ) -> None:
        settings = self._settings
        nodes = self._membership.serving_count()
        if nodes == 1 and len(self._membership.alive_nodes()) == 1:
            nodes = settings.assumed_nodes
        rate_per_s = limits.rate_per_s * settings.local_ratio / nodes
        size = limits.burst * settings.local_ratio + settings.local_slack
        size /= nodes
        account.local.refill(rate_per_s, size, now_s)

    def _note_demand(self, account: Account, now_s: float) -> None:
        passed_s = now_s - account.demand_s
        account.demand_s = now_s
        kept = max(0.0, 1.0 - passed_s / _DEMAND_WINDOW_S)
        account.demand_per_s = account.demand_per_s * kept + (
            1.0 / _DEMAND_WINDOW_S
        )

    def _refill_pool(
        self, account: Account, limits: Organisation, now_s: float
    ) -> float:
        """Fills the pool of a home; returns the rate at which it fills."""
        settings = self._settings
        reach = self._membership.reachable_share(settings.assumed_nodes)
        rate_per_s = limits.rate_per_s * settings.pooled_ratio
        size = limits.burst * settings.pooled_ratio
        size = max(1.0, (size + settings.slack) * reach)
        # The time since the last refill counts with what was reached then.
        since = min(reach, account.pool_reach)
        account.pool_reach = reach
        account.pool.refill(rate_per_s * since, size, now_s)
        return rate_per_s * reach

    def _open_pools(self, now_s: float) -> list[Outbound]:
        """Starts to fill the pools of the organisations at home here.

        A pool that started with the first ask would refuse it. The tokens of
        an organisation that has another home now go there.
        """
        out = []
        for organisation, account in self._accounts.items():
            home = self._placed_home(organisation)
            limits = self._organisation_of(organisation)
            if home == self._membership.node:
                self._open_pool(organisation, account, now_s)
                if limits is not None:
                    self._refill_pool(account, limits, now_s)
            elif account.pool is not None:
                self._changes.append(
                    HomeChange(organisation, home, account.pool.tokens)
                )
                if limits is not None and home is not None:
                    self._refill_pool(account, limits, now_s)
                    self._next_number += 1
                    body = TokenHandOver(
                        organisation, self._next_number, account.pool.tokens
                    )
                    out.append(Outbound(home, body))
                account.pool = None
            self._last_homes[organisation] = home
        return out

    def _open_pool(
        self, organisation: OrganisationId, account: Account, now_s: float
    ) -> None:
        if account.pool is not None:
            return
        before = self._last_homes.get(organisation)
        account.pool = TokenBucket(now_s - self._credit_s(before, now_s))
        account.pool_reach = self._membership.reachable_share(
            self._settings.assumed_nodes
        )
        self._take_handed(account, now_s)
        self._changes.append(
            HomeChange(organisation, self._membership.node, account.pool.tokens)
        )

    @staticmethod
    def _take_handed(account: Account, now_s: float) -> None:
        if now_s < account.handed_until_s:
            account.pool.tokens += account.handed
        account.handed = 0.0

    def _credit_s(self, before: NodeId | None, now_s: float) -> float:
        """Returns the seconds of the rate that a new home hands out at once.

        They are due only where nobody gave anything out just before: after
        a home that was lost, or a start of the whole fleet. A home that
        leaves as planned gives out its rate to the end.
        """
        if before is None:
            lasted = not self._membership.started_together(_START_S)
        else:
            lasted = not self._membership.is_gone(before)
        if lasted:
            return 0.0
        return min(self._settings.credit_s, now_s - self._joined_s)

    def _home(self, organisation: OrganisationId) -> NodeId | None:
        """Returns the home to ask: the first one that is not silent."""
        home = self._placed_home(organisation)
        if home not in self._suspects:
            return home
        nodes = self._membership.alive_nodes() - self._suspects.keys()
        return rendezvous_first(_home_key(organisation), nodes)

    def _placed_home(self, organisation: OrganisationId) -> NodeId | None:
        """Returns the home by the members alive; computed once for a view."""
        alive = self._membership.alive_nodes()
        if alive is not self._homes_view:
            self._homes_view = alive
            self._homes.clear()
        if organisation not in self._homes:
            alive = alive - self._left.keys()
            if self._membership.is_leaving:
                # Its place is taken, although it serves on.
                alive = alive - {self._membership.node}
            key = _home_key(organisation)
            self._homes[organisation] = rendezvous_first(key, alive)
        return self._homes[organisation]

    def _on_silent_home(self, account: Account, now_s: float) -> None:
        account.asked_s = None
        account.asked_number = 0
        account.unserved += account.asked_count
        account.basis = f"home {account.asked_home} did not answer"
        account.basis_s = now_s
        home, account.asked_home = account.asked_home, None
        if home is not None and home != self._membership.node:
            self._counters.increment("quota.silent_homes")
            self._membership.doubt(home)
            silent = self._silences.get(home, 0) + 1
            self._silences[home] = silent
            if silent >= _SILENCES:
                del self._silences[home]
                self._suspects[home] = now_s + self._settings.suspect_s


def _home_key(organisation: OrganisationId) -> str:
    return f"quota {organisation}"

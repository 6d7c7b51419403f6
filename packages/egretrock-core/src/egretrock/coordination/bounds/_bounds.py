"""Bounds on the requests per second that all nodes send to a target.

A target bounds what it takes from all nodes together. The total stays within
the bound without consensus:

* The home of a target, a node chosen by rendezvous hashing, grants tokens at
  the rate of the bound. A node that knows of the bound sends a request only
  with a token.
* Nodes learn of a bound from answers of the target, from the home with each
  answer to an ask, and from its news when the bound begins, changes or ends,
  or when the node joins or returns.
* A new home starts with an empty pool, and a new process has no tokens, so
  restarts lose tokens but never create any.
"""

from collections.abc import Callable, Collection, Iterable
from functools import singledispatchmethod
from typing import Protocol

from egretrock.coordination.base import (
    Counters,
    MessageHandler,
    NullCounters,
    Outbound,
    Peer,
    ignore_message,
    rendezvous_node,
)
from egretrock.coordination.bounds._messages import (
    BoundAnswer,
    BoundAsk,
    BoundNews,
    BoundReport,
)
from egretrock.coordination.bounds._observations import (
    Observation,
    Observations,
)
from egretrock.coordination.bounds._pool import TargetPool
from egretrock.coordination.bounds._reports import (
    BoundChange,
    BoundKind,
    LimitReport,
)
from egretrock.coordination.bounds._settings import BoundSettings
from egretrock.state.ids import NodeId, TargetId

_DEFAULTS = BoundSettings()
#: Seconds between two checks for ends of bounds that can be forgotten.
_CLEAN_UP_INTERVAL_S = 1.0
#: Seconds for which an unlisted target is kept after its last observation.
_UNLISTED_MEMORY_S = 30.0
#: Time without a tick after which messages may have waited for the process:
#: it was frozen.
_FREEZE_S = 0.5
#: Time after a freeze in which messages from before its end are read.
_BACKLOG_S = 0.2
#: Most tokens in one ask.
_MAX_ASK_TOKENS = 100


class FleetMembers(Protocol):
    """The methods of ``Membership`` that decide on homes."""

    node: NodeId

    @property
    def is_leaving(self) -> bool:
        """Whether this node stops."""
        ...

    def alive_nodes(self) -> frozenset[NodeId]:
        """Returns the members alive, this node included."""
        ...

    def reachable_share(self, assumed_nodes: int = 1) -> float:
        """Returns the share of the known fleet that this node reaches."""
        ...


class _BoundedTarget:
    """State of one node for a target that has, or recently had, a bound.

    Attributes:
        observations: What is known of the bounds.
        tokens: Granted tokens, valid until ``tokens_until_s``.
        wanted_count: Requests without a token that no ask has covered.
        ask_number: Number of the pending ask, or 0 without one.
        ask_sent_s: When it was sent.
        next_ask_s: Time before which the home is not asked.
        pool: Pool of the target while this node is its home.
        announced_per_s: Named limit that this node announced last.
        next_news_s: Time before which no change is announced.
    """

    def __init__(self, now_s: float) -> None:
        self.observations = Observations()
        self.tokens = 0
        self.tokens_until_s = now_s
        self.wanted_count = 0
        self.ask_number = 0
        self.ask_sent_s = now_s
        self.next_ask_s = now_s
        self.pool: TargetPool | None = None
        self.announced_per_s: float | None = None
        self.next_news_s = now_s

    def named_per_s(self) -> float | None:
        """Returns the limit that the target names, or None."""
        return self.observations.rate_of(BoundKind.NAMED_LIMIT)


class TargetBounds(MessageHandler):
    """Keeps what this node sends to a target within the target's bounds.

    Args:
        members: Members of the fleet.
        settings: Settings.
        counters: Metrics.
        on_messages_due: Called when there are new messages to send, while the
            state is being updated; must not send them before it returns.
    """

    def __init__(
        self,
        members: FleetMembers,
        settings: BoundSettings = _DEFAULTS,
        counters: Counters | None = None,
        on_messages_due: Callable[[], None] = lambda: None,
    ) -> None:
        self._members = members
        self._settings = settings
        self._counters = counters or NullCounters()
        self._on_messages_due = on_messages_due
        self._targets: dict[TargetId, _BoundedTarget] = {}
        self._changes: list[BoundChange] = []
        self._outbox: list[Outbound] = []
        self._last_number = 0
        self._next_clean_up_s = 0.0
        self._last_tick_s: float | None = None
        self._freeze_s = 0.0
        self._backlog_until_s = float("-inf")
        self._informed_nodes = members.alive_nodes()
        self._homes: dict[TargetId, NodeId | None] = {}
        self._homes_for: tuple[frozenset[NodeId], bool] | None = None

    # Methods for the choice of a target.

    def may_send(self, target: TargetId, now_s: float) -> bool:
        """Returns whether a request may be sent to a target now."""
        entry = self._targets.get(target)
        if entry is None or entry.observations.rate_per_s() is None:
            return True
        return entry.tokens > 0 and now_s < entry.tokens_until_s

    def is_exhausted(self, target: TargetId, now_s: float) -> bool:
        """Returns whether no request can be sent to a target for a while."""
        if self.may_send(target, now_s):
            return False
        return now_s < self._targets[target].next_ask_s

    def want(self, target: TargetId, now_s: float) -> None:
        """Asks the home for a request that would be sent to a target."""
        entry = self._targets[target]
        entry.wanted_count += 1
        if entry.ask_number:
            if now_s - entry.ask_sent_s < self._settings.ask_timeout_s:
                return
            self._on_ask_timeout(entry, now_s)
        home = self._home_of(target)
        if home is None or now_s < entry.next_ask_s:
            return
        self._last_number += 1
        entry.ask_number, entry.ask_sent_s = self._last_number, now_s
        count = min(entry.wanted_count, _MAX_ASK_TOKENS)
        entry.wanted_count = 0
        self._counters.increment("bounds.asks")
        reports = entry.observations.reports(now_s)
        self._post(home, BoundAsk(target, self._last_number, count, reports))

    def on_send(self, target: TargetId, now_s: float) -> None:
        """Takes the token of a request that is sent to a target.

        The token is spent even if the request is not sent after all: one that
        was chosen before the limit was known has taken none to return.
        """
        entry = self._targets.get(target)
        if entry is None or entry.observations.rate_per_s() is None:
            return
        self._counters.increment("bounds.sent")
        if now_s < entry.tokens_until_s:
            entry.tokens = max(0, entry.tokens - 1)

    def on_report(
        self, target: TargetId, report: LimitReport, now_s: float
    ) -> None:
        """Records the limit in an answer of a target."""
        kind, rate_per_s = BoundKind.NAMED_LIMIT, report.rate_per_s
        if rate_per_s is not None:
            rate_per_s = max(rate_per_s, self._settings.min_rate_per_s)
        else:
            entry = self._targets.get(target)
            if entry is None or (
                entry.observations.rate_of(kind) is not None
                and now_s - entry.observations.newest_s(kind)
                < self._settings.lift_delay_s
            ):
                return
        self._merge(target, kind, Observation(rate_per_s, now_s))
        if target in self._targets:
            self._announce(target, now_s)

    def on_warm_up(
        self, target: TargetId, rate_per_s: float | None, now_s: float
    ) -> None:
        """Records whether a target is cold, as it reported itself.

        It is not announced: nodes ask a target whether it is cold before they
        send a request.

        Args:
            target: Target.
            rate_per_s: Requests per second that it takes while it is cold, or
                None if it is warm.
            now_s: Time of its report.
        """
        if rate_per_s is not None:
            rate_per_s *= self._settings.warm_up_ratio
        observation = Observation(rate_per_s, now_s)
        self._merge(target, BoundKind.WARM_UP, observation)

    # Methods of the protocol ``Part``, messages and changes.

    @property
    def bounded_count(self) -> int:
        """Number of targets with a bound."""
        return sum(
            entry.observations.rate_per_s() is not None
            for entry in self._targets.values()
        )

    def retain(self, targets: Collection[TargetId], now_s: float) -> None:
        """Removes targets that are unlisted and were not observed lately.

        A listed target may be missing for a while after an outage.
        """
        for target in self._targets.keys() - targets:
            observations = self._targets[target].observations
            if observations.is_older_than(_UNLISTED_MEMORY_S, now_s):
                del self._targets[target]

    def take_changes(self) -> list[BoundChange]:
        """Returns the changes since the last call, for the log."""
        changes, self._changes = self._changes, []
        return changes

    def take_messages(self) -> list[Outbound]:
        """Returns the messages to send since the last call."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Announces delayed changes and removes what has ended."""
        idle_s = self._idle_s(now_s)
        if idle_s > _FREEZE_S:
            self._freeze_s, self._backlog_until_s = idle_s, now_s + _BACKLOG_S
        self._last_tick_s = now_s
        self._inform_joined(now_s)
        is_clean_up_due = now_s >= self._next_clean_up_s
        if is_clean_up_due:
            self._next_clean_up_s = now_s + _CLEAN_UP_INTERVAL_S
        for target, entry in list(self._targets.items()):
            self._announce(target, now_s)
            if is_clean_up_due and entry.observations.forget_ended(now_s):
                del self._targets[target]
            elif entry.pool and self._home_of(target) != self._members.node:
                entry.pool = None
        return self.take_messages()

    _handle = singledispatchmethod(ignore_message)

    @_handle.register
    def _(self, body: BoundAsk, sender: Peer, now_s: float) -> list[Outbound]:
        self._merge_reports(body.target, body.reports, now_s)
        entry = self._targets.get(body.target)
        if entry is None:
            return []
        self._announce(body.target, now_s)
        count, wait_s = self._grant(body, entry, now_s)
        answer = BoundAnswer(
            body.target,
            body.number,
            count,
            round(wait_s * 1000),
            entry.observations.reports(now_s),
        )
        return [*self.take_messages(), Outbound(sender.node, answer)]

    @_handle.register
    def _(
        self, body: BoundAnswer, sender: Peer, now_s: float
    ) -> list[Outbound]:
        self._merge_reports(body.target, body.reports, now_s)
        entry = self._targets.get(body.target)
        if entry is None or entry.ask_number != body.number:
            # Tokens of a late answer are lost, which is safe: the home has
            # already deducted them.
            self._counters.increment("bounds.late_answers")
            return []
        entry.ask_number = 0
        if body.count:
            if now_s >= entry.tokens_until_s:
                entry.tokens = 0
            entry.tokens += body.count
            # Counted from the ask, as the home deducted them after it.
            entry.tokens_until_s = (
                entry.ask_sent_s + self._settings.token_lifetime_s
            )
        entry.next_ask_s = now_s + body.wait_ms / 1000
        return []

    @_handle.register
    def _(self, body: BoundNews, sender: Peer, now_s: float) -> list[Outbound]:
        self._merge_reports(body.target, body.reports, now_s)
        if body.target in self._targets:
            if self._home_of(body.target) == self._members.node:
                self._announce(body.target, now_s)
            else:
                entry = self._targets[body.target]
                entry.announced_per_s = entry.named_per_s()
        return self.take_messages()

    # Helpers.

    def _grant(
        self, body: BoundAsk, entry: _BoundedTarget, now_s: float
    ) -> tuple[int, float]:
        """Returns the tokens for an ask, and when the asker may ask again."""
        rate_per_s = entry.observations.rate_per_s()
        if rate_per_s is None:
            return 0, 0.0
        members, settings = self._members, self._settings
        if self._home_of(body.target) != members.node:
            # The sender's view of the members differs from this node's.
            # Tokens granted here would add to those of the actual home.
            self._counters.increment("bounds.not_home")
            return 0, settings.silence_s
        share = members.reachable_share(settings.assumed_nodes)
        if entry.pool is None:
            entry.pool = TargetPool(share, settings, now_s)
        granted = entry.pool.take(body.count, rate_per_s, share, now_s)
        if not granted[0]:
            self._counters.increment("bounds.home_empty")
        return granted

    def _merge_reports(
        self, target: TargetId, reports: Iterable[BoundReport], now_s: float
    ) -> None:
        waited_s = self._longest_message_wait_s(now_s)
        for report in reports:
            observed_s = now_s - waited_s - max(0, report.age_ms) / 1000
            rate_per_s = report.rate_per_s
            if rate_per_s is not None:
                rate_per_s = max(rate_per_s, self._settings.min_rate_per_s)
            self._merge(
                target, report.kind, Observation(rate_per_s, observed_s)
            )

    def _longest_message_wait_s(self, now_s: float) -> float:
        """Returns for how long a message may have waited to be read.

        It is 0 but after a freeze, whose backlog would otherwise be taken for
        the newest observations.
        """
        idle_s = self._idle_s(now_s)
        if idle_s > _FREEZE_S:
            return idle_s
        return self._freeze_s if now_s < self._backlog_until_s else 0.0

    def _idle_s(self, now_s: float) -> float:
        """Returns the time since the last tick, 0 before the first one."""
        return now_s - (
            now_s if self._last_tick_s is None else self._last_tick_s
        )

    def _merge(
        self, target: TargetId, kind: BoundKind, observation: Observation
    ) -> None:
        entry = self._targets.get(target)
        if entry is None:
            if observation.rate_per_s is None:
                return
            entry = _BoundedTarget(observation.observed_s)
            self._targets[target] = entry
        old_per_s = entry.observations.rate_of(kind)
        if not entry.observations.merge(kind, observation):
            return
        new_per_s = observation.rate_per_s
        if self._is_changed(old_per_s, new_per_s):
            self._changes.append(BoundChange(target, kind, new_per_s))

    def _is_changed(
        self, old_per_s: float | None, new_per_s: float | None
    ) -> bool:
        """Returns whether a rate differs enough to be told to others."""
        if old_per_s is None or new_per_s is None:
            return old_per_s is not new_per_s
        difference_per_s = abs(new_per_s - old_per_s)
        return difference_per_s > self._settings.changed_ratio * old_per_s

    def _announce(self, target: TargetId, now_s: float) -> None:
        """Sends a changed limit to the home, or as the home to all nodes."""
        entry = self._targets[target]
        rate_per_s = entry.named_per_s()
        if now_s < entry.next_news_s or not self._is_changed(
            entry.announced_per_s, rate_per_s
        ):
            return
        entry.announced_per_s = rate_per_s
        entry.next_news_s = now_s + self._settings.news_interval_s
        node, home = self._members.node, self._home_of(target)
        receivers = [home] if home is not None else []
        if home == node:
            receivers = sorted(self._members.alive_nodes() - {node})
        self._counters.increment("bounds.announced")
        news = BoundNews(target, entry.observations.reports(now_s))
        for receiver in receivers:
            self._post(receiver, news)

    def _inform_joined(self, now_s: float) -> None:
        """As the home, sends the limits to nodes that joined or returned."""
        alive_nodes = self._members.alive_nodes()
        if alive_nodes is self._informed_nodes:
            return
        joined = sorted(alive_nodes - self._informed_nodes)
        self._informed_nodes = alive_nodes
        for target, entry in self._targets.items():
            if entry.named_per_s() is None:
                continue
            if self._home_of(target) == self._members.node:
                news = BoundNews(target, entry.observations.reports(now_s))
                for node in joined:
                    self._post(node, news)

    def _on_ask_timeout(self, entry: _BoundedTarget, now_s: float) -> None:
        entry.ask_number = 0
        entry.next_ask_s = now_s + self._settings.silence_s
        self._counters.increment("bounds.silent_homes")

    def _home_of(self, target: TargetId) -> NodeId | None:
        """Returns the home, or None if no node can be it.

        Homes are kept until the members change; hashing all members takes
        long in a large fleet.
        """
        nodes, is_leaving = (
            self._members.alive_nodes(),
            self._members.is_leaving,
        )
        known_for = self._homes_for
        if (
            known_for is None
            or known_for[0] is not nodes
            or known_for[1] != is_leaving
        ):
            self._homes_for = (nodes, is_leaving)
            self._homes.clear()
        if target not in self._homes:
            if is_leaving:
                # Another node becomes the home although this one still serves.
                nodes = nodes - {self._members.node}
            self._homes[target] = rendezvous_node(f"bound {target}", nodes)
        return self._homes[target]

    def _post(self, receiver: NodeId, body: BoundAsk | BoundNews) -> None:
        self._outbox.append(Outbound(receiver, body))
        self._on_messages_due()


class Unbounded:
    """Stands in for ``TargetBounds`` where targets have no bounds."""

    def may_send(self, target: TargetId, now_s: float) -> bool:
        """Returns True."""
        del target, now_s
        return True

    def is_exhausted(self, target: TargetId, now_s: float) -> bool:
        """Returns False."""
        del target, now_s
        return False

    def want(self, target: TargetId, now_s: float) -> None:
        """Does nothing."""

    def on_send(self, target: TargetId, now_s: float) -> None:
        """Does nothing."""

    def on_report(
        self, target: TargetId, report: LimitReport, now_s: float
    ) -> None:
        """Does nothing."""

    def on_warm_up(
        self, target: TargetId, rate_per_s: float | None, now_s: float
    ) -> None:
        """Does nothing."""

"""The home of a service: permits, states of targets, and probes."""

import functools
import random
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from egretrock.coordination.base import (
    Counters,
    MessageHandler,
    NullCounters,
    Outbound,
    Peer,
    ignore_message,
    partition_of,
)
from egretrock.coordination.targets._fleet import FleetView
from egretrock.coordination.targets._ledger import IssuedPermit, Ledger
from egretrock.coordination.targets._messages import (
    MAX_LIST_BYTES,
    PERMIT_VALIDITY_S,
    STANDING_VALIDITY_S,
    Ask,
    AttemptOutcome,
    Census,
    Grant,
    GrantedPermit,
    Inventory,
    NotHome,
    Report,
    Summary,
    SummaryEntry,
    Trust,
    chunks,
    first_chunk,
)
from egretrock.coordination.targets._probes import (
    REQUEST_VALIDITY_S,
    ProbeBudget,
    ProbeKind,
    ProbeRequest,
    ProbeResult,
    most_urgent,
)
from egretrock.coordination.targets._record import RETURN_RAMP_S, TargetRecord
from egretrock.state.config import Profile, PublishedConfig, usable_target
from egretrock.state.ids import (
    DataCentreId,
    Incarnation,
    InstanceId,
    NodeId,
    ServiceId,
    TargetId,
)
from egretrock.state.membership import VmList

#: Factor by which the clock rates of two machines may differ.
CLOCK_RATE_FACTOR = 1.01
#: Maximum age of demand for which permits are issued: after this too little of
#: the validity of a permit would be left.
MAX_DEMAND_AGE_S = 0.15
#: Time after which a grant that an ask does not confirm is sent again; longer
#: than the round trip between data centres (3 ms).
GRANT_RESEND_S = 0.012
#: Interval of the inventory requests to nodes without a session.
CENSUS_INTERVAL_S = 0.2
#: Interval of the queries for an expired permit without a confirmation.
UNCONFIRMED_QUERY_INTERVAL_S = 0.1
#: Interval of the queries for a permit that its node confirmed.
CONFIRMED_QUERY_INTERVAL_S = 1.5
#: A node that is not alive and has sent no ask for this time loses its permits
#: for warm targets.
SILENCE_TIMEOUT_S = 3.0
#: Fraction of the sum of the targets' ceilings up to which standing permits are
#: issued.
STANDING_SHARE = 0.5
#: A node that could not connect to a target gets no permit for it for this
#: time, since the fault may be between the two.
TARGET_BLOCK_S = 1.0
#: Maximum number of sessions of nodes that are not on the VM list, such as new
#: nodes.
MAX_UNLISTED_SESSIONS = 32
#: Maximum number of parts of one inventory.
MAX_INVENTORY_PARTS = 64
#: Maximum number of permit numbers that one message queries.
MAX_QUERIED_PERMITS = 40

#: Returns the last summary of a service that this node got as a client.
InheritedSummary = Callable[[ServiceId, float], dict[TargetId, SummaryEntry]]


class _NodeSession:
    """Permits and demand of one client process."""

    def __init__(
        self, incarnation: Incarnation, number: int, now_s: float
    ) -> None:
        self.incarnation = incarnation
        self.number = number
        self.seq = 0
        self.demand = 0
        self.issued_count = 0  # also the number of the last permit
        self.avoid: frozenset[TargetId] = frozenset()
        self.avoiding_count = 0
        self.last_ask_s = now_s
        self.last_heard_s = now_s
        self.permits: dict[int, IssuedPermit] = {}
        self.connected: dict[TargetId, InstanceId] = {}
        self.blocked: dict[TargetId, float] = {}

    def standing_count(self) -> int:
        return sum(permit.standing for permit in self.permits.values())

    def unmet_demand(self, now_s: float) -> int:
        if now_s - self.last_ask_s > MAX_DEMAND_AGE_S:
            return 0
        return max(0, self.demand - self.issued_count)


def _granted_permit(permit: IssuedPermit) -> GrantedPermit:
    return GrantedPermit(
        permit.number,
        permit.target,
        permit.ask_seq,
        permit.instance,
        permit.new_connection,
        permit.standing,
    )


class _FreeTarget:
    """A target below its limit, while permits are issued."""

    def __init__(
        self,
        target: TargetId,
        record: TargetRecord,
        outstanding: int,
        limit: int,
    ) -> None:
        self.target = target
        self.record = record
        self.outstanding = outstanding
        self.limit = limit


class _UnreturnedPermit(msgspec.Struct, frozen=True):
    """A permit whose session ended; its request may still run.

    Attributes:
        permit: The permit.
        holder: Process that held it.
        until_s: Time until which the permit counts as outstanding.
    """

    permit: IssuedPermit
    holder: Peer
    until_s: float


class _PartialInventory:
    """Collects the parts of an inventory."""

    def __init__(self, peer: Peer, body: Inventory) -> None:
        self.key = (peer.incarnation, body.session)
        self.parts: dict[int, Inventory] = {}

    def add(self, body: Inventory) -> list[Inventory] | None:
        self.parts[body.part] = body
        if len(self.parts) < body.parts:
            return None
        return list(self.parts.values())


class ServiceHome:
    """State of one service while this node holds its partition."""

    def __init__(
        self,
        service: ServiceId,
        epoch: int,
        rng: random.Random,
        counters: Counters,
        now_s: float,
    ) -> None:
        self.service = service
        self.epoch = epoch
        self.takeover_s = now_s
        self.version = 1
        self.records: dict[TargetId, TargetRecord] = {}
        self.sessions: dict[NodeId, _NodeSession] = {}
        self.ledger = Ledger()
        self.probe_budget = ProbeBudget(now_s)
        self.census_complete = False
        self._rng = rng
        self._counters = counters
        self._last_sessions: dict[NodeId, tuple[Incarnation, int]] = {}
        self._partial_inventories: dict[NodeId, _PartialInventory] = {}
        self._unreturned: list[_UnreturnedPermit] = []
        self._config: PublishedConfig | None = None
        self._profile = Profile()
        self._vms: VmList | None = None
        self._vm_count = 1
        self._data_centres: dict[NodeId, DataCentreId] = {}
        self._last_census_s = float("-inf")
        self._announced_state: list[tuple[Trust, InstanceId | None]] = []
        #: Nodes with unmet demand, the least recently served first.
        self._waiting_nodes: dict[NodeId, None] = {}

    # Configuration and periodic work.

    def apply_config(
        self,
        config: PublishedConfig,
        inherited_summary: InheritedSummary,
        now_s: float,
    ) -> None:
        """Applies a new configuration to the records."""
        if config is self._config:
            return
        inherited_entries = {}
        if self._config is None:
            inherited_entries = inherited_summary(self.service, now_s)
        self._config = config
        entry = config.services[self.service]
        self._profile = config.profiles[entry.profile]
        for target in self.records.keys() - entry.targets.keys():
            del self.records[target]
        for target, published in entry.targets.items():
            record = self.records.get(target)
            if record is None or (
                (record.published.address, record.published.data_centre)
                != (published.address, published.data_centre)
            ):
                record = TargetRecord(published, self._profile, now_s)
                self.records[target] = record
                inherited_entry = inherited_entries.get(target)
                if (
                    inherited_entry
                    and inherited_entry.trust is Trust.WARM
                    and inherited_entry.instance
                ):
                    record.inherit(inherited_entry.instance, now_s)
            record.published = published
            record.profile = self._profile
            eligible = usable_target(config, self.service, target) is not None
            if eligible and not record.eligible:
                record.restart_ramp(now_s, RETURN_RAMP_S)
            record.eligible = eligible

    def apply_vm_list(self, vms: VmList, now_s: float) -> None:
        """Applies the VM list and checks whether the census is complete.

        That is when all listed nodes have sent their inventory, or when the
        permits of the previous home and their requests have expired.
        """
        if vms is not self._vms:
            self._vms = vms
            self._data_centres = {
                node: vm.data_centre for node, vm in vms.vms.items()
            }
            self._vm_count = max(1, len(vms.vms))
            self._partial_inventories = {
                node: partial
                for node, partial in self._partial_inventories.items()
                if node in vms.vms
            }
            self._last_sessions = {
                node: last
                for node, last in self._last_sessions.items()
                if node in vms.vms or node in self.sessions
            }
        if not self.census_complete:
            max_census_s = (
                PERMIT_VALIDITY_S * CLOCK_RATE_FACTOR + self._deadline_s
            )
            self.census_complete = (
                self._data_centres.keys() <= self.sessions.keys()
                or now_s >= self.takeover_s + max_census_s
            )

    def tick(self, alive: frozenset[NodeId], now_s: float) -> list[Outbound]:
        """Runs the periodic work."""
        for node in list(self.sessions):
            self._check_silence(node, node in alive, now_s)
        self._expire_unreturned(now_s)
        out = self._request_inventories(now_s)
        for node, session in self.sessions.items():
            out += self._query(node, session, now_s)
        out += self.issue_permits(now_s)
        state = [(r.trust, r.instance) for r in self.records.values()]
        if state != self._announced_state:
            self._announced_state = state
            self.version += 1
            for node in self.sessions:
                out += self.summary(node)
        return out

    # Messages.

    def on_inventory(
        self, sender: Peer, body: Inventory, now_s: float
    ) -> list[Outbound]:
        """Starts a session once all parts have arrived."""
        node = sender.node
        if not 0 <= body.part < body.parts <= MAX_INVENTORY_PARTS:
            self._counters.increment("targets.home.bad_inventories")
            return []
        if node not in self._data_centres:
            known_nodes = (
                self.sessions.keys() | self._partial_inventories.keys()
            )
            unlisted = known_nodes - self._data_centres.keys() - {node}
            if len(unlisted) >= MAX_UNLISTED_SESSIONS:
                return []
        session = self.sessions.get(node)
        key = sender.incarnation, body.session
        if session is None or key != (session.incarnation, session.number):
            incarnation, last = self._last_sessions.get(node, (None, 0))
            if incarnation == sender.incarnation and body.session <= last:
                # A delayed or repeated inventory is out of date.
                return [Outbound(node, Census(self.service, self.epoch, last))]
            partial = self._partial_inventories.get(node)
            if partial is None or partial.key != key:
                partial = _PartialInventory(sender, body)
                self._partial_inventories[node] = partial
            parts = partial.add(body)
            if parts is None:
                return []
            del self._partial_inventories[node]
            self._start_session(sender, body.session, parts, now_s)
        return [self._make_grant(node, ack=0), *self.summary(node)]

    def on_ask(self, sender: Peer, body: Ask, now_s: float) -> list[Outbound]:
        """Processes reports and demand, and issues permits."""
        node = sender.node
        session = self.sessions.get(node)
        if (
            session is None
            or session.incarnation != sender.incarnation
            or session.number != body.session
            or body.epoch != self.epoch
        ):
            _, last = self._last_sessions.get(node, (None, 0))
            census = Census(self.service, self.epoch, last)
            return [Outbound(node, census)]
        session.last_heard_s = now_s
        for report in body.reports:
            self._process_report(node, session, report, now_s)
        for target in body.lost:
            session.connected.pop(target, None)
        resent: list[GrantedPermit] = []
        renewed: list[int] = []
        if body.seq > session.seq:
            session.seq = body.seq
            session.demand = body.demand
            session.avoid = frozenset(body.avoid)
            session.avoiding_count = body.strict
            session.last_ask_s = now_s
            self._update_waiting(node)
            resent = self._confirm(session, body, now_s)
            renewed = self._renew(session, body, now_s)
        granted = self._issue(now_s)
        sender_permits = resent + granted.pop(node, [])
        out = self._make_grants(
            node, sender_permits, ack=body.seq, renewed=renewed
        )
        for other, permits in granted.items():
            out += self._make_grants(other, permits)
        if body.summary != self.version:
            out += self.summary(node)
        return out

    def on_probe(self, result: ProbeResult, now_s: float) -> None:
        """Processes the result of a probe."""
        request, health = result.request, result.health
        record = self.records.get(request.target)
        if record is None or record.published.address != request.address:
            return
        if result.refused:
            record.on_connect_failed(now_s)
        if health is None:
            return
        if request.kind is ProbeKind.HEALTH:
            record.on_health(health, request.sent_s, now_s)
        elif record.on_instance(health.instance, request.sent_s, now_s):
            outstanding = self.ledger.outstanding(
                request.target, record.instance
            )
            record.on_load(health, max(outstanding, request.outstanding), now_s)

    def next_probe(self, now_s: float) -> ProbeRequest | None:
        """Returns a probe if the budget allows one now."""
        probe = self._profile.probe
        if not self.probe_budget.take(probe.budget_per_s, now_s):
            return None
        candidates = {t: r for t, r in self.records.items() if r.eligible}
        target = most_urgent(candidates, now_s)
        if target is None:
            return None
        record = candidates[target]
        record.probe_count += 1
        record.last_probe_s = now_s
        # A warm target reports its health with each answer, so three of
        # four of its probes request its load.
        requests_load = record.trust is Trust.WARM and record.probe_count % 4
        return ProbeRequest(
            service=self.service,
            target=target,
            address=record.published.address,
            kind=ProbeKind.LOAD if requests_load else ProbeKind.HEALTH,
            timeout_s=probe.timeout_ms / 1000,
            sent_s=now_s,
            expires_s=now_s + REQUEST_VALIDITY_S,
            epoch=self.epoch,
            outstanding=self.ledger.outstanding(target, record.instance),
        )

    def issue_permits(self, now_s: float) -> list[Outbound]:
        """Issues permits for unmet demand."""
        out = []
        for node, permits in self._issue(now_s).items():
            out += self._make_grants(node, permits)
        return out

    def summary(self, node: NodeId) -> list[Outbound]:
        """Returns the messages of the summary for one node."""
        entries = [
            SummaryEntry(target, record.trust, record.instance)
            for target, record in self.records.items()
        ]
        parts = list(chunks(entries, MAX_LIST_BYTES)) or [[]]
        return [
            Outbound(
                node,
                Summary(
                    self.service,
                    self.epoch,
                    self.version,
                    part,
                    len(parts),
                    part_entries,
                ),
            )
            for part, part_entries in enumerate(parts)
        ]

    # Sessions.

    @property
    def _deadline_s(self) -> float:
        return self._profile.deadline_ms / 1000

    def _start_session(
        self,
        sender: Peer,
        number: int,
        parts: list[Inventory],
        now_s: float,
    ) -> None:
        node = sender.node
        self._drop_session(node, now_s, sender.incarnation)
        session = _NodeSession(sender.incarnation, number, now_s)
        self.sessions[node] = session
        self._last_sessions[node] = (sender.incarnation, number)
        for part in parts:
            for held in part.held:
                permit = IssuedPermit(
                    number=held.number,
                    target=held.target,
                    instance=held.instance,
                    new_connection=held.new_connection,
                    issued_s=now_s,
                    queried_s=now_s,
                    confirmed=True,
                )
                session.permits[held.number] = permit
                session.issued_count = max(session.issued_count, held.number)
                self.ledger.add(permit)
            for target, instance in part.connected:
                session.connected[target] = instance
                record = self.records.get(target)
                if record is None:
                    continue
                if self.census_complete:
                    record.on_instance(instance, float("-inf"), now_s)
                else:
                    record.on_inventory_instance(instance, now_s)

    def _drop_session(
        self, node: NodeId, now_s: float, successor: Incarnation | None
    ) -> None:
        """Ends a session.

        Permits for targets that are not warm stay counted until their requests
        have ended: these may still run after the process or its VM is gone. If
        the successor is the same process, its inventory replaces them.
        """
        session = self.sessions.pop(node, None)
        if session is not None:
            self._waiting_nodes.pop(node, None)
            for permit in session.permits.values():
                record = self.records.get(permit.target)
                until_s = now_s
                if record is None or record.trust is not Trust.WARM:
                    until_s = (
                        max(permit.issued_s, session.last_heard_s)
                        + PERMIT_VALIDITY_S * CLOCK_RATE_FACTOR
                        + self._deadline_s
                    )
                holder = Peer(node, session.incarnation)
                unreturned = _UnreturnedPermit(permit, holder, until_s)
                self._unreturned.append(unreturned)
        self._remove_unreturned(
            lambda entry: (
                (entry.holder.node, entry.holder.incarnation)
                == (node, successor)
            )
        )

    def _expire_unreturned(self, now_s: float) -> None:
        self._remove_unreturned(lambda entry: entry.until_s <= now_s)

    def _remove_unreturned(
        self, has_ended: Callable[[_UnreturnedPermit], bool]
    ) -> None:
        kept = []
        for entry in self._unreturned:
            if has_ended(entry):
                self.ledger.remove(entry.permit)
            else:
                kept.append(entry)
        self._unreturned = kept

    def _check_silence(self, node: NodeId, alive: bool, now_s: float) -> None:
        session = self.sessions[node]
        silent_s = now_s - session.last_heard_s
        listed = node in self._data_centres
        if silent_s <= SILENCE_TIMEOUT_S or not session.permits:
            if not listed and silent_s > SILENCE_TIMEOUT_S:
                self._drop_session(node, now_s, None)
            return
        if not alive or silent_s > SILENCE_TIMEOUT_S + self._deadline_s:
            self._counters.increment("targets.home.silent_nodes")
            self._drop_session(node, now_s, None)

    def _request_inventories(self, now_s: float) -> list[Outbound]:
        if now_s - self._last_census_s < CENSUS_INTERVAL_S:
            return []
        self._last_census_s = now_s
        return [
            Outbound(node, Census(self.service, self.epoch))
            for node in self._data_centres
            if node not in self.sessions
        ]

    def _query(
        self, node: NodeId, session: _NodeSession, now_s: float
    ) -> list[Outbound]:
        """Queries permits whose grant or report may be lost."""
        permit_numbers = []
        for permit in session.permits.values():
            if permit.confirmed:
                due_s = permit.queried_s + CONFIRMED_QUERY_INTERVAL_S
            else:
                valid_s = (
                    STANDING_VALIDITY_S
                    if permit.standing
                    else PERMIT_VALIDITY_S
                )
                due_s = max(
                    permit.issued_s + valid_s * CLOCK_RATE_FACTOR,
                    permit.queried_s + UNCONFIRMED_QUERY_INTERVAL_S,
                )
            if now_s >= due_s:
                permit.queried_s = now_s
                permit_numbers.append(permit.number)
        self._counters.increment("targets.home.queries", len(permit_numbers))
        return [
            self._make_grant(
                node, query=permit_numbers[start : start + MAX_QUERIED_PERMITS]
            )
            for start in range(0, len(permit_numbers), MAX_QUERIED_PERMITS)
        ]

    # Reports.

    def _process_report(
        self,
        node: NodeId,
        session: _NodeSession,
        report: Report,
        now_s: float,
    ) -> None:
        permit = session.permits.get(report.number)
        if permit is None:
            return  # a repeated report
        if report.released:
            del session.permits[report.number]
            self.ledger.remove(permit)
        outcome = report.outcome
        if outcome is AttemptOutcome.UNUSABLE:
            session.blocked[permit.target] = now_s + TARGET_BLOCK_S
        if outcome in (AttemptOutcome.UNUSED, AttemptOutcome.UNUSABLE):
            return
        record = self.records.get(permit.target)
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.CONNECT_FAILED):
            session.connected.pop(permit.target, None)
        if record is None:
            return
        instance = report.instance or permit.instance
        answered = outcome in (
            AttemptOutcome.OK,
            AttemptOutcome.ERROR,
            AttemptOutcome.SHED,
        )
        if answered and instance is not None:
            session.connected[permit.target] = instance
            record.on_answer(node, now_s)
            if not record.on_instance(instance, permit.issued_s, now_s):
                return
        elif instance is not None and instance != record.instance:
            return  # a failure of an instance that has been replaced
        if outcome is AttemptOutcome.CONNECT_FAILED:
            session.blocked[permit.target] = now_s + TARGET_BLOCK_S
        latency_s = report.latency_ms / 1000
        if outcome is AttemptOutcome.OK:
            if not record.is_failing():
                record.trials_only = False
            if not permit.standing:
                record.on_permit_returned(now_s - permit.issued_s, latency_s)
        record.on_result(
            outcome,
            latency_s,
            permit.issued_s,
            now_s,
            reached_by_others=record.was_reached_by_others(node, now_s),
        )
        if report.condition is not None:
            record.on_condition(report.condition, now_s)
        if record.is_failing():
            failing_count = sum(r.is_failing() for r in self.records.values())
            if failing_count * 2 < len(self.records):
                record.limit_to_trials()

    def _confirm(
        self, session: _NodeSession, body: Ask, now_s: float
    ) -> list[GrantedPermit]:
        """Marks the confirmed permits and returns those to send again."""
        beyond = frozenset(body.beyond)
        resent = []
        for permit in session.permits.values():
            if permit.confirmed:
                continue
            if permit.number <= body.through or permit.number in beyond:
                permit.confirmed = True
            elif now_s - permit.sent_s >= GRANT_RESEND_S and (
                now_s - permit.issued_s < MAX_DEMAND_AGE_S
            ):
                permit.sent_s = now_s
                resent.append(_granted_permit(permit))
        self._counters.increment("targets.home.resent", len(resent))
        return resent

    def _renew(
        self, session: _NodeSession, body: Ask, now_s: float
    ) -> list[int]:
        renewed = []
        for number, busy_fraction in body.renew:
            permit = session.permits.get(number)
            if permit is None or not permit.standing:
                continue
            self.ledger.set_busy_fraction(
                permit, min(1.0, max(0.0, busy_fraction))
            )
            record = self.records.get(permit.target)
            # Hysteresis: standing permits are issued below ``skip_ask_load``
            # and renewed up to 20% above it.
            if (
                record is not None
                and record.eligible
                and record.trust is Trust.WARM
                and record.instance == permit.instance
                and self._load() < self._profile.balancing.skip_ask_load * 1.2
            ):
                permit.queried_s = now_s
                renewed.append(number)
        return renewed

    # Choice of targets.

    def _load(self) -> float:
        """Returns the ratio of permits in use to slots.

        Standing permits count by the fraction of time in use.
        """
        slots = sum(
            r.published.slots for r in self.records.values() if r.eligible
        )
        return self.ledger.busy_count() / max(1, slots)

    def _issue(self, now_s: float) -> dict[NodeId, list[GrantedPermit]]:
        """Issues permits to the waiting nodes, one each in turn."""
        granted: dict[NodeId, list[GrantedPermit]] = {}
        waiting = [
            n
            for n in self._waiting_nodes
            if self.sessions[n].unmet_demand(now_s) > 0
        ]
        if not waiting:
            return granted
        free_targets = self._free_targets(now_s)
        max_standing = self._max_standing_per_node() if free_targets else 0
        while waiting and free_targets:
            still_waiting = []
            for node in waiting:
                session = self.sessions[node]
                chosen = self._choose(node, session, free_targets, now_s)
                if chosen is None:
                    continue
                permit = self._add_permit(session, chosen, max_standing, now_s)
                granted.setdefault(node, []).append(_granted_permit(permit))
                if session.unmet_demand(now_s):
                    still_waiting.append(node)
            waiting = still_waiting
        for node in granted:
            # A node that was served moves to the end.
            del self._waiting_nodes[node]
            self._update_waiting(node)
        return granted

    def _update_waiting(self, node: NodeId) -> None:
        session = self.sessions[node]
        if session.demand > session.issued_count:
            self._waiting_nodes.setdefault(node)
        else:
            self._waiting_nodes.pop(node, None)

    def _max_standing_per_node(self) -> int:
        """Returns how many standing permits each node may have now."""
        if self._load() >= self._profile.balancing.skip_ask_load:
            return 0
        ceilings = sum(r.ceiling for r in self.records.values())
        if self.ledger.standing >= STANDING_SHARE * ceilings:
            return 0
        return max(1, int(STANDING_SHARE * ceilings / self._vm_count))

    def _free_targets(self, now_s: float) -> dict[TargetId, _FreeTarget]:
        free_targets = {}
        for target, record in self.records.items():
            if not record.eligible:
                continue
            limit = record.limit(now_s)
            outstanding = self.ledger.outstanding(target, record.instance)
            if outstanding < limit:
                free_targets[target] = _FreeTarget(
                    target, record, outstanding, limit
                )
        return free_targets

    def _choose(
        self,
        node: NodeId,
        session: _NodeSession,
        free_targets: dict[TargetId, _FreeTarget],
        now_s: float,
    ) -> _FreeTarget | None:
        """Chooses the least loaded target.

        A target in the data centre of the node wins a tie.
        """
        node_data_centre = self._data_centres.get(node)
        avoid_only = session.unmet_demand(now_s) <= session.avoiding_count
        best: tuple[bool, float, bool, float] | None = None
        chosen: _FreeTarget | None = None
        for target, entry in free_targets.items():
            avoided = target in session.avoid
            if avoided and avoid_only:
                continue
            if now_s < session.blocked.get(target, 0.0):
                continue
            record = entry.record
            connected = self._is_connected(session, entry)
            if not self._may_issue(target, record, connected):
                continue
            is_remote = record.published.data_centre != node_data_centre
            relative_load = entry.outstanding / entry.limit
            rank = (avoided, relative_load, is_remote, self._rng.random())
            if best is None or rank < best:
                best, chosen = rank, entry
        if chosen is not None:
            chosen.outstanding += 1
            if chosen.outstanding >= chosen.limit:
                del free_targets[chosen.target]
        return chosen

    def _is_connected(self, session: _NodeSession, entry: _FreeTarget) -> bool:
        instance = entry.record.instance
        return (
            instance is not None
            and session.connected.get(entry.target) == instance
        )

    def _add_permit(
        self,
        session: _NodeSession,
        entry: _FreeTarget,
        max_standing: int,
        now_s: float,
    ) -> IssuedPermit:
        record = entry.record
        connected = self._is_connected(session, entry)
        standing = (
            max_standing > 0
            and connected
            and record.trust is Trust.WARM
            and session.standing_count() < max_standing
        )
        record.last_issue_s = now_s
        session.issued_count += 1
        permit = IssuedPermit(
            number=session.issued_count,
            target=entry.target,
            instance=record.instance,
            new_connection=not connected,
            issued_s=now_s,
            ask_seq=session.seq,
            standing=standing,
            sent_s=now_s,
            queried_s=now_s,
            # Assumed for a standing permit until its first renewal.
            busy_fraction=0.5 if standing else 1.0,
        )
        session.permits[permit.number] = permit
        self.ledger.add(permit)
        return permit

    def _may_issue(
        self, target: TargetId, record: TargetRecord, connected: bool
    ) -> bool:
        """Returns whether a permit of this kind may be issued now.

        A first connection may reach an instance whose start the home has not
        noticed, so such permits stay within the limit of a cold target.
        """
        if not self.census_complete and not (
            connected and record.trust is Trust.WARM
        ):
            return False
        if connected:
            return True
        return self.ledger.new_connections(target) < record.initial_limit

    # Messages to send.

    def _make_grant(self, node: NodeId, **fields: Any) -> Outbound:
        session = self.sessions[node]
        load = self._load() if session.standing_count() else 0.0
        # Hysteresis: the issue stops at ``skip_ask_load``, and permits are
        # recalled only 20% above it.
        recall = load > self._profile.balancing.skip_ask_load * 1.2
        body = Grant(
            self.service,
            self.epoch,
            session.number,
            recall=recall,
            summary=self.version,
            **fields,
        )
        return Outbound(node, body)

    def _make_grants(
        self,
        node: NodeId,
        permits: Iterable[GrantedPermit],
        ack: int = 0,
        renewed: list[int] | None = None,
    ) -> list[Outbound]:
        out = []
        parts = list(chunks(permits, MAX_LIST_BYTES)) or [[]]
        for part in parts:
            permit_numbers = first_chunk(renewed or [], MAX_LIST_BYTES // 4)
            out.append(
                self._make_grant(
                    node, ack=ack, permits=part, renewed=permit_numbers
                )
            )
            renewed = None
        return out


class TargetHome(MessageHandler):
    """The homes of all services whose partition this node holds.

    Args:
        fleet: Configuration, VM list and partition leases.
        rng: Source of epochs and of choices among equal targets.
        inherited_summary: Returns the last summary of a service that this node
            got as a client; a new home starts from it.
        counters: Counters.
    """

    def __init__(
        self,
        fleet: FleetView,
        rng: random.Random,
        inherited_summary: InheritedSummary = lambda service, now_s: {},
        counters: Counters | None = None,
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._inherited_summary = inherited_summary
        self._counters = counters or NullCounters()
        #: Each with the time since which its partition is held.
        self._homes: dict[ServiceId, tuple[float, ServiceHome]] = {}
        self._partitions: dict[ServiceId, int] = {}

    def homes(self, now_s: float) -> dict[ServiceId, ServiceHome]:
        """Returns the homes that this node holds now."""
        config = self._fleet.config()
        services = config.services if config else {}
        for service in self._partitions.keys() - services.keys():
            del self._partitions[service]
            self._homes.pop(service, None)
        homes = {service: self.home(service, now_s) for service in services}
        return {s: home for s, home in homes.items() if home is not None}

    def home(self, service: ServiceId, now_s: float) -> ServiceHome | None:
        """Returns the home of a service if this node holds it now."""
        config = self._fleet.config()
        vms = self._fleet.vms()
        partition = self._partitions.get(service)
        if partition is None:
            partition = partition_of("service", service)
            self._partitions[service] = partition
        since_s = self._fleet.held_since_s(partition)
        if (
            config is None
            or vms is None
            or service not in config.services
            or since_s is None
            or not self._fleet.holds(partition, now_s)
        ):
            self._homes.pop(service, None)
            return None
        current = self._homes.get(service)
        if current is None or current[0] != since_s:
            self._counters.increment("targets.home.takeovers")
            epoch = self._rng.getrandbits(48) + 1
            home = ServiceHome(service, epoch, self._rng, self._counters, now_s)
            current = self._homes[service] = (since_s, home)
        home = current[1]
        home.apply_config(config, self._inherited_summary, now_s)
        home.apply_vm_list(vms, now_s)
        return home

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Runs the periodic work of the homes."""
        alive = self._fleet.alive_nodes(now_s)
        out = []
        for home in self.homes(now_s).values():
            out += home.tick(alive, now_s)
        return out

    _handle = functools.singledispatchmethod(ignore_message)

    @_handle.register
    def _(self, body: Ask, sender: Peer, now_s: float) -> list[Outbound]:
        home = self.home(body.service, now_s)
        if home is None:
            return [Outbound(sender.node, NotHome(body.service))]
        return home.on_ask(sender, body, now_s)

    @_handle.register
    def _(self, body: Inventory, sender: Peer, now_s: float) -> list[Outbound]:
        home = self.home(body.service, now_s)
        if home is None:
            return [Outbound(sender.node, NotHome(body.service))]
        if body.epoch and body.epoch != home.epoch:
            census = Census(body.service, home.epoch)
            return [Outbound(sender.node, census)]
        return home.on_inventory(sender, body, now_s)

    def take_probes(self, now_s: float) -> list[ProbeRequest]:
        """Returns the probes for the node to send now."""
        requests = []
        for home in self.homes(now_s).values():
            request = home.next_probe(now_s)
            if request is not None:
                requests.append(request)
        return requests

    def may_probe(self, request: ProbeRequest, now_s: float) -> bool:
        """Returns whether a requested probe may be sent now."""
        home = self.home(request.service, now_s)
        return (
            home is not None
            and home.epoch == request.epoch
            and now_s < request.expires_s
        )

    def on_probe(self, result: ProbeResult, now_s: float) -> None:
        """Processes the result of a probe."""
        home = self.home(result.request.service, now_s)
        if home is not None and home.epoch == result.request.epoch:
            home.on_probe(result, now_s)

"""The home of a service: permits, trust, probes."""

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
    LIST_BYTES,
    PERMIT_S,
    STANDING_S,
    Ask,
    CallOutcome,
    Census,
    Grant,
    Granted,
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
    ORDER_VALID_S,
    ProbeBudget,
    ProbeKind,
    ProbeOrder,
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

#: Clock rates may differ by this factor.
CLOCK_FACTOR = 1.01
#: Demand older than this is not served: too little of the validity is left.
ASK_LIFE_S = 0.15
#: A grant that an ask does not confirm is sent again after this time, which
#: is above the round trip between data centres (3 ms).
RESEND_S = 0.012
CENSUS_INTERVAL_S = 0.2
QUERY_INTERVAL_S = 0.1
#: A permit held longer than this is asked after.
QUERY_HELD_S = 1.5
#: A node that is neither heard from nor alive for this time loses its
#: permits for warm targets.
SILENT_S = 3.0
#: Share of the limits that may go into standing permits.
STANDING_SHARE = 0.5
#: A node that was refused gets no permit for the target for this time; the
#: fault may lie between the two.
BLOCKED_S = 1.0
#: Sessions of nodes that the VM list does not name (yet).
MAX_UNLISTED = 32
#: Parts of one inventory.
MAX_PARTS = 64
#: Largest part of a list of numbers in one message.
MAX_NUMBERS = 40

Inherited = Callable[[ServiceId, float], dict[TargetId, SummaryEntry]]


class _NodeSession:
    """Permits and demand of one client process."""

    def __init__(
        self, incarnation: Incarnation, number: int, now_s: float
    ) -> None:
        self.incarnation = incarnation
        self.number = number
        self.seq = 0
        self.demand = 0
        self.issued = 0
        self.avoid: frozenset[TargetId] = frozenset()
        self.strict = 0
        self.asked_s = now_s
        self.heard_s = now_s
        self.permits: dict[int, IssuedPermit] = {}
        self.connected: dict[TargetId, InstanceId] = {}
        self.blocked: dict[TargetId, float] = {}

    def standing_count(self) -> int:
        return sum(permit.standing for permit in self.permits.values())

    def wants(self, now_s: float) -> int:
        if now_s - self.asked_s > ASK_LIFE_S:
            return 0
        return max(0, self.demand - self.issued)


def _granted(permit: IssuedPermit) -> Granted:
    return Granted(
        permit.number,
        permit.target,
        permit.ask,
        permit.instance,
        permit.new_connection,
        permit.standing,
    )


class _FreeTarget:
    """A target with room, while permits are issued."""

    def __init__(
        self, target: TargetId, record: TargetRecord, held: int, limit: int
    ) -> None:
        self.target = target
        self.record = record
        self.held = held
        self.limit = limit


class _UnreturnedPermit(msgspec.Struct, frozen=True):
    """A permit whose holder ended; its request may still run.

    Attributes:
        permit: The permit.
        holder: Process that held it.
        until_s: Time from which the request cannot run any more.
    """

    permit: IssuedPermit
    holder: Peer
    until_s: float


class _PartialInventory:
    """Parts of an inventory until all have arrived."""

    def __init__(self, peer: Peer, body: Inventory) -> None:
        self.key = (peer.incarnation, body.session)
        self.parts: dict[int, Inventory] = {}

    def add(self, body: Inventory) -> list[Inventory] | None:
        self.parts[body.part] = body
        if len(self.parts) < body.parts:
            return None
        return list(self.parts.values())


class ServiceHome:
    """State of one service from one takeover to the loss of the partition."""

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
        self.since_s = now_s
        self.version = 1
        self.records: dict[TargetId, TargetRecord] = {}
        self.sessions: dict[NodeId, _NodeSession] = {}
        self.ledger = Ledger()
        self.budget = ProbeBudget(now_s)
        self.complete = False
        self._rng = rng
        self._counters = counters
        self._last_sessions: dict[NodeId, tuple[Incarnation, int]] = {}
        self._partial: dict[NodeId, _PartialInventory] = {}
        self._unreturned: list[_UnreturnedPermit] = []
        self._config: PublishedConfig | None = None
        self._profile = Profile()
        self._vms: VmList | None = None
        self._vm_count = 1
        self._data_centres: dict[NodeId, DataCentreId] = {}
        self._census_s = float("-inf")
        self._published_state: list[tuple[Trust, InstanceId | None]] = []
        #: Nodes with unmet demand, the longest unserved first.
        self._asking: dict[NodeId, None] = {}

    # Configuration and life of the home.

    def sync(
        self,
        config: PublishedConfig,
        inherited: Inherited,
        now_s: float,
    ) -> None:
        """Brings the records in line with the configuration."""
        if config is self._config:
            return
        known_before = {}
        if self._config is None:
            known_before = inherited(self.service, now_s)
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
                known = known_before.get(target)
                if known and known.trust is Trust.WARM and known.instance:
                    record.inherit(known.instance, now_s)
            record.published = published
            record.profile = self._profile
            eligible = usable_target(config, self.service, target) is not None
            if eligible and not record.eligible:
                ramp_s = max(RETURN_RAMP_S, self._profile.warmup.duration_s)
                record.restart_ramp(now_s, ramp_s)
            record.eligible = eligible

    def sync_nodes(self, vms: VmList, now_s: float) -> None:
        """Takes the list of VMs and finds out whether the census is done."""
        if vms is not self._vms:
            self._vms = vms
            self._data_centres = {
                node: vm.data_centre for node, vm in vms.vms.items()
            }
            self._vm_count = max(1, len(vms.vms))
            self._partial = {
                node: partial
                for node, partial in self._partial.items()
                if node in vms.vms
            }
            self._last_sessions = {
                node: last
                for node, last in self._last_sessions.items()
                if node in vms.vms or node in self.sessions
            }
        if not self.complete:
            hold_s = PERMIT_S * CLOCK_FACTOR + self._deadline_s
            self.complete = (
                self._data_centres.keys() <= self.sessions.keys()
                or now_s >= self.since_s + hold_s
            )

    def tick(self, alive: frozenset[NodeId], now_s: float) -> list[Outbound]:
        """Does what is due."""
        for node in list(self.sessions):
            self._check_silence(node, node in alive, now_s)
        self._expire_unreturned(now_s)
        out = self._census(now_s)
        for node, session in self.sessions.items():
            out += self._query(node, session, now_s)
        out += self.serve(now_s)
        state = [(r.trust, r.instance) for r in self.records.values()]
        if state != self._published_state:
            self._published_state = state
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
        if not 0 <= body.part < body.parts <= MAX_PARTS:
            self._counters.increment("targets.home.bad_inventories")
            return []
        if node not in self._data_centres:
            known = self.sessions.keys() | self._partial.keys()
            unlisted = known - self._data_centres.keys() - {node}
            if len(unlisted) >= MAX_UNLISTED:
                return []
        session = self.sessions.get(node)
        key = sender.incarnation, body.session
        if session is None or key != (session.incarnation, session.number):
            incarnation, last = self._last_sessions.get(node, (None, 0))
            if incarnation == sender.incarnation and body.session <= last:
                # A late copy: what it states is no longer true.
                return [Outbound(node, Census(self.service, self.epoch, last))]
            partial = self._partial.get(node)
            if partial is None or partial.key != key:
                partial = _PartialInventory(sender, body)
                self._partial[node] = partial
            parts = partial.add(body)
            if parts is None:
                return []
            del self._partial[node]
            self._start_session(sender, body.session, parts, now_s)
        return [self._grant(node, ack=0), *self.summary(node)]

    def on_ask(self, sender: Peer, body: Ask, now_s: float) -> list[Outbound]:
        """Takes reports and demand, and serves what can be served."""
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
        session.heard_s = now_s
        for report in body.reports:
            self._take_report(node, session, report, now_s)
        for target in body.lost:
            session.connected.pop(target, None)
        resent: list[Granted] = []
        renewed: list[int] = []
        if body.seq > session.seq:
            session.seq = body.seq
            session.demand = body.demand
            session.avoid = frozenset(body.avoid)
            session.strict = body.strict
            session.asked_s = now_s
            self._note_demand(node)
            resent = self._confirm(session, body, now_s)
            renewed = self._renew(session, body, now_s)
        granted = self._issue(now_s)
        mine = resent + granted.pop(node, [])
        out = self._grants(node, mine, ack=body.seq, renewed=renewed)
        for other, permits in granted.items():
            out += self._grants(other, permits)
        if body.summary != self.version:
            out += self.summary(node)
        return out

    def on_probe(self, result: ProbeResult, now_s: float) -> None:
        """Takes the result of a probe."""
        order, health = result.order, result.health
        record = self.records.get(order.target)
        if record is None or record.published.address != order.address:
            return
        if result.refused:
            record.refused(now_s)
        if health is None:
            return
        if order.kind is ProbeKind.HEALTH:
            record.on_health(health, order.sent_s, now_s)
        elif record.on_instance(health.instance, order.sent_s, now_s):
            held = self.ledger.outstanding(order.target, record.instance)
            record.on_load(health, max(held, order.outstanding), now_s)

    def next_probe(self, now_s: float) -> ProbeOrder | None:
        """Returns a probe if the budget has room for one."""
        probe = self._profile.probe
        if not self.budget.take(probe.budget_per_s, now_s):
            return None
        candidates = {t: r for t, r in self.records.items() if r.eligible}
        target = most_urgent(candidates, now_s)
        if target is None:
            return None
        record = candidates[target]
        record.probe_count += 1
        record.probed_s = now_s
        # A warm target shows its health with each answer, so its load is
        # asked for more often.
        warm = record.trust is Trust.WARM and record.probe_count % 4
        return ProbeOrder(
            service=self.service,
            target=target,
            address=record.published.address,
            kind=ProbeKind.LOAD if warm else ProbeKind.HEALTH,
            timeout_s=probe.timeout_ms / 1000,
            sent_s=now_s,
            expires_s=now_s + ORDER_VALID_S,
            epoch=self.epoch,
            outstanding=self.ledger.outstanding(target, record.instance),
        )

    def serve(self, now_s: float) -> list[Outbound]:
        """Issues permits for waiting demand."""
        out = []
        for node, permits in self._issue(now_s).items():
            out += self._grants(node, permits)
        return out

    def summary(self, node: NodeId) -> list[Outbound]:
        """Returns the summary for one node."""
        entries = [
            SummaryEntry(target, record.trust, record.instance)
            for target, record in self.records.items()
        ]
        parts = list(chunks(entries, LIST_BYTES)) or [[]]
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
                session.issued = max(session.issued, held.number)
                self.ledger.add(permit)
            for target, instance in part.connected:
                session.connected[target] = instance
                record = self.records.get(target)
                if record is None:
                    continue
                if self.complete:
                    record.on_instance(instance, float("-inf"), now_s)
                else:
                    record.contradict(instance, now_s)

    def _drop_session(
        self, node: NodeId, now_s: float, successor: Incarnation | None
    ) -> None:
        """Ends a session.

        Without a statement of the same process, its permits stay counted:
        requests may still run although the process or its VM is gone. A
        statement of the same process replaces them.
        """
        session = self.sessions.pop(node, None)
        if session is not None:
            self._asking.pop(node, None)
            for permit in session.permits.values():
                record = self.records.get(permit.target)
                until_s = now_s
                if record is None or record.trust is not Trust.WARM:
                    until_s = (
                        max(permit.issued_s, session.heard_s)
                        + PERMIT_S * CLOCK_FACTOR
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
        self, is_ended: Callable[[_UnreturnedPermit], bool]
    ) -> None:
        kept = []
        for entry in self._unreturned:
            if is_ended(entry):
                self.ledger.remove(entry.permit)
            else:
                kept.append(entry)
        self._unreturned = kept

    def _check_silence(self, node: NodeId, alive: bool, now_s: float) -> None:
        session = self.sessions[node]
        silent_s = now_s - session.heard_s
        listed = node in self._data_centres
        if silent_s <= SILENT_S or not session.permits:
            if not listed and silent_s > SILENT_S:
                self._drop_session(node, now_s, None)
            return
        if not alive or silent_s > SILENT_S + self._deadline_s:
            self._counters.increment("targets.home.silent_nodes")
            self._drop_session(node, now_s, None)

    def _census(self, now_s: float) -> list[Outbound]:
        if now_s - self._census_s < CENSUS_INTERVAL_S:
            return []
        self._census_s = now_s
        return [
            Outbound(node, Census(self.service, self.epoch))
            for node in self._data_centres
            if node not in self.sessions
        ]

    def _query(
        self, node: NodeId, session: _NodeSession, now_s: float
    ) -> list[Outbound]:
        """Asks after permits whose grant or report may be lost."""
        numbers = []
        for permit in session.permits.values():
            if permit.confirmed:
                due_s = permit.queried_s + QUERY_HELD_S
            else:
                valid_s = STANDING_S if permit.standing else PERMIT_S
                due_s = max(
                    permit.issued_s + valid_s * CLOCK_FACTOR,
                    permit.queried_s + QUERY_INTERVAL_S,
                )
            if now_s >= due_s:
                permit.queried_s = now_s
                numbers.append(permit.number)
        self._counters.increment("targets.home.queries", len(numbers))
        return [
            self._grant(node, query=numbers[start : start + MAX_NUMBERS])
            for start in range(0, len(numbers), MAX_NUMBERS)
        ]

    # Reports.

    def _take_report(
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
        if outcome is CallOutcome.UNUSABLE:
            session.blocked[permit.target] = now_s + BLOCKED_S
        if outcome in (CallOutcome.UNUSED, CallOutcome.UNUSABLE):
            return
        record = self.records.get(permit.target)
        if outcome in (CallOutcome.LOST, CallOutcome.REFUSED):
            session.connected.pop(permit.target, None)
        if record is None:
            return
        instance = report.instance or permit.instance
        answered = outcome in (
            CallOutcome.OK,
            CallOutcome.ERROR,
            CallOutcome.SHED,
        )
        if answered and instance is not None:
            session.connected[permit.target] = instance
            record.on_answer(node, now_s)
            if not record.on_instance(instance, permit.issued_s, now_s):
                return
        elif instance is not None and instance != record.instance:
            return  # a failure of an instance that is already replaced
        if outcome is CallOutcome.REFUSED:
            session.blocked[permit.target] = now_s + BLOCKED_S
        latency_s = report.latency_ms / 1000
        if outcome is CallOutcome.OK:
            if not record.is_failing():
                record.kept_one = False
            if not permit.standing:
                record.on_held(now_s - permit.issued_s, latency_s)
        record.on_result(
            outcome,
            latency_s,
            permit.issued_s,
            now_s,
            reached=record.answers_others(node, now_s),
        )
        if report.condition is not None:
            record.on_condition(report.condition, now_s)
        if record.is_failing():
            failing = sum(r.is_failing() for r in self.records.values())
            if failing * 2 < len(self.records):
                record.keep_one()

    def _confirm(
        self, session: _NodeSession, body: Ask, now_s: float
    ) -> list[Granted]:
        """Marks what arrived and returns the grants to send again."""
        beyond = frozenset(body.beyond)
        resent = []
        for permit in session.permits.values():
            if permit.confirmed:
                continue
            if permit.number <= body.through or permit.number in beyond:
                permit.confirmed = True
            elif now_s - permit.sent_s >= RESEND_S and (
                now_s - permit.issued_s < ASK_LIFE_S
            ):
                permit.sent_s = now_s
                resent.append(_granted(permit))
        self._counters.increment("targets.home.resent", len(resent))
        return resent

    def _renew(
        self, session: _NodeSession, body: Ask, now_s: float
    ) -> list[int]:
        renewed = []
        for number, busy in body.renew:
            permit = session.permits.get(number)
            if permit is None or not permit.standing:
                continue
            self.ledger.set_busy(permit, min(1.0, max(0.0, busy)))
            record = self.records.get(permit.target)
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

    # Choice.

    def _load(self) -> float:
        """Returns the used share of the slots; idle standing is not used."""
        slots = sum(
            r.published.slots for r in self.records.values() if r.eligible
        )
        return self.ledger.busy() / max(1, slots)

    def _issue(self, now_s: float) -> dict[NodeId, list[Granted]]:
        """Issues permits to the waiting nodes in turn."""
        granted: dict[NodeId, list[Granted]] = {}
        waiting = [n for n in self._asking if self.sessions[n].wants(now_s) > 0]
        if not waiting:
            return granted
        free = self._free_targets(now_s)
        quota = self._standing_quota() if free else 0
        while waiting and free:
            still = []
            for node in waiting:
                session = self.sessions[node]
                chosen = self._choose(node, session, free, now_s)
                if chosen is None:
                    continue
                permit = self._add_permit(session, chosen, quota, now_s)
                granted.setdefault(node, []).append(_granted(permit))
                if session.wants(now_s):
                    still.append(node)
            waiting = still
        for node in granted:
            # A node that was served goes behind the others.
            del self._asking[node]
            self._note_demand(node)
        return granted

    def _note_demand(self, node: NodeId) -> None:
        session = self.sessions[node]
        if session.demand > session.issued:
            self._asking.setdefault(node)
        else:
            self._asking.pop(node, None)

    def _standing_quota(self) -> int:
        """Returns how many standing permits a node may have now."""
        if self._load() >= self._profile.balancing.skip_ask_load:
            return 0
        ceilings = sum(r.ceiling for r in self.records.values())
        if self.ledger.standing >= STANDING_SHARE * ceilings:
            return 0
        return max(1, int(STANDING_SHARE * ceilings / self._vm_count))

    def _free_targets(self, now_s: float) -> dict[TargetId, _FreeTarget]:
        free = {}
        for target, record in self.records.items():
            if not record.eligible:
                continue
            limit = record.limit(now_s)
            held = self.ledger.outstanding(target, record.instance)
            if held < limit:
                free[target] = _FreeTarget(target, record, held, limit)
        return free

    def _choose(
        self,
        node: NodeId,
        session: _NodeSession,
        free: dict[TargetId, _FreeTarget],
        now_s: float,
    ) -> _FreeTarget | None:
        """Takes the least loaded target; its own data centre breaks ties."""
        place = self._data_centres.get(node)
        avoid_only = session.wants(now_s) <= session.strict
        best: tuple[bool, float, bool, float] | None = None
        chosen: _FreeTarget | None = None
        for target, entry in free.items():
            avoided = target in session.avoid
            if avoided and avoid_only:
                continue
            if now_s < session.blocked.get(target, 0.0):
                continue
            record = entry.record
            connected = self._is_connected(session, entry)
            if not self._may_issue(target, record, connected):
                continue
            away = record.published.data_centre != place
            load = entry.held / entry.limit
            rank = (avoided, load, away, self._rng.random())
            if best is None or rank < best:
                best, chosen = rank, entry
        if chosen is not None:
            chosen.held += 1
            if chosen.held >= chosen.limit:
                del free[chosen.target]
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
        quota: int,
        now_s: float,
    ) -> IssuedPermit:
        record = entry.record
        connected = self._is_connected(session, entry)
        standing = (
            quota > 0
            and connected
            and record.trust is Trust.WARM
            and session.standing_count() < quota
        )
        record.issued_s = now_s
        session.issued += 1
        permit = IssuedPermit(
            number=session.issued,
            target=entry.target,
            instance=record.instance,
            new_connection=not connected,
            issued_s=now_s,
            ask=session.seq,
            standing=standing,
            sent_s=now_s,
            queried_s=now_s,
            busy=0.5 if standing else 1.0,
        )
        session.permits[permit.number] = permit
        self.ledger.add(permit)
        return permit

    def _may_issue(
        self, target: TargetId, record: TargetRecord, connected: bool
    ) -> bool:
        """Returns whether the kind of permit is allowed at this moment.

        A first connection may reach an instance that started unnoticed, so
        such permits stay within the load of a cold target.
        """
        if not self.complete and not (connected and record.trust is Trust.WARM):
            return False
        if connected:
            return True
        return self.ledger.new_connections(target) < record.initial

    # Sending.

    def _grant(self, node: NodeId, **fields: Any) -> Outbound:
        session = self.sessions[node]
        load = self._load() if session.standing_count() else 0.0
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

    def _grants(
        self,
        node: NodeId,
        permits: Iterable[Granted],
        ack: int = 0,
        renewed: list[int] | None = None,
    ) -> list[Outbound]:
        out = []
        parts = list(chunks(permits, LIST_BYTES)) or [[]]
        for part in parts:
            numbers = first_chunk(renewed or [], LIST_BYTES // 4)
            out.append(
                self._grant(node, ack=ack, permits=part, renewed=numbers)
            )
            renewed = None
        return out


class TargetHome(MessageHandler):
    """The homes of all services whose partition this node holds.

    Args:
        fleet: Freshness, documents and leases.
        rng: Source of epochs and of choices among equal targets.
        inherited: Returns what this node knows of a service as a client; a
            new home starts with it.
        counters: Counters.
    """

    def __init__(
        self,
        fleet: FleetView,
        rng: random.Random,
        inherited: Inherited = lambda service, now_s: {},
        counters: Counters | None = None,
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._inherited = inherited
        self._counters = counters or NullCounters()
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
        known = self._homes.get(service)
        if known is None or known[0] != since_s:
            self._counters.increment("targets.home.takeovers")
            epoch = self._rng.getrandbits(48) + 1
            home = ServiceHome(service, epoch, self._rng, self._counters, now_s)
            known = self._homes[service] = (since_s, home)
        home = known[1]
        home.sync(config, self._inherited, now_s)
        home.sync_nodes(vms, now_s)
        return home

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Does what is due at the homes."""
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

    def take_probes(self, now_s: float) -> list[ProbeOrder]:
        """Returns the probes that the node shall send now."""
        orders = []
        for home in self.homes(now_s).values():
            order = home.next_probe(now_s)
            if order is not None:
                orders.append(order)
        return orders

    def may_probe(self, order: ProbeOrder, now_s: float) -> bool:
        """Returns whether an order may be carried out at this moment."""
        home = self.home(order.service, now_s)
        return (
            home is not None
            and home.epoch == order.epoch
            and now_s < order.expires_s
        )

    def on_probe(self, result: ProbeResult, now_s: float) -> None:
        """Takes the result of a probe."""
        home = self.home(result.order.service, now_s)
        if home is not None and home.epoch == result.order.epoch:
            home.on_probe(result, now_s)

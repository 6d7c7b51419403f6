"""What the home knows about one target, and the limit that follows."""

import collections
import math

import msgspec

from egretrock.coordination.targets._messages import (
    CallOutcome,
    TargetCondition,
    Trust,
)
from egretrock.state.config import Profile, Target
from egretrock.state.ids import InstanceId, NodeId

#: Ramp of a warm target whose data centre returns, in seconds.
RETURN_RAMP_S = 10.0
#: A load report counts for this time; a lasting one would starve a target
#: that reports wrong figures.
LOAD_REPORT_S = 1.0
#: Factors on the limit, after Chiu and Jain's additive increase and
#: multiplicative decrease (1989).
SHED_FACTOR = 0.7
JUMP_FACTOR = 0.85
#: Least time between two decreases: one change must show its effect first.
DECREASE_INTERVAL_S = 0.1
#: Ratio of the recent to the long-term latency that counts as a jump.
JUMP_RATIO = 2.5
#: Share of failed calls above which a target keeps only one request.
FAILING_SHARE = 0.5
#: Weight of one call in the recent latency and the failed share.
FAST_WEIGHT = 0.2
SLOW_WEIGHT = 0.01
#: Pause between the trials of a target that fails where others do not.
TRIAL_INTERVAL_S = 0.2
#: Calls until the long-term latency is known.
SETTLED_CALLS = 20
#: Answers to other nodes within this time count as a reachable target.
RECENT_ANSWER_S = 0.3


class Health(msgspec.Struct, frozen=True):
    """Answer to a probe of ``/health`` or ``/load``.

    Attributes:
        instance: Instance that answered.
        condition: State that it reports.
        uptime_s: Seconds since its start, if reported.
        slots: Requests that it says it can run, if reported.
        busy: Requests that it says it runs or queues, if reported.
    """

    instance: InstanceId
    condition: TargetCondition | None = None
    uptime_s: float | None = None
    slots: int | None = None
    busy: int | None = None


class TargetRecord:
    """Trust in one target and the limit of its outstanding requests.

    Args:
        published: Entry of the configuration.
        profile: Profile of the service.
        now_s: Time at which the home learned of the target.
    """

    def __init__(
        self, published: Target, profile: Profile, now_s: float
    ) -> None:
        self.published = published
        self.profile = profile
        self.trust = Trust.COLD
        self.instance: InstanceId | None = None
        self.eligible = True
        self.probed_s = -math.inf
        self.probe_count = 0
        self.issued_s = -math.inf
        self.kept_one = False
        self._health_s = -math.inf
        self._instance_s = now_s
        self._answered_s: dict[NodeId, float] = {}
        self._past: collections.deque[InstanceId] = collections.deque(maxlen=8)
        self._ramp_start_s = now_s
        self._ramp_s = profile.warmup.duration_s
        self._successes = 0
        self._suspected_s = -math.inf
        self._limit = float(self.ceiling)
        self._decreased_s = -math.inf
        self._fast_s = 0.0
        self._slow_s = 0.0
        self._calls = 0
        self._away_s = 0.0
        self.failed_share = 0.0
        self._excess = 0
        self._reported_slots = published.slots
        self._excess_until_s = -math.inf
        self._uptime_s = 0.0

    @property
    def initial(self) -> int:
        """Requests at the same time right after a start."""
        return min(
            self.profile.warmup.initial_concurrency, self.published.slots
        )

    @property
    def ceiling(self) -> int:
        """Highest limit of a warm target: its slots and a short queue."""
        return self.published.slots + self.profile.balancing.target_queue

    def limit(self, now_s: float) -> int:
        """Returns how many requests may be outstanding over the fleet."""
        if self.trust in (Trust.DOWN, Trust.DRAINING):
            return 0
        if self.kept_one:
            # A target that fails at once would else draw most of the calls.
            return int(now_s - self.issued_s >= TRIAL_INTERVAL_S)
        if self.trust is Trust.SUSPECT:
            return self.initial
        limit = max(1, int(self._limit))
        if self.trust is Trust.COLD:
            limit = min(limit, self._ramp_limit(now_s))
        elif self._limit >= self.ceiling:
            limit = self.ceiling + self._on_the_way()
        if now_s < self._excess_until_s:
            missing = self.published.slots - self._reported_slots
            limit = max(1, limit - missing - self._excess)
        return limit

    def on_held(self, held_s: float, latency_s: float) -> None:
        """Takes how long a permit was out for a call of a given latency."""
        away_s = max(0.0, held_s - latency_s)
        self._away_s += SLOW_WEIGHT * (away_s - self._away_s)

    def _on_the_way(self) -> int:
        """Returns how many permits are out without load on the target.

        By Little's law their share is the time that grants and reports
        travel over the latency. Without them in the limit, slots stay idle
        while the reports of their last requests travel.
        """
        if self._calls <= SETTLED_CALLS:
            return 0
        slots = self.published.slots
        share = self._away_s / max(self._slow_s, 0.001)
        # Rounded up: the way to the target and back is part of the latency
        # and not seen here. A tenth of a permit is not worth a whole one.
        return math.ceil(slots * min(1.0, share) - 0.1)

    def inherit(self, instance: InstanceId, now_s: float) -> None:
        """Takes over the predecessor's knowledge of a warm instance."""
        self.instance = instance
        self.trust = Trust.WARM
        self._ramp_start_s = now_s - self._ramp_s

    def restart_ramp(self, now_s: float, ramp_s: float) -> None:
        """Starts the ramp anew, such as when a data centre returns."""
        if self.trust in (Trust.WARM, Trust.COLD):
            self.trust = Trust.COLD
            self._ramp_start_s = now_s
            self._ramp_s = ramp_s
            self._successes = 0

    def suspect(self, now_s: float) -> None:
        """Lowers trust until a call has confirmed the instance."""
        self._suspected_s = now_s
        if self.trust is Trust.WARM:
            self.trust = Trust.SUSPECT

    def refused(self, now_s: float) -> None:
        """Takes a refused connection; only a probe or a call ends this."""
        self._suspected_s = now_s
        self.trust = Trust.DOWN

    def on_instance(
        self, instance: InstanceId, evidence_s: float, now_s: float
    ) -> bool:
        """Takes an instance id.

        Args:
            instance: Instance that answered.
            evidence_s: Time after which it answered.
            now_s: Time.

        Returns:
            False for a late word of an instance that was replaced since.
        """
        if instance == self.instance:
            return True
        if instance in self._past and evidence_s < self._instance_s:
            return False
        if self.instance is not None:
            self._past.append(self.instance)
        self.instance = instance
        self._instance_s = now_s
        self._become_cold(now_s)
        return True

    def contradict(self, instance: InstanceId, now_s: float) -> None:
        """Takes an instance id of unknown age from a census.

        Where two ids compete, neither is trusted until a call or a probe
        decides.
        """
        if self.instance is None:
            self.on_instance(instance, now_s, now_s)
        elif instance != self.instance:
            self.instance = None
            self._become_cold(now_s)

    def on_answer(self, node: NodeId, now_s: float) -> None:
        """Notes that a node reached the target."""
        self._answered_s[node] = now_s

    def answers_others(self, node: NodeId, now_s: float) -> bool:
        """Returns whether other nodes reached the target just now."""
        return any(
            other != node and now_s - at_s < RECENT_ANSWER_S
            for other, at_s in self._answered_s.items()
        )

    def on_result(
        self,
        outcome: CallOutcome,
        latency_s: float,
        issued_s: float,
        now_s: float,
        reached: bool = False,
    ) -> None:
        """Takes the outcome of a call to the present instance.

        Args:
            outcome: What came of the call.
            latency_s: Its duration.
            issued_s: Time at which its permit was issued.
            now_s: Time.
            reached: Whether other nodes reached the target just now; then a
                refusal may be a fault between one node and the target.
        """
        if outcome is CallOutcome.REFUSED:
            if reached:
                self.suspect(now_s)
            else:
                self.refused(now_s)
        elif outcome is CallOutcome.LOST:
            self.suspect(now_s)
        elif outcome is CallOutcome.SHED:
            self._decrease(SHED_FACTOR, now_s)
        if outcome is CallOutcome.CANCELLED:
            return
        good = outcome is CallOutcome.OK
        self.failed_share += FAST_WEIGHT * ((not good) - self.failed_share)
        if good or outcome is CallOutcome.TIMEOUT:
            self._take_latency(latency_s, now_s)
        if good:
            self._take_success(issued_s, now_s)

    def on_condition(self, condition: TargetCondition, now_s: float) -> None:
        """Takes what the target says about itself; it only lowers trust."""
        if condition is TargetCondition.DRAINING:
            self.trust = Trust.DRAINING
        elif condition is TargetCondition.COLD and self.trust in (
            Trust.WARM,
            Trust.SUSPECT,
        ):
            self._become_cold(now_s)

    def on_health(self, health: Health, sent_s: float, now_s: float) -> None:
        """Takes the answer to a probe sent at ``sent_s``."""
        if not self.on_instance(health.instance, sent_s, now_s):
            return
        if sent_s > self._health_s:
            # Answers may overtake each other.
            self._health_s = sent_s
            if health.uptime_s is not None:
                if health.uptime_s < self._uptime_s:
                    self._become_cold(now_s)
                self._uptime_s = health.uptime_s
        if self.trust is Trust.DOWN or (
            self.trust is Trust.DRAINING
            and health.condition is TargetCondition.READY
        ):
            self._become_cold(now_s)
        if health.condition is not None:
            self.on_condition(health.condition, now_s)

    def on_load(self, health: Health, outstanding: int, now_s: float) -> None:
        """Takes a load report; it can only lower the limit, and for a while.

        Args:
            health: The report.
            outstanding: Requests known to the home; what the target has
                beyond them comes from elsewhere.
            now_s: Time.
        """
        slots = self.published.slots
        self._reported_slots = min(slots, max(1, health.slots or slots))
        self._excess = max(0, (health.busy or 0) - outstanding)
        self._excess_until_s = now_s + LOAD_REPORT_S

    def keep_one(self) -> None:
        """Leaves a trial now and then to a target that fails alone."""
        self.kept_one = True
        self._limit = 1.0

    def is_failing(self) -> bool:
        """Returns whether most of the recent calls failed."""
        return self.failed_share > FAILING_SHARE

    def _ramp_limit(self, now_s: float) -> int:
        slots, initial = self.published.slots, self.initial
        part = 1.0
        if self._ramp_s > 0:
            part = min(1.0, (now_s - self._ramp_start_s) / self._ramp_s)
        by_time = math.floor(initial + (slots - initial) * max(0.0, part))
        # Time alone does not show that the target coped with more load.
        return min(slots, by_time, initial + self._successes)

    def _become_cold(self, now_s: float) -> None:
        self.trust = Trust.COLD
        self._ramp_start_s = now_s
        self._ramp_s = self.profile.warmup.duration_s
        self._successes = 0
        self._uptime_s = 0.0
        self._limit = float(self.ceiling)
        self._calls = 0
        self.failed_share = 0.0
        self.kept_one = False

    def _take_success(self, issued_s: float, now_s: float) -> None:
        if self.trust is Trust.DOWN:
            # A success after a refusal: the target may have restarted. A
            # call that was sent before the refusal proves nothing.
            if issued_s > self._suspected_s:
                self._become_cold(now_s)
            return
        if self.trust is Trust.SUSPECT and issued_s > self._suspected_s:
            self.trust = Trust.WARM
        self._limit = min(self.ceiling, self._limit + 1.0 / self._limit)
        if self.trust is Trust.COLD:
            self._successes += 1
            ramped = now_s - self._ramp_start_s >= self._ramp_s
            if ramped and self._successes >= self.published.slots:
                self.trust = Trust.WARM

    def _take_latency(self, latency_s: float, now_s: float) -> None:
        self._calls += 1
        weight = max(FAST_WEIGHT, 1.0 / self._calls)
        self._fast_s += weight * (latency_s - self._fast_s)
        weight = max(SLOW_WEIGHT, 1.0 / self._calls)
        self._slow_s += weight * (latency_s - self._slow_s)
        jumped = self._fast_s > JUMP_RATIO * self._slow_s
        if self._calls > SETTLED_CALLS and jumped:
            self._decrease(JUMP_FACTOR, now_s)

    def _decrease(self, factor: float, now_s: float) -> None:
        if now_s - self._decreased_s >= DECREASE_INTERVAL_S:
            self._decreased_s = now_s
            self._limit = max(1.0, self._limit * factor)

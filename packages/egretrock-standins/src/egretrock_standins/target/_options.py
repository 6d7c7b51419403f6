"""Options of one stand-in target; every fault is off by default."""

import enum
import math
import random

import msgspec


class Overload(enum.Enum):
    """How a cold target handles requests beyond ``cold_concurrency``."""

    SHED = "shed"
    CRASH = "crash"


class Stop(enum.Enum):
    """How a crash ends a target."""

    PROCESS = "process"  # the process exits with code 70
    RESTART = "restart"  # sockets close; a cold instance starts after restart_s


class _Options(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of options; a misspelt field is an error."""


class ServiceTime(_Options):
    """Log-normal service time.

    Attributes:
        mean_ms: Mean of the distribution.
        sigma: Standard deviation of the logarithm; 0 gives a fixed time.
    """

    mean_ms: float = 5.0
    sigma: float = 0.0

    def draw_s(self, rng: random.Random) -> float:
        """Returns one service time in seconds."""
        if self.sigma == 0:
            return self.mean_ms / 1000
        # The mean of a log-normal variable is exp(mu + sigma^2 / 2).
        mu = math.log(self.mean_ms / 1000) - self.sigma**2 / 2
        return rng.lognormvariate(mu, self.sigma)


class Rule(_Options):
    """Special handling of requests whose path starts with ``path_prefix``.

    Attributes:
        service_ms: Fixed service time instead of a random one.
        body_bytes: Size of the answer's body.
        truncate_at_bytes: Closes the connection after this many bytes of
            the body.
        slow_body_s: Sends the body in pieces over this many seconds.
        crash: Crashes the target when the request starts to run.
        never_answer: Runs the request and sends no answer.
        early_bytes: Answers an upload at once when this many bytes of its body
            have arrived, without a slot, and reads the rest off.
        early_status: Status of such an answer.
    """

    path_prefix: str
    service_ms: float | None = None
    body_bytes: int | None = None
    truncate_at_bytes: int | None = None
    slow_body_s: float = 0.0
    crash: bool = False
    never_answer: bool = False
    early_bytes: int | None = None
    early_status: int = 200


class TargetOptions(_Options):
    """All options of one target.

    Attributes:
        target_id: Name in histories and answers.
        address: ``"ip:port"``; port 0 takes a free one.
        slots: Maximum number of requests that run at the same time.
        queue_bound: Maximum number of waiting requests; more are shed.
        seed: Seed of the service times.
        cold_s: Seconds for which an instance is cold after its start.
        cold_factor: Service time of a cold instance relative to a warm one.
        cold_concurrency: Maximum number of requests (running and waiting) of
            a cold instance; one more is an overload.
        cold_overload: Reaction of a cold instance to an overload.
        stop: How a crash ends the target.
        restart_s: Seconds between a crash and the restart.
        probe_ms: Service time that each read of ``/health`` or ``/load``
            adds to the next request.
        connection_ms: Service time that each new connection adds to the
            next request.
        connection_delay_ms: Time before a new connection is read.
        one_way_delay_ms: Network delay in each direction: of received bytes,
            and of the start of an answer.
        reported_state: State in ``/health`` and ``Target-State``, instead
            of the real one.
        reported_in_flight: Number in ``/load``, instead of the real one.
        report_lag_s: Age of what ``/health`` and ``/load`` report.
        body_bytes: Size of an answer's body; the JSON text is padded.
        rules: Special handling by path; the first match applies.
        keep_history: Whether runs are recorded; long load runs only count
            them.
        history_file: File that gets a JSON line when a request starts and
            one when it ends, so that a crash loses no history.
    """

    target_id: str = "target"
    address: str = "127.0.0.1:0"
    slots: int = 2
    queue_bound: int = 16
    service_time: ServiceTime = msgspec.field(default_factory=ServiceTime)
    seed: int = 0
    cold_s: float = 0.0
    cold_factor: float = 4.0
    cold_concurrency: int = 1
    cold_overload: Overload = Overload.SHED
    stop: Stop = Stop.PROCESS
    restart_s: float = 1.0
    probe_ms: float = 0.0
    connection_ms: float = 0.0
    connection_delay_ms: float = 0.0
    one_way_delay_ms: float = 0.0
    reported_state: str | None = None
    reported_in_flight: int | None = None
    report_lag_s: float = 0.0
    body_bytes: int = 0
    rules: list[Rule] = []
    keep_history: bool = True
    history_file: str | None = None

    def find_rule(self, path: str) -> Rule | None:
        """Returns the first rule that matches a path."""
        for rule in self.rules:
            if path.startswith(rule.path_prefix):
                return rule
        return None

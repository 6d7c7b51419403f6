"""Callers on persistent connections that record their requests."""

import enum
import http.client
import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from egretrock_standins.fleet_runner import Answer

#: Time that a caller waits for an answer; longer than any deadline.
TIMEOUT_S = 4.0
DEADLINE_MS = 2000
#: Range of the pause between two requests of a caller.
_PAUSE_S = (0.01, 0.08)
#: Pause after a connection was refused or lost.
_RECONNECT_S = 0.05


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    MIXED = "mixed"  # a success, but not the complete answer to this request
    REFUSED = "refused"  # the answer guarantees that it did not run
    FAILED = "failed"  # an answer that guarantees nothing
    CUT = "cut"  # the connection ended before a complete answer
    SILENT = "silent"  # no answer in time


class RequestRecord(NamedTuple):
    """One request as its caller saw it; times count from the load's start."""

    request_id: str
    gateway: int
    is_idempotent: bool
    key: str
    sent_s: float
    ended_s: float
    outcome: Outcome
    status: int


class CallerProtocol(NamedTuple):
    """How callers talk to a deployment.

    Attributes:
        headers: Returns the headers of a request from its id and key.
        path_prefixes: Path prefix of idempotent requests, and of the others;
            the request id follows.
        is_own_answer: Whether a success is the complete answer to the request
            with an id.
        not_run_statuses: Statuses that guarantee that a request did not run.
    """

    headers: Callable[[str, str], dict[str, str]]
    path_prefixes: tuple[str, str]
    is_own_answer: Callable[[Answer, str], bool]
    not_run_statuses: frozenset[int]


class Callers:
    """Threads, each of which sends one request after the other.

    Args:
        addresses: ``"ip:port"`` of each gateway.
        protocol: How to talk to the gateways.
        keys: Keys to choose from.
        count: Number of threads.
        seed: Seed of the choice of gateways, request kinds, keys and pauses.

    Attributes:
        records: Requests that have ended.
        started_s: Start of the load on the monotonic clock.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        protocol: CallerProtocol,
        keys: Sequence[str],
        count: int,
        seed: int,
    ) -> None:
        self.records: list[RequestRecord] = []
        self.started_s = time.monotonic()
        self._addresses = addresses
        self._protocol = protocol
        self._keys = keys
        self._stop_event = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run_caller, args=(n, random.Random(f"{seed} {n}"))
            )
            for n in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def now_s(self) -> float:
        """Returns the seconds since the start of the load."""
        return time.monotonic() - self.started_s

    def stop(self) -> None:
        """Sends no more requests and waits for those in flight."""
        self._stop_event.set()
        for thread in self._threads:
            thread.join(2 * TIMEOUT_S)

    def _run_caller(self, number: int, rng: random.Random) -> None:
        connections: dict[int, http.client.HTTPConnection] = {}
        count = 0
        while not self._stop_event.is_set():
            count += 1
            gateway = rng.randrange(len(self._addresses))
            connection = connections.get(gateway)
            if connection is None:
                host, _, port = self._addresses[gateway].rpartition(":")
                connection = http.client.HTTPConnection(
                    host, int(port), timeout=TIMEOUT_S
                )
                connections[gateway] = connection
            record = self._send(
                connection,
                f"c{number}-{count}",
                gateway,
                rng.random() < 0.5,
                rng.choice(self._keys),
            )
            self.records.append(record)
            if record.outcome in (Outcome.CUT, Outcome.SILENT):
                connections.pop(gateway).close()
                self._stop_event.wait(_RECONNECT_S)
            self._stop_event.wait(rng.uniform(*_PAUSE_S))
        for connection in connections.values():
            connection.close()

    def _send(
        self,
        connection: http.client.HTTPConnection,
        request_id: str,
        gateway: int,
        is_idempotent: bool,
        key: str,
    ) -> RequestRecord:
        protocol = self._protocol
        sent_s, status = self.now_s(), 0
        method, body = ("GET", None) if is_idempotent else ("POST", b"pay")
        try:
            connection.request(
                method,
                protocol.path_prefixes[0 if is_idempotent else 1] + request_id,
                body,
                protocol.headers(request_id, key),
            )
            response = connection.getresponse()
            headers = {k.lower(): v for k, v in response.getheaders()}
            answer = Answer(response.status, headers, response.read())
            status = answer.status
            outcome = self._classify(answer, request_id)
        except TimeoutError:
            outcome = Outcome.SILENT
        except (OSError, http.client.HTTPException):
            outcome = Outcome.CUT
        return RequestRecord(
            request_id,
            gateway,
            is_idempotent,
            key,
            sent_s,
            self.now_s(),
            outcome,
            status,
        )

    def _classify(self, answer: Answer, request_id: str) -> Outcome:
        if answer.status in self._protocol.not_run_statuses:
            return Outcome.REFUSED
        if not 200 <= answer.status < 300:
            return Outcome.FAILED
        if self._protocol.is_own_answer(answer, request_id):
            return Outcome.SERVED
        return Outcome.MIXED

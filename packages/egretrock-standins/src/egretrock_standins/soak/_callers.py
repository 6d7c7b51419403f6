"""Callers that keep their connections and remember what they saw."""

import enum
import http.client
import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from egretrock_standins.fleet_runner import Answer

#: Time that a caller waits for an answer; above every deadline.
TIMEOUT_S = 4.0
DEADLINE_MS = 2000
_PAUSE_S = (0.01, 0.08)
#: Pause after a connection that was refused or broken.
_RETRY_S = 0.05


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    MIXED = "mixed"  # a success that is not this request's whole answer
    REFUSED = "refused"  # the answer says that it did not run
    FAILED = "failed"  # an answer that promises nothing
    CUT = "cut"  # the connection ended without a whole answer
    SILENT = "silent"  # no answer in time


class RequestRecord(NamedTuple):
    """One request as its caller saw it; times since the start of the load."""

    request_id: str
    gateway: int
    is_repeatable: bool
    key: str
    sent_s: float
    ended_s: float
    outcome: Outcome
    status: int


class CallerProtocol(NamedTuple):
    """How a deployment is spoken to.

    Attributes:
        headers: Returns the headers of a request from its id and key.
        path: Path of repeatable requests, and of the others.
        is_own: Whether a success is the whole answer to a request id.
        not_run: Statuses that promise that the request has not run.
    """

    headers: Callable[[str, str], dict[str, str]]
    path: tuple[str, str]
    is_own: Callable[[Answer, str], bool]
    not_run: frozenset[int]


class Callers:
    """Threads that send requests one after the other.

    Args:
        addresses: ``"ip:port"`` of each gateway.
        protocol: How to speak.
        keys: Keys to draw from.
        count: Callers at the same time.
        seed: Seed of gateways, kinds and pauses.
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
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._call, args=(n, random.Random(f"{seed} {n}"))
            )
            for n in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def now_s(self) -> float:
        """Returns the seconds since the start of the load."""
        return time.monotonic() - self.started_s

    def stop(self) -> None:
        """Lets the requests under way end, and sends no more."""
        self._is_over.set()
        for thread in self._threads:
            thread.join(2 * TIMEOUT_S)

    def _call(self, number: int, rng: random.Random) -> None:
        connections: dict[int, http.client.HTTPConnection] = {}
        count = 0
        while not self._is_over.is_set():
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
                self._is_over.wait(_RETRY_S)
            self._is_over.wait(rng.uniform(*_PAUSE_S))
        for connection in connections.values():
            connection.close()

    def _send(
        self,
        connection: http.client.HTTPConnection,
        request_id: str,
        gateway: int,
        is_repeatable: bool,
        key: str,
    ) -> RequestRecord:
        protocol = self._protocol
        sent_s, status = self.now_s(), 0
        method, body = ("GET", None) if is_repeatable else ("POST", b"pay")
        try:
            connection.request(
                method,
                protocol.path[0 if is_repeatable else 1] + request_id,
                body,
                protocol.headers(request_id, key),
            )
            response = connection.getresponse()
            names = {k.lower(): v for k, v in response.getheaders()}
            answer = Answer(response.status, names, response.read())
            status = answer.status
            outcome = self._judge(answer, request_id)
        except TimeoutError:
            outcome = Outcome.SILENT
        except (OSError, http.client.HTTPException):
            outcome = Outcome.CUT
        return RequestRecord(
            request_id,
            gateway,
            is_repeatable,
            key,
            sent_s,
            self.now_s(),
            outcome,
            status,
        )

    def _judge(self, answer: Answer, request_id: str) -> Outcome:
        if answer.status in self._protocol.not_run:
            return Outcome.REFUSED
        if not 200 <= answer.status < 300:
            return Outcome.FAILED
        if self._protocol.is_own(answer, request_id):
            return Outcome.SERVED
        return Outcome.MIXED

"""A node on loopback sockets with fake parts and recording targets."""

import contextlib
import re
import socket
import threading
import time

from twisted.internet import reactor, task
from twisted.internet.threads import blockingCallFromThread

from egretrock_node.protocol.http import TargetProtocol
from egretrock_node.tests.path_fakes import (
    CountingCounters,
    make_config,
    make_parts,
    make_pipeline,
)
from egretrock_node.transport.caller import CallerServer, CallerServerSettings
from egretrock_node.transport.target import TargetPool

TIMEOUT_S = 5.0
OK = b"HTTP/1.1 200 OK\r\nTarget-Instance: i1\r\nContent-Length: 2\r\n\r\nok"
KEY = b"Authorization: Bearer secret-key\r\n"
GET = b"GET /records/1 HTTP/1.1\r\nHost: a\r\n" + KEY
POST = b"POST /records/1 HTTP/1.1\r\nHost: a\r\n" + KEY
PAYOUT = b"POST /payouts HTTP/1.1\r\nHost: a\r\n" + KEY
PAYOUT += b"Content-Length: 3\r\n\r\npay"


def ok_answer(text):
    """Returns an OK answer with a body of two bytes."""
    return OK[:-2] + text


def wait_until(condition, timeout_s=TIMEOUT_S):
    give_up_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < give_up_s, (
            f"condition is not true within {timeout_s} s"
        )
        time.sleep(0.005)


def start_reactor():
    """Runs the reactor in a thread, once per process."""
    if not reactor.running:
        threading.Thread(target=reactor.run, args=(False,), daemon=True).start()
        wait_until(lambda: reactor.running)


def in_reactor(function, *args):
    return blockingCallFromThread(reactor, function, *args)


class NodeHarness:
    """A node and its targets; close it after the scenario."""

    def __init__(
        self,
        target_count=1,
        deadline_ms=10_000,
        protocol=None,
        pipeline_settings=None,
        **settings,
    ):
        start_reactor()
        self._protocol = protocol or TargetProtocol()
        self.targets = [RecordingTarget() for _ in range(target_count)]
        self.addresses = [target.address for target in self.targets]
        self.parts = make_parts(make_config(self.addresses, deadline_ms))
        self.counters = CountingCounters()
        in_reactor(
            self._open, CallerServerSettings(**settings), pipeline_settings
        )

    def _open(self, settings, pipeline_settings):
        clock, counters = time.monotonic, self.counters
        self.pool = TargetPool(reactor, clock, counters, self._protocol)
        self.pipeline = make_pipeline(
            self.parts, self.pool, counters, **(pipeline_settings or {})
        )
        self.pool.observer = self.pipeline
        self.server = CallerServer(
            reactor,
            self.pipeline,
            clock,
            counters,
            settings,
            self.pipeline.answer_budget,
        )
        self.port = self.server.listen("127.0.0.1:0").getHost().port
        self.tick_loop = task.LoopingCall(self._tick)
        self.tick_loop.start(0.01)

    def _tick(self):
        for part in (
            self.pipeline.on_tick,
            self.server.close_expired,
            self.pool.close_expired,
        ):
            part(time.monotonic())

    def close(self):
        for stop in (self.server.close, self.pool.close, self.tick_loop.stop):
            in_reactor(stop)
        for target in self.targets:
            target.close()

    def publish(self, **changes):
        config = make_config(self.addresses, **changes)
        self.parts.fleet.config.return_value = config

    def caller(self, data=b""):
        return Caller(self.port, data)

    def received(self):
        """Returns all bytes that the targets received."""
        return b"".join(bytes(target.received_bytes) for target in self.targets)


class Caller:
    """A caller that sends raw bytes."""

    def __init__(self, port, data):
        self.socket = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
        self.stream = self.socket.makefile("rb")
        self.send(data)

    def send(self, data):
        self.socket.sendall(data)

    def read_head(self):
        """Reads a response head; returns its status and lower-case fields."""
        status = self._read_line()
        fields = {}
        while line := self._read_line():
            name, value = line.lower().split(": ", 1)
            fields[name] = value
        return int(status.split()[1]), fields

    def read_answer(self):
        """Reads a whole answer; raises EOFError if it is truncated."""
        status, fields = self.read_head()
        body = b""
        if "content-length" in fields:
            body = self._read_exactly(int(fields["content-length"]))
        elif fields.get("transfer-encoding") == "chunked":
            while size := int(self._read_line(), 16):
                body += self._read_exactly(size + 2)[:-2]
            self._read_exactly(2)
        return status, fields, body

    def status(self, data):
        """Sends a request and returns the status of its answer."""
        self.send(data)
        return self.read_answer()[0]

    def read_rest(self):
        """Reads until the connection is closed or reset."""
        data = b""
        with contextlib.suppress(ConnectionError):
            while chunk := self.stream.read1():
                data += chunk
        return data

    def close(self):
        self.stream.close()
        self.socket.close()

    def _read_line(self):
        line = self.stream.readline()
        if not line.endswith(b"\r\n"):
            raise EOFError
        return line[:-2].decode("latin-1")

    def _read_exactly(self, size):
        data = self.stream.read(size)
        if len(data) < size:
            raise EOFError
        return data


def close_blocked(endpoint):
    """Closes a socket on which another thread may be blocked."""
    with contextlib.suppress(OSError):
        endpoint.shutdown(socket.SHUT_RDWR)
    endpoint.close()


class RecordingTarget:
    """Records requests and answers each with the next entry of ``script``.

    An entry is bytes to send, or a function that takes the connection and
    answers itself; if it returns False, the connection is closed. The answer
    is OK to DELETE and when the script is empty.
    """

    def __init__(self):
        self.received_bytes = bytearray()
        self.heads, self.bodies, self.script = [], [], []
        self.head_connections = []  # connection of each head
        self.sockets = []
        self.closed_count = 0  # closed connections
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def close(self):
        for endpoint in (self.listener, *self.sockets):
            close_blocked(endpoint)

    def _accept_connections(self):
        with contextlib.suppress(OSError):
            while True:
                self.sockets.append(self.listener.accept()[0])
                threading.Thread(
                    target=self._serve_connection,
                    args=self.sockets[-1:],
                    daemon=True,
                ).start()

    def _serve_connection(self, connection):
        with contextlib.suppress(OSError, EOFError):
            while self._serve_request(connection):
                pass
        self.closed_count += 1
        connection.close()

    def _serve_request(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            data += self.receive(connection)
        head, data = data.split(b"\r\n\r\n", 1)
        uses_script = self.script and not head.startswith(b"DELETE")
        answer = self.script.pop(0) if uses_script else OK
        self.head_connections.append(connection)
        self.heads.append(head)
        if callable(answer):
            return answer(connection) is not False
        if b"Transfer-Encoding: chunked" in head:
            while not data.endswith(b"0\r\n\r\n"):
                data += self.receive(connection)
        length = re.search(rb"Content-Length: (\d+)", head)
        while length and len(data) < int(length.group(1)):
            data += self.receive(connection)
        self.bodies.append(data)
        connection.sendall(answer)
        return True

    def receive(self, connection):
        data = connection.recv(65536)
        if not data:
            raise EOFError
        self.received_bytes += data
        return data

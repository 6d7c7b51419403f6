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

WAIT_S = 5.0
OK = b"HTTP/1.1 200 OK\r\nTarget-Instance: i1\r\nContent-Length: 2\r\n\r\nok"
KEY = b"Authorization: Bearer secret-key\r\n"
GET = b"GET /records/1 HTTP/1.1\r\nHost: a\r\n" + KEY
POST = b"POST /records/1 HTTP/1.1\r\nHost: a\r\n" + KEY
PAYOUT = b"POST /payouts HTTP/1.1\r\nHost: a\r\n" + KEY
PAYOUT += b"Content-Length: 3\r\n\r\npay"


def ok(text):
    """An answer with two bytes of its own."""
    return OK[:-2] + text


def wait_until(condition, timeout_s=WAIT_S):
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, f"not true within {timeout_s} s"
        time.sleep(0.005)


def start_reactor():
    """Runs the reactor in a thread; later calls change nothing."""
    if not reactor.running:
        threading.Thread(target=reactor.run, args=(False,), daemon=True).start()
        wait_until(lambda: reactor.running)


def in_reactor(function, *args):
    return blockingCallFromThread(reactor, function, *args)


class World:
    """One node and its targets; close it after the scenario."""

    def __init__(self, target_count=1, deadline_ms=10_000, **settings):
        start_reactor()
        self.targets = [RecordingTarget() for _ in range(target_count)]
        self.addresses = [target.address for target in self.targets]
        self.parts = make_parts(make_config(self.addresses, deadline_ms))
        self.counters = CountingCounters()
        in_reactor(self._open, CallerServerSettings(**settings))

    def _open(self, settings):
        clock, counters = time.monotonic, self.counters
        self.pool = TargetPool(reactor, clock, counters, TargetProtocol())
        self.pipeline = make_pipeline(self.parts, self.pool, counters)
        self.pool.observer = self.pipeline
        self.server = CallerServer(
            reactor, self.pipeline, clock, counters, settings
        )
        self.port = self.server.listen("127.0.0.1:0").getHost().port
        self.loop = task.LoopingCall(self._tick)
        self.loop.start(0.01)

    def _tick(self):
        for part in (self.pipeline.on_tick, self.server.sweep, self.pool.sweep):
            part(time.monotonic())

    def close(self):
        for end in (self.server.close, self.pool.close, self.loop.stop):
            in_reactor(end)
        for target in self.targets:
            target.close()

    def publish(self, **changes):
        config = make_config(self.addresses, **changes)
        self.parts.fleet.config.return_value = config

    def caller(self, data=b""):
        return Caller(self.port, data)

    def received(self):
        """All bytes that targets received."""
        return b"".join(bytes(target.raw) for target in self.targets)


class Caller:
    """A caller that speaks by raw bytes."""

    def __init__(self, port, data):
        self.socket = socket.create_connection(("127.0.0.1", port), WAIT_S)
        self.file = self.socket.makefile("rb")
        self.send(data)

    def send(self, data):
        self.socket.sendall(data)

    def head(self):
        """Reads a head; returns status and lower-case fields."""
        status = self._line()
        fields = {}
        while line := self._line():
            name, value = line.lower().split(": ", 1)
            fields[name] = value
        return int(status.split()[1]), fields

    def answer(self):
        """Reads a whole answer; EOFError where it is cut."""
        status, fields = self.head()
        body = b""
        if "content-length" in fields:
            body = self._take(int(fields["content-length"]))
        elif fields.get("transfer-encoding") == "chunked":
            while size := int(self._line(), 16):
                body += self._take(size + 2)[:-2]
            self._take(2)
        return status, fields, body

    def status(self, data):
        """Sends a request and returns the status of its answer."""
        self.send(data)
        return self.answer()[0]

    def rest(self):
        """Reads to the end of the connection, however it ends."""
        data = b""
        with contextlib.suppress(ConnectionError):
            while piece := self.file.read1():
                data += piece
        return data

    def close(self):
        self.file.close()
        self.socket.close()

    def _line(self):
        line = self.file.readline()
        if not line.endswith(b"\r\n"):
            raise EOFError
        return line[:-2].decode("latin-1")

    def _take(self, size):
        data = self.file.read(size)
        if len(data) < size:
            raise EOFError
        return data


def shut(endpoint):
    """Closes a socket that another thread may be blocked on."""
    with contextlib.suppress(OSError):
        endpoint.shutdown(socket.SHUT_RDWR)
    endpoint.close()


class RecordingTarget:
    """Records what it receives and answers with the next of ``script``.

    An entry of the script is bytes to send, or a function of the connection
    that answers by itself; the connection is closed where it returns False.
    Without an entry, and to DELETE, the answer is OK.
    """

    def __init__(self):
        self.raw = bytearray()
        self.heads, self.bodies, self.script = [], [], []
        self.used = []  # the connection of each head
        self.sockets = []
        self.lost = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        for endpoint in (self.listener, *self.sockets):
            shut(endpoint)

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                self.sockets.append(self.listener.accept()[0])
                threading.Thread(
                    target=self._serve, args=self.sockets[-1:], daemon=True
                ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError, EOFError):
            while self._serve_one(connection):
                pass
        self.lost += 1
        connection.close()

    def _serve_one(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            data += self.receive(connection)
        head, data = data.split(b"\r\n\r\n", 1)
        scripted = self.script and not head.startswith(b"DELETE")
        answer = self.script.pop(0) if scripted else OK
        self.used.append(connection)
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
        self.raw += data
        return data

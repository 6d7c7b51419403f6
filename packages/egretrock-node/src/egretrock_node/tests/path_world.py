"""A node on loopback sockets with fake parts and a recording target."""

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


def start_reactor():
    if not reactor.running:
        run = threading.Thread(
            target=reactor.run, args=(False,), daemon=True, name="reactor"
        )
        run.start()
        wait_until(lambda: reactor.running)


def in_reactor(function, *args):
    return blockingCallFromThread(reactor, function, *args)


def wait_until(condition, timeout_s=WAIT_S):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.005)
    raise AssertionError(f"not true within {timeout_s} s")


class World:
    """One node and its targets; close it after the scenario."""

    def __init__(self, target_count=1, deadline_ms=10_000, **settings):
        start_reactor()
        self.targets = [RecordingTarget() for _ in range(target_count)]
        self.addresses = [target.address for target in self.targets]
        self.parts = make_parts(make_config(self.addresses, deadline_ms))
        self.counters = CountingCounters()
        in_reactor(self._open, settings)

    def _open(self, settings):
        clock = time.monotonic
        self.pool = TargetPool(reactor, clock, self.counters, TargetProtocol())
        self.pipeline = make_pipeline(self.parts, self.pool, self.counters)
        self.pool.observer = self.pipeline
        self.server = CallerServer(
            reactor,
            self.pipeline,
            clock,
            self.counters,
            CallerServerSettings(**settings),
        )
        self.port = self.server.listen("127.0.0.1:0").getHost().port
        self.loop = task.LoopingCall(self._tick)
        self.loop.start(0.01)

    def _tick(self):
        now_s = time.monotonic()
        self.pipeline.on_tick(now_s)
        self.server.sweep(now_s)
        self.pool.sweep(now_s)

    def close(self):
        in_reactor(self.server.close)
        in_reactor(self.pool.close)
        in_reactor(self.loop.stop)
        for target in self.targets:
            target.close()

    def publish(self, config):
        in_reactor(setattr, self.parts.fleet, "published", config)

    def caller(self):
        return Caller(self.port)

    def received(self):
        """All bytes that targets received."""
        return b"".join(bytes(target.raw) for target in self.targets)

    def heads(self):
        """Heads of all requests at targets, in order."""
        return [head for target in self.targets for head in target.heads]


class Caller:
    """A caller that speaks by raw bytes."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), WAIT_S)
        self.buffer = b""

    def send(self, data):
        self.socket.sendall(data)

    def request(self, path="/records/1", headers=(), method="GET", body=None):
        lines = [f"{method} {path} HTTP/1.1", "Host: a", *headers]
        if not any("authorization" in h.lower() for h in headers):
            lines.append("Authorization: Bearer secret-key")
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join([*lines, "", ""]).encode() + (body or b""))

    def head(self):
        """Reads a head; returns status and lower-case fields."""
        while b"\r\n\r\n" not in self.buffer:
            self._fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        return int(lines[0].split()[1]), fields

    def answer(self):
        """Reads an answer with Content-Length or chunks."""
        status, fields = self.head()
        if status == 100:
            return self.answer()
        body = b""
        if "content-length" in fields:
            body = self._take(int(fields["content-length"]))
        elif fields.get("transfer-encoding") == "chunked":
            while size := int(self._line(), 16):
                body += self._take(size)
                self._take(2)
            self._take(2)
        return status, fields, body

    def rest(self):
        """Reads until the end; returns the bytes."""
        try:
            while True:
                self._fill()
        except (EOFError, ConnectionError):
            return self.buffer

    def close(self):
        self.socket.close()

    def _line(self):
        while b"\r\n" not in self.buffer:
            self._fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def _take(self, size):
        while len(self.buffer) < size:
            self._fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def _fill(self):
        data = self.socket.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data


def shut(endpoint):
    """Closes a socket that another thread may be blocked on."""
    with contextlib.suppress(OSError):
        endpoint.shutdown(socket.SHUT_RDWR)
    endpoint.close()


OK = b"HTTP/1.1 200 OK\r\nTarget-Instance: i1\r\nContent-Length: 2\r\n\r\nok"


class RecordingTarget:
    """Records what it receives and answers with the next of ``script``.

    An entry of the script is bytes to send, or a function of the connection
    that answers by itself; the connection is closed where it returns False.
    Without an entry, and to DELETE, the answer is OK.
    """

    def __init__(self):
        self.raw = bytearray()
        self.heads = []
        self.bodies = []
        self.used = []  # the connection of each head
        self.script = []
        self.accepted = self.lost = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self._sockets = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.refuse()
        for connection in self._sockets:
            shut(connection)

    def refuse(self):
        """Closes the listening socket, so that connections are refused."""
        shut(self.listener)

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            self._sockets.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        try:
            while self._serve_one(connection):
                pass
        except (OSError, EOFError):
            pass
        self.lost += 1
        connection.close()

    def _serve_one(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            data += self.receive(connection)
        head, data = data.split(b"\r\n\r\n", 1)
        self.heads.append(head)
        self.used.append(connection)
        scripted = self.script and not head.startswith(b"DELETE")
        answer = self.script.pop(0) if scripted else OK
        if callable(answer):
            return answer(connection) is not False
        if re.search(rb"(?i)transfer-encoding: chunked", head):
            while not data.endswith(b"0\r\n\r\n"):
                data += self.receive(connection)
        length = re.search(rb"(?i)content-length: (\d+)", head)
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

"""HTTP/1.1 server of a stand-in target, with connection faults."""

import os
import time
from typing import Any

import msgspec
from twisted.internet import protocol, reactor
from twisted.web import http

from egretrock_standins.http import (
    ControlError,
    ControlResource,
    parse_address,
)
from egretrock_standins.target._history import RunRecord
from egretrock_standins.target._options import Rule, Stop, TargetOptions
from egretrock_standins.target._target import Target

CRASH_EXIT_CODE = 70
#: Number of pieces in which a slow body is sent.
SLOW_BODY_PIECES = 10


class _Request(http.Request):
    """One request; implements ``Exchange`` for the target."""

    record: RunRecord
    rule: Rule | None = None
    deadline_s: float | None = None
    _closed = False
    _is_answered_early = False

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Receives a part of the body; answers early if a rule says so."""
        super().handleContentChunk(data)
        if self._is_answered_early:
            return
        # Twisted sets the request line of the request after its body.
        self.uri = self.channel._path
        options = self.channel.factory.target.options
        rule = options.find_rule(self.uri.decode("latin-1"))
        if rule is None or rule.early_bytes is None:
            return
        if self.content.tell() >= rule.early_bytes:
            self._answer_early(rule)

    def process(self) -> None:
        """Handles a request after its body has been received."""
        self.target_server: TargetServer = self.channel.factory
        target = self.target_server.target
        if self._is_answered_early:
            self.finish()
            return
        self.notifyFinish().addErrback(self._on_closed)
        if self.method == b"GET" and self.path in (b"/health", b"/load"):
            target.counts["probes"] += 1
            target.add_work(target.options.probe_ms)
            report = target.health if self.path == b"/health" else target.load
            self._send(200, msgspec.json.encode(report()))
        elif self.method == b"DELETE" and self.path.startswith(b"/requests/"):
            self._cancel_other(target)
        else:
            self._offer(target)

    def answer(self) -> None:
        """Sends the answer to a request that ran."""
        options = self.target_server.target.options
        body = msgspec.json.encode(self._answer_value())
        body_bytes = options.body_bytes
        if self.rule is not None and self.rule.body_bytes is not None:
            body_bytes = self.rule.body_bytes
        self._send(200, body.ljust(body_bytes))

    def _answer_value(self) -> dict[str, Any]:
        return {
            "target": self.target_server.target.options.target_id,
            "instance": self.record.instance,
            "request_id": self.record.request_id,
            "organisation": self.record.organisation,
            "method": self.record.method,
            "uri": self.record.uri,
            "nonce": self.getHeader("x-nonce") or "",
            "received_bytes": self._received_bytes,
        }

    def refuse(self, not_run: bool, reason: str) -> None:
        """Sends a 503; if the request did not run, a header says so."""
        if not_run:
            self.setHeader(b"Target-Not-Run", b"1")
        nonce = self.getHeader("x-nonce") or ""
        body = {"error": reason, "nonce": nonce}
        self._send(503, msgspec.json.encode(body))

    def _answer_early(self, rule: Rule) -> None:
        self._is_answered_early = True
        self.method = self.channel._command
        self.clientproto = self.channel._version
        self.target_server = self.channel.factory
        target = self.target_server.target
        self._received_bytes = self.content.tell()
        self.record = self._make_record(target)
        self.record.start_s = time.monotonic()
        target.history.start(self.record)
        target.history.end(self.record, time.monotonic(), "answered_early")
        target.counts["answered_early"] += 1
        body = msgspec.json.encode(self._answer_value())
        self._write_head(target, rule.early_status, body)
        self.write(body)

    def _offer(self, target: Target) -> None:
        deadline = self.getHeader("egretrock-deadline-ms")
        if deadline is not None:
            remaining_s = int(deadline) / 1000
            self.deadline_s = reactor.seconds() + remaining_s
        uri = self.uri.decode("latin-1")
        self._received_bytes = len(self.content.read())
        self.rule = target.options.find_rule(uri)
        self.record = self._make_record(target)
        target.offer(self)

    def _make_record(self, target: Target) -> RunRecord:
        headers: dict[str, list[str]] = {}
        for name, values in self.requestHeaders.getAllRawHeaders():
            text = [value.decode("latin-1") for value in values]
            headers[name.decode("latin-1").lower()] = text
        return RunRecord(
            target_id=target.options.target_id,
            instance=target.instance,
            request_id=headers.get("egretrock-request-id", [""])[0],
            organisation=headers.get("egretrock-organisation", [""])[0],
            method=self.method.decode("latin-1"),
            uri=self.uri.decode("latin-1"),
            headers=headers,
            start_s=0.0,
        )

    def _cancel_other(self, target: Target) -> None:
        request_id = self.path.removeprefix(b"/requests/").decode()
        other = target.find(request_id)
        if other is None:
            self._send(404, b'{"run_state":"unknown"}')
            return
        has_run = target.cancel(other, "cancelled")
        other.refuse(not has_run, "cancelled")
        state = b"run" if has_run else b"not_run"
        self._send(200, b'{"run_state":"' + state + b'"}')

    def _on_closed(self, _: Any) -> None:
        self._closed = True
        if hasattr(self, "record"):
            self.target_server.target.cancel(self, "connection_closed")

    def _send(self, status: int, body: bytes) -> None:
        delay_s = self.target_server.target.options.one_way_delay_ms / 1000
        if delay_s > 0:
            reactor.callLater(delay_s, self._send_now, status, body)
        else:
            self._send_now(status, body)

    def _send_now(self, status: int, body: bytes) -> None:
        if self._closed or self.channel is None or self.channel.silent:
            return
        self._write_head(self.target_server.target, status, body)
        rule = self.rule if status == 200 else None
        if rule is not None and rule.truncate_at_bytes is not None:
            self.write(body[: rule.truncate_at_bytes])
            self.channel.loseConnection()
        elif rule is not None and rule.slow_body_s > 0:
            self._send_slowly(body, rule.slow_body_s)
        else:
            self.write(body)
            self.finish()

    def _write_head(self, target: Target, status: int, body: bytes) -> None:
        self.setResponseCode(status)
        self.setHeader(b"Content-Type", b"application/json")
        self.setHeader(b"Content-Length", str(len(body)).encode())
        self.setHeader(b"Target-Instance", target.instance.encode())
        self.setHeader(b"Target-State", target.reported_state.encode())

    def _send_slowly(self, body: bytes, duration_s: float) -> None:
        piece_bytes = -(-len(body) // SLOW_BODY_PIECES)
        pieces = [
            body[i : i + piece_bytes] for i in range(0, len(body), piece_bytes)
        ]

        def send_next() -> None:
            if self._closed:
                return
            self.write(pieces.pop(0))
            if pieces:
                reactor.callLater(duration_s / SLOW_BODY_PIECES, send_next)
            else:
                self.finish()

        send_next()


class _Channel(http.HTTPChannel):
    """A connection with optional setup delay, network delay and silence."""

    requestFactory = _Request  # noqa: N815 (name of twisted.web)
    silent = False

    def connectionMade(self) -> None:  # noqa: N802 (name of twisted)
        """Counts the connection and sets when its bytes are first read."""
        super().connectionMade()
        options = self.factory.target.options
        self.factory.channels.add(self)
        self.factory.target.counts["connections"] += 1
        self.factory.target.add_work(options.connection_ms)
        self._read_from_s = (
            reactor.seconds() + options.connection_delay_ms / 1000
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles bytes after the set delays; drops them if silent."""
        if self.silent:
            return
        delay_s = self.factory.target.options.one_way_delay_ms / 1000
        delay_s = max(delay_s, self._read_from_s - reactor.seconds())
        if delay_s > 0:
            reactor.callLater(delay_s, self._handle, data)
        else:
            super().dataReceived(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Removes the connection and cancels its requests."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def _handle(self, data: bytes) -> None:
        if not self.silent and self in self.factory.channels:
            super().dataReceived(data)


class TargetServer(protocol.ServerFactory):
    """Serves one target on its address, also after a restart."""

    def __init__(self, options: TargetOptions) -> None:
        self.target = Target(options, reactor, self._on_crash)
        self.channels: set[_Channel] = set()
        self.address = options.address
        self._listen()

    def buildProtocol(self, addr: Any) -> _Channel:  # noqa: N802
        """Returns the server side of a new connection."""
        channel = _Channel()
        channel.factory = self
        channel.callLater = reactor.callLater
        channel.timeOut = None
        return channel

    def log(self, request: http.Request) -> None:
        """Writes no access log; the target's history replaces it."""

    def silence(self) -> int:
        """Makes all open connections silent; returns their number."""
        for channel in self.channels:
            channel.silent = True
        return len(self.channels)

    def _on_crash(self) -> None:
        if self.target.options.stop is Stop.PROCESS:
            os._exit(CRASH_EXIT_CODE)
        self._port.stopListening()
        for channel in list(self.channels):
            channel.transport.abortConnection()
        reactor.callLater(self.target.options.restart_s, self._restart)

    def _restart(self) -> None:
        self.target.new_instance()
        self._listen()

    def _listen(self) -> None:
        host, port = parse_address(self.address)
        self._port = reactor.listenTCP(port, self, 1024, interface=host)
        # Replaces port 0, so that a restart listens on the same port.
        self.address = f"{host}:{self._port.getHost().port}"


def control_resource(servers: list[TargetServer]) -> ControlResource:
    """Returns the control endpoint of all targets of a process.

    Calls: ``GET targets``, ``GET history/{id}``, ``GET stats/{id}``,
    ``PUT options/{id}`` (fields to change), ``POST
    action/{id}/{cold|drain|silence|crash}``.
    """
    by_id = {s.target.options.target_id: s for s in servers}

    def change_options(rest: list[str], body: bytes) -> TargetOptions:
        target = by_id[rest[0]].target
        tree = msgspec.to_builtins(target.options)
        tree |= msgspec.json.decode(body, type=dict)
        target.options = msgspec.convert(tree, TargetOptions)
        return target.options

    def run_action(rest: list[str], body: bytes) -> Any:
        target_id, action = rest
        server = by_id[target_id]
        if action == "cold":
            server.target.new_instance()
        elif action == "drain":
            server.target.draining = True
        elif action == "silence":
            return server.silence()
        elif action == "crash":
            reactor.callLater(0, server.target.crash)
        else:
            raise ControlError(
                f"{action!r}; allowed are cold, drain, silence, crash"
            )
        return server.target.instance

    return ControlResource(
        {
            "GET targets": lambda rest, body: {
                target_id: server.address for target_id, server in by_id.items()
            },
            "GET history": lambda rest, body: (
                by_id[rest[0]].target.history.records
            ),
            "GET stats": lambda rest, body: by_id[rest[0]].target.stats(),
            "PUT options": change_options,
            "POST action": run_action,
        }
    )

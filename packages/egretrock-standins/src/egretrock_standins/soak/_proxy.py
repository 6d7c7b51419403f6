"""A loopback TCP proxy that injects faults into its connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

_BUFFER_BYTES = 65_536
#: Interval at which a held connection checks the mode.
_POLL_S = 0.02
#: Delay of each chunk of data in the mode DELAY.
DELAY_S = 0.15


class ProxyMode(enum.Enum):
    """What the proxy does to open and new connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"  # nothing passes in either direction
    NO_ANSWERS = "no_answers"  # data from the server is held back
    RESET = "reset"  # open and new connections are reset


class LoopbackProxy:
    """Forwards connections to one address.

    Args:
        host: Loopback address to listen on.
        target: ``"ip:port"`` to which connections are forwarded.
        port: Port to listen on; 0 picks a free one.

    Attributes:
        address: ``"ip:port"`` on which the proxy listens.
    """

    def __init__(self, host: str, target: str, port: int = 0) -> None:
        target_host, _, target_port = target.rpartition(":")
        self._target = target_host, int(target_port)
        self._mode = ProxyMode.PASS
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, port), backlog=256)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes the mode for open and new connections."""
        self._mode = mode
        if mode is ProxyMode.RESET:
            with self._lock:
                pairs = list(self._pairs)
            for pair in pairs:
                for sock in pair:
                    _reset(sock)

    def close(self) -> None:
        """Ends the proxy and its connections."""
        self._listener.close()
        self.set_mode(ProxyMode.RESET)

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            if self._mode is ProxyMode.RESET:
                _reset(caller)
                continue
            threading.Thread(
                target=self._forward, args=(caller,), daemon=True
            ).start()

    def _forward(self, caller: socket.socket) -> None:
        try:
            server = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            _reset(caller)
            return
        server.settimeout(None)
        for sock in (caller, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = caller, server
        with self._lock:
            self._pairs.add(pair)
        answers = threading.Thread(
            target=self._copy, args=(server, caller, True), daemon=True
        )
        answers.start()
        self._copy(caller, server, False)
        answers.join()
        with self._lock:
            self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _copy(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        try:
            while data := source.recv(_BUFFER_BYTES):
                self._apply_mode(is_answer)
                sink.sendall(data)
            self._apply_mode(is_answer)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side has closed the connection, so it is reset on both.
            _reset(source)
            _reset(sink)

    def _apply_mode(self, is_answer: bool) -> None:
        if self._mode is ProxyMode.DELAY:
            time.sleep(DELAY_S)
        while self._mode is ProxyMode.SILENT or (
            is_answer and self._mode is ProxyMode.NO_ANSWERS
        ):
            time.sleep(_POLL_S)


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        # With a linger time of 0, closing sends a reset.
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        sock.close()

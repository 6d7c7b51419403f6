"""A loopback proxy of TCP connections that disturbs them on request."""

import contextlib
import enum
import socket
import struct
import threading
import time

_BUFFER_BYTES = 65_536
#: Steps in which a silenced connection looks whether it may go on.
_POLL_S = 0.02
#: Delay of each piece of data in the mode DELAY.
DELAY_S = 0.15


class ProxyMode(enum.Enum):
    """What the proxy does to its connections, open and new ones."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"  # nothing passes in either direction
    NO_ANSWERS = "no_answers"  # what the server sends is held back
    RESET = "reset"  # connections are reset as they come


class LoopbackProxy:
    """Passes connections on to one address.

    Args:
        host: Own loopback address.
        target: ``"ip:port"`` that connections are passed on to.
        port: Own port; 0 takes a free one.

    Attributes:
        address: ``"ip:port"`` to connect to.
    """

    def __init__(self, host: str, target: str, port: int = 0) -> None:
        target_host, _, target_port = target.rpartition(":")
        self._target = target_host, int(target_port)
        self._mode = ProxyMode.PASS
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._lock = threading.Lock()
        self._listening = socket.create_server((host, port), backlog=256)
        self.address = f"{host}:{self._listening.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes what happens to connections; open ones are included."""
        self._mode = mode
        if mode is ProxyMode.RESET:
            with self._lock:
                pairs = list(self._pairs)
            for pair in pairs:
                for end in pair:
                    _reset(end)

    def close(self) -> None:
        """Ends the proxy and its connections."""
        self._listening.close()
        self.set_mode(ProxyMode.RESET)

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listening.accept()
            except OSError:
                return
            if self._mode is ProxyMode.RESET:
                _reset(caller)
                continue
            threading.Thread(
                target=self._serve, args=(caller,), daemon=True
            ).start()

    def _serve(self, caller: socket.socket) -> None:
        try:
            server = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            _reset(caller)
            return
        server.settimeout(None)
        for end in (caller, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = caller, server
        with self._lock:
            self._pairs.add(pair)
        back = threading.Thread(
            target=self._copy, args=(server, caller, True), daemon=True
        )
        back.start()
        self._copy(caller, server, False)
        back.join()
        with self._lock:
            self._pairs.discard(pair)
        for end in pair:
            end.close()

    def _copy(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        try:
            while data := source.recv(_BUFFER_BYTES):
                self._hold(is_answer)
                sink.sendall(data)
            self._hold(is_answer)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end is gone, so the other one must notice.
            _reset(source)
            _reset(sink)

    def _hold(self, is_answer: bool) -> None:
        if self._mode is ProxyMode.DELAY:
            time.sleep(DELAY_S)
        while self._mode is ProxyMode.SILENT or (
            is_answer and self._mode is ProxyMode.NO_ANSWERS
        ):
            time.sleep(_POLL_S)


def _reset(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        # Without a linger time a close sends a reset.
        linger = struct.pack("ii", 1, 0)
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        end.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        end.close()

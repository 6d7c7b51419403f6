"""Statsd receiver that keeps sums of counters and last values of gauges."""

import collections
import re
import socket
import threading

_METRIC_LINE = re.compile(
    r"(?P<name>[^:]+):(?P<value>[+-]?[0-9.]+)\|(?P<type>\w+)"
)
RECEIVE_BUFFER_BYTES = 4_000_000


class StatsdSink:
    """Collects the metrics of nodes, in a thread that ends with ``close``.

    Attributes:
        address: ``"ip:port"`` to which nodes send.
    """

    def __init__(self, host: str) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((host, 0))
        self._socket.settimeout(0.2)
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._receive, daemon=True)
        self._thread.start()

    def counters(self) -> dict[str, float]:
        """Returns the sum of each counter so far, by name."""
        with self._lock:
            return dict(self._counters)

    def gauges(self) -> dict[str, float]:
        """Returns the last value of each gauge, by name."""
        with self._lock:
            return dict(self._gauges)

    def close(self) -> None:
        """Ends the thread and closes the socket."""
        self._closing.set()
        self._thread.join()
        self._socket.close()

    def _receive(self) -> None:
        while not self._closing.is_set():
            try:
                data = self._socket.recv(65536)
            except TimeoutError:
                continue
            with self._lock:
                for line in data.decode("utf-8", "replace").splitlines():
                    self._add(line)

    def _add(self, line: str) -> None:
        match = _METRIC_LINE.match(line)
        if match is None:
            return
        value = float(match["value"])
        if match["type"] == "c":
            self._counters[match["name"]] += value
        elif match["type"] == "g":
            self._gauges[match["name"]] = value

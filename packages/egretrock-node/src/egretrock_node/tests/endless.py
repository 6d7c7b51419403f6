"""A server that sends an answer without end."""

import socket
import threading
import time

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
#: Start of an answer, and what follows it again and again.
ANSWERS = {
    "short fields": (STATUS_LINE, b"a:b\r\n"),
    "folded lines": (STATUS_LINE + b"a:b\r\n", b" c\r\n"),
    "no line end": (STATUS_LINE, b"x"),
    "interim answers": (b"", b"HTTP/1.1 100 C\r\n\r\n"),
    "a body without a length": (STATUS_LINE + b"\r\n", b"x"),
    "a body with a length": (
        STATUS_LINE + b"Content-Length: 999999999999\r\n\r\n",
        b"x",
    ),
    "large chunks": (CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 500 + b"\r\nx\r\n"),
    "short trailers": (CHUNKED + b"0\r\n", b"a:b\r\n"),
}
BLOCK_BYTES = 65_536


class EndlessServer:
    """Sends one answer without end, until its reader closes.

    Attributes:
        sent_bytes: Bytes that the reader's kernel took.
    """

    def __init__(self, start, repeated, max_s):
        self.sent_bytes = 0
        self._start = start
        self._block = repeated * max(1, BLOCK_BYTES // len(repeated))
        self._listening = socket.create_server(("127.0.0.1", 0))
        port = self._listening.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._end_s = time.monotonic() + max_s
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        connection, _ = self._listening.accept()
        with connection:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, BLOCK_BYTES
            )
            connection.recv(BLOCK_BYTES)
            try:
                connection.sendall(self._start)
                while time.monotonic() < self._end_s:
                    connection.sendall(self._block)
                    self.sent_bytes += len(self._block)
            except OSError:
                pass  # The reader closed the connection.

    def close(self):
        self._listening.close()

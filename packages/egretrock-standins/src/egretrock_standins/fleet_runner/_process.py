"""A child process: readiness, signals, exit code, output, resource use."""

import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

READY_TIMEOUT_S = 20.0
POLL_S = 0.02


class ProcessError(Exception):
    """A process failed to start, ended early or exceeded a timeout."""


class ManagedProcess:
    """A child process, started on construction.

    Args:
        name: Name of the output files, also used in messages.
        arguments: Arguments after the interpreter.
        folder: Folder of the output files.
        ready_line: Whether the process prints a line of JSON once ready.

    Attributes:
        ready_info: Value of that line, once ``wait_ready`` has returned.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        folder: pathlib.Path,
        ready_line: bool = True,
    ) -> None:
        self.name = name
        self.ready_info: dict[str, Any] = {}
        self._out = folder / f"{name}.out"
        self._err = folder / f"{name}.err"
        with open(self._out, "wb") as out, open(self._err, "wb") as err:
            self._popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
            )
        self._ready_line = ready_line

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits for the line of JSON on standard output, if there is one.

        Raises:
            ProcessError: The process ended or printed nothing in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while self._ready_line:
            line, newline, _ = self._out.read_text().partition("\n")
            if newline:
                self.ready_info = json.loads(line)
                return
            if self._popen.poll() is not None:
                raise ProcessError(
                    f"{self.name} ended with {self._popen.returncode}:"
                    f" {self.log()[-2000:]}"
                )
            if time.monotonic() > deadline_s:
                raise ProcessError(
                    f"{self.name} not ready within {timeout_s} s:"
                    f" {self.log()[-2000:]}"
                )
            time.sleep(POLL_S)

    @property
    def pid(self) -> int:
        """Returns the process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Returns the exit code; None while the process runs."""
        return self._popen.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process still runs."""
        self._popen.send_signal(number)

    def wait(self, timeout_s: float) -> int:
        """Waits for the end; returns the exit code."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(
                f"{self.name} still runs after {timeout_s} s"
            ) from error

    def stop(self, timeout_s: float = 5.0) -> int:
        """Ends the process: SIGTERM, then SIGKILL; returns the exit code."""
        if self._popen.poll() is None:
            # A process stopped by SIGSTOP would not handle SIGTERM.
            self._popen.send_signal(signal.SIGCONT)
            self._popen.terminate()
            try:
                self._popen.wait(timeout_s)
            except subprocess.TimeoutExpired:
                self._popen.kill()
        return self._popen.wait()

    def kill(self) -> None:
        """Ends the process by SIGKILL."""
        self._popen.kill()
        self._popen.wait()

    def output(self) -> str:
        """Returns what the process wrote to standard output."""
        return self._out.read_text()

    def log(self) -> str:
        """Returns what the process wrote to standard output and error."""
        return self.output() + self._err.read_text()

    def cpu_s(self) -> float:
        """Returns the CPU seconds used so far; 0 after the end."""
        try:
            stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        except OSError:
            return 0.0
        # Fields 14 and 15 (user and system time) follow the command name,
        # which is in parentheses and may contain spaces.
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / 100

    def memory_bytes(self) -> int:
        """Returns the resident memory; 0 after the end."""
        try:
            statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text()
        except OSError:
            return 0
        return int(statm.split()[1]) * 4096

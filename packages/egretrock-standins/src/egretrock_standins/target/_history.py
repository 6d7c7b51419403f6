"""History of the requests that a target ran, for later checks."""

import pathlib
from typing import IO

import msgspec


class RunRecord(msgspec.Struct):
    """One request that started to run.

    Attributes:
        start_s: Start by the system's monotonic clock, which all processes
            of a machine share.
        end_s: End by the same clock; None while the request runs.
        end: ``answered``, ``cancelled``, ``connection_closed``,
            ``deadline`` or ``crashed``; None while it runs.
    """

    target_id: str
    instance: str
    request_id: str
    organisation: str
    method: str
    uri: str
    headers: dict[str, list[str]]
    start_s: float
    end_s: float | None = None
    end: str | None = None


class History:
    """Keeps records in memory, and in a file if one is given.

    Args:
        file_name: File to append to, or None.
        keep: Whether to keep records; otherwise runs are only counted.

    Attributes:
        run_count: Requests that started to run.
    """

    def __init__(self, file_name: str | None, keep: bool = True) -> None:
        self.records: list[RunRecord] = []
        self.run_count = 0
        self._keep = keep
        self._file: IO[bytes] | None = None
        if file_name is not None and keep:
            # Unbuffered, because a crash must not lose a line.
            self._file = open(file_name, "ab", buffering=0)  # noqa: SIM115

    def start(self, record: RunRecord) -> None:
        """Adds the record of a request that starts to run."""
        self.run_count += 1
        if self._keep:
            self.records.append(record)
        self._write(record)

    def end(self, record: RunRecord, now_s: float, end: str) -> None:
        """Records when and how a request ended."""
        record.end_s, record.end = now_s, end
        self._write(record)

    def _write(self, record: RunRecord) -> None:
        if self._file is not None:
            self._file.write(msgspec.json.encode(record) + b"\n")

    @staticmethod
    def read(file_name: pathlib.Path) -> list[RunRecord]:
        """Returns the last record of each request in a file."""
        records: dict[tuple[str, str, float], RunRecord] = {}
        for line in file_name.read_bytes().splitlines():
            record = msgspec.json.decode(line, type=RunRecord)
            key = (record.instance, record.request_id, record.start_s)
            records[key] = record
        return list(records.values())

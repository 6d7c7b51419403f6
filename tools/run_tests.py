"""Runs every behave folder of the workspace and prints a summary.

A behave folder is a ``tests`` folder below ``packages`` or ``platform`` that
holds at least one feature file. Each folder runs in a process of its own,
because behave keeps step definitions in one global registry. Scenarios that
are tagged ``known_red`` are not run; KNOWN-RED.txt lists them.
"""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL_FOLDERS = 4
FOLDER_TIMEOUT_S = 900
# Lines of an error message that the list of failures repeats.
ERROR_LINES = 6


class FolderResult(NamedTuple):
    """Outcome of one behave folder; ``output`` is empty when all passed."""

    folder: str
    passed: int
    failures: list[str]
    output: str

    @property
    def failed(self) -> int:
        """Number of scenarios that failed."""
        return len(self.failures)


def find_folders(names: list[str]) -> list[pathlib.Path]:
    """Returns the behave folders whose path contains one of the names."""
    patterns = (
        "packages/*/src/**/tests/*.feature",
        "platform/*/tests/*.feature",
    )
    features = [path for pattern in patterns for path in ROOT.glob(pattern)]
    folders = sorted({feature.parent for feature in features})
    if not names:
        return folders
    return [f for f in folders if any(name in str(f) for name in names)]


def describe_failure(element: dict) -> str:
    """Returns place, name and error of a scenario that did not pass."""
    lines = [f"{element['location']}: {element['name']}"]
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status") in ("passed", "skipped", None):
            continue
        lines.append(f"  {step['keyword']} {step['name']}: {result['status']}")
        message = result.get("error_message") or []
        if isinstance(message, str):
            message = message.splitlines()
        lines += [f"    {line}" for line in message[-ERROR_LINES:]]
    return "\n".join(lines)


def read_report(report: pathlib.Path) -> tuple[int, list[str]]:
    """Returns how many scenarios of a JSON report passed, and the failures."""
    passed = 0
    failures = []
    for feature in json.loads(report.read_text() or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            if element["status"] == "passed":
                passed += 1
            elif element["status"] != "skipped":
                failures.append(describe_failure(element))
    return passed, failures


def run_folder(folder: pathlib.Path) -> FolderResult:
    """Runs one behave folder."""
    name = str(folder.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as scratch:
        report = pathlib.Path(scratch) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color"]
        command += ["--tags=not known_red", "--format=json"]
        command += [f"--outfile={report}", "--format=progress3", str(folder)]
        try:
            process = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=FOLDER_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            message = f"{name}: timed out after {FOLDER_TIMEOUT_S} s"
            return FolderResult(name, 0, [message], message)
        try:
            passed, failures = read_report(report)
        except (OSError, ValueError, KeyError) as error:
            passed, failures = 0, [f"{name}: unreadable report: {error!r}"]
        if process.returncode != 0 and not failures:
            failures = [f"{name}: behave returned {process.returncode}"]
        output = process.stdout + process.stderr if failures else ""
        return FolderResult(name, passed, failures, output)


def main() -> int:
    """Runs the folders named on the command line, or all of them."""
    folders = find_folders(sys.argv[1:])
    if not folders:
        print("no behave folder matches", file=sys.stderr)
        return 2
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FOLDERS) as pool:
        results = list(pool.map(run_folder, folders))
    for result in results:
        print(f"{result.folder}: {result.passed} ok, {result.failed} not ok")
        if result.output:
            print(result.output)
    if KNOWN_RED.exists() and KNOWN_RED.read_text().strip():
        print("Listed in KNOWN-RED.txt:")
        print(KNOWN_RED.read_text().strip())
    # The failures come last: reports of CI keep only the end of the output.
    for result in results:
        for failure in result.failures:
            print(f"FAILED {failure}")
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

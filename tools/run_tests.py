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


class FolderResult(NamedTuple):
    """Outcome of one behave folder; ``output`` is empty when all passed."""

    folder: str
    passed: int
    failed: int
    output: str


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


def count_scenarios(report: pathlib.Path) -> tuple[int, int]:
    """Returns how many scenarios passed and failed in a JSON report."""
    passed = failed = 0
    for feature in json.loads(report.read_text() or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            status = element["status"]
            passed += status == "passed"
            failed += status not in ("passed", "skipped")
    return passed, failed


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
            return FolderResult(
                name, 0, 1, f"timed out after {FOLDER_TIMEOUT_S} s"
            )
        try:
            passed, failed = count_scenarios(report)
        except (OSError, ValueError, KeyError):
            passed, failed = 0, 1
        if process.returncode != 0 and failed == 0:
            failed = 1
        output = "" if failed == 0 else process.stdout + process.stderr
        return FolderResult(name, passed, failed, output)


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
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    print(f"{passed} passed, {failed} failed")
    if KNOWN_RED.exists() and KNOWN_RED.read_text().strip():
        print("Listed in KNOWN-RED.txt:")
        print(KNOWN_RED.read_text().strip())
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

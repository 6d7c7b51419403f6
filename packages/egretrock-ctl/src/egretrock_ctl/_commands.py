"""Commands of ``egretrockctl``."""

import enum
import pathlib
import sys
from typing import Annotated, Any

import cyclopts
import msgspec
from cyclopts import Parameter

from egretrock.state.config import check_config, check_vm_list
from egretrock.state.outcome import RefusalCode, explain_refusal
from egretrock_ctl._client import NodeClient, NodeError
from egretrock_ctl._render import render_status
from egretrock_ctl._story import build_story
from egretrock_node.settings import (
    DocumentError,
    PlacedFinding,
    load_settings,
    load_tree,
    place_findings,
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_FINDINGS = 2

app = cyclopts.App(
    name="egretrockctl",
    help="Checks egretrock configuration; inspects and drains nodes.",
    version="0.1.0",
)

Json = Annotated[bool, Parameter(name="--json", negative="")]


class DocumentKind(enum.Enum):
    """Kind of document to check."""

    SETTINGS = "settings"
    CONFIG = "config"
    VMS = "vms"


def _print_json(value: Any) -> None:
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def _check_published(
    kind: DocumentKind, file: pathlib.Path
) -> list[PlacedFinding]:
    try:
        tree, lines = load_tree(file)
    except DocumentError as error:
        return [error.finding]
    raw = msgspec.json.encode(tree, enc_hook=str)
    check = check_config if kind is DocumentKind.CONFIG else check_vm_list
    return place_findings(file, lines, check(raw).findings)


@app.command
def check(
    file: pathlib.Path,
    *,
    kind: DocumentKind = DocumentKind.SETTINGS,
    json: Json = False,
) -> int:
    """Checks a file and reports all findings.

    Exit code 0 means that the file is accepted, 2 that there are findings.

    Args:
        file: YAML or JSON file.
        kind: Node settings, published configuration, or VM list.
        json: Print JSON.
    """
    if kind is DocumentKind.SETTINGS:
        findings = load_settings(file).findings
    else:
        findings = _check_published(kind, file)
    if json:
        _print_json(findings)
    else:
        for finding in findings:
            print(finding)
        count = len(findings)
        noun = "finding" if count == 1 else "findings"
        print(f"{file}: {count} {noun}" if count else f"{file}: accepted")
    return EXIT_FINDINGS if findings else EXIT_OK


@app.command
def show(file: pathlib.Path | None = None, *, node: str | None = None) -> int:
    """Shows the effective configuration, with defaults filled in, as JSON.

    Args:
        file: Configuration file in YAML or JSON.
        node: Operator address of a node, "ip:port", to show the configuration
            in force there instead of a file.
    """
    if (file is None) == (node is None):
        print("give either FILE or --node ADDRESS", file=sys.stderr)
        return EXIT_FAILED
    if node is not None:
        config = NodeClient(node).config()
        print(msgspec.json.format(config, indent=2).decode())
        return EXIT_OK
    findings = _check_published(DocumentKind.CONFIG, file)
    if findings:
        for finding in findings:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    tree, _ = load_tree(file)
    _print_json(check_config(msgspec.json.encode(tree)).value)
    return EXIT_OK


@app.command
def status(node: str, *, json: Json = False) -> int:
    """Shows the status of a node, and the fleet as this node sees it.

    Exit code 1 means that the node is not ready.

    Args:
        node: Operator address of the node, "ip:port".
        json: Print JSON.
    """
    state = NodeClient(node).status()
    if json:
        _print_json(state)
    else:
        print(render_status(state))
    return EXIT_OK if state.ready else EXIT_FAILED


@app.command
def drain(node: str) -> int:
    """Starts draining a node, which exits when nothing is in flight.

    Args:
        node: Operator address of the node, "ip:port".
    """
    NodeClient(node).drain()
    print(f"{node}: draining")
    return EXIT_OK


def _explain_request(request_id: str, log: pathlib.Path, json: bool) -> int:
    if str(log) == "-":
        story = build_story(sys.stdin, request_id)
    else:
        try:
            with log.open(encoding="utf-8", errors="replace") as lines:
                story = build_story(lines, request_id)
        except OSError as error:
            print(f"{log}: {error.strerror}", file=sys.stderr)
            return EXIT_FAILED
    if not any(not line.is_node_state for line in story):
        print(f"no log line has request {request_id!r}", file=sys.stderr)
        return EXIT_FAILED
    if json:
        _print_json(story)
    else:
        for line in story:
            print(line)
    return EXIT_OK


@app.command(name="explain")
def explain_code(
    code: str, *, log: pathlib.Path | None = None, json: Json = False
) -> int:
    """Explains a refusal code, or the outcome of a request.

    With a log the argument is the id of a request, and exit code 1 means
    that the log has no line for it.

    Args:
        code: Code of a refusal, such as over_rate; "all" lists every code.
            With ``--log`` the id of a request.
        log: Log of one or more nodes; "-" reads standard input.
        json: Print JSON.
    """
    if log is not None:
        return _explain_request(code, log, json)
    codes = {entry.value: entry for entry in RefusalCode}
    if code != "all" and code not in codes:
        names = ", ".join(codes)
        print(f"unknown code {code!r}; known codes: {names}", file=sys.stderr)
        return EXIT_FAILED
    names = list(codes) if code == "all" else [code]
    texts = {name: explain_refusal(codes[name]) for name in names}
    if json:
        _print_json(texts)
        return EXIT_OK
    for name, text in texts.items():
        print(f"{name} (HTTP {text.status})\n  {text.meaning}\n  {text.action}")
    return EXIT_OK


@app.meta.default
def run(
    *tokens: Annotated[str, Parameter(show=False, allow_leading_hyphen=True)],
) -> None:
    """Runs a command; prints the error of a node on one line."""
    try:
        code = app(tokens, result_action="return_value")
    except NodeError as error:
        print(error, file=sys.stderr)
        code = EXIT_FAILED
    sys.exit(code or EXIT_OK)

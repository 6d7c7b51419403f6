"""Starts a small fleet, sends requests and prints the answers.

The exit code is 0 only if every step had the expected result.
"""

import concurrent.futures
import sys
import time
import uuid
from collections.abc import Callable

from egretrock.state.config import Organisation, Profile, Route
from egretrock_standins.fleet_runner import (
    Answer,
    Fleet,
    FleetPlan,
    NodeProcess,
    PlannedTarget,
    key_digest,
)
from egretrock_standins.target import ServiceTime, TargetOptions

REQUESTS_PER_ORGANISATION = 6
REQUEST_INTERVAL_S = 0.1
OVER_RATE_REQUESTS = 30
REVOCATION_TIMEOUT_S = 15.0
#: Buckets start empty; both organisations' buckets fill in this time.
BUCKET_FILL_S = 1.0
DATA_CENTRE_OUT_TIMEOUT_S = 15.0


class StepError(Exception):
    """A step did not have the expected result."""


def demo_plan() -> FleetPlan:
    """Returns a plan of two services in two data centres, and two nodes."""
    targets = [
        PlannedTarget(
            service=service,
            data_centre=data_centre,
            options=TargetOptions(
                target_id=f"{service}-{data_centre}",
                service_time=ServiceTime(mean_ms=10, sigma=0.5),
                seed=seed,
            ),
        )
        for seed, (service, data_centre) in enumerate(
            (service, data_centre)
            for service in ("records", "payouts")
            for data_centre in ("east", "west")
        )
    ]
    return FleetPlan(
        node_data_centres=["east", "west"],
        targets=targets,
        services={"records": "records", "payouts": "payouts"},
        profiles={"records": Profile(), "payouts": Profile()},
        routes={
            "records": Route("/records", "records", ["GET"], idempotent=True),
            "payouts": Route("/payouts", "payouts", ["POST"]),
        },
        organisations={
            "alder": Organisation(rate_per_s=100, burst=50),
            "birch": Organisation(rate_per_s=20, burst=10),
        },
    )


def describe(answer: Answer) -> str:
    """Returns an answer as one line of text."""
    body = answer.json()
    if answer.status == 200:
        return f"200 from target {body['target']}"
    wait_ms = body.get("retry_after_ms")
    after = "" if wait_ms is None else f", retry after {wait_ms} ms"
    return (
        f"{answer.status} refused: {body['code']}, {body['run_state']}{after}"
    )


def send_and_verify(
    node: NodeProcess, key: str, method: str, path: str, organisation: str
) -> Answer:
    """Sends a request; checks the nonce and organisation of the answer."""
    nonce = uuid.uuid4().hex
    request_body = b'{"amount": 1}' if method == "POST" else None
    headers = {"X-Nonce": nonce}
    answer = node.send_request(
        method, path, key, headers=headers, body=request_body
    )
    if answer.status == 200:
        body = answer.json()
        if body["nonce"] != nonce or body["organisation"] != organisation:
            raise StepError(f"the answer belongs to another request: {body}")
    return answer


def expect_refusal(answer: Answer, code: str) -> None:
    """Checks that a request was refused with a code and did not run."""
    body = answer.json()
    if (body.get("code"), body.get("run_state")) != (code, "not_run"):
        raise StepError(f"expected {code}, got {answer}")


def show_requests(fleet: Fleet) -> None:
    """Sends requests of both organisations through both nodes."""
    for organisation, key in fleet.keys.items():
        for number in range(REQUESTS_PER_ORGANISATION):
            node = fleet.nodes[number % len(fleet.nodes)]
            method, path = (
                ("GET", f"/records/{number}"),
                ("POST", f"/payouts/{number}"),
            )[number // 2 % 2]
            answer = send_and_verify(node, key, method, path, organisation)
            line = f"  {organisation} {method} {path} via {node.name}"
            print(f"{line}: {describe(answer)}")
            if answer.status != 200:
                raise StepError(f"expected 200, got {answer}")
            time.sleep(REQUEST_INTERVAL_S)
    for record in fleet.history():
        values = str(record.headers)
        if any(key in values + record.uri for key in fleet.keys.values()):
            raise StepError(f"target {record.target_id} saw a key")
    print("  no target saw a key")


def show_unknown_key(fleet: Fleet) -> None:
    """Sends a request with a key that was never published."""
    answer = fleet.nodes[0].send_request("GET", "/records/1", "never-published")
    print(f"  {describe(answer)}")
    expect_refusal(answer, "key_unknown")


def show_over_rate(fleet: Fleet) -> None:
    """Sends more requests than the burst at once.

    Sent one after the other, they would be delayed and not refused, because
    a request may wait some milliseconds for its token.
    """
    node, key = fleet.nodes[0], fleet.keys["birch"]
    paths = [f"/records/{n}" for n in range(OVER_RATE_REQUESTS)]
    with concurrent.futures.ThreadPoolExecutor(len(paths)) as pool:
        answers = list(
            pool.map(lambda path: node.send_request("GET", path, key), paths)
        )
    refused = [answer for answer in answers if answer.status != 200]
    served = len(answers) - len(refused)
    print(f"  birch sent {len(answers)} at once: {served} were served")
    if not refused:
        raise StepError("no request was refused")
    print(f"  the others: {describe(refused[0])}")
    for answer in refused:
        expect_refusal(answer, "over_rate")


def show_revoked_key(fleet: Fleet) -> None:
    """Revokes a key and waits until both nodes refuse it."""
    digest = key_digest(fleet.keys["birch"])
    published_s = time.monotonic()
    fleet.publish_config(lambda config: config["keys"].pop(digest))
    for node in fleet.nodes:
        while True:
            answer = node.send_request("GET", "/records/1", fleet.keys["birch"])
            code = answer.json().get("code")
            elapsed_s = time.monotonic() - published_s
            if code == "key_unknown":
                break
            if elapsed_s > REVOCATION_TIMEOUT_S:
                raise StepError(f"{node.name} still accepts the key: {answer}")
            time.sleep(0.05)
        print(
            f"  {node.name} after {elapsed_s:.1f} s or less: {describe(answer)}"
        )
    answer = send_and_verify(
        fleet.nodes[0], fleet.keys["alder"], "GET", "/records/1", "alder"
    )
    print(f"  alder's key: {describe(answer)}")
    if answer.status != 200:
        raise StepError(f"expected 200, got {answer}")


def show_data_centre_out(fleet: Fleet) -> None:
    """Takes a data centre out; the other one serves all requests."""
    fleet.publish_config(
        lambda config: config["data_centres"]["west"].update(state="out")
    )
    deadline_s = time.monotonic() + DATA_CENTRE_OUT_TIMEOUT_S
    consecutive_count = 0
    # Consecutive answers from east show that west gets no more requests.
    while consecutive_count < 20:
        answer = fleet.nodes[0].send_request(
            "GET", "/records/1", fleet.keys["alder"]
        )
        from_east = (
            answer.status == 200 and answer.json()["target"] == "records-east"
        )
        consecutive_count = consecutive_count + 1 if from_east else 0
        if time.monotonic() > deadline_s:
            raise StepError(f"west still gets requests: {answer}")
        time.sleep(0.02)
    print(f"  the last {consecutive_count} requests: {describe(answer)}")


def show_stop(fleet: Fleet) -> None:
    """Drains and stops the nodes by SIGTERM."""
    for name, code in fleet.stop_nodes().items():
        print(f"  {name} ended with exit code {code}")
        if code != 0:
            raise StepError(f"{name} ended with {code}")


STEPS: list[tuple[str, Callable[[Fleet], None]]] = [
    ("Requests of two organisations through both nodes", show_requests),
    ("A key that was never published", show_unknown_key),
    ("More requests than rate and burst allow", show_over_rate),
    ("A revoked key", show_revoked_key),
    ("Data centre west is taken out", show_data_centre_out),
    ("Drain and stop by SIGTERM", show_stop),
]


def main() -> int:
    """Runs all steps; returns the exit code."""
    print("Starting a platform, 4 targets and 2 nodes as processes", flush=True)
    with Fleet(demo_plan()) as fleet:
        for organisation in fleet.keys:
            fleet.wait_serving("/records/0", fleet.keys[organisation])
        time.sleep(BUCKET_FILL_S)
        for number, (title, step) in enumerate(STEPS, 1):
            print(f"{number}. {title}", flush=True)
            try:
                step(fleet)
            except StepError as error:
                print(f"  FAILED: {error}")
                return 1
    print("Every step had the expected result.")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Measures both deployments under each policy; see parameters.yaml."""

import pathlib
import sys

import cyclopts

from egretrock_standins.bench._measure import measure
from egretrock_standins.bench._parameters import DEFAULT_FILE, load_parameters
from egretrock_standins.bench._report import (
    DeploymentResult,
    print_deployment,
    write_results,
)

app = cyclopts.App(name="bench", help=__doc__)


@app.default
def main(
    parameters: pathlib.Path = DEFAULT_FILE,
    results: pathlib.Path = pathlib.Path("bench-results"),
    only: str | None = None,
) -> int:
    """Runs the bench and writes a result file and a plot.

    Args:
        parameters: YAML file.
        results: Folder for the results.
        only: Deployment to run; all of them by default.
    """
    values = load_parameters(parameters)
    deployment_results = []
    for name, deployment in values.deployments.items():
        if only not in (None, name):
            continue
        variants = []
        for policy in values.policies:
            print(f"{name}, policy {policy.value}: running", flush=True)
            variants.append(measure(values, deployment, policy))
        result = DeploymentResult(name, variants)
        print_deployment(result)
        deployment_results.append(result)
    for file in write_results(deployment_results, results):
        print(f"written: {file}")
    # Late generators mean that the machine was overloaded, which distorts
    # the figures of each policy in a different way.
    late_runs = [
        f"{result.name}, policy {variant.policy.value}"
        for result in deployment_results
        for variant in result.variants
        if variant.late_p99_ms > values.max_late_ms
    ]
    for name in late_runs:
        print(f"NOT VALID, the machine was too busy: {name}")
    return 1 if late_runs else 0


if __name__ == "__main__":
    sys.exit(app())

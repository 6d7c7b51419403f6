"""Starts the fleets of the fault scenarios in advance.

A fleet needs several seconds until its nodes are ready; starting the next
fleets while a scenario runs keeps the suite short.
"""

import concurrent.futures

from egretrock.state.config import Organisation, Profile, Route
from egretrock_standins.fleet_runner import Fleet, FleetPlan, PlannedTarget
from egretrock_standins.target import Rule, ServiceTime, Stop, TargetOptions

MAX_PARALLEL_STARTS = 3
TARGETS_PER_SERVICE = 4
COLD_S = 8


def fleet_plan():
    targets = [
        PlannedTarget(
            service=service,
            data_centre=("east", "west")[number % 2],
            options=TargetOptions(
                target_id=f"{service}{number}",
                slots=4,
                service_time=ServiceTime(mean_ms=40, sigma=0.8),
                seed=number,
                stop=Stop.RESTART,
                rules=[Rule(path_prefix=f"/{service}/crash", crash=True)],
            ),
        )
        for service in ("records", "payouts")
        for number in range(TARGETS_PER_SERVICE)
    ]
    # With 2 slots, the warm-up ramp allows 1 request during its whole time.
    new_target = TargetOptions(
        target_id="new",
        slots=2,
        service_time=ServiceTime(mean_ms=40),
        cold_s=COLD_S,
        cold_concurrency=1,
    )
    targets.append(
        PlannedTarget(
            service="records",
            data_centre="east",
            options=new_target,
            published=False,
        )
    )
    return FleetPlan(
        node_data_centres=["east", "west", "east"],
        targets=targets,
        services={"records": "all", "payouts": "all"},
        profiles={"all": Profile()},
        routes={
            "records": Route("/records", "records", ["GET"], idempotent=True),
            "payouts": Route("/payouts", "payouts", ["POST"]),
        },
        organisations={
            "alder": Organisation(rate_per_s=300, burst=300),
            "birch": Organisation(rate_per_s=300, burst=300),
        },
    )


def start_fleet():
    fleet = Fleet(fleet_plan()).__enter__()
    try:
        for key in fleet.keys.values():
            fleet.wait_serving("/records/0", key)
    except BaseException:
        fleet.__exit__(None, None, None)
        raise
    return fleet


def before_all(context):
    context.pool = concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_STARTS)


def before_feature(context, feature):
    context.fleets = []
    if "fleet" in feature.tags:
        selected = [s for s in feature.scenarios if s.should_run()]
        context.fleets = [context.pool.submit(start_fleet) for _ in selected]


def after_scenario(context, scenario):
    fleet = getattr(context, "fleet", None)
    if scenario.status.name != "passed" and fleet is not None:
        for node in fleet.nodes:
            print(f"--- {node.name}: {node.process.log()[-1500:]}")


def after_feature(context, feature):
    for future in context.fleets:
        if not future.cancel() and future.exception() is None:
            future.result().__exit__(None, None, None)


def after_all(context):
    context.pool.shutdown()

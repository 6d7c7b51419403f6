"""Command line of the experiment."""

import concurrent.futures

import cyclopts

from egretrock_standins.balancing_experiment._choice import (
    ChoiceMethod,
    ChoiceRun,
    run_choice,
)
from egretrock_standins.balancing_experiment._order import (
    ExcessKind,
    OrderRun,
    QueueOrder,
    run_order,
)
from egretrock_standins.balancing_experiment._overload import (
    PATTERNS,
    QueuePolicy,
    run_overload,
)

app = cyclopts.App(name="balancing_experiment")
Pool = concurrent.futures.ProcessPoolExecutor


@app.command
def choice(
    *,
    load: tuple[float, ...] = (0.5, 0.7, 0.85),
    slots: tuple[int, ...] = (2, 6),
    way: tuple[ChoiceMethod, ...] = tuple(ChoiceMethod),
    slow_targets: tuple[int, ...] = (0, 1),
    skip_ask_load: tuple[float, ...] = (0.3,),
    target_queue: tuple[int, ...] = (1,),
    delay_ms: float = 1.5,
    span_s: float = 20.0,
    seed: int = 1,
    processes: int = 3,
) -> None:
    """Prints latency and messages of each target selection method.

    Args:
        load: Offered slot time as a fraction of the slots.
        slots: Slots of each target.
        way: Target selection methods to compare.
        slow_targets: Number of targets that are 3 times slower.
        skip_ask_load: Values of this profile field, for permits only.
        target_queue: Values of this profile field, for permits only.
        delay_ms: One-way delay between two nodes.
        span_s: Measured time in virtual seconds.
        seed: Seed.
        processes: Number of parallel processes.
    """
    runs = [
        ChoiceRun(
            way=w,
            load=run_load,
            slots=s,
            slow_targets=slow,
            seed=seed,
            span_s=span_s,
            delay_s=delay_ms / 1000,
            skip_ask_load=skip,
            target_queue=queue,
        )
        for s in slots
        for slow in slow_targets
        for run_load in load
        for w in way
        for skip in (skip_ask_load if w is ChoiceMethod.PERMITS else (0.0,))
        for queue in (target_queue if w is ChoiceMethod.PERMITS else (0,))
    ]
    print(
        f"{'slots':>5}{'slow':>6}{'load':>6}  {'way':<12}{'skip':>5}"
        f"{'queue':>6}{'mean ms':>9}{'p99 ms':>9}{'msg/call':>10}"
        f"{'calls':>8}{'open':>6}"
    )
    with Pool(max_workers=processes) as pool:
        for run, metrics in zip(runs, pool.map(run_choice, runs), strict=True):
            print(
                f"{run.slots:>5}{run.slow_targets:>6}{run.load:>6g}  "
                f"{run.way.value:<12}{run.skip_ask_load:>5g}"
                f"{run.target_queue:>6}{metrics.mean_ms:>9.1f}{metrics.p99_ms:>9.1f}"
                f"{metrics.messages_per_call:>10.2f}{metrics.calls:>8}"
                f"{metrics.unanswered:>6}",
                flush=True,
            )


@app.command
def order(
    *,
    others_load: tuple[float, ...] = (0.5, 0.8),
    order: tuple[QueueOrder, ...] = tuple(QueueOrder),
    excess: tuple[ExcessKind, ...] = tuple(ExcessKind),
    span_s: float = 60.0,
    seed: int = 1,
    processes: int = 3,
) -> None:
    """Prints wait and refusals of the worst-served organisation by order.

    Args:
        others_load: Load of each other organisation as a fraction of its
            share.
        order: Queue orders to compare.
        excess: How one organisation demands 4 times its share.
        span_s: Measured time in virtual seconds.
        seed: Seed.
        processes: Number of parallel processes.
    """
    runs = [
        OrderRun(o, e, load, seed=seed, span_s=span_s)
        for e in excess
        for load in others_load
        for o in order
    ]
    print(
        f"{'excess':<14}{'others':>7}  {'order':<16}{'wait p99 ms':>12}"
        f"{'refused':>9}{'refused of the excess':>23}"
    )
    with Pool(max_workers=processes) as pool:
        for run, metrics in zip(runs, pool.map(run_order, runs), strict=True):
            print(
                f"{run.excess.value:<14}{run.others_load:>7g}  "
                f"{run.order.value:<16}{metrics.wait_p99_ms:>12.1f}"
                f"{100 * metrics.refused:>8.2f}%"
                f"{100 * metrics.excess_refused:>22.1f}%",
                flush=True,
            )


@app.command
def overload(
    *,
    pattern: tuple[str, ...] = tuple(PATTERNS),
    policy: tuple[QueuePolicy, ...] = tuple(QueuePolicy),
    seed: int = 1,
    processes: int = 1,
) -> None:
    """Prints what the callers of each route see when there is too little room.

    Args:
        pattern: Names of load patterns.
        policy: Queue policies to compare.
        seed: Seed.
        processes: Number of parallel processes.
    """
    runs = [(PATTERNS[name], p, seed) for name in pattern for p in policy]
    names = [(name, p) for name in pattern for p in policy]
    with Pool(max_workers=processes) as pool:
        results = pool.map(run_overload, *zip(*runs, strict=True))
        for (name, run_policy), routes in zip(names, results, strict=True):
            if run_policy is policy[0]:
                print(f"\n{name}")
            for route, result in routes.items():
                offered = result.offered
                print(
                    f"  {run_policy.value:<12}{route:<9}{offered:>6}"
                    f"  in time{100 * result.in_time / offered:>6.1f}%"
                    f"  late{100 * result.late / offered:>5.1f}%"
                    f"  refused{100 * result.refused / offered:>6.1f}%"
                    f"  after{result.mean_refusal_wait_ms():>6.1f} ms"
                    f"  expired{result.expired:>4}"
                    f"  in vain{result.in_vain:>4}"
                    f"  time in vain{result.vain_s:>7.1f} s",
                    flush=True,
                )


if __name__ == "__main__":
    app()

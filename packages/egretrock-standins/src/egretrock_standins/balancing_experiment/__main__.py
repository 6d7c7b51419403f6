"""Command line of the experiment."""

import concurrent.futures

import cyclopts

from egretrock_standins.balancing_experiment._choice import (
    ChoiceRun,
    Way,
    run_choice,
)
from egretrock_standins.balancing_experiment._order import (
    Excess,
    Order,
    OrderRun,
    run_order,
)

app = cyclopts.App(name="balancing_experiment")
Pool = concurrent.futures.ProcessPoolExecutor


@app.command
def choice(
    *,
    load: tuple[float, ...] = (0.5, 0.7, 0.85),
    slots: tuple[int, ...] = (2, 6),
    way: tuple[Way, ...] = tuple(Way),
    slow_targets: tuple[int, ...] = (0, 1),
    skip_ask_load: tuple[float, ...] = (0.3,),
    target_queue: tuple[int, ...] = (1,),
    delay_ms: float = 1.5,
    span_s: float = 20.0,
    seed: int = 1,
    processes: int = 3,
) -> None:
    """Prints latency and messages of each way to choose a target.

    Args:
        load: Offered slot time over the slots.
        slots: Slots of each target.
        way: Ways to compare.
        slow_targets: How many targets are 3 times slower.
        skip_ask_load: Values of the profile field, for the permits.
        target_queue: Values of the profile field, for the permits.
        delay_ms: One way between two nodes.
        span_s: Virtual seconds that count.
        seed: Seed.
        processes: Runs at the same time.
    """
    runs = [
        ChoiceRun(
            way=w,
            load=given_load,
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
        for given_load in load
        for w in way
        for skip in (skip_ask_load if w is Way.PERMITS else (0.0,))
        for queue in (target_queue if w is Way.PERMITS else (0,))
    ]
    print(
        f"{'slots':>5}{'slow':>6}{'load':>6}  {'way':<12}{'skip':>5}"
        f"{'queue':>6}{'mean ms':>9}{'p99 ms':>9}{'msg/call':>10}"
        f"{'calls':>8}{'open':>6}"
    )
    with Pool(max_workers=processes) as pool:
        for run, got in zip(runs, pool.map(run_choice, runs), strict=True):
            print(
                f"{run.slots:>5}{run.slow_targets:>6}{run.load:>6g}  "
                f"{run.way.value:<12}{run.skip_ask_load:>5g}"
                f"{run.target_queue:>6}{got.mean_ms:>9.1f}{got.p99_ms:>9.1f}"
                f"{got.messages_per_call:>10.2f}{got.calls:>8}"
                f"{got.unanswered:>6}",
                flush=True,
            )


@app.command
def order(
    *,
    others_load: tuple[float, ...] = (0.5, 0.8),
    order: tuple[Order, ...] = tuple(Order),
    excess: tuple[Excess, ...] = tuple(Excess),
    span_s: float = 60.0,
    seed: int = 1,
    processes: int = 3,
) -> None:
    """Prints what each order of waiting gives the worst-served organisation.

    Args:
        others_load: Load of each other organisation over its share.
        order: Orders to compare.
        excess: How one organisation takes 4 times its share.
        span_s: Virtual seconds that count.
        seed: Seed.
        processes: Runs at the same time.
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
        for run, got in zip(runs, pool.map(run_order, runs), strict=True):
            print(
                f"{run.excess.value:<14}{run.others_load:>7g}  "
                f"{run.order.value:<16}{got.wait_p99_ms:>12.1f}"
                f"{100 * got.refused:>8.2f}%{100 * got.excess_refused:>22.1f}%",
                flush=True,
            )


if __name__ == "__main__":
    app()

"""Prints metrics and ratios, writes the result file and the plot."""

import pathlib

import matplotlib as mpl
import msgspec

from egretrock_standins.bench._measure import VariantResult

mpl.use("Agg")
import matplotlib.pyplot as plt


class DeploymentResult(msgspec.Struct):
    """Results of one deployment by policy; the first is the baseline."""

    name: str
    variants: list[VariantResult]


def ratio(value: float, base: float) -> str:
    """Returns ``value/base`` as text; a base of 0 has no ratio.

    Example:
        >>> ratio(3.0, 2.0), ratio(1.0, 0.0)
        ('1.50', '-')
    """
    return "-" if base == 0 else f"{value / base:.2f}"


def _metrics(result: VariantResult) -> dict[str, float | None]:
    control, change = result.control, result.change
    worst, refusals = result.worst, result.refusals
    return {
        "tail latency p50 ms": result.tail.p50_ms,
        "tail latency p99 ms": result.tail.p99_ms,
        "tail latency p99.9 ms": result.tail.p99_9_ms,
        "probes/s, fleet": control.probes_per_s,
        "control messages/s per node, idle": control.messages_per_s,
        "control bytes/s per node, idle": control.bytes_per_s,
        "control messages/s per node, load": control.loaded_messages_per_s,
        "control bytes/s per node, load": control.loaded_bytes_per_s,
        "idle CPU of a node, % of a core": 100 * control.idle_cpu,
        "loaded CPU of a node, % of a core": 100 * control.loaded_cpu,
        "memory of a node, MB": control.memory_mb,
        "data centre change: served %": 100 * change.ok_share,
        "data centre change: worst second %": 100 * change.worst_second,
        "data centre change: p99 ms": change.p99_ms,
        "data centre out: last new work after s": change.new_work_s,
        "worst-served organisation: served %": 100 * worst.lowest_ok_share,
        "worst-served organisation: p99 ms": worst.highest_p99_ms,
        "refused within rate": float(refusals.within_rate),
        "refused within rate, %": 100 * refusals.within_rate_share,
        "served beyond rate and burst": float(refusals.beyond_rate_served),
    }


def print_deployment(result: DeploymentResult) -> None:
    """Prints the metrics side by side, with ratios to the first policy."""
    base = result.variants[0]
    names = [variant.policy.value for variant in result.variants]
    print(f"{result.name}: {base.offered_per_s:.0f} requests/s offered")
    header = "".join(f"{name:>12}" for name in names)
    print(f"  {'':42}{header}{f'{names[-1]}/{names[0]}':>14}")
    columns = [_metrics(variant) for variant in result.variants]
    for name in columns[0]:
        values = [column[name] for column in columns]
        cells = "".join(
            f"{'not counted' if v is None else format(v, '.2f'):>12}"
            for v in values
        )
        ratio_text = ""
        if values[0] is not None and values[-1] is not None:
            ratio_text = ratio(values[-1], values[0])
        print(f"  {name:42}{cells}{ratio_text:>14}")
    for variant in result.variants:
        outcomes = sorted(variant.refusals.outcomes.items())
        counts = ", ".join(f"{name} {count}" for name, count in outcomes)
        print(f"  {variant.policy.value}: {counts}")
        print(
            f"    the generators sent p99 {variant.late_p99_ms:.1f} ms late;"
            f" machine load {variant.machine_load:.1f}"
        )


def write_results(
    results: list[DeploymentResult], folder: pathlib.Path
) -> list[pathlib.Path]:
    """Writes ``bench.json`` and ``bench.png``; returns their paths."""
    folder.mkdir(exist_ok=True)
    file = folder / "bench.json"
    text = msgspec.json.format(msgspec.json.encode(results), indent=1)
    file.write_bytes(text)
    figure, axes = plt.subplots(
        len(results), 2, figsize=(11, 4 * len(results)), squeeze=False
    )
    for (latency_axes, share_axes), result in zip(axes, results, strict=True):
        for variant in result.variants:
            name = variant.policy.value
            percentiles_ms = variant.percentiles_ms
            latency_axes.plot(
                list(percentiles_ms),
                list(percentiles_ms.values()),
                "o-",
                label=name,
            )
            change = variant.change
            shares = [100 * share for share in change.timeline.values()]
            (line,) = share_axes.plot(list(change.timeline), shares, label=name)
            for at_s in (change.out_at_s, change.in_at_s):
                share_axes.axvline(at_s, color=line.get_color(), linestyle=":")
        latency_axes.set(
            title=result.name, xlabel="percentile", ylabel="latency, ms"
        )
        latency_axes.set_yscale("log")
        share_axes.set(
            title="data centre out and in (dotted)",
            xlabel="s",
            ylabel="served within rate, %",
        )
        latency_axes.legend()
        share_axes.legend()
    figure.tight_layout()
    plot = folder / "bench.png"
    figure.savefig(plot, dpi=100)
    plt.close(figure)
    return [file, plot]

"""Plots results to PNG files."""

import collections.abc
import pathlib

import matplotlib.axes
import matplotlib.backends.backend_agg
import matplotlib.figure

from wasabilanding.experiments.study import results

SIZE_INCHES = (10, 10)
PERCENTILES = (0, 25, 50, 75, 90, 95, 99, 99.5, 99.9)


def _plot_latency(
    axes: matplotlib.axes.Axes,
    all_results: collections.abc.Iterable[results.Results],
) -> None:
    for result in all_results:
        histogram = results.decode_histogram(
            result.overall.first_token.histogram
        )
        values_s = [
            histogram.get_value_at_percentile(p) / results.US_PER_S
            for p in PERCENTILES
        ]
        positions = range(len(PERCENTILES))
        axes.plot(positions, values_s, marker="o", label=result.name)
    axes.set_xticks(range(len(PERCENTILES)), [str(p) for p in PERCENTILES])
    axes.set_xlabel("percentile")
    axes.set_ylabel("time to first token (s)")
    axes.set_yscale("log")


def _plot_timeline(
    axes: matplotlib.axes.Axes,
    all_results: collections.abc.Iterable[results.Results],
    field: str,
    label: str,
) -> None:
    for result in all_results:
        times_s = [sample.at_s for sample in result.timeline]
        values = [getattr(sample, field) for sample in result.timeline]
        axes.step(times_s, values, where="post", label=result.name)
    axes.set_xlabel("time (s)")
    axes.set_ylabel(label)


def plot(
    all_results: collections.abc.Sequence[results.Results], path: pathlib.Path
) -> None:
    """Plot latency, group downtime and stranded accelerators.

    :param all_results: results to plot, each as a separate line.
    :param path: PNG file to write.
    """
    figure = matplotlib.figure.Figure(SIZE_INCHES, layout="constrained")
    matplotlib.backends.backend_agg.FigureCanvasAgg(figure)
    latency, downtime, stranded = figure.subplots(3)
    _plot_latency(latency, all_results)
    _plot_timeline(downtime, all_results, "down", "replicas that can't serve")
    _plot_timeline(stranded, all_results, "stranded", "stranded accelerators")
    for axes in (latency, downtime, stranded):
        axes.grid(True, alpha=0.3)
    latency.legend()
    figure.savefig(path, format="png")

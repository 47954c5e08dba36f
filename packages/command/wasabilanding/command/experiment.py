"""Commands ``wasabilanding experiment``."""

import json
import logging
import pathlib
import typing

import typer

from wasabilanding.command import output
from wasabilanding.experiments import study
from wasabilanding import model

PROGRESS_STEP_SHARE = 0.1

app = typer.Typer(
    help="Run and compare simulated experiments with load and faults.",
    no_args_is_help=True,
)


class _Progress:
    """Prints the progress of a run."""

    def __init__(self) -> None:
        self._next_share = PROGRESS_STEP_SHARE

    def report(self, at_s: float, duration_s: float) -> None:
        """Print a line at each tenth of the run."""
        share = at_s / duration_s
        if share >= self._next_share:
            typer.echo(f"{at_s:.0f} of {duration_s:.0f} s", err=True)
            self._next_share = share + PROGRESS_STEP_SHARE


@app.command()
def run(
    path: typing.Annotated[pathlib.Path, typer.Argument(metavar="FILE")],
    to: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Output file for the results."),
    ] = None,
) -> None:
    """Run an experiment and print its results as JSON."""
    experiment = output.read_document(path, study.load_experiment)
    # Entry VMs log errors for each injected fault; these are expected.
    logging.getLogger("wasabilanding").setLevel(logging.CRITICAL)
    experiment_results = study.run_experiment(experiment, _Progress().report)
    text = model.encode(experiment_results)
    if to is None:
        typer.echo(text)
    else:
        to.write_text(text + "\n")


@app.command()
def compare(one: pathlib.Path, other: pathlib.Path) -> None:
    """Compare the results of two experiments."""
    first = output.read_document(one, study.load_results)
    second = output.read_document(other, study.load_results)
    rows = [
        (
            row.metric,
            f"{row.one:.4g}",
            f"{row.other:.4g}",
            "" if row.ratio is None else f"{row.ratio:.3f}",
        )
        for row in study.compare(first, second)
    ]
    columns = ("figure", first.name, second.name, "ratio")
    output.print_table("comparison", columns, rows)


@app.command()
def plot(
    paths: typing.Annotated[
        list[pathlib.Path], typer.Argument(metavar="RESULTS...")
    ],
    to: typing.Annotated[
        pathlib.Path, typer.Option(help="Output PNG file.")
    ] = pathlib.Path("experiment.png"),
) -> None:
    """Plot latency, group downtime and stranded accelerators."""
    all_results = [output.read_document(p, study.load_results) for p in paths]
    study.plot(all_results, to)
    typer.echo(f"plotted {len(all_results)} results to {to}")


@app.command()
def schema() -> None:
    """Print the JSON Schema of an experiment."""
    typer.echo(json.dumps(model.json_schema(study.Experiment), indent=2))

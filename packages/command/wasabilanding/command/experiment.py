"""Commands ``wasabilanding experiment``."""

import json
import logging
import pathlib
import typing

import typer

from wasabilanding.command import output
from wasabilanding.experiments import study
from wasabilanding import model

PROGRESS_SHARE = 0.1

app = typer.Typer(
    help="Run load and faults against the decisions, from one seed.",
    no_args_is_help=True,
)


class _Progress:
    """Prints how far a run has come."""

    def __init__(self) -> None:
        self._next_share = PROGRESS_SHARE

    def note(self, at_s: float, duration_s: float) -> None:
        """Print a line at each tenth of the run."""
        share = at_s / duration_s
        if share >= self._next_share:
            typer.echo(f"{at_s:.0f} of {duration_s:.0f} s", err=True)
            self._next_share = share + PROGRESS_SHARE


@app.command()
def run(
    path: typing.Annotated[pathlib.Path, typer.Argument(metavar="FILE")],
    to: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="File that takes the results."),
    ] = None,
) -> None:
    """Run an experiment and print its results as JSON."""
    experiment = output.read_document(path, study.load_experiment)
    # What the entry VMs log about faults is part of every run.
    logging.getLogger("wasabilanding").setLevel(logging.CRITICAL)
    found = study.run_experiment(experiment, _Progress().note)
    text = model.encode(found)
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
        pathlib.Path, typer.Option(help="PNG file that is written.")
    ] = pathlib.Path("experiment.png"),
) -> None:
    """Plot latency, group downtime and stranded accelerators."""
    found = [output.read_document(p, study.load_results) for p in paths]
    study.plot(found, to)
    typer.echo(f"plotted {len(found)} results to {to}")


@app.command()
def schema() -> None:
    """Print the JSON Schema of an experiment."""
    typer.echo(json.dumps(model.json_schema(study.Experiment), indent=2))

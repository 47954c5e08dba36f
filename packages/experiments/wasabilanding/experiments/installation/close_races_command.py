"""Command line of the experiment with requests at the close of connections."""

import pathlib
import random
import tempfile
import typing

import trio
import typer

from wasabilanding.experiments.installation import close_races
from wasabilanding.experiments.installation import launch

app = typer.Typer(add_completion=False)


@app.command()
def main(
    callers: typing.Annotated[
        int, typer.Option(help="Connections that are kept.")
    ] = 100,
    rounds: typing.Annotated[
        int, typer.Option(help="Times that each event happens.")
    ] = 5,
    seed: typing.Annotated[int, typer.Option(help="Random seed.")] = 1,
) -> None:
    """Count what becomes of requests that meet the close of connections."""
    for event, run in close_races.EVENTS.items():
        with (
            tempfile.TemporaryDirectory() as folder,
            launch.Installation(
                close_races.PLAN,
                pathlib.Path(folder),
                behaviour=close_races.BEHAVIOUR,
                settling_s=close_races.SETTLING_S,
            ) as installation,
        ):
            close_races.wait_until_ready(installation)
            found = close_races.Callers(
                installation, callers, random.Random(seed)
            )
            trio.run(run, found, rounds)
            print(f"# {event}\n{close_races.describe(found.outcomes())}")


if __name__ == "__main__":
    app()

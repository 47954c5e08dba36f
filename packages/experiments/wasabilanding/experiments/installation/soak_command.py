"""Command line of the soak test."""

import dataclasses
import json
import pathlib
import shutil
import sys
import tempfile
import typing

import typer

from wasabilanding.experiments.installation import causes
from wasabilanding.experiments.installation import options as options_module
from wasabilanding.experiments.installation import soak

EXIT_FAILED = 1
DEFAULTS = options_module.Options()

app = typer.Typer(add_completion=False)


def _format_counts(counts: typing.Mapping) -> str:
    return ", ".join(
        f"{name}: {count}" for name, count in sorted(counts.items())
    )


def _print_result(result: soak.Result) -> None:
    verdict = "FAILED" if result.violations else "passed"
    print(
        f"seed {result.seed}: {verdict}; {len(result.actions)} changes; "
        f"answers {_format_counts(result.outcomes)}; "
        f"endings {_format_counts(result.endings)}; "
        f"the soak ran up to {result.longest_delay_s:.2f} s late",
        flush=True,
    )
    for text in result.violations:
        print(f"  {text}", flush=True)


def _keep(result: soak.Result, folder: pathlib.Path, kept: pathlib.Path):
    """Keep the logs of a seed with its changes and unfinished requests."""
    (folder / "actions").write_text("\n".join(result.actions))
    rows = [json.dumps(dataclasses.asdict(u)) for u in result.unfinished]
    (folder / causes.UNFINISHED).write_text("\n".join(rows))
    (folder / "violations").write_text("\n".join(result.violations))
    shutil.copytree(folder, kept / str(result.seed), dirs_exist_ok=True)


def _run(
    seed: int,
    options: options_module.Options,
    kept: pathlib.Path,
    keep_all: bool,
) -> soak.Result:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        result = soak.run_seed(seed, options, path)
        _print_result(result)
        if result.violations or keep_all:
            _keep(result, path, kept)
    return result


@app.command()
def main(
    seed: typing.Annotated[int, typer.Option(help="First seed.")] = 1,
    count: typing.Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: typing.Annotated[
        float, typer.Option(help="Seconds of faults for each seed.")
    ] = DEFAULTS.seconds,
    planned: typing.Annotated[
        bool, typer.Option(help="Planned changes only; no answer may be cut.")
    ] = False,
    pauses: typing.Annotated[
        bool,
        typer.Option(help="As --planned, and engines pause and go on."),
    ] = False,
    evacuations: typing.Annotated[
        bool, typer.Option(help="Failure domains are evacuated, too.")
    ] = False,
    poison: typing.Annotated[
        bool,
        typer.Option(help="Requests that end engines are among the faults."),
    ] = False,
    idle: typing.Annotated[
        bool,
        typer.Option(help="A short idle timeout changes again and again."),
    ] = False,
    callers: typing.Annotated[
        int, typer.Option(help="Concurrent callers.")
    ] = DEFAULTS.callers,
    slow: typing.Annotated[
        int, typer.Option(help="How many of them pause while they read.")
    ] = DEFAULTS.slow_callers,
    events: typing.Annotated[
        int, typer.Option(help="Longest stream in events.")
    ] = DEFAULTS.max_events,
    pipes: typing.Annotated[
        int,
        typer.Option(
            help="Gateways that write to a pipe that is at times not read."
        ),
    ] = DEFAULTS.piped_gateways,
    nodes: typing.Annotated[
        int, typer.Option(help="Gateways in each failure domain.")
    ] = DEFAULTS.nodes_per_domain,
    keep: typing.Annotated[
        pathlib.Path, typer.Option(help="Folder for the logs of failed seeds.")
    ] = pathlib.Path("soak-logs"),
    keep_all: typing.Annotated[
        bool, typer.Option(help="Keep the logs of all seeds.")
    ] = False,
) -> None:
    """Run the soak test with consecutive seeds."""
    options = options_module.Options(
        seconds=seconds,
        planned_only=planned or pauses,
        pauses=pauses,
        evacuations=evacuations,
        poison=poison,
        idle=idle,
        callers=callers,
        slow_callers=slow,
        max_events=events,
        piped_gateways=pipes,
        nodes_per_domain=nodes,
    )
    print(dataclasses.asdict(options), flush=True)
    results = [
        _run(current_seed, options, keep, keep_all)
        for current_seed in range(seed, seed + count)
    ]
    failed_seeds = sum(bool(result.violations) for result in results)
    print(f"{count} seeds, {failed_seeds} failed", flush=True)
    sys.exit(EXIT_FAILED if failed_seeds else 0)


if __name__ == "__main__":
    app()

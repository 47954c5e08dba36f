"""Looks up the causes of cut answers in the logs of kept seeds.

Explanation
===========

For each cut answer, the last line of its gateway about it states a reason.
Beside it stand the gap in the gateway's lines before the answer was given up,
and the endpoints that the gateway gave up within the same
:data:`SAME_MOMENT_S`.
"""

import bisect
import collections
import dataclasses
import json
import pathlib
import re
import statistics
import typing

import typer

from wasabilanding.experiments.installation import cuts

UNFINISHED = "unfinished.jsonl"
SAME_MOMENT_S = 0.1
LOOK_BACK_S = 1.0
# Names of endpoints and other details differ from case to case.
DETAIL = re.compile(r"(?<=: )\S+-\S+(?= )")

app = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class Case:
    """A cut answer with what the logs say about it.

    :param unfinished: what its caller saw.
    :param reason: reason in the last line about it; empty without a line.
    :param gap_s: longest time without a line of its gateway in the second
        before it was given up.
    :param given_up: endpoints that its gateway gave up at that moment.
    """

    unfinished: cuts.Unfinished
    reason: str
    gap_s: float
    given_up: int


class GatewayLog:
    """Log of one gateway.

    :param path: its file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        lines = [_parse(text) for text in path.read_text().splitlines()]
        self._lines = [line for line in lines if line]
        self._times = [line["created"] for line in self._lines]

    def case(self, unfinished: cuts.Unfinished) -> Case:
        """Return what the log says about a cut answer.

        :param unfinished: what its caller saw.
        """
        about = [
            line
            for line in self._lines
            if line.get("request") == unfinished.request_id
        ]
        if not about:
            return Case(unfinished, "", 0.0, 0)
        at = about[-1]["created"]
        reason = DETAIL.sub("ENDPOINT", about[-1].get("reason", ""))
        return Case(unfinished, reason, self._gap_s(at), self._given_up(at))

    def _gap_s(self, at: float) -> float:
        first = bisect.bisect_left(self._times, at - LOOK_BACK_S)
        last = bisect.bisect_right(self._times, at)
        times = self._times[max(first - 1, 0) : last]
        return max((b - a for a, b in zip(times, times[1:])), default=0.0)

    def _given_up(self, at: float) -> int:
        return len(
            {
                line["endpoint"]
                for line in self._lines
                if abs(line["created"] - at) <= SAME_MOMENT_S
                and line["message"].startswith("attempt failed")
            }
        )


def _parse(text: str) -> dict:
    try:
        return json.loads(text)
    except ValueError:
        return {}


def find_cases(folder: pathlib.Path) -> list[Case]:
    """Return the cut answers of a kept seed.

    :param folder: folder with the logs of the seed.
    """
    logs = {}
    cases = []
    for text in (folder / UNFINISHED).read_text().splitlines():
        unfinished = cuts.Unfinished(**json.loads(text))
        if unfinished.ending not in cuts.VIOLATIONS:
            continue
        name = unfinished.gateway
        if name not in logs:
            logs[name] = GatewayLog(folder / f"{name}.log")
        cases.append(logs[name].case(unfinished))
    return cases


def _range(values: list[float]) -> str:
    middle = statistics.median(values)
    return f"{min(values):.2f} / {middle:.2f} / {max(values):.2f}"


@app.command()
def main(
    folders: typing.Annotated[
        list[pathlib.Path], typer.Argument(help="Folders of kept seeds.")
    ],
) -> None:
    """Print the cut answers by reason, with least / median / most values."""
    groups = collections.defaultdict(list)
    for folder in folders:
        for case in find_cases(folder):
            reader = "slow" if case.unfinished.slow_reader else "at once"
            key = case.unfinished.ending, case.reason or "(no line)", reader
            groups[key].append(case)
    print(
        "| end | reason in the log | reads | answers | after s | "
        "silent at caller s | gap s | endpoints given up |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for (ending, reason, reader), cases in sorted(groups.items()):
        seen = [case.unfinished for case in cases]
        print(
            f"| {ending} | {reason} | {reader} | {len(cases)} "
            f"| {_range([u.elapsed_s for u in seen])} "
            f"| {_range([u.silent_s for u in seen])} "
            f"| {_range([case.gap_s for case in cases])} "
            f"| {_range([case.given_up for case in cases])} |"
        )


if __name__ == "__main__":
    app()

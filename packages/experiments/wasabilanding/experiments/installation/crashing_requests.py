"""Requests that end each engine that runs them, and what may reach engines.

At most three may reach engines later than some seconds after the request has
ended its third one: by then all gateways in touch have been notified.
"""

import collections
import collections.abc
import itertools
import random

import httpx
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import record as record_module
from wasabilanding.standins import registered_engine

KINDS = ("pages", "sheets", "drafts")
DURATION_RANGE_S = (1.0, 6.0)
PAUSE_RANGE_S = (0.05, 0.5)
TIMEOUT_S = 4.0
# Engines that end before the gateways must have been notified.
COUNTED_ENDS = 3
NOTIFICATION_S = 4.0
MAX_LATE_RUNS = 3


def runs_of(runs: collections.abc.Iterable[dict]) -> list[dict]:
    """Return the runs of such requests.

    :param runs: what the engines ran.
    """
    return [r for r in runs if registered_engine.CRASH_MARKER in r["path"]]


def begun_by_path(
    runs: collections.abc.Iterable[dict],
) -> dict[str, list[float]]:
    """Return when engines began to run such requests, by path.

    :param runs: what the engines ran.
    """
    found = collections.defaultdict(list)
    for run in runs_of(runs):
        found[run["path"]].append(run["begun_at"])
    return {path: sorted(times) for path, times in found.items()}


def late_runs(begun_at: list[float], notified_s: float) -> list[float]:
    """Return the runs that began some time after the third engine's end.

    Examples
    ========

    >>> late_runs([1.0, 1.1, 1.2, 2.0, 9.0], 3.0)
    [9.0]

    :param begun_at: times of day in seconds, in order.
    :param notified_s: seconds in which the gateways are notified.
    """
    third = (begun_at[COUNTED_ENDS - 1 :] or begun_at[-1:])[0]
    ended_at = third + registered_engine.RegisteredSettings().crash_after_s
    return [at for at in begun_at if at > ended_at + notified_s]


def find_violations(
    runs: collections.abc.Iterable[dict],
) -> collections.abc.Iterator[str]:
    """Yield the requests that went on to end engines.

    :param runs: what the engines ran.
    """
    for path, begun_at in begun_by_path(runs).items():
        late = late_runs(begun_at, NOTIFICATION_S)
        if len(late) > MAX_LATE_RUNS:
            yield (
                f"{path}: ended {len(begun_at)} engines, {len(late)} of them "
                f"later than {NOTIFICATION_S} s after the third"
            )


class CrashingRequests:
    """Sends such requests, each repeatedly and through any gateway.

    :param installation: running installation.
    :param rng: source of randomness.
    :param record: record of the changes.
    """

    def __init__(
        self,
        installation: launch.Installation,
        rng: random.Random,
        record: record_module.ChangeRecord,
    ) -> None:
        self._installation = installation
        self._rng = rng
        self._record = record
        self._numbers = itertools.count()

    async def send_repeatedly(self) -> None:
        """Send one of them for some seconds, whatever the answers are."""
        kind = self._rng.choice(KINDS)
        number = next(self._numbers)
        path = f"/{kind}{registered_engine.CRASH_MARKER}-{number}"
        duration_s = self._rng.uniform(*DURATION_RANGE_S)
        self._record.add(f"{path} comes repeatedly for {duration_s:.2f} s")
        transport = httpx.AsyncHTTPTransport(verify=False)
        async with httpx.AsyncClient(
            transport=transport, timeout=TIMEOUT_S
        ) as client:
            with trio.move_on_after(duration_s):
                while True:
                    await self._send(client, kind, path)
                    await trio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    async def _send(
        self, client: httpx.AsyncClient, kind: str, path: str
    ) -> None:
        gateway = self._rng.choice(self._installation.gateways)
        headers = {
            "host": launch.SITE,
            "x-request": f"crashing-{next(self._numbers)}",
            "x-deadline-s": str(TIMEOUT_S),
            "x-key": "key-1",
            "x-model": launch.SMALL.name if kind == "drafts" else "",
            "x-events-wanted": "3",
        }
        url = f"{gateway.callers_url}{path}"
        try:
            answer = await client.post(url, headers=headers, content=b"body")
        except httpx.HTTPError as error:
            self._record.add(f"{path} at {gateway.name}: {error!r}")
            return
        status = answer.status_code
        self._record.add(f"{path} at {gateway.name}: {status}")

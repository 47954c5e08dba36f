"""Running installations and their callers, for the steps of this folder."""

import contextlib
import dataclasses
import functools
import itertools
import os
import pathlib
import re
import shutil
import signal
import tempfile
import time

import httpx
import trio

from wasabilanding.experiments.installation import launch

KINDS = ("pages", "sheets", "drafts")
CALLERS_PER_KIND = 2
PAUSE_S = 0.15
TIMEOUT_S = 4.0
# Names the folder that receives the logs of failed scenarios.
KEPT_LOGS_VARIABLE = "WASABILANDING_KEPT_LOGS"


def make_folder(context):
    """Return a folder for the settings and logs of a scenario.

    It is removed with the scenario. The logs of a failed one are kept, as a
    failure that depends on timing may not show again.

    :param context: context of the scenario.
    """
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.add_cleanup(_keep_logs, context, pathlib.Path(folder.name))
    return pathlib.Path(folder.name)


def _keep_logs(context, folder):
    kept = os.environ.get(KEPT_LOGS_VARIABLE)
    if not kept or not any(
        step.status.has_failed() for step in context.scenario.all_steps
    ):
        return
    name = re.sub(r"\W+", "-", context.scenario.name).strip("-")
    target = pathlib.Path(kept) / f"{name}-{os.getpid()}"
    shutil.copytree(
        folder, target, ignore_dangling_symlinks=True, dirs_exist_ok=True
    )


def start(context, plan, is_cuttable=False, **options):
    """Start the installation of a scenario; it ends with the scenario.

    :param context: context of the scenario; receives the installation.
    :param plan: size of the installation.
    :param is_cuttable: whether gateways can be cut off from endpoints.
    :param options: further options of the installation.
    """
    context.installation = launch.Installation(
        plan, make_folder(context), is_cuttable=is_cuttable, **options
    )
    context.installation.__enter__()
    context.add_cleanup(
        functools.partial(context.installation.__exit__, None, None, None)
    )
    context.installation.wait_until_serving()


@contextlib.asynccontextmanager
async def open_client(timeout_s):
    """Yield an HTTP client of callers.

    :param timeout_s: seconds after which it gives a request up.
    """
    transport = httpx.AsyncHTTPTransport(verify=False)
    async with httpx.AsyncClient(
        transport=transport, timeout=timeout_s
    ) as client:
        yield client


async def kill_and_restart(installation, gateway):
    """Kill a gateway and start it again at once.

    :param installation: running installation.
    :param gateway: the gateway.
    """
    gateway.process.send_signal(signal.SIGKILL)
    await trio.to_thread.run_sync(gateway.process.wait)
    installation.restart(gateway)


async def restart_in_series(installation, interval_s):
    """Kill and restart each gateway, one after the other.

    :param installation: running installation.
    :param interval_s: seconds before each.
    """
    for gateway in installation.gateways:
        await trio.sleep(interval_s)
        await kill_and_restart(installation, gateway)


async def kill_all_repeatedly(installation, interval_s):
    """Kill all gateways at the same moment and restart them, repeatedly.

    :param installation: running installation.
    :param interval_s: seconds before each time.
    """
    while True:
        await trio.sleep(interval_s)
        async with trio.open_nursery() as nursery:
            for gateway in installation.gateways:
                nursery.start_soon(kill_and_restart, installation, gateway)


@dataclasses.dataclass(frozen=True)
class Try:
    """A request, tried once.

    :param request_id: its identifier.
    :param kind: its kind.
    :param gateway: name of the gateway.
    :param at: time of day in seconds.
    :param took_s: seconds until it ended.
    :param status: HTTP status; 0 for no whole answer.
    """

    request_id: str
    kind: str
    gateway: str
    at: float
    took_s: float
    status: int


class Load:
    """Requests of all kinds at all gateways.

    :param installation: running installation.
    :param headers: additional headers of the requests.
    """

    def __init__(self, installation, headers=()):
        self.installation = installation
        self._headers = dict(headers)
        self._numbers = itertools.count()
        self.tries = []

    async def _try(self, client, gateway, kind):
        request_id = f"{kind}-{next(self._numbers)}"
        headers = {
            "host": launch.SITE,
            "x-request": request_id,
            "x-deadline-s": str(TIMEOUT_S),
            "x-key": "key-1",
            "x-model": launch.SMALL.name if kind == "drafts" else "",
            **self._headers,
        }
        at = time.time()
        status = 0
        try:
            url = f"{gateway.callers_url}/{kind}/{request_id}"
            answer = await client.post(url, headers=headers, content=b"body")
            status = answer.status_code
        except httpx.HTTPError as error:
            print(request_id, gateway.name, repr(error))
        took_s = time.time() - at
        self.tries.append(
            Try(request_id, kind, gateway.name, at, took_s, status)
        )

    async def _keep_trying(self, client, gateway, kind):
        while True:
            await self._try(client, gateway, kind)
            await trio.sleep(PAUSE_S)

    @contextlib.asynccontextmanager
    async def running(self):
        """Send requests until the end of the block."""
        async with open_client(TIMEOUT_S + 1) as client:
            async with trio.open_nursery() as nursery:
                for gateway in self.installation.gateways:
                    for kind in KINDS * CALLERS_PER_KIND:
                        nursery.start_soon(
                            self._keep_trying, client, gateway, kind
                        )
                yield
                nursery.cancel_scope.cancel()

"""Second part of the demo: gateways and self-registering engines.

Engines register themselves and are ordered to join replicas. Requests of
three kinds are sent through four gateways, an engine is killed while it
streams, an API key is revoked, and a gateway is stopped with open streams.
Each step checks a guarantee.
"""

import collections
import collections.abc
import dataclasses
import pathlib

import httpx
import rich.console
import rich.table
import trio

from wasabilanding.experiments.installation import checks
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import load
from wasabilanding.experiments.installation import sending
from wasabilanding.experiments import violations

ProgressPrinter = collections.abc.Callable[[str], None]
# Per gateway.
REQUESTS_PER_KIND = 3
LONG_STREAM_EVENTS = 60
STREAM_COUNT = 8
STREAM_LEAD_S = 0.4
REVOCATION_TIMEOUT_S = 3.0
POLL_S = 0.1
HTTP_OK = 200
HTTP_UNAUTHORIZED = 401


class _Demo:
    """Steps of the demo; collects the answers to all requests.

    :param installation: running installation.
    :param print_progress: prints a progress message.
    """

    def __init__(
        self,
        installation: launch.Installation,
        print_progress: ProgressPrinter,
    ) -> None:
        self._installation = installation
        self._print_progress = print_progress
        self._client = httpx.AsyncClient()
        self._count = 0
        self.answers: list[load.Answer] = []

    async def __aenter__(self) -> "_Demo":
        await self._client.__aenter__()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._client.__aexit__(*error)

    def _request(self, kind: str, events: int = 10) -> load.Request:
        self._count += 1
        if kind != "drafts":
            return load.Request(f"{kind}-{self._count}", kind)
        name = load.MODELS[self._count % len(load.MODELS)]
        return load.Request(
            f"{kind}-{self._count}", kind, model=name, events=events
        )

    async def _send(
        self, gateway: launch.Gateway, request: load.Request
    ) -> load.Answer:
        answer = await sending.send(self._client, gateway, request)
        self.answers.append(answer)
        return answer

    async def serve_all_kinds(self) -> None:
        """Send requests of each kind through all gateways concurrently."""
        async with trio.open_nursery() as nursery:
            for gateway in self._installation.gateways:
                nursery.start_soon(self._send_all_kinds, gateway)
        counts = collections.Counter(answer.status for answer in self.answers)
        self._print_progress(
            f"{len(self.answers)} requests through 4 gateways: {counts}"
        )
        if set(counts) != {HTTP_OK}:
            raise violations.PropertyViolated(
                f"a request failed without any fault: {counts}"
            )

    async def _send_all_kinds(self, gateway: launch.Gateway) -> None:
        for kind in ("drafts", "pages", "sheets"):
            for _ in range(REQUESTS_PER_KIND):
                await self._send(gateway, self._request(kind))

    async def _stream(self, gateway: launch.Gateway, event: str) -> None:
        """Check that long streams complete despite an event."""
        async with trio.open_nursery() as nursery:
            for _ in range(STREAM_COUNT):
                request = self._request("drafts", LONG_STREAM_EVENTS)
                nursery.start_soon(self._send, gateway, request)
        streams = self.answers[-STREAM_COUNT:]
        if not all(s.complete and s.status == HTTP_OK for s in streams):
            raise violations.PropertyViolated(f"a stream was cut when {event}")
        self._print_progress(
            f"{STREAM_COUNT} streams completed although {event}"
        )

    async def kill_engine(self) -> None:
        """Kill an engine while it serves a stream."""
        gateway = self._installation.gateways[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stream, gateway, "an engine was killed")
            await trio.sleep(STREAM_LEAD_S)
            newest_request_id = f"drafts-{self._count}"
            name = next(
                run["endpoint"]
                for run in self._installation.runs()
                if run["request_id"] == newest_request_id
            )
            victim = next(
                vm for vm in self._installation.vms if vm.endpoint_id == name
            )
            self._installation.control_vm(victim, "kill")
            self._print_progress(f"engine {name} was killed while it streamed")

    async def revoke_key(self) -> None:
        """Revoke an API key and wait until each gateway rejects it."""
        self._installation.configure(launch.routing_table(2, ("key-1",)))
        started_at = trio.current_time()
        for gateway in self._installation.gateways:
            status = HTTP_OK
            while status != HTTP_UNAUTHORIZED:
                if trio.current_time() - started_at > REVOCATION_TIMEOUT_S:
                    raise violations.PropertyViolated(
                        f"{gateway.name} still accepts a revoked key"
                    )
                request = dataclasses.replace(
                    self._request("pages"), key="key-2"
                )
                status = (await self._send(gateway, request)).status
                await trio.sleep(POLL_S)
        elapsed_s = trio.current_time() - started_at
        self._print_progress(
            f"all gateways reject the revoked key after {elapsed_s:.1f} s"
        )

    async def stop_gateway(self) -> None:
        """Stop a gateway that has open streams."""
        gateway = self._installation.gateways[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._stream, gateway, f"{gateway.name} received SIGTERM"
            )
            await trio.sleep(STREAM_LEAD_S)
            gateway.process.terminate()
        while gateway.process.poll() is None:
            await trio.sleep(POLL_S)
        self._print_progress(f"{gateway.name} exited after its last stream")


def _check(
    installation: launch.Installation, answers: list[load.Answer]
) -> None:
    observation = checks.Observation(
        tuple(answers),
        tuple(installation.runs()),
        tuple(installation.engine_violations()),
    )
    found_violations = checks.find_violations(observation)
    if found_violations:
        raise violations.PropertyViolated("; ".join(found_violations))


def _print_table(
    installation: launch.Installation, answers: list[load.Answer]
) -> None:
    table = rich.table.Table("measure", "value")
    for status, count in sorted(
        collections.Counter(answer.status for answer in answers).items()
    ):
        table.add_row(f"requests answered {status}", str(count))
    table.add_row("requests run by engines", str(len(installation.runs())))
    rich.console.Console().print(table)


async def _run_steps(
    installation: launch.Installation, print_progress: ProgressPrinter
) -> None:
    async with _Demo(installation, print_progress) as demo:
        await demo.serve_all_kinds()
        await demo.kill_engine()
        await demo.revoke_key()
        await demo.stop_gateway()
        _check(installation, demo.answers)
        _print_table(installation, demo.answers)


def run_demo(folder: pathlib.Path, print_progress: ProgressPrinter) -> None:
    """Run the demo of the gateways.

    :param folder: folder for settings and logs.
    :param print_progress: prints a progress message.
    :raises wasabilanding.experiments.violations.PropertyViolated: if a
        guarantee was violated.
    :raises TimeoutError: if the replicas are not assembled in time.
    """
    with launch.Installation(launch.Plan(), folder) as installation:
        print_progress("20 engines are registering with 4 gateways")
        elapsed_s = installation.wait_until_serving()
        print_progress(
            f"both models are served by each gateway after {elapsed_s:.1f} s"
        )
        trio.run(_run_steps, installation, print_progress)

"""Choice of the faults and planned changes of the soak test."""

import collections.abc
import functools
import random

import httpx
import trio

from wasabilanding.experiments.installation import crashing_requests
from wasabilanding.experiments.installation import engine_changes
from wasabilanding.experiments.installation import gateway_changes
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import network_faults
from wasabilanding.experiments.installation import operator_changes
from wasabilanding.experiments.installation import options as options_module
from wasabilanding.experiments.installation import outputs
from wasabilanding.experiments.installation import proxy
from wasabilanding.experiments.installation import record as record_module

CHANGE_INTERVAL_RANGE_S = (0.1, 1.5)
REVOKE_PROBABILITY = 0.3
# Chances of an evacuation, relative to another kind of planned change.
EVACUATION_WEIGHT = 3
# Chances of a request that ends engines, relative to another kind of fault.
POISON_WEIGHT = 2
TIMEOUTS_S = (4.0, 5.0, 6.0)
IDLE_TIMEOUTS_S = (0.5, 0.8, 1.2, 1.6)
# Time between changes of the idle timeout. Some of its values are in force
# for longer than they last, others change while connections are idle.
IDLE_CHANGE_RANGE_S = (0.3, 3.0)
KEYS = ("key-1", "key-2")

Change = collections.abc.Callable[[], collections.abc.Awaitable[None]]
# Fault or planned change of one gateway or engine.
TargetChange = collections.abc.Callable[..., collections.abc.Awaitable[None]]
Target = launch.Gateway | launch.Vm


class ChangeInjector:
    """Injects faults and planned changes into an installation.

    :param installation: running installation.
    :param proxies: proxies in front of its processes, by name.
    :param pipes: pipes of gateways' standard output, by name.
    :param rng: source of randomness.
    :param options: which faults and changes to make.
    """

    def __init__(
        self,
        installation: launch.Installation,
        proxies: collections.abc.Mapping[str, proxy.Proxy],
        pipes: collections.abc.Mapping[str, outputs.PipedOutput],
        rng: random.Random,
        options: options_module.Options,
    ) -> None:
        self._installation = installation
        self._pipes = pipes
        self._rng = rng
        self._options = options
        self._busy: set[str] = set()
        self._version = 1
        self._keys = KEYS
        self._timeout_s = launch.ROUTE_TIMEOUT_S
        # The idle timeout that the operator has told the callers.
        self.idle_timeout_s = launch.DEFAULT_LIMITS.idle_timeout_s
        self._configuring = trio.Lock()
        self.record = record_module.ChangeRecord()
        changed = installation, rng, self.record
        self._gateways = gateway_changes.GatewayChanges(*changed)
        self._engines = engine_changes.EngineChanges(*changed)
        self._operators = operator_changes.OperatorChanges(*changed)
        self._crashing = crashing_requests.CrashingRequests(*changed)
        self._network = network_faults.NetworkFaults(*changed, proxies)

    async def shorten_idle_timeout(self) -> None:
        """Set an idle timeout that is reached within a run."""
        async with self._configuring:
            await self._send_configuration(max(IDLE_TIMEOUTS_S))

    async def run(self, nursery: trio.Nursery) -> None:
        """Start faults and planned changes, which may overlap.

        :param nursery: runs the changes.
        """
        kinds = self._planned_changes()
        if self._options.pauses:
            kinds += self._pauses()
        if self._options.evacuations:
            kinds += [self._operators.evacuate] * EVACUATION_WEIGHT
        if not self._options.planned_only:
            kinds += self._faults()
            if self._options.poison:
                kinds += [self._crashing.send_repeatedly] * POISON_WEIGHT
        async with trio.open_nursery() as pipes:
            for pipe in self._pipes.values():
                pipes.start_soon(pipe.vary_reading, self._rng, self.record.add)
            if self._options.idle:
                pipes.start_soon(self._change_idle_timeouts)
            while True:
                await trio.sleep(self._rng.uniform(*CHANGE_INTERVAL_RANGE_S))
                nursery.start_soon(self._rng.choice(kinds))

    def _planned_changes(self) -> list[Change]:
        of_gateway = self._of_gateway
        return [
            of_gateway(self._gateways.stop),
            of_gateway(self._gateways.reload),
            of_gateway(self._gateways.stop_and_reload),
            of_gateway(self._gateways.stop_with_two_signals),
            of_gateway(self._gateways.stop_twice),
            of_gateway(self._stop_and_configure),
            self._stop_domain,
            self._change_configuration,
            self._of_vm(self._engines.leave),
        ]

    def _pauses(self) -> list[Change]:
        stall = self._of_vm(self._engines.stall)
        return [stall, stall, stall, self._engines.stall_all]

    def _faults(self) -> list[Change]:
        return [
            self._of_gateway(self._gateways.kill),
            self._of_gateway(self._gateways.suspend),
            self._of_gateway(self._gateways.cut_off),
            self._of_vm(self._engines.kill),
            self._of_vm(self._engines.pause),
            self._network.fail_link,
            self._network.fail_link,
            self._network.fail_platform,
        ]

    def _of_gateway(self, change: TargetChange) -> Change:
        return functools.partial(self._change_gateway, change)

    def _of_vm(self, change: TargetChange) -> Change:
        return functools.partial(self._change_vm, change)

    async def _change_gateway(self, change: TargetChange) -> None:
        gateways = {
            gateway.name: gateway for gateway in self._installation.gateways
        }
        await self._change_one_of(gateways, change)

    async def _change_vm(self, change: TargetChange) -> None:
        vms = {vm.endpoint_id: vm for vm in self._installation.vms}
        await self._change_one_of(vms, change)

    async def _change_one_of(
        self,
        targets: collections.abc.Mapping[str, Target],
        change: TargetChange,
    ) -> None:
        """Change a random target that has no change in progress, if any."""
        idle = [name for name in targets if name not in self._busy]
        if not idle:
            return
        name = self._rng.choice(idle)
        self._busy.add(name)
        await change(targets[name])
        self._busy.discard(name)

    async def _stop_domain(self) -> None:
        """Stop two gateways of one failure domain at once."""
        idle: dict[str, list[launch.Gateway]] = {}
        for gateway in self._installation.gateways:
            if gateway.name not in self._busy:
                idle.setdefault(gateway.failure_domain, []).append(gateway)
        pairs = [found[:2] for found in idle.values() if len(found) > 1]
        if not pairs:
            return
        pair = self._rng.choice(pairs)
        self._busy.update(gateway.name for gateway in pair)
        async with trio.open_nursery() as nursery:
            for gateway in pair:
                nursery.start_soon(self._gateways.stop, gateway)
        self._busy.difference_update(gateway.name for gateway in pair)

    async def _stop_and_configure(self, gateway: launch.Gateway) -> None:
        """Change the configuration while a gateway drains."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._gateways.stop, gateway)
            delay_s = self._rng.uniform(*gateway_changes.DRAIN_DELAY_RANGE_S)
            with trio.CancelScope(shield=True):
                await trio.sleep(delay_s)
            await self._change_configuration()

    async def _change_configuration(self) -> None:
        # The versions are sent in order.
        async with self._configuring:
            revokes = self.record.revoked
            revokes = revokes or self._rng.random() < REVOKE_PROBABILITY
            self._keys = KEYS[:1] if revokes else KEYS
            self._timeout_s = self._rng.choice(TIMEOUTS_S)
            await self._send_configuration(self.idle_timeout_s)

    async def _change_idle_timeouts(self) -> None:
        """Raise and lower the idle timeout again and again."""
        while True:
            await trio.sleep(self._rng.uniform(*IDLE_CHANGE_RANGE_S))
            timeout_s = self._rng.choice(IDLE_TIMEOUTS_S)
            async with self._configuring:
                await self._send_configuration(timeout_s)

    async def _send_configuration(self, idle_timeout_s: float) -> None:
        self._version += 1
        record = self.record
        table = launch.routing_table(
            self._version,
            self._keys,
            self._timeout_s,
            idle_timeout_s=idle_timeout_s,
        )
        record.add(
            f"configuration {self._version}, keys {self._keys}, "
            f"{self._timeout_s} s, idle {idle_timeout_s} s"
        )
        record.add_timeout(self._timeout_s)
        try:
            await trio.to_thread.run_sync(self._installation.configure, table)
        except httpx.HTTPError as error:
            record.add(f"the platform did not confirm it: {error!r}")
            return
        self.idle_timeout_s = idle_timeout_s
        if self._keys != KEYS:
            record.revoked.setdefault(KEYS[1], trio.current_time())

"""Random faults and planned changes of the soak test."""

import collections.abc
import functools
import random
import signal
import subprocess

import httpx
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import proxy

CHANGE_INTERVAL_RANGE_S = (0.1, 1.5)
FAULT_DURATION_RANGE_S = (0.3, 3.0)
STOP_TIMEOUT_S = launch.SHUTDOWN_GRACE_S + 2.0
ENGINE_ABSENCE_S = 6.0
REVOKE_PROBABILITY = 0.3
TIMEOUTS_S = (4.0, 5.0, 6.0)
KEYS = ("key-1", "key-2")

# Fault or planned change of one gateway or engine.
Change = collections.abc.Callable[..., collections.abc.Awaitable[None]]


class ChangeInjector:
    """Injects faults and planned changes into an installation.

    :param installation: running installation.
    :param proxies: proxies in front of its processes, by name.
    :param rng: source of randomness.
    :param planned_only: whether to make planned changes only, no faults.
    """

    def __init__(
        self,
        installation: launch.Installation,
        proxies: collections.abc.Mapping[str, proxy.Proxy],
        rng: random.Random,
        planned_only: bool,
    ) -> None:
        self._installation = installation
        self._proxies = proxies
        self._rng = rng
        self._planned_only = planned_only
        self._busy: set[str] = set()
        self._version = 1
        self.revoked: dict[str, float] = {}
        self.actions: list[str] = []

    async def run(self, nursery: trio.Nursery) -> None:
        """Start faults and planned changes, which may overlap."""
        kinds: list[collections.abc.Callable] = [
            functools.partial(self._change_gateway, self._stop_gateway),
            functools.partial(self._change_gateway, self._reload_gateway),
            self._change_configuration,
            functools.partial(self._change_vm, self._make_engine_leave),
        ]
        if not self._planned_only:
            kinds += [
                functools.partial(self._change_gateway, self._kill_gateway),
                functools.partial(self._change_gateway, self._suspend_gateway),
                functools.partial(self._change_vm, self._kill_engine),
                functools.partial(self._change_vm, self._pause_engine),
                self._fail_link,
                self._fail_link,
                self._fail_platform,
            ]
        while True:
            await trio.sleep(self._rng.uniform(*CHANGE_INTERVAL_RANGE_S))
            nursery.start_soon(self._rng.choice(kinds))

    async def _change_gateway(self, change: Change) -> None:
        gateways = {
            gateway.name: gateway for gateway in self._installation.gateways
        }
        await self._change_one_of(gateways, change)

    async def _change_vm(self, change: Change) -> None:
        vms = {vm.endpoint_id: vm for vm in self._installation.vms}
        await self._change_one_of(vms, change)

    async def _change_one_of(
        self,
        targets: collections.abc.Mapping[str, launch.Gateway | launch.Vm],
        change: Change,
    ) -> None:
        """Change a random target that has no change in progress, if any."""
        idle = [name for name in targets if name not in self._busy]
        if not idle:
            return
        name = self._rng.choice(idle)
        self._busy.add(name)
        await change(targets[name])
        self._busy.discard(name)

    def _record_action(self, text: str) -> None:
        self.actions.append(f"{trio.current_time():.1f} {text}")

    async def _control_vm(self, vm: launch.Vm, action: str) -> None:
        self._record_action(f"{action} {vm.endpoint_id}")
        await trio.to_thread.run_sync(
            self._installation.control_vm, vm, action
        )

    async def _wait_fault_duration(self) -> None:
        with trio.CancelScope(shield=True):
            await trio.sleep(self._rng.uniform(*FAULT_DURATION_RANGE_S))

    async def _wait_for_exit(self, process: subprocess.Popen) -> None:
        while process.poll() is None:
            await trio.sleep(launch.POLL_S)

    async def _stop_gateway(self, gateway: launch.Gateway) -> None:
        self._record_action(f"SIGTERM {gateway.name}")
        gateway.process.terminate()
        with trio.move_on_after(STOP_TIMEOUT_S) as scope:
            await self._wait_for_exit(gateway.process)
        if scope.cancelled_caught:
            self._record_action(
                f"{gateway.name} did not exit within {STOP_TIMEOUT_S} s"
            )
            gateway.process.kill()
            await self._wait_for_exit(gateway.process)
        self._installation.restart(gateway)

    async def _reload_gateway(self, gateway: launch.Gateway) -> None:
        self._record_action(f"SIGHUP {gateway.name}")
        gateway.process.send_signal(signal.SIGHUP)

    async def _change_configuration(self) -> None:
        self._version += 1
        revokes = self.revoked or self._rng.random() < REVOKE_PROBABILITY
        keys = KEYS[:1] if revokes else KEYS
        timeout_s = self._rng.choice(TIMEOUTS_S)
        table = launch.routing_table(self._version, keys, timeout_s)
        self._record_action(f"configuration {self._version}, keys {keys}")
        try:
            await trio.to_thread.run_sync(self._installation.configure, table)
        except httpx.HTTPError as error:
            self._record_action(f"the platform did not confirm it: {error!r}")
            return
        if keys != KEYS:
            self.revoked.setdefault(KEYS[1], trio.current_time())

    async def _make_engine_leave(self, vm: launch.Vm) -> None:
        await self._control_vm(vm, "leave")
        await trio.sleep(ENGINE_ABSENCE_S)
        await self._control_vm(vm, "restart")

    async def _kill_gateway(self, gateway: launch.Gateway) -> None:
        self._record_action(f"SIGKILL {gateway.name}")
        gateway.process.kill()
        await self._wait_for_exit(gateway.process)
        await self._wait_fault_duration()
        self._installation.restart(gateway)

    async def _suspend_gateway(self, gateway: launch.Gateway) -> None:
        self._record_action(f"SIGSTOP {gateway.name}")
        gateway.process.send_signal(signal.SIGSTOP)
        await self._wait_fault_duration()
        gateway.process.send_signal(signal.SIGCONT)

    async def _kill_engine(self, vm: launch.Vm) -> None:
        await self._control_vm(vm, "kill")
        await self._wait_fault_duration()
        await self._control_vm(vm, "restart")

    async def _pause_engine(self, vm: launch.Vm) -> None:
        await self._control_vm(vm, "pause")
        await self._wait_fault_duration()
        await self._control_vm(vm, "resume")

    async def _fail_link(self) -> None:
        link = self._rng.choice(list(self._proxies.values()))
        if link.mode is not proxy.Mode.PASS:
            return
        mode = self._rng.choice(proxy.FAULTS)
        self._record_action(f"link to {link.name}: {mode.value}")
        link.set_mode(mode)
        await self._wait_fault_duration()
        link.set_mode(proxy.Mode.PASS)

    async def _fail_platform(self) -> None:
        fault = self._rng.choice(
            ({"down": True}, {"delay_s": 0.3}, {"lose_answers": 3})
        )
        self._record_action(f"platform: {fault}")
        url = f"{self._installation.platform_url}/standin/faults"
        async with httpx.AsyncClient() as client:
            await client.put(url, json=fault)
            await self._wait_fault_duration()
            await client.put(url, json={})

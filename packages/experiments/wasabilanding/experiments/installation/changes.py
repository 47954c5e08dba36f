"""Faults and planned changes of the soak, drawn from its seed."""

import collections.abc
import random
import signal
import subprocess

import httpx
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import proxy

BETWEEN_CHANGES_S = (0.1, 1.5)
FAULT_S = (0.3, 3.0)
STOP_S = launch.SHUTDOWN_GRACE_S + 2.0
LEAVE_S = 6.0
REVOKE_PART = 0.3
TIMEOUTS_S = (4.0, 5.0, 6.0)
KEYS = ("key-1", "key-2")


class Changes:
    """What is done to an installation.

    :param installation: the installation.
    :param proxies: links to its processes, by name.
    :param rng: draws what is done.
    :param planned_only: whether only planned changes are made.
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
        """Begin faults and planned changes, also while others go on."""
        kinds: list[collections.abc.Callable] = [
            self._stop_gateway,
            self._reload_gateway,
            self._configure,
            self._let_engine_leave,
        ]
        if not self._planned_only:
            kinds += [
                self._kill_gateway,
                self._freeze_gateway,
                self._kill_engine,
                self._pause_engine,
                self._harm_link,
                self._harm_link,
                self._harm_platform,
            ]
        while True:
            await trio.sleep(self._rng.uniform(*BETWEEN_CHANGES_S))
            nursery.start_soon(self._rng.choice(kinds))

    def _draw(self, names: collections.abc.Sequence[str]) -> str | None:
        """Return a target that nothing happens to yet, and note it."""
        free = [name for name in names if name not in self._busy]
        if not free:
            return None
        found = self._rng.choice(free)
        self._busy.add(found)
        return found

    def _note(self, text: str) -> None:
        self.actions.append(f"{trio.current_time():.1f} {text}")

    def _draw_gateway(self) -> launch.Gateway | None:
        by_name = {one.name: one for one in self._installation.gateways}
        name = self._draw(list(by_name))
        return by_name[name] if name else None

    def _draw_vm(self) -> launch.Vm | None:
        by_name = {one.endpoint_id: one for one in self._installation.vms}
        name = self._draw(list(by_name))
        return by_name[name] if name else None

    async def _tell(self, vm: launch.Vm, what: str) -> None:
        self._note(f"{what} {vm.endpoint_id}")
        await trio.to_thread.run_sync(self._installation.tell_vm, vm, what)

    async def _rest(self) -> None:
        with trio.CancelScope(shield=True):
            await trio.sleep(self._rng.uniform(*FAULT_S))

    async def _wait_end(self, process: subprocess.Popen) -> None:
        while process.poll() is None:
            await trio.sleep(launch.POLL_S)

    async def _stop_gateway(self) -> None:
        gateway = self._draw_gateway()
        if gateway is None:
            return
        self._note(f"SIGTERM {gateway.name}")
        gateway.process.terminate()
        with trio.move_on_after(STOP_S) as scope:
            await self._wait_end(gateway.process)
        if scope.cancelled_caught:
            self._note(f"{gateway.name} did not end in {STOP_S} s")
            gateway.process.kill()
            await self._wait_end(gateway.process)
        self._installation.restart(gateway)
        self._busy.discard(gateway.name)

    async def _reload_gateway(self) -> None:
        gateway = self._draw_gateway()
        if gateway is None:
            return
        self._note(f"SIGHUP {gateway.name}")
        gateway.process.send_signal(signal.SIGHUP)
        self._busy.discard(gateway.name)

    async def _configure(self) -> None:
        self._version += 1
        keys = KEYS
        if not self.revoked and self._rng.random() < REVOKE_PART:
            keys = KEYS[:1]
        if self.revoked:
            keys = KEYS[:1]
        timeout_s = self._rng.choice(TIMEOUTS_S)
        wanted = launch.table(self._version, keys, timeout_s)
        self._note(f"configuration {self._version}, keys {keys}")
        try:
            await trio.to_thread.run_sync(self._installation.configure, wanted)
        except httpx.HTTPError as error:
            self._note(f"the platform did not take it: {error!r}")
            return
        if keys != KEYS:
            self.revoked.setdefault(KEYS[1], trio.current_time())

    async def _let_engine_leave(self) -> None:
        vm = self._draw_vm()
        if vm is None:
            return
        await self._tell(vm, "leave")
        await trio.sleep(LEAVE_S)
        await self._tell(vm, "restart")
        self._busy.discard(vm.endpoint_id)

    async def _kill_gateway(self) -> None:
        gateway = self._draw_gateway()
        if gateway is None:
            return
        self._note(f"SIGKILL {gateway.name}")
        gateway.process.kill()
        await self._wait_end(gateway.process)
        await self._rest()
        self._installation.restart(gateway)
        self._busy.discard(gateway.name)

    async def _freeze_gateway(self) -> None:
        gateway = self._draw_gateway()
        if gateway is None:
            return
        self._note(f"SIGSTOP {gateway.name}")
        gateway.process.send_signal(signal.SIGSTOP)
        await self._rest()
        gateway.process.send_signal(signal.SIGCONT)
        self._busy.discard(gateway.name)

    async def _kill_engine(self) -> None:
        vm = self._draw_vm()
        if vm is None:
            return
        await self._tell(vm, "kill")
        await self._rest()
        await self._tell(vm, "restart")
        self._busy.discard(vm.endpoint_id)

    async def _pause_engine(self) -> None:
        vm = self._draw_vm()
        if vm is None:
            return
        await self._tell(vm, "pause")
        await self._rest()
        await self._tell(vm, "resume")
        self._busy.discard(vm.endpoint_id)

    async def _harm_link(self) -> None:
        found = self._rng.choice(list(self._proxies.values()))
        if found.mode is not proxy.Mode.PASS:
            return
        mode = self._rng.choice(proxy.FAULTS)
        self._note(f"link to {found.name}: {mode.value}")
        found.enter(mode)
        await self._rest()
        found.enter(proxy.Mode.PASS)

    async def _harm_platform(self) -> None:
        fault = self._rng.choice(
            ({"down": True}, {"delay_s": 0.3}, {"lose_answers": 3})
        )
        self._note(f"platform: {fault}")
        url = f"{self._installation.platform_url}/standin/faults"
        async with httpx.AsyncClient() as client:
            await client.put(url, json=fault)
            await self._rest()
            await client.put(url, json={})

"""Faults of links and of the platform."""

import collections.abc
import random

import httpx

from wasabilanding.experiments.installation import durations
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import proxy
from wasabilanding.experiments.installation import record as record_module

PLATFORM_FAULTS = ({"down": True}, {"delay_s": 0.3}, {"lose_answers": 3})


class NetworkFaults:
    """Disturbs links and the platform for a while.

    :param installation: running installation.
    :param rng: source of randomness.
    :param record: record of the faults.
    :param proxies: proxies in front of its processes, by name.
    """

    def __init__(
        self,
        installation: launch.Installation,
        rng: random.Random,
        record: record_module.ChangeRecord,
        proxies: collections.abc.Mapping[str, proxy.Proxy],
    ) -> None:
        self._installation = installation
        self._rng = rng
        self._record = record
        self._proxies = proxies

    async def fail_link(self) -> None:
        """Disturb a random link, unless it is disturbed already."""
        link = self._rng.choice(list(self._proxies.values()))
        if link.mode is not proxy.Mode.PASS:
            return
        mode = self._rng.choice(proxy.FAULTS)
        self._record.add(f"link to {link.name}: {mode.value}")
        link.set_mode(mode)
        await durations.wait(self._rng, durations.FAULT_DURATION_RANGE_S)
        link.set_mode(proxy.Mode.PASS)

    async def fail_platform(self) -> None:
        """Let the platform be down, be slow or lose answers."""
        fault = self._rng.choice(PLATFORM_FAULTS)
        self._record.add(f"platform: {fault}")
        url = f"{self._installation.platform_url}/standin/faults"
        async with httpx.AsyncClient() as client:
            await client.put(url, json=fault)
            await durations.wait(self._rng, durations.FAULT_DURATION_RANGE_S)
            await client.put(url, json={})

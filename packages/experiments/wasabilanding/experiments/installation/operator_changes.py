"""Evacuations of failure domains as planned changes of the soak test."""

import random

import httpx
import trio

from wasabilanding.experiments.installation import durations
from wasabilanding.experiments.installation import evacuation
from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import record as record_module

# Exceeds the bound, so that requests which arrive too late are seen.
EVACUATED_RANGE_S = (6.0, 9.0)


class OperatorChanges:
    """Evacuates failure domains and takes the evacuations back.

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
        self._is_evacuating = False

    async def evacuate(self) -> None:
        """Evacuate a failure domain for a while, unless one is."""
        if self._is_evacuating:
            return
        self._is_evacuating = True
        url = self._installation.platform_url
        domains = {vm.failure_domain for vm in self._installation.vms}
        name = self._rng.choice(sorted(domains))
        self._record.add(f"evacuate {name}")
        with trio.CancelScope(shield=True):
            try:
                found = await trio.to_thread.run_sync(
                    evacuation.evacuate, url, name
                )
            except httpx.HTTPError as error:
                self._record.add(f"the platform did not confirm it: {error!r}")
            else:
                self._record.evacuations.append(found)
                await durations.wait(self._rng, EVACUATED_RANGE_S)
                await self._take_back(found)
        self._is_evacuating = False

    async def _take_back(self, found: evacuation.Evacuation) -> None:
        """Take an evacuation back, also if the platform fails for a while."""
        url = self._installation.platform_url
        self._record.add(f"take back the evacuation of {found.failure_domain}")
        while True:
            try:
                await trio.to_thread.run_sync(evacuation.take_back, url, found)
            except httpx.HTTPError as error:
                self._record.add(f"the platform did not confirm it: {error!r}")
                await trio.sleep(launch.POLL_S)
            else:
                return

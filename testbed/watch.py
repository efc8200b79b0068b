"""Monitors the balancers of a deployment during faults."""

import asyncio
from collections.abc import Iterable
import time

import aiohttp

from testbed.deployment import ADMIN_PORT
from testbed.deployment import Deployment

POLL_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 1.0


class VersionWatch:
    """Polls the versions in force at every balancer.

    :param deployment: deployment whose balancers are polled.
    """

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        #: Versions by key, by balancer name and process id. A restarted
        #: process has no versions at first, so that it is not compared with
        #: the one before.
        self._versions: dict[tuple[str, int], dict[str, int]] = {}
        #: Versions that decreased or disappeared, as text.
        self.reverted: list[str] = []
        self.polls = 0
        self._http: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start to poll."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        self._http = aiohttp.ClientSession(timeout=timeout)
        self._task = asyncio.ensure_future(self._poll_forever())

    async def stop(self) -> None:
        """Poll one last time and stop."""
        if self._http is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._poll_all()
        await self._http.close()
        self._http = None

    async def _poll_forever(self) -> None:
        while True:
            await self._poll_all()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll_all(self) -> None:
        await asyncio.gather(*map(self._poll, self._deployment.balancer_ips))

    async def local_state(self, name: str) -> dict | None:
        """Return the local state of a balancer, ``None`` without an answer."""
        ip = self._deployment.balancer_ips[name]
        url = f'http://{ip}:{ADMIN_PORT}/v1/state?scope=local'
        try:
            async with self._http.get(url) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _poll(self, name: str) -> None:
        process = self._deployment.supervisor.process_by_name.get(name)
        state = await self.local_state(name)
        if process is None or state is None:
            return
        if process is not self._deployment.supervisor.process_by_name.get(
            name
        ):
            return
        self.polls += 1
        known = self._versions.setdefault((name, process.pid), {})
        for key in known.keys() | state['versions'].keys():
            version = state['versions'].get(key, 0)
            if version < known.get(key, 0):
                self.reverted.append(f'{name} {key}: {known[key]}, {version}')
            known[key] = version

    async def seconds_until(
        self, key: str, version: int, names: Iterable[str], within_s: float
    ) -> float:
        """Wait until balancers have a version in force.

        :param key: catalogue key as in the accepted edit.
        :param version: lowest version to wait for.
        :param names: names of the balancers.
        :param within_s: longest wait in seconds.
        :returns: seconds until all balancers had the version.
        :raises TimeoutError: if it took longer than that.
        """
        start = time.monotonic()
        missing = set(names)
        async with asyncio.timeout(within_s):
            while missing:
                for name in sorted(missing):
                    state = await self.local_state(name)
                    versions = state['versions'] if state else {}
                    if versions.get(key, 0) >= version:
                        missing.discard(name)
                if missing:
                    await asyncio.sleep(POLL_INTERVAL_S / 4)
        return time.monotonic() - start

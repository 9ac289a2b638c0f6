"""Randomised soak test of the platform's daemons, as separate processes.

The store and the backend servers are stand-ins in this process. Each of them is
behind its own proxy, which delays, resets and blackholes connections. The
daemons are child processes that receive signals.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import signal

from lavendershed.core import units
from lavendershed.standin import fault_proxy
from lavendershed.standin import platform_engine
from lavendershed.standin import platform_store
from lavendershed.standin import soak_callers
from lavendershed.standin import soak_daemon
from lavendershed.standin import soak_deployment
from lavendershed.transport import boot_timers

API_KEY = "soak-key"
# Replaces the first key in the last configuration.
_NEW_API_KEY = "new-soak-key"
# Within two seconds after the store has acknowledged a change, a configuration
# must be in force, and a draining server must not get new work.
_APPLY_WAIT = units.Seconds(2.0)
# Reservations expire after 3.5 s; they are not renewed after a request ends.
_RELEASE_WAIT = units.Seconds(5.0)
_RECOVERY_TIMEOUT = units.Seconds(12.0)
# Response to a removed API key.
_UNAUTHENTICATED_STATUS = 401
# Requests sent to each daemon in one probe.
_PROBES_PER_DAEMON = 3
# Zone that is evacuated; daemons are in the other one.
_EVACUATED_ZONE = "b"
_STOP_POLL_INTERVAL = units.Seconds(0.05)
# SIGTERM kills a daemon that is not yet listening and has no open requests.
_EXPECTED_EXIT_STATUSES = (0, -signal.SIGKILL, -signal.SIGTERM)
_ENGINE_FAULTS = (
    platform_engine.EngineFault.SHED,
    platform_engine.EngineFault.ERROR,
    platform_engine.EngineFault.RESET_BEFORE_RESPONSE,
    platform_engine.EngineFault.RESET_IN_STREAM,
    platform_engine.EngineFault.HANG,
    platform_engine.EngineFault.HANG_IN_STREAM,
    platform_engine.EngineFault.NO_SIGNATURE,
    platform_engine.EngineFault.WRONG_REQUEST_ID,
    platform_engine.EngineFault.CONTENT_ENCODING,
    platform_engine.EngineFault.PARTIAL_EVENT,
    platform_engine.EngineFault.EVENT_ID_GAP,
    platform_engine.EngineFault.UNMARKED_REFUSAL,
)


class PlatformSoak:
    """Sends requests under random faults and collects violations."""

    def __init__(self, seed: int, options: soak_deployment.SoakOptions) -> None:
        self._options = options
        self._random = random.Random(seed)
        self._timers = boot_timers.BootTimerService(asyncio.get_running_loop())
        self._deployment = soak_deployment.SoakDeployment(
            options, self._random, self._timers
        )
        self._restarting: set[soak_daemon.DaemonProcess] = set()
        self._callers = soak_callers.SoakCallers(seed)
        # Separate generator, so that its draws leave the fault sequence of a
        # seed unchanged.
        self._detail_random = random.Random(f"details of {seed}")
        self._evacuation_random = random.Random(f"evacuations of {seed}")
        self._api_key = API_KEY
        self._violations: list[str] = []

    @property
    def log_directory(self) -> pathlib.Path:
        """Directory of the daemons' settings and logs."""
        return self._deployment.log_directory

    @property
    def outcomes(self) -> collections.Counter[str]:
        """Number of requests by kind and result."""
        return self._callers.outcomes

    async def run(self) -> list[str]:
        """Runs the soak; returns the violations."""
        loop = asyncio.get_running_loop()
        lag_task = loop.create_task(self._callers.measure_lag())
        try:
            await self._deployment.start(self._api_key)
            end_time = self._timers.now() + self._options.duration_s
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_requests(group, end_time))
                for _ in range(2):
                    group.create_task(self._inject_faults(end_time))
                group.create_task(self._evacuate_zone(end_time))
            await self._clear_all_faults()
            await self._check_recovery()
            await self._check_planned_changes()
            self._violations += self._callers.find_violations(
                self._deployment.backend_servers
            )
            return self._violations
        finally:
            lag_task.cancel()
            self._callers.close()
            await self._deployment.close()

    async def _send_requests(
        self, group: asyncio.TaskGroup, end_time: float
    ) -> None:
        while self._timers.now() < end_time:
            kind = self._random.choice(("stream", "stream", "safe", "unsafe"))
            group.create_task(self._request(kind))
            await asyncio.sleep(
                self._random.expovariate(self._options.requests_per_second)
            )

    async def _request(
        self, kind: str, daemon: soak_daemon.DaemonProcess | None = None
    ) -> soak_callers.RequestOutcome:
        target_daemon = daemon or self._random.choice(self._deployment.daemons)
        prompt_tokens = 0
        if kind == "stream":
            prompt_tokens = self._random.choice((500, 5_000, 400_000))
        return await self._callers.request(
            kind, target_daemon, self._api_key, prompt_tokens
        )

    async def _inject_faults(self, end_time: float) -> None:
        faults = (
            self._inject_server_fault,
            self._inject_proxy_fault,
            self._inject_store_fault,
            self._signal_daemon,
            self._change_configuration,
            self._drain_server,
        )
        while self._timers.now() < end_time:
            await self._random.choice(faults)()
            await asyncio.sleep(self._random.uniform(0.1, 0.8))

    async def _inject_server_fault(self) -> None:
        backend_server = self._random.choice(self._deployment.backend_servers)
        backend_server.fault = self._random.choice(_ENGINE_FAULTS)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        backend_server.fault = platform_engine.EngineFault.NONE

    async def _inject_proxy_fault(self) -> None:
        proxy = self._random.choice(self._deployment.proxies)
        match self._random.randrange(5):
            case 0:
                proxy.reset_connections()
            case 1:
                proxy.blackhole_established()
            case 2:
                proxy.set_delay(units.Seconds(self._random.uniform(0, 0.2)))
            case 3:
                proxy.set_refuse_connections(True)
            case _:
                proxy.set_connection_behaviour(
                    self._detail_random.choice(
                        (
                            fault_proxy.RelayBehaviour.DROP_RESPONSES,
                            fault_proxy.RelayBehaviour.DROP_REQUESTS,
                        )
                    )
                )
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        self._clear_proxy_faults(proxy)

    def _clear_proxy_faults(self, proxy: fault_proxy.FaultProxy) -> None:
        proxy.set_delay(units.Seconds(0.0))
        proxy.set_refuse_connections(False)
        proxy.set_new_connection_behaviour(fault_proxy.RelayBehaviour.FORWARD)

    async def _inject_store_fault(self) -> None:
        self._deployment.store.fault = self._random.choice(
            (
                platform_store.StoreFault.RESET,
                platform_store.StoreFault.SILENT,
                platform_store.StoreFault.BUSY,
            )
        )
        self._deployment.store.wake_watches()
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        self._deployment.store.fault = platform_store.StoreFault.NONE
        if self._random.random() < 0.5:
            self._deployment.store.compact_history()

    async def _signal_daemon(self) -> None:
        daemon = self._random.choice(self._deployment.daemons)
        match self._random.randrange(4):
            case 0:
                daemon.send_signal(signal.SIGKILL)
            case 1:
                daemon.send_signal(signal.SIGTERM)
            case 2:
                daemon.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self._random.uniform(0.2, 2.0))
                daemon.send_signal(signal.SIGCONT)
                return
            case _:
                daemon.send_signal(signal.SIGHUP)
                return
        if daemon in self._restarting:
            return
        # Signals may overlap; only the first one restarts the daemon.
        self._restarting.add(daemon)
        daemon.send_signal(signal.SIGCONT)
        exit_status = await daemon.wait()
        self._restarting.discard(daemon)
        if exit_status not in _EXPECTED_EXIT_STATUSES:
            self._violations.append(
                f"a daemon exited with status {exit_status}"
            )
        await self._deployment.start_daemon(daemon)

    async def _change_configuration(self) -> None:
        self._deployment.publish_configuration(self._api_key)

    async def _drain_server(self) -> None:
        """Marks a server as draining and then as ready again."""
        index = self._random.randrange(len(self._deployment.backend_servers))
        self._deployment.publish_server(index, "draining")
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        # The entry changes twice in quick succession, as after a restart.
        self._deployment.publish_server(index, bypass_proxy=True)
        self._deployment.publish_server(index)

    async def _evacuate_zone(self, end_time: float) -> None:
        """Evacuates a zone and takes it back, again and again."""
        while self._timers.now() < end_time:
            for evacuated in (True, False):
                self._deployment.set_evacuated(
                    _EVACUATED_ZONE, evacuated=evacuated
                )
                await asyncio.sleep(self._evacuation_random.uniform(0.5, 3.0))

    async def _clear_all_faults(self) -> None:
        """Clears all faults and restarts the daemons that have exited."""
        self._deployment.store.fault = platform_store.StoreFault.NONE
        for backend_server in self._deployment.backend_servers:
            backend_server.fault = platform_engine.EngineFault.NONE
        for proxy in self._deployment.proxies:
            proxy.set_connection_behaviour(fault_proxy.RelayBehaviour.FORWARD)
            self._clear_proxy_faults(proxy)
            proxy.reset_connections()
        for daemon in self._deployment.daemons:
            daemon.send_signal(signal.SIGCONT)
            if not daemon.running:
                await self._deployment.start_daemon(daemon)
        self._deployment.publish_configuration(self._api_key)

    async def _check_recovery(self) -> None:
        try:
            async with asyncio.timeout(_RECOVERY_TIMEOUT):
                for daemon in self._deployment.daemons:
                    await self._deployment.wait_until_ready(daemon)
                    for kind in ("stream", "safe", "unsafe"):
                        await self._wait_until_served(kind, daemon)
        except TimeoutError:
            self._violations.append("the daemons did not recover in time")
        await asyncio.sleep(_RELEASE_WAIT)
        for backend_server in self._deployment.backend_servers:
            if backend_server.reservations:
                self._violations.append(
                    f"{backend_server.id} still has reservations "
                    f"{backend_server.reservations}"
                )
            if backend_server.open_requests:
                self._violations.append(
                    f"{backend_server.id} still has open requests"
                )

    async def _check_planned_changes(self) -> None:
        """Checks drain, key removal and stop after all faults are cleared."""
        await self._check_evacuated_zone()
        await self._check_leaving_engine()
        await self._check_revoked_key()
        await self._check_stops()

    async def _check_evacuated_zone(self) -> None:
        """Checks that no work reaches a zone, and that it gets work again."""
        servers = [
            server
            for index, server in enumerate(self._deployment.backend_servers)
            if soak_deployment.server_zone(index) == _EVACUATED_ZONE
        ]
        for evacuated in (True, False):
            self._deployment.set_evacuated(_EVACUATED_ZONE, evacuated=evacuated)
            await asyncio.sleep(_APPLY_WAIT)
            before = sum(len(server.received_requests) for server in servers)
            for kind in ("stream", "safe", "unsafe"):
                await self._probe(kind)
            after = sum(len(server.received_requests) for server in servers)
            if evacuated == (after > before):
                self._violations.append(
                    f"a zone got {after - before} requests, "
                    f"evacuated: {evacuated}"
                )

    async def _check_leaving_engine(self) -> None:
        leaving_index = self._detail_random.randrange(self._options.engines)
        engine = self._deployment.backend_servers[leaving_index]
        self._deployment.publish_server(leaving_index, "draining")
        await asyncio.sleep(_APPLY_WAIT)
        requests_before = len(engine.received_requests)
        await self._probe("stream")
        if len(engine.received_requests) > requests_before:
            self._violations.append(f"{engine.id} got requests while draining")
        self._deployment.publish_server(leaving_index)

    async def _check_revoked_key(self) -> None:
        removed_key, self._api_key = self._api_key, _NEW_API_KEY
        self._deployment.publish_configuration(self._api_key)
        await asyncio.sleep(_APPLY_WAIT)
        for daemon in self._deployment.daemons:
            removed_key_outcome = await self._callers.request(
                "safe", daemon, removed_key, 0
            )
            new_key_outcome = await self._request("safe", daemon)
            if (removed_key_outcome.status, new_key_outcome.status) != (
                _UNAUTHENTICATED_STATUS,
                200,
            ):
                self._violations.append(
                    f"{daemon.frontend_address} responds to a removed key with "
                    f"{removed_key_outcome.status} and the new one with "
                    f"{new_key_outcome.status}"
                )

    async def _check_stops(self) -> None:
        """Stops each daemon while callers use persistent connections."""
        for daemon in self._deployment.daemons:
            await self._probe("safe", daemon)
            daemon.send_signal(signal.SIGTERM)
            while daemon.running:
                # A stopping daemon refuses new connections.
                await self._request("unsafe", daemon)
                await asyncio.sleep(_STOP_POLL_INTERVAL)
            exit_status = await daemon.wait()
            if exit_status not in _EXPECTED_EXIT_STATUSES:
                self._violations.append(
                    f"a daemon exited with status {exit_status}"
                )

    async def _probe(
        self, kind: str, daemon: soak_daemon.DaemonProcess | None = None
    ) -> None:
        targets = [daemon] if daemon is not None else self._deployment.daemons
        await asyncio.gather(
            *(
                self._request(kind, target)
                for target in targets
                for _ in range(_PROBES_PER_DAEMON)
            )
        )

    async def _wait_until_served(
        self, kind: str, daemon: soak_daemon.DaemonProcess
    ) -> None:
        while True:
            outcome = await self._request(kind, daemon)
            if outcome.status == 200 and outcome.complete:
                return
            await asyncio.sleep(0.1)

"""Randomised soak of daemons on the platform, as separate processes.

The store and the engines are stand-ins in this process. Each engine and the
store are reached through a proxy of their own, which delays, resets and
silences connections. The daemons are started as programs and get signals.
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

KEY = "soak-key"
# In force in the last configuration only.
_NEW_KEY = "new-soak-key"
# A configuration has to be in force, and a leaving server without new work,
# two seconds after the store has acknowledged it.
_APPLY_TIME = units.Seconds(2.0)
# Reservations are leased for 3.5 s; nothing renews them after a request.
_RELEASE_TIME = units.Seconds(5.0)
_RECOVERY_TIME = units.Seconds(12.0)
# A removed key is refused with this status.
_UNAUTHENTICATED = 401
# Requests of each kind and daemon after a planned change.
_PROBES = 3
_STOP_INTERVAL = units.Seconds(0.05)
# A process that gets SIGTERM before it listens has nothing to finish.
_EXPECTED_STATUSES = (0, -signal.SIGKILL, -signal.SIGTERM)
_ENGINE_FAULTS = (
    platform_engine.EngineFault.SHED,
    platform_engine.EngineFault.ERROR,
    platform_engine.EngineFault.RESET_BEFORE_ANSWER,
    platform_engine.EngineFault.RESET_IN_STREAM,
    platform_engine.EngineFault.HANG,
    platform_engine.EngineFault.HANG_IN_STREAM,
    platform_engine.EngineFault.NO_SIGNATURE,
    platform_engine.EngineFault.OTHER_ID,
    platform_engine.EngineFault.ENCODED,
    platform_engine.EngineFault.PARTIAL_EVENT,
    platform_engine.EngineFault.GAP,
    platform_engine.EngineFault.UNSAID_REFUSAL,
)


class PlatformSoak:
    """Runs callers and faults for a while and collects broken promises."""

    def __init__(self, seed: int, shape: soak_deployment.SoakShape) -> None:
        self._shape = shape
        self._random = random.Random(seed)
        self._timers = boot_timers.BootTimerService(asyncio.get_running_loop())
        self._deployment = soak_deployment.SoakDeployment(
            shape, self._random, self._timers
        )
        self._restarting: set[soak_daemon.DaemonProcess] = set()
        self._callers = soak_callers.SoakCallers(seed)
        # Draws beside those that decide the order of the faults.
        self._details = random.Random(f"details of {seed}")
        self._key = KEY
        self._problems: list[str] = []

    @property
    def folder(self) -> pathlib.Path:
        """Logs of the daemons."""
        return self._deployment.folder

    @property
    def outcomes(self) -> collections.Counter[str]:
        """How many requests ended in which way."""
        return self._callers.outcomes

    async def run(self) -> list[str]:
        """Returns the promises that were broken."""
        loop = asyncio.get_running_loop()
        lag = loop.create_task(self._callers.watch_lag())
        try:
            await self._deployment.start(self._key)
            end = self._timers.now() + self._shape.seconds
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_requests(group, end))
                for _ in range(2):
                    group.create_task(self._inject(end))
            await self._heal()
            await self._check_recovery()
            await self._check_planned_work()
            self._problems += self._callers.problems(self._deployment.engines)
            return self._problems
        finally:
            lag.cancel()
            self._callers.close()
            await self._deployment.close()

    async def _send_requests(
        self, group: asyncio.TaskGroup, end: float
    ) -> None:
        while self._timers.now() < end:
            kind = self._random.choice(("stream", "stream", "safe", "unsafe"))
            group.create_task(self._request(kind))
            await asyncio.sleep(
                self._random.expovariate(self._shape.requests_per_second)
            )

    async def _request(
        self, kind: str, daemon: soak_daemon.DaemonProcess | None = None
    ) -> soak_callers.Outcome:
        chosen = daemon or self._random.choice(self._deployment.daemons)
        prompt = 0
        if kind == "stream":
            prompt = self._random.choice((500, 5_000, 400_000))
        return await self._callers.request(kind, chosen, self._key, prompt)

    async def _inject(self, end: float) -> None:
        faults = (
            self._fault_engine,
            self._fault_proxy,
            self._fault_store,
            self._signal_daemon,
            self._change_configuration,
            self._drain_engine,
        )
        while self._timers.now() < end:
            await self._random.choice(faults)()
            await asyncio.sleep(self._random.uniform(0.1, 0.8))

    async def _fault_engine(self) -> None:
        engine = self._random.choice(self._deployment.engines)
        engine.fault = self._random.choice(_ENGINE_FAULTS)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        engine.fault = platform_engine.EngineFault.NONE

    async def _fault_proxy(self) -> None:
        proxy = self._random.choice(self._deployment.proxies)
        match self._random.randrange(5):
            case 0:
                proxy.cut()
            case 1:
                proxy.silence_established()
            case 2:
                proxy.set_delay(units.Seconds(self._random.uniform(0, 0.2)))
            case 3:
                proxy.set_refusing(True)
            case _:
                proxy.set_all_connections(
                    self._details.choice(
                        (
                            fault_proxy.Behaviour.LOSE_ANSWERS,
                            fault_proxy.Behaviour.LOSE_REQUESTS,
                        )
                    )
                )
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        self._mend(proxy)

    def _mend(self, proxy: fault_proxy.FaultProxy) -> None:
        proxy.set_delay(units.Seconds(0.0))
        proxy.set_refusing(False)
        proxy.set_new_connections(fault_proxy.Behaviour.FORWARD)

    async def _fault_store(self) -> None:
        self._deployment.store.fault = self._random.choice(
            (
                platform_store.StoreFault.RESET,
                platform_store.StoreFault.SILENT,
                platform_store.StoreFault.BUSY,
            )
        )
        self._deployment.store.cut_watches()
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        self._deployment.store.fault = platform_store.StoreFault.NONE
        if self._random.random() < 0.5:
            self._deployment.store.forget_history()

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
        # Signals come in series, but only one of them starts it again.
        self._restarting.add(daemon)
        daemon.send_signal(signal.SIGCONT)
        status = await daemon.ended()
        self._restarting.discard(daemon)
        if status not in _EXPECTED_STATUSES:
            self._problems.append(f"a daemon ended with status {status}")
        await self._deployment.start_daemon(daemon)

    async def _change_configuration(self) -> None:
        self._deployment.configure(self._key)

    async def _drain_engine(self) -> None:
        """Announces that a server leaves, and lets it come back."""
        number = self._random.randrange(len(self._deployment.engines))
        self._deployment.announce(number, "draining")
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        # An entry that changes twice at once, as that of a new start does.
        self._deployment.announce(number, direct=True)
        self._deployment.announce(number)

    async def _heal(self) -> None:
        """Ends all faults and brings all daemons back."""
        self._deployment.store.fault = platform_store.StoreFault.NONE
        for engine in self._deployment.engines:
            engine.fault = platform_engine.EngineFault.NONE
        for proxy in self._deployment.proxies:
            proxy.set_all_connections(fault_proxy.Behaviour.FORWARD)
            self._mend(proxy)
            proxy.cut()
        for daemon in self._deployment.daemons:
            daemon.send_signal(signal.SIGCONT)
            if not daemon.running:
                await self._deployment.start_daemon(daemon)
        self._deployment.configure(self._key)

    async def _check_recovery(self) -> None:
        try:
            async with asyncio.timeout(_RECOVERY_TIME):
                for daemon in self._deployment.daemons:
                    await self._deployment.await_ready(daemon)
                    for kind in ("stream", "safe", "unsafe"):
                        await self._await_served(kind, daemon)
        except TimeoutError:
            self._problems.append("the daemons did not serve again in time")
        await asyncio.sleep(_RELEASE_TIME)
        for engine in self._deployment.engines:
            if engine.tickets:
                self._problems.append(f"{engine.id} holds {engine.tickets}")
            if engine.open_requests:
                self._problems.append(f"{engine.id} still works")

    async def _check_planned_work(self) -> None:
        """Checks planned changes after all faults have ended."""
        await self._check_leaving_engine()
        await self._check_revoked_key()
        await self._check_stops()

    async def _check_leaving_engine(self) -> None:
        leaving = self._details.randrange(self._shape.engines)
        engine = self._deployment.engines[leaving]
        self._deployment.announce(leaving, "draining")
        await asyncio.sleep(_APPLY_TIME)
        before = len(engine.arrivals)
        await self._probe("stream")
        if len(engine.arrivals) > before:
            self._problems.append(f"{engine.id} got work after it had left")
        self._deployment.announce(leaving)

    async def _check_revoked_key(self) -> None:
        removed, self._key = self._key, _NEW_KEY
        self._deployment.configure(self._key)
        await asyncio.sleep(_APPLY_TIME)
        for daemon in self._deployment.daemons:
            old = await self._callers.request("safe", daemon, removed, 0)
            new = await self._request("safe", daemon)
            if (old.status, new.status) != (_UNAUTHENTICATED, 200):
                self._problems.append(
                    f"{daemon.callers} answers a removed key with "
                    f"{old.status} and the new one with {new.status}"
                )

    async def _check_stops(self) -> None:
        """Stops every daemon while callers use their open connections."""
        for daemon in self._deployment.daemons:
            await self._probe("safe", daemon)
            daemon.send_signal(signal.SIGTERM)
            while daemon.running:
                # A daemon that is about to end refuses new connections.
                await self._request("unsafe", daemon)
                await asyncio.sleep(_STOP_INTERVAL)
            status = await daemon.ended()
            if status not in _EXPECTED_STATUSES:
                self._problems.append(f"a daemon ended with status {status}")

    async def _probe(
        self, kind: str, daemon: soak_daemon.DaemonProcess | None = None
    ) -> None:
        targets = [daemon] if daemon is not None else self._deployment.daemons
        await asyncio.gather(
            *(
                self._request(kind, target)
                for target in targets
                for _ in range(_PROBES)
            )
        )

    async def _await_served(
        self, kind: str, daemon: soak_daemon.DaemonProcess
    ) -> None:
        while True:
            outcome = await self._request(kind, daemon)
            if outcome.status == 200 and outcome.complete:
                return
            await asyncio.sleep(0.1)

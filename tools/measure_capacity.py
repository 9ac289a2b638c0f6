"""Measures the slopes behind docs/CAPACITY.md on this machine.

One router process is observed through /proc while its configuration grows:
resident memory, processor time for control, and the time that a change of
configuration takes. All traffic stays on the loopback interface.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import pathlib
import tempfile
import time

import orjson
import tomli_w

from lavendershed.standin import fleet as fleet_module

IDLE_PERIOD_S = 20.0
ENGINE_COUNTS = (2, 10)
ORGANISATION_COUNTS = (10, 4_000, 16_000)
CONFIGURED_ENGINES = 10_000
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def processor_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


def resident_megabytes(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES / 1e6


async def measure_idle_share(pid: int) -> float:
    """Returns the share of a core that a process uses while idle."""
    processor_s_before = processor_seconds(pid)
    await asyncio.sleep(IDLE_PERIOD_S)
    return (processor_seconds(pid) - processor_s_before) / IDLE_PERIOD_S


def configuration(
    engines: list[str], organisations: int, preset: str
) -> dict[str, object]:
    """Returns the content of a configuration file."""
    return {
        "active_preset": preset,
        "organisations": [
            {
                "name": f"organisation-{index}",
                "token_hashes": [
                    hashlib.sha256(f"token-{index}".encode()).hexdigest()
                ],
            }
            for index in range(organisations)
        ],
        "services": [
            {
                "name": "drafting",
                "kind": "model_engine",
                "model": "almanac",
                "backend_servers": [
                    {
                        "name": f"engine-{index}",
                        "address": address,
                        "availability_zone": "zone-a",
                    }
                    for index, address in enumerate(engines)
                ],
            }
        ],
        "presets": [{"name": "ordinary"}, {"name": "peak"}],
    }


class Testbed:
    """One store and one router."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._fleet = fleet_module.Fleet(directory)

    @property
    def fleet(self) -> fleet_module.Fleet:
        """Processes of the testbed."""
        return self._fleet

    async def apply(self, content: dict[str, object]) -> float:
        """Applies a configuration; returns the seconds of the command."""
        path = self._fleet.directory / "configuration.toml"
        path.write_text(tomli_w.dumps(content))
        start = time.monotonic()
        status, _, errors = await self._fleet.run_command(
            "apply",
            str(path),
            "--store",
            str(self._fleet.member("store").address),
        )
        if status:
            raise RuntimeError(errors)
        return time.monotonic() - start

    async def epoch(self) -> int:
        """Returns the epoch that the router has applied."""
        response = await fleet_module.get(
            self._fleet.member("vm-1").address, "/v1/status"
        )
        return (
            0 if response is None else int(orjson.loads(response.body)["epoch"])
        )

    async def wait_epoch(self, epoch: int) -> float:
        """Waits until the router applies an epoch; returns the seconds."""
        start = time.monotonic()
        while await self.epoch() < epoch:
            await asyncio.sleep(0.02)
        return time.monotonic() - start


async def store_calls(store: fleet_module.Member) -> int:
    """Returns the number of calls that the object store has counted."""
    response = await fleet_module.get(store.address, "/control")
    return 0 if response is None else int(orjson.loads(response.body)["calls"])


async def measure_engines(directory: pathlib.Path) -> None:
    """Prints the control cost of an idle router by number of engines."""
    for count in ENGINE_COUNTS:
        testbed = Testbed(directory)
        try:
            store = await testbed.fleet.start_standin("store", "object-store")
            engines = [
                await testbed.fleet.start_standin(f"e-{index}", "model-engine")
                for index in range(count)
            ]
            addresses = [str(engine.address) for engine in engines]
            await testbed.apply(configuration(addresses, 10, "ordinary"))
            router = await testbed.fleet.start_router("vm-1", store.address)
            await testbed.fleet.wait_ready(["vm-1"])
            pid = router.process.pid
            calls = await store_calls(store)
            idle_share = await measure_idle_share(pid)
            calls = await store_calls(store) - calls
            print(
                f"{count} engines, idle: {idle_share:.4f} of a core, "
                f"{resident_megabytes(pid):.1f} MB, "
                f"{calls / IDLE_PERIOD_S:.1f} store calls a second"
            )
        finally:
            await testbed.fleet.stop()


async def measure_configurations(directory: pathlib.Path) -> None:
    """Prints memory and time of a change by size of the configuration."""
    for organisations in ORGANISATION_COUNTS:
        testbed = Testbed(directory)
        try:
            store = await testbed.fleet.start_standin("store", "object-store")
            router = await testbed.fleet.start_router(
                "vm-1", store.address, "--engine-poll-interval-seconds", "60"
            )
            pid = router.process.pid
            addresses = [
                f"127.9.{index // 200}.{index % 200 + 1}:9"
                for index in range(CONFIGURED_ENGINES)
            ]
            first_apply_s = await testbed.apply(
                configuration(addresses, organisations, "ordinary")
            )
            await testbed.wait_epoch(1)
            processor_s_before = processor_seconds(pid)
            start = time.monotonic()
            change_s = await testbed.apply(
                configuration(addresses, organisations, "peak")
            )
            await testbed.wait_epoch(2)
            applied_after_s = time.monotonic() - start
            processor_s = processor_seconds(pid) - processor_s_before
            print(
                f"{organisations} organisations, {CONFIGURED_ENGINES} "
                f"engines: {resident_megabytes(pid):.1f} MB; first apply "
                f"{first_apply_s:.2f} s; change of preset: command "
                f"{change_s:.2f} s, in force {applied_after_s:.2f} s "
                f"after its start, router {processor_s:.3f} s of processor "
                "time"
            )
        finally:
            await testbed.fleet.stop()


async def main() -> None:
    """Runs all measurements."""
    for measure in (measure_engines, measure_configurations):
        with tempfile.TemporaryDirectory() as directory:
            await measure(pathlib.Path(directory))


if __name__ == "__main__":
    asyncio.run(main())

"""Local deployment of stand-ins and routers for tests and the demo."""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
import pathlib
from typing import Any

import tomli_w

from lavendershed.core import units
from lavendershed.standin import checkers
from lavendershed.standin import fleet as fleet_module
from lavendershed.standin import history
from lavendershed.standin import load_client
from lavendershed.standin import loopback
from lavendershed.transport import address as address_module

BEARER_TOKEN = "press-token"
GENERATE_SERVICE = "drafting"
CALL_SERVICE = "ledger"
BOOKING_PATH = "reserve"
READ_PATH = "proofs"
_PEER_KEY = "7465737420706565722d6b65792030313233343536373839"


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentOptions:
    """Size and flags of a deployment.

    Attributes:
        kv_tokens: KV memory of each engine, in tokens.
        prefill_rate: Prompt tokens per second of each engine.
        enable_peers: Whether routers communicate with each other.
        router_arguments: Additional flags of every router.
    """

    routers: int = 2
    engines: int = 3
    plain_servers: int = 2
    kv_tokens: int = 400_000
    prefill_rate: float = 200_000.0
    enable_peers: bool = False
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    router_arguments: tuple[str, ...] = ()
    engine_arguments: tuple[str, ...] = ()
    plain_arguments: tuple[str, ...] = ()


class Deployment:
    """Processes of one deployment and their configuration."""

    def __init__(
        self, directory: pathlib.Path, options: DeploymentOptions
    ) -> None:
        self._options = options
        self._fleet = fleet_module.Fleet(directory)
        # Configured addresses that differ from the listen address because of a
        # fault proxy in between.
        self._advertised_addresses: dict[str, address_module.Address] = {}
        self._peer_addresses = [
            loopback.own_network().free_address()
            for _ in range(options.routers)
        ]
        self.presets: list[dict[str, Any]] = [
            {"name": "ordinary"},
            {"name": "peak", "long_prefill_share": 0.25},
        ]

    @property
    def fleet(self) -> fleet_module.Fleet:
        """Processes of the deployment."""
        return self._fleet

    @property
    def routers(self) -> list[str]:
        """Names of the routers."""
        return [f"vm-{n}" for n in range(1, self._options.routers + 1)]

    @property
    def engines(self) -> list[str]:
        """Names of the model engines."""
        return [f"engine-{n}" for n in range(1, self._options.engines + 1)]

    @property
    def plain_servers(self) -> list[str]:
        """Names of the plain service's backend servers."""
        return [
            f"ledger-{n}" for n in range(1, self._options.plain_servers + 1)
        ]

    @property
    def store(self) -> address_module.Address:
        """Address of the object store."""
        return self._fleet.member("store").address

    def advertise(self, name: str, address: address_module.Address) -> None:
        """Configures a backend server with an address other than its own."""
        self._advertised_addresses[name] = address

    async def start_backends(self) -> None:
        """Starts the object store and all backend servers."""
        await self._fleet.start_standin("store", "object-store")
        for name in self.engines:
            await self._fleet.start_standin(
                name,
                "model-engine",
                "--kv-tokens",
                str(self._options.kv_tokens),
                "--prefill-rate",
                str(self._options.prefill_rate),
                *self._options.engine_arguments,
            )
        for name in self.plain_servers:
            await self._fleet.start_standin(
                name, "plain-service", *self._options.plain_arguments
            )

    async def start_routers(
        self, store: address_module.Address | None = None
    ) -> None:
        """Starts all routers and waits until they are ready.

        Raises:
            RuntimeError: A router did not become ready in time.
        """
        zones = itertools.cycle(self._options.zones)
        pairs = zip(self.routers, zones, strict=False)
        for index, (name, zone) in enumerate(pairs):
            await self._fleet.start_router(
                name,
                store or self.store,
                *self._peer_arguments(index),
                *self._options.router_arguments,
                availability_zone=zone,
            )
        if not await self._fleet.wait_ready(self.routers):
            raise RuntimeError("a router did not become ready in time")

    async def apply(self, *arguments: str) -> tuple[int, str, str]:
        """Applies the configuration with the operator command."""
        path = self._fleet.directory / "deployment.toml"
        path.write_text(tomli_w.dumps(self.configuration()))
        return await self.command("apply", str(path), *arguments)

    async def command(self, *arguments: str) -> tuple[int, str, str]:
        """Runs an operator command against the deployment's store."""
        return await self._fleet.run_command(
            *arguments, "--store", str(self.store)
        )

    async def start(self) -> None:
        """Starts all processes and applies the configuration.

        Raises:
            RuntimeError: The configuration was rejected, or a router did not
                become ready in time.
        """
        await self.start_backends()
        status, _, errors = await self.apply()
        if status:
            raise RuntimeError(f"applying the configuration failed: {errors}")
        await self.start_routers()

    def client(self, router: str) -> load_client.LoadClient:
        """Returns a client of one router."""
        return load_client.LoadClient(
            self._fleet.member(router).address, BEARER_TOKEN
        )

    def plain_histories(self) -> list[list[dict[str, object]]]:
        """Returns the histories of the plain service's backend servers."""
        return [
            history.read(self._fleet.history_path(name))
            for name in self.plain_servers
        ]

    async def generate(
        self,
        router: str,
        name: str,
        prompt_tokens: int,
        max_tokens: int,
        timeout: float,
    ) -> checkers.SentPrompt:
        """Sends a prompt with request id `name`; returns it with outcome."""
        prompt = f"prompt of {name}"
        outcome = await self.client(router).generate(
            GENERATE_SERVICE,
            prompt,
            prompt_tokens,
            max_tokens,
            units.Seconds(timeout),
            name,
        )
        return checkers.SentPrompt(name, prompt, max_tokens, timeout, outcome)

    async def book(
        self, router: str, call_id: str, timeout: float
    ) -> checkers.SentCall:
        """Sends a booking; `call_id` is its body and idempotency key."""
        outcome = await self.client(router).call(
            CALL_SERVICE,
            BOOKING_PATH,
            call_id.encode(),
            units.Seconds(timeout),
            idempotency_key=call_id,
        )
        return checkers.SentCall(call_id, timeout, outcome)

    def configuration(self) -> dict[str, Any]:
        """Returns the content of the configuration file."""
        zones = itertools.cycle(self._options.zones)
        digest = hashlib.sha256(BEARER_TOKEN.encode()).hexdigest()
        return {
            "active_preset": "ordinary",
            "organisations": [{"name": "press", "token_hashes": [digest]}],
            "services": [
                {
                    "name": GENERATE_SERVICE,
                    "kind": "model_engine",
                    "model": "almanac",
                    "engine_memory_tokens": self._options.kv_tokens,
                    "prefill_tokens_per_second": self._options.prefill_rate,
                    "backend_servers": [
                        self._backend_server(name, next(zones))
                        for name in self.engines
                    ],
                },
                {
                    "name": CALL_SERVICE,
                    "kind": "plain",
                    "backend_servers": [
                        self._backend_server(name, next(zones))
                        for name in self.plain_servers
                    ],
                    "routes": [
                        {"path": BOOKING_PATH, "idempotent": False},
                        {"path": READ_PATH, "idempotent": True},
                    ],
                },
            ],
            "presets": self.presets,
        }

    def _peer_arguments(self, index: int) -> tuple[str, ...]:
        if not self._options.enable_peers:
            return ()
        other_addresses = [
            str(address)
            for other_index, address in enumerate(self._peer_addresses)
            if other_index != index
        ]
        return (
            "--peer-listen",
            str(self._peer_addresses[index]),
            "--peers",
            ",".join(other_addresses),
            "--peer-keys",
            _PEER_KEY,
        )

    def _backend_server(self, name: str, zone: str) -> dict[str, Any]:
        member = self._fleet.member(name)
        return {
            "name": name,
            "address": str(
                self._advertised_addresses.get(name, member.address)
            ),
            "availability_zone": zone,
            "vm": name,
        }

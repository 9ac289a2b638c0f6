"""Placement orders for an engine: models, adapters and role."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import result

from lavendershed.core import backend_servers
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import history as history_module

_MAX_REMEMBERED_ORDERS = 1_000


class EngineOrders:
    """Loaded models and adapters, role, and the orders that change them.

    An order is acknowledged when it is accepted. A loaded model or adapter
    appears in the load report after the load time.
    """

    def __init__(
        self,
        models: Iterable[str],
        checks_fencing: bool,
        load_time: units.Seconds,
        timer_service: timers.TimerService,
        history: history_module.History,
        on_unload: Callable[[str], None],
    ) -> None:
        self._models = dict.fromkeys(models)
        self._adapters: dict[str, None] = {}
        self._checks_fencing = checks_fencing
        self._load_time = load_time
        self._timers = timer_service
        self._history = history
        self._on_unload = on_unload
        self._role = states.EngineRole.GENERAL
        self._fencing_number = 0
        self._executed_orders: dict[str, None] = {}
        self._loading: dict[str, timers.Timer] = {}
        # An engine started without models accepts any model name.
        self._accepts_any_model = not self._models

    @property
    def models(self) -> list[str]:
        """Loaded models."""
        return list(self._models)

    @property
    def adapters(self) -> list[str]:
        """Loaded adapters."""
        return list(self._adapters)

    @property
    def loading(self) -> list[str]:
        """Models and adapters whose load is in progress."""
        return list(self._loading)

    @property
    def role(self) -> states.EngineRole:
        """Current role."""
        return self._role

    def serves(self, model: str, adapter: str | None) -> bool:
        """Returns whether a stream with this model and adapter can run."""
        if self._accepts_any_model:
            return True
        return model in self._models and (
            adapter is None or adapter in self._adapters
        )

    def execute(
        self, order: backend_servers.EngineOrder
    ) -> result.Result[None, str]:
        """Executes an order at most once per order id."""
        fencing_number = order.fencing_number
        stale = self._checks_fencing and fencing_number < self._fencing_number
        self._history.record(
            "order",
            order=order.order_id,
            kind=order.kind.value,
            target=order.target,
            fencing_number=fencing_number,
            accepted=not stale,
        )
        if stale:
            return result.Err(
                f"fencing number {fencing_number} is older than "
                f"{self._fencing_number}"
            )
        self._fencing_number = max(self._fencing_number, fencing_number)
        if order.order_id in self._executed_orders:
            return result.Ok(None)
        self._executed_orders[order.order_id] = None
        if len(self._executed_orders) > _MAX_REMEMBERED_ORDERS:
            del self._executed_orders[next(iter(self._executed_orders))]
        self._apply(order)
        return result.Ok(None)

    def _apply(self, order: backend_servers.EngineOrder) -> None:
        kind = order.kind
        target = order.target
        if kind is backend_servers.OrderKind.CHANGE_ROLE:
            self._role = states.EngineRole(target)
            return
        loaded_names = self._adapters
        if kind in (
            backend_servers.OrderKind.LOAD_MODEL,
            backend_servers.OrderKind.UNLOAD_MODEL,
        ):
            self._accepts_any_model = False
            loaded_names = self._models
        if kind in (
            backend_servers.OrderKind.LOAD_MODEL,
            backend_servers.OrderKind.LOAD_ADAPTER,
        ):
            self._load(loaded_names, target)
            return
        loading = self._loading.pop(target, None)
        if loading is not None:
            loading.cancel()
        loaded_names.pop(target, None)
        if loaded_names is self._models:
            self._on_unload(target)

    def _load(self, loaded_names: dict[str, None], target: str) -> None:
        if target in loaded_names or target in self._loading:
            return

        def on_loaded() -> None:
            del self._loading[target]
            loaded_names[target] = None
            self._history.record("loaded", target=target)

        self._loading[target] = self._timers.schedule_at(
            units.after(self._timers.now(), self._load_time), on_loaded
        )

"""Load that one attempt of a stream puts on its engines."""

from __future__ import annotations

from lavendershed.core import forwarding_states
from lavendershed.core import units
from lavendershed.forwarding import context as context_module
from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker
from lavendershed.routing import placements

# Load reports identify a request by 31 bits of its fingerprint.
_REQUEST_NUMBER_MASK = 0x7FFF_FFFF


class EngineTasks:
    """Registers the tasks of an attempt with the load that daemons share."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted_request: context_module.AdmittedRequest,
        placement: placements.Placement,
        size: latency_model.RequestSize,
        target_inter_token_latency: units.Seconds,
    ) -> None:
        self._tracker = context.load_tracker
        self._timers = context.timers
        reserved_tokens = {
            share.holder.id: share.tokens for share in placement.shares
        }
        if not reserved_tokens:
            reserved_tokens = {placement.decode_engine.id: size.kv_tokens}
        now = self._timers.now()
        chooser = context.choosers.chooser(admitted_request.service)
        utility = chooser.utility(size) if chooser is not None else 0.0
        due_at = units.after(
            admitted_request.received_at,
            admitted_request.route.target_latency,
        )
        ready_at = units.after(now, units.Seconds(placement.ttft_ms / 1_000))
        ends_at = units.after(
            ready_at, units.Seconds(placement.decode_ms / 1_000)
        )
        # Engines prefill shards before other prompts, whatever their priority.
        runs_before_others = placement.urgent or bool(placement.prefill_helpers)
        # The first one is that of the decode engine.
        self._ids = [
            self._tracker.add(
                load_tracker.EngineTask(
                    admitted_request.fingerprint & _REQUEST_NUMBER_MASK,
                    engine.id,
                    forwarding_states.InferencePhase.PREFILL,
                    placement.shard_prefill_ms,
                    ready_at,
                    ends_at,
                    reserved_tokens.get(engine.id, 0),
                    reserved_tokens.get(engine.id, 0),
                    target_inter_token_latency,
                    due_at,
                    utility,
                    runs_before_others,
                )
            )
            for engine in (placement.decode_engine, *placement.prefill_helpers)
        ]

    def on_first_token(self) -> None:
        """Records that the prefill is complete."""
        self._tracker.on_first_token(self._ids)

    def end(self, *, started: bool) -> None:
        """Removes the load; of what has begun, as the engines work it off.

        Args:
            started: Whether the engines may have begun to work.
        """
        now = self._timers.now()
        for task_id in self._ids:
            if started:
                self._tracker.cancel(task_id, now)
            else:
                self._tracker.remove(task_id)

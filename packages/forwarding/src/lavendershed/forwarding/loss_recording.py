"""Records answers and losses of servers for the attribution of crashes."""

from __future__ import annotations

from lavendershed.core import ids
from lavendershed.forwarding import context as context_module
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.reliability import engine_losses
from lavendershed.telemetry import events


def record_answer(
    context: context_module.ForwardingContext,
    server: server_directory.ServerEntry,
) -> None:
    """Records that a server has sent a part of an answer."""
    context.engine_losses.on_answer(_number(server), context.timers.now())


def record_loss(
    context: context_module.ForwardingContext,
    admitted_request: context_module.AdmittedRequest,
    server: server_directory.ServerEntry,
    evidence: engine_losses.LossEvidence,
    *,
    answer_begun: bool,
    counted: bool,
) -> None:
    """Logs what the loss of a server under a request is taken for."""
    current = context.view.directory.entry(server.id)
    leaving = (
        current is None
        or current.incarnation != server.incarnation
        or not current.accepts_work
    )
    loss = context.engine_losses.on_loss(
        _number(server), evidence, context.timers.now(), leaving=leaving
    )
    context.instruments.count_engine_loss(loss.cause.value, counted=counted)
    context.log.emit(
        events.Event.ENGINE_LOST,
        request=admitted_request.request.id,
        server=server.id,
        cause=loss.cause.value,
        evidence=loss.evidence.value,
        age_ms=None if loss.age is None else round(loss.age * 1_000),
        answer_begun=answer_begun,
        counted=counted,
        fingerprint=f"{admitted_request.fingerprint:x}",
    )


def _number(server: server_directory.ServerEntry) -> ids.ServerNumber:
    return load_reports.hash_incarnation(server.id, server.incarnation)

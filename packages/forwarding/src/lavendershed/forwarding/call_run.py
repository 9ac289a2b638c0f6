"""Execution of a request to a plain service."""

from __future__ import annotations

import result

from lavendershed.core import forwarding_states
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import connections
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import request_run
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.telemetry import events
from lavendershed.transport import errors

# Answers of plain services are buffered whole, so that one that was cut can't
# look complete.
_MAX_ANSWER = units.Bytes(8_000_000)
# A repeatable request is sent to a second server when this many times the
# target latency have passed: most answers have come by then.
_SECOND_TRY_AFTER = 1.0


class CallRun(request_run.RequestRun):
    """One request to a plain service, with all its attempts."""

    async def run(self) -> None:
        """Answers the request."""
        while True:
            failure = self._attempts.next_failure()
            entry = None if failure is not None else self._choose()
            if entry is None:
                if self._failed_answer is not None:
                    await self._deliver(self._failed_answer)
                    return
                await self._fail(
                    failure
                    or self._attempts.failure(
                        states.FailureReason.NO_BACKEND_SERVER,
                        f"service {self._admitted.service.id} has no server",
                    )
                )
                return
            answer = await self._attempt(entry)
            if isinstance(answer, result.Ok):
                await self._deliver(answer.ok_value)
                return
            self._attempts.add(entry, answer.err_value)

    def _choose(self) -> server_directory.ServerEntry | None:
        context = self._context
        candidates = context.view.directory.servers_accepting_work(
            self._admitted.service.id
        )
        avoided = context_module.avoided_servers(
            context, candidates, self._attempts.tried
        )
        entry = context.plain_choice.choose(candidates, avoided)
        if entry is not None:
            context.log.emit(
                events.Event.REQUEST_DISPATCHED,
                request=self._admitted.caller.id,
                route=self._admitted.route.name,
                server=entry.id,
                zone=entry.availability_zone,
                candidates=len(candidates),
                avoided=len(avoided),
                attempt=self._attempts.count + 1,
                version=context.view.version,
                servers=context.view.directory.revision,
            )
        return entry

    async def _attempt(
        self, entry: server_directory.ServerEntry
    ) -> result.Result[requests.WholeAnswer, attempts.AttemptResult]:
        context = self._context
        context.plain_choice.started(entry.id)
        try:
            return await self._attempt_counted(entry)
        finally:
            context.plain_choice.ended(entry.id)

    async def _attempt_counted(
        self, entry: server_directory.ServerEntry
    ) -> result.Result[requests.WholeAnswer, attempts.AttemptResult]:
        context = self._context
        repeatable = self._admitted.route.repeatable
        # A reset of a kept connection can't be told from a request that ran.
        acquired = await context.connections.acquire(
            entry.address, fresh=not repeatable
        )
        if isinstance(acquired, result.Err):
            context_module.exclude_lost_server(
                context,
                entry,
                "connect_failed",
                self._admitted.caller.id,
                unreachable=True,
            )
            return _ended(
                forwarding_states.AttemptOutcome.NOT_SENT,
                acquired.err_value.detail,
            )
        lease = acquired.ok_value
        kept = False
        try:
            answer = await self._exchange(entry, lease)
            if isinstance(answer, result.Ok):
                kept = True
                context.connections.release(
                    entry.address,
                    lease.connection,
                    answer.ok_value.head.idle_limit,
                )
            return self._judge(entry, lease, answer)
        finally:
            if not kept:
                lease.connection.close()

    async def _exchange(
        self,
        entry: server_directory.ServerEntry,
        lease: connections.Lease,
    ) -> result.Result[requests.WholeAnswer, errors.TransportError]:
        context = self._context
        left = self._attempts.time_left
        request = requests.ServerRequest(
            self._admitted.caller,
            entry.id,
            self._admitted.organisation,
            left,
            urgency=min(self._admitted.urgency, requests.LEAST_URGENT),
        )
        connection = lease.connection
        wait = self._wait(left)
        sent = await connection.send(
            context.servers.encode(request), self._admitted.caller.body, wait
        )
        if isinstance(sent, result.Err):
            return sent
        head = await connection.read_head(wait)
        if isinstance(head, result.Err):
            return head
        body = await connection.read_body(
            units.Seconds(max(0.0, self._attempts.time_left)), _MAX_ANSWER
        )
        if isinstance(body, result.Err):
            return body
        decoded = context.servers.decode(head.ok_value, self._admitted.caller)
        return result.Ok(requests.WholeAnswer(decoded, body.ok_value))

    def _wait(self, left: units.Seconds) -> units.Seconds:
        """Returns how long this attempt may be silent."""
        last = self._attempts.count + 1 >= self._admitted.route.max_attempts
        if last or not self._admitted.route.repeatable:
            return left
        patience = self._admitted.route.target_latency * _SECOND_TRY_AFTER
        return units.Seconds(min(left, patience))

    def _judge(
        self,
        entry: server_directory.ServerEntry,
        lease: connections.Lease,
        answer: result.Result[requests.WholeAnswer, errors.TransportError],
    ) -> result.Result[requests.WholeAnswer, attempts.AttemptResult]:
        context = self._context
        request = self._admitted.caller.id
        if isinstance(answer, result.Err):
            error = answer.err_value
            if error.kind is errors.TransportErrorKind.IDLE_TIMEOUT:
                context_module.count_failed_answer(
                    context, entry, "silent", request
                )
                return _ended(
                    forwarding_states.AttemptOutcome.STALLED, error.detail
                )
            if not lease.reused:
                context_module.count_failed_answer(
                    context, entry, error.kind.value, request
                )
            return _ended(forwarding_states.AttemptOutcome.LOST, error.detail)
        whole = answer.ok_value
        match whole.head.kind:
            case requests.AnswerKind.SUCCESS:
                context.health.on_success(entry.id, entry.incarnation)
                return result.Ok(whole)
            case requests.AnswerKind.FAILURE:
                self._failed_answer = whole
                return _ended(
                    forwarding_states.AttemptOutcome.SERVER_FAILURE,
                    f"status {whole.head.status}",
                )
            case requests.AnswerKind.NOT_RUN:
                return _ended(
                    forwarding_states.AttemptOutcome.REFUSED,
                    f"status {whole.head.status}",
                )
            case requests.AnswerKind.WRONG_SERVER:
                context_module.exclude_lost_server(
                    context, entry, "another server has the address", request
                )
                return _ended(forwarding_states.AttemptOutcome.WRONG_SERVER)
            case _:
                context_module.count_failed_answer(
                    context, entry, whole.head.kind.value, request
                )
                return _ended(
                    forwarding_states.AttemptOutcome.INVALID_ANSWER,
                    whole.head.kind.value,
                )

    async def _deliver(self, answer: requests.WholeAnswer) -> None:
        seconds = units.elapsed(
            self._admitted.received, self._context.timers.now()
        )
        self._context.instruments.record_duration(
            self._admitted.route.kind.value, str(answer.head.status), seconds
        )
        self._context.log.emit(
            events.Event.REQUEST_FINISHED,
            request=self._admitted.caller.id,
            status=answer.head.status,
            attempts=self._attempts.count + 1,
            seconds=round(seconds, 3),
        )
        await self._responder.respond(
            answer.head.status, answer.body, answer.head.headers
        )


def _ended(
    end: forwarding_states.AttemptOutcome, detail: str = ""
) -> result.Err[attempts.AttemptResult]:
    return result.Err(attempts.AttemptResult(end, detail))

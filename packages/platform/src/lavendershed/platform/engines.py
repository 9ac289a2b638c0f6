"""Encoding of backend server requests and decoding of response heads."""

from __future__ import annotations

import re

import orjson
import result

from lavendershed.core import addresses
from lavendershed.core import decimals
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import requests
from lavendershed.platform import fields
from lavendershed.platform import header_names
from lavendershed.transport import client

_OK_STATUS = 200
_WRONG_SERVER_STATUS = 421
# These statuses imply that a request has not run. Without the not-executed
# header, the engine may still have run it.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_RESERVATION_RESULTS = {
    200: requests.ReservationStatus.GRANTED,
    400: requests.ReservationStatus.NO_ROOM,
    409: requests.ReservationStatus.NO_ROOM,
    421: requests.ReservationStatus.WRONG_SERVER,
}
# Servers announce their idle timeout in whole seconds; one that announces none
# may close the connection in less than a second.
_DEFAULT_IDLE_TIMEOUT = units.Seconds(0.5)
_BUSY_STATUS = 503
# The transport sets the length; that a server is leaving concerns no caller.
_NOT_FORWARDED = frozenset({"content-length", header_names.LEAVING})
# An answer to another request, or of another server at the address of one that
# has left, says nothing about the server that the request was sent to.
_FOREIGN_KINDS = frozenset(
    {requests.ResponseKind.OTHER_REQUEST, requests.ResponseKind.WRONG_SERVER}
)
_MAX_LOGGED = 40
# Load reports have no place for larger numbers.
_MAX_SLOWDOWN = 1_000.0
# A longer value is not converted: parsing takes time that grows with it.
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,32}(\.[0-9]{0,32})?")


class PlatformBackendCodec(codecs.BackendCodec):
    """Encodes requests to the platform's engines and decodes responses."""

    def encode(self, request: requests.BackendRequest) -> client.RequestHead:
        """Returns the request line and headers for a backend server."""
        caller = request.caller_request
        headers = [
            *caller.headers,
            (header_names.EXPECTED_SERVER, request.server),
            (
                header_names.TIMEOUT_MS,
                str(max(1, int(request.time_left * 1_000))),
            ),
        ]
        if request.organisation is not None:
            headers.append(
                (header_names.ORGANISATION, _as_header(request.organisation))
            )
        if request.last_event_id is not None:
            headers.append(
                (header_names.LAST_EVENT_ID, str(request.last_event_id))
            )
        if request.prefill_helpers:
            headers.append(
                (
                    header_names.HELPERS,
                    ",".join(
                        str(address)
                        if reservation is None
                        else f"{address}/{reservation}"
                        for address, reservation in request.prefill_helpers
                    ),
                )
            )
        if request.priority is not None:
            headers.append((header_names.PRIORITY, str(request.priority)))
        return client.RequestHead(caller.method, caller.target, tuple(headers))

    def decode(
        self, head: client.ResponseHead, caller_request: requests.CallerRequest
    ) -> requests.BackendResponseHead:
        """Classifies the head of a response to `caller_request`."""
        response_fields = dict(head.headers)
        faulty_server = response_fields.get(header_names.FAULTY_SERVER)
        parsed = (
            addresses.parse(faulty_server)
            if faulty_server is not None
            else None
        )
        kind = _response_kind(head, response_fields, caller_request)
        return requests.BackendResponseHead(
            kind,
            head.status,
            tuple(
                (name, value)
                for name, value in head.headers
                if name not in header_names.HOP_BY_HOP
                and name not in _NOT_FORWARDED
            ),
            _idle_timeout(response_fields),
            parsed.ok() if parsed is not None else None,
            _notices(head, kind),
        )

    def decode_request_limit(
        self, head: client.ResponseHead
    ) -> result.Result[float | None, str]:
        """Returns the limit that an engine names, in requests per second."""
        value = head.header(header_names.REQUEST_LIMIT)
        if value is None:
            return result.Ok(None)
        if _DECIMAL_NUMBER.fullmatch(value.strip()) is None:
            return result.Err(f"{value[:_MAX_LOGGED]!r} is not a number")
        return result.Ok(float(value))

    def decode_call_notices(
        self, head: client.ResponseHead
    ) -> requests.ServerNotices:
        """Returns what the answer to a call says about the server itself."""
        if _answers_request(head) or head.status == _WRONG_SERVER_STATUS:
            return requests.NO_NOTICES
        return requests.ServerNotices(_says_leaving(head), _pause(head))

    def encode_reservation(
        self,
        server: ids.BackendServerId,
        reservation_id: str,
        tokens: int,
        lease: units.Seconds,
    ) -> requests.EncodedReservationCall:
        """Returns a request that reserves memory or renews the reservation."""
        return _encode_order(
            server,
            {
                "op": "reserve",
                "id": reservation_id,
                "tokens": tokens,
                "hold_ms": int(lease * 1_000),
                "wait": False,
            },
        )

    def encode_release(
        self, server: ids.BackendServerId, reservation_id: str
    ) -> requests.EncodedReservationCall:
        """Returns a request that releases reserved memory."""
        return _encode_order(server, {"op": "release", "id": reservation_id})

    def decode_reservation_status(
        self, head: client.ResponseHead
    ) -> requests.ReservationStatus:
        """Returns the reservation result."""
        if _answers_request(head):
            return requests.ReservationStatus.UNKNOWN
        return _RESERVATION_RESULTS.get(
            head.status, requests.ReservationStatus.UNKNOWN
        )

    def encode_status_query(
        self, server: ids.BackendServerId
    ) -> client.RequestHead:
        """Returns a query for an engine's report."""
        return client.RequestHead(
            "GET", "/report", ((header_names.EXPECTED_SERVER, server),)
        )

    def decode_status(
        self, head: client.ResponseHead, body: bytes
    ) -> result.Result[requests.EngineStatus, str]:
        """Returns the state in an engine's report."""
        if _answers_request(head):
            return result.Err("response to another request")
        if head.status != _OK_STATUS:
            return result.Err(f"status {head.status}")
        try:
            report = fields.as_table(orjson.loads(body), "report")
            # The ratio of the actual to the nominal step time, not a rate.
            slowdown = fields.number(report, "pace", 1.0)
        except (fields.FieldError, orjson.JSONDecodeError) as error:
            return result.Err(f"invalid report: {error}")
        return result.Ok(
            requests.EngineStatus(min(max(1.0, slowdown), _MAX_SLOWDOWN))
        )


def _as_header(text: str) -> str:
    """Returns a text of the store as a header value, encoded as UTF-8."""
    return text.encode().decode("latin-1")


def _answers_request(head: client.ResponseHead) -> bool:
    """Returns whether a response to a call belongs to a caller's request.

    A server may send a second copy of a response late.
    """
    return head.header(header_names.REQUEST_ID) is not None


def _encode_order(
    server: ids.BackendServerId, body: dict[str, str | int | bool]
) -> requests.EncodedReservationCall:
    head = client.RequestHead(
        "POST",
        "/order",
        (
            ("content-type", "application/json"),
            (header_names.EXPECTED_SERVER, server),
        ),
    )
    return requests.EncodedReservationCall(head, orjson.dumps(body))


def _response_kind(
    head: client.ResponseHead,
    response_fields: dict[str, str],
    caller: requests.CallerRequest,
) -> requests.ResponseKind:
    # Engines echo the id in all answers. A refusal that was written again, or
    # names no request, says nothing about this one.
    echoed_id = response_fields.get(header_names.REQUEST_ID)
    if echoed_id is not None and echoed_id != caller.id:
        return requests.ResponseKind.OTHER_REQUEST
    if head.status == _WRONG_SERVER_STATUS and echoed_id is not None:
        return requests.ResponseKind.WRONG_SERVER
    if header_names.NOT_RUN in response_fields and echoed_id is not None:
        return requests.ResponseKind.NOT_RUN
    if not 200 <= head.status < 300:
        if (
            head.status in _NOT_RUN_STATUSES
            or header_names.NOT_RUN in response_fields
        ):
            return requests.ResponseKind.INVALID
        return requests.ResponseKind.FAILURE
    if (
        echoed_id is None
        or header_names.SIGNATURE not in response_fields
        or "content-encoding" in response_fields
    ):
        return requests.ResponseKind.INVALID
    return requests.ResponseKind.SUCCESS


def _notices(
    head: client.ResponseHead, kind: requests.ResponseKind
) -> requests.ServerNotices:
    """Returns what is believed of the notices in a response to a request.

    A pause ends by itself, and is believed of any refusal. That a server is
    leaving holds for good, and is not believed of a garbled response.
    """
    if kind in _FOREIGN_KINDS:
        return requests.NO_NOTICES
    return requests.ServerNotices(
        kind is not requests.ResponseKind.INVALID and _says_leaving(head),
        _pause(head),
    )


def _says_leaving(head: client.ResponseHead) -> bool:
    value = head.header(header_names.LEAVING)
    return value is not None and value.strip() == "1"


def _pause(head: client.ResponseHead) -> result.Result[float | None, str]:
    value = head.header(header_names.RETRY_AFTER)
    if head.status != _BUSY_STATUS or value is None:
        return result.Ok(None)
    if _DECIMAL_NUMBER.fullmatch(value.strip()) is None:
        return result.Err(f"{value[:_MAX_LOGGED]!r} is not a number")
    return result.Ok(float(value))


def _idle_timeout(response_fields: dict[str, str]) -> units.Seconds | None:
    if "close" in response_fields.get("connection", "").lower():
        return None
    if header_names.LEAVING in response_fields:
        # The next request goes elsewhere.
        return None
    for part in response_fields.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = decimals.parse(value)
        if name == "timeout" and seconds is not None:
            return units.Seconds(seconds)
    return _DEFAULT_IDLE_TIMEOUT

"""Configurations and server entries of the platform's store."""

from __future__ import annotations

import orjson
import result

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import translators
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.platform import fields
from lavendershed.routes import engine_profile
from lavendershed.routes import model

_PER_SECOND = 1_000.0


class PlatformObjects(translators.ObjectTranslator):
    """Decodes what the operator and the engines write."""

    def configuration(
        self, stored: load_reports.StoredObject
    ) -> result.Result[model.RoutingConfiguration, str]:
        """Returns a configuration, or which field can't be read."""
        try:
            body = fields.table(orjson.loads(stored.spec), "configuration")
            return result.Ok(_configuration(body))
        except (fields.FieldError, orjson.JSONDecodeError) as error:
            return result.Err(str(error))

    def server(
        self, stored: load_reports.StoredObject
    ) -> result.Result[server_directory.ServerEntry, str]:
        """Returns a server's entry, or which field can't be read."""
        try:
            body = fields.table(orjson.loads(stored.spec), "entry")
            return result.Ok(_server(stored.name, body))
        except (fields.FieldError, orjson.JSONDecodeError) as error:
            return result.Err(str(error))


def _server(
    name: str, body: dict[str, fields.Body]
) -> server_directory.ServerEntry:
    address = addresses.parse(fields.text(body, "address"))
    if isinstance(address, result.Err):
        raise fields.FieldError("address", address.err_value)
    try:
        state = forwarding_states.ServerState(fields.text(body, "state"))
    except ValueError as error:
        raise fields.FieldError("state", "is not known") from error
    # The number of the last heartbeat; its type shows a foreign writer.
    fields.whole(body, "seq", 0)
    return server_directory.ServerEntry(
        ids.BackendServerId(name),
        ids.Incarnation(fields.whole(body, "born", 0)),
        ids.ServiceId(fields.text(body, "service")),
        address.ok_value,
        ids.AvailabilityZoneId(fields.text(body, "zone")),
        state,
    )


def _configuration(
    body: dict[str, fields.Body],
) -> model.RoutingConfiguration:
    limits = fields.table(body.get("limits"), "limits")
    organisations = body.get("tenants")
    return model.RoutingConfiguration(
        ids.Epoch(fields.whole(body, "version")),
        tuple(
            _route(fields.table(route, "route_table"))
            for route in fields.items(body, "route_table")
        ),
        tuple(
            _service(fields.table(service, "services"))
            for service in fields.items(body, "services")
        ),
        None
        if organisations is None
        else tuple(
            _organisation(fields.table(organisation, "tenants"))
            for organisation in fields.items(body, "tenants")
        ),
        model.CallerLimits(
            units.Bytes(fields.whole(limits, "max_header_bytes")),
            units.Bytes(fields.whole(limits, "max_body_bytes")),
            _seconds(limits, "header_timeout_ms"),
            _seconds(limits, "idle_timeout_ms"),
        ),
    )


def _route(body: dict[str, fields.Body]) -> model.Route:
    weighted = body.get("weighted_services")
    if weighted is None:
        services: tuple[model.WeightedService, ...] = (
            model.WeightedService(
                ids.ServiceId(fields.text(body, "service")), 1.0
            ),
        )
    else:
        services = tuple(
            _weighted(fields.table(item, "weighted_services"))
            for item in fields.items(body, "weighted_services")
        )
    try:
        kind = model.RequestKind(fields.text(body, "kind"))
    except ValueError as error:
        raise fields.FieldError("kind", "is not known") from error
    return model.Route(
        fields.text(body, "name"),
        fields.text(body, "host").lower(),
        fields.text(body, "path_prefix"),
        kind,
        fields.flag(body, "resumable"),
        fields.flag(body, "public"),
        _seconds(body, "timeout_ms"),
        _seconds(body, "target_latency_ms"),
        _seconds(body, "gap_target_ms") if "gap_target_ms" in body else None,
        fields.whole(body, "priority", 0),
        services,
        fields.whole(body, "max_attempts", 1),
    )


def _weighted(body: dict[str, fields.Body]) -> model.WeightedService:
    return model.WeightedService(
        ids.ServiceId(fields.text(body, "service")),
        fields.number(body, "weight"),
    )


def _service(body: dict[str, fields.Body]) -> model.Service:
    engine = body.get("engine")
    return model.Service(
        ids.ServiceId(fields.text(body, "name")),
        fields.whole(body, "max_connections", 0),
        None if engine is None else _engine(fields.table(engine, "engine")),
    )


def _engine(body: dict[str, fields.Body]) -> engine_profile.EngineProfile:
    usual = fields.table(body.get("usual", {}), "usual")
    return engine_profile.EngineProfile(
        slots=fields.whole(body, "slots"),
        kv_capacity=units.Tokens(fields.whole(body, "kv_capacity")),
        steps_per_iteration=fields.whole(body, "stride", 1),
        step_ms=fields.number(body, "step_ms"),
        step_ms_per_sequence=fields.number(body, "per_seq_ms", 0.0),
        step_ms_per_1k_context=fields.number(body, "context_per_k", 0.0),
        prefill_tokens_per_ms=fields.number(body, "read_per_s") / _PER_SECOND,
        attention_ms_per_1m_pairs=fields.number(body, "pairs_per_m", 0.0),
        prefill_chunk_tokens=fields.whole(body, "chunk", 1),
        mean_output_tokens=units.Tokens(
            int(fields.number(usual, "answer", 0.0))
        ),
        parallel_step_overhead_ms=fields.number(body, "hop_ms", 0.0),
    )


def _organisation(body: dict[str, fields.Body]) -> model.Organisation:
    keys = fields.items(body, "api_keys")
    if not all(isinstance(key, str) for key in keys):
        raise fields.FieldError("api_keys", "holds something else than texts")
    return model.Organisation(
        ids.OrganisationId(fields.text(body, "name")),
        tuple(keys),
        fields.whole(body, "priority") if "priority" in body else None,
    )


def _seconds(body: dict[str, fields.Body], name: str) -> units.Seconds:
    """Returns the seconds of a field in milliseconds."""
    return units.Seconds(fields.number(body, name) / 1_000)

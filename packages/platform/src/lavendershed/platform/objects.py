"""Decoding of configurations and server entries of the platform."""

from __future__ import annotations

import orjson
import result

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.membership import server_directory
from lavendershed.peer import peer_state
from lavendershed.platform import fields
from lavendershed.routes import engine_profile
from lavendershed.routes import model

_MS_PER_SECOND = 1_000.0
# Operators may store others of the same kind, such as drafts.
ACTIVE_CONFIGURATION = "main"


class PlatformObjectDecoder(codecs.ObjectDecoder):
    """Decodes configurations of operators and entries of engines."""

    def decode_configuration(
        self, stored: peer_state.StoredObject
    ) -> result.Result[model.RoutingConfiguration, str]:
        """Returns a configuration, or an error that names the invalid field."""
        if stored.name != ACTIVE_CONFIGURATION:
            return result.Err(f"{stored.name}: is not the active one")
        try:
            body = fields.as_table(orjson.loads(stored.spec), "configuration")
            return result.Ok(_decode_configuration(body))
        except (fields.FieldError, orjson.JSONDecodeError) as error:
            return result.Err(str(error))

    def decode_server(
        self, stored: peer_state.StoredObject
    ) -> result.Result[server_directory.ServerEntry, str]:
        """Returns a server entry, or an error that names the invalid field."""
        try:
            body = fields.as_table(orjson.loads(stored.spec), "entry")
            return result.Ok(_decode_server(stored, body))
        except (fields.FieldError, orjson.JSONDecodeError) as error:
            return result.Err(str(error))


def _decode_server(
    stored: peer_state.StoredObject, body: dict[str, fields.JsonValue]
) -> server_directory.ServerEntry:
    address = addresses.parse(fields.string(body, "address"))
    if isinstance(address, result.Err):
        raise fields.FieldError("address", address.err_value)
    try:
        state = forwarding_states.ServerState(fields.string(body, "state"))
    except ValueError as error:
        raise fields.FieldError("state", "has an unknown value") from error
    # Sequence number of the last heartbeat; a wrong type means that the entry
    # was not written by an engine.
    fields.integer(body, "seq", 0)
    return server_directory.ServerEntry(
        ids.BackendServerId(stored.name),
        ids.Incarnation(fields.integer(body, "born", 0)),
        ids.ServiceId(fields.string(body, "service")),
        address.ok_value,
        ids.AvailabilityZoneId(fields.string(body, "zone")),
        state,
        stored.revision,
        units.Seconds(
            fields.number(body, "cold_remaining_ms", 0.0) / _MS_PER_SECOND
        ),
    )


def _decode_configuration(
    body: dict[str, fields.JsonValue],
) -> model.RoutingConfiguration:
    return model.RoutingConfiguration(
        ids.Epoch(fields.integer(body, "version")),
        fields.decoded_array(body, "route_table", _decode_route),
        fields.decoded_array(body, "services", _decode_service),
        None
        if body.get("tenants") is None
        else fields.decoded_array(body, "tenants", _decode_organisation),
        fields.decoded_table(body, "limits", _decode_limits),
    )


def _decode_limits(body: dict[str, fields.JsonValue]) -> model.CallerLimits:
    return model.CallerLimits(
        units.Bytes(fields.integer(body, "max_header_bytes")),
        units.Bytes(fields.integer(body, "max_body_bytes")),
        _seconds_from_ms(body, "header_timeout_ms"),
        _seconds_from_ms(body, "idle_timeout_ms"),
    )


def _decode_route(body: dict[str, fields.JsonValue]) -> model.Route:
    weighted = body.get("weighted_services")
    if weighted is None:
        services: tuple[model.WeightedService, ...] = (
            model.WeightedService(
                ids.ServiceId(fields.string(body, "service")), 1.0
            ),
        )
    else:
        services = fields.decoded_array(
            body, "weighted_services", _decode_weighted_service
        )
    try:
        kind = model.RequestKind(fields.string(body, "kind"))
    except ValueError as error:
        raise fields.FieldError("kind", "has an unknown value") from error
    return model.Route(
        fields.string(body, "name"),
        fields.string(body, "host").lower(),
        fields.string(body, "path_prefix"),
        kind,
        fields.boolean(body, "resumable"),
        fields.boolean(body, "public"),
        _seconds_from_ms(body, "timeout_ms"),
        _seconds_from_ms(body, "target_latency_ms"),
        _seconds_from_ms(body, "gap_target_ms")
        if "gap_target_ms" in body
        else None,
        fields.integer(body, "priority", 0),
        services,
        fields.integer(body, "max_attempts", 1),
    )


def _decode_weighted_service(
    body: dict[str, fields.JsonValue],
) -> model.WeightedService:
    return model.WeightedService(
        ids.ServiceId(fields.string(body, "service")),
        fields.number(body, "weight"),
    )


def _decode_service(body: dict[str, fields.JsonValue]) -> model.Service:
    return model.Service(
        ids.ServiceId(fields.string(body, "name")),
        fields.integer(body, "max_connections", 0),
        None
        if body.get("engine") is None
        else fields.decoded_table(body, "engine", _decode_engine),
        units.Seconds(fields.number(body, "cold_start_s", 0.0)),
        units.RequestsPerSecond(fields.number(body, "cold_per_s", 0.0)),
    )


def _decode_engine(
    body: dict[str, fields.JsonValue],
) -> engine_profile.EngineProfile:
    return engine_profile.EngineProfile(
        slots=fields.integer(body, "slots"),
        kv_capacity=units.Tokens(fields.integer(body, "kv_capacity")),
        steps_per_iteration=fields.integer(body, "stride", 1),
        step_ms=fields.number(body, "step_ms"),
        step_ms_per_sequence=fields.number(body, "per_seq_ms", 0.0),
        step_ms_per_1k_context=fields.number(body, "context_per_k", 0.0),
        prefill_tokens_per_ms=fields.number(body, "read_per_s")
        / _MS_PER_SECOND,
        attention_ms_per_1m_pairs=fields.number(body, "pairs_per_m", 0.0),
        prefill_chunk_tokens=fields.integer(body, "chunk", 1),
        mean_output_tokens=fields.decoded_table(
            {"usual": {}, **body}, "usual", _decode_mean_output_tokens
        ),
        parallel_step_overhead_ms=fields.number(body, "hop_ms", 0.0),
        retains_prompts=fields.boolean(body, "retains_prompts"),
    )


def _decode_mean_output_tokens(
    body: dict[str, fields.JsonValue],
) -> units.Tokens:
    return units.Tokens(int(fields.number(body, "answer", 0.0)))


def _decode_organisation(
    body: dict[str, fields.JsonValue],
) -> model.Organisation:
    keys = fields.array(body, "api_keys")
    if not all(isinstance(key, str) for key in keys):
        raise fields.FieldError(
            "api_keys", "contains a value that is not a string"
        )
    return model.Organisation(
        ids.OrganisationId(fields.string(body, "name")),
        tuple(keys),
        fields.integer(body, "priority") if "priority" in body else None,
    )


def _seconds_from_ms(
    body: dict[str, fields.JsonValue], name: str
) -> units.Seconds:
    """Returns a field given in milliseconds as seconds."""
    return units.Seconds(fields.number(body, name) / 1_000)

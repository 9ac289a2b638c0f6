"""JSON paths of the records of a configuration."""

from __future__ import annotations

from lavendershed.routes import findings

_SECTION_FIELDS = {
    findings.Section.CONFIGURATION: "",
    findings.Section.ROUTES: "route_table",
    findings.Section.SERVICES: "services",
    findings.Section.ORGANISATIONS: "tenants",
    findings.Section.LIMITS: "limits",
}
# Attributes whose fields have the same name are not listed.
_ATTRIBUTE_FIELDS = {
    (findings.Section.ROUTES, "timeout"): "timeout_ms",
    (findings.Section.ROUTES, "target_latency"): "target_latency_ms",
    (findings.Section.ROUTES, "target_inter_token_latency"): "gap_target_ms",
    (findings.Section.ROUTES, "services"): "weighted_services",
    (findings.Section.SERVICES, "id"): "name",
    (findings.Section.SERVICES, "cold_start"): "cold_start_s",
    (findings.Section.SERVICES, "cold_rate"): "cold_per_s",
    (findings.Section.SERVICES, "engine.steps_per_iteration"): "engine.stride",
    (
        findings.Section.SERVICES,
        "engine.step_ms_per_sequence",
    ): "engine.per_seq_ms",
    (
        findings.Section.SERVICES,
        "engine.step_ms_per_1k_context",
    ): "engine.context_per_k",
    (
        findings.Section.SERVICES,
        "engine.prefill_tokens_per_ms",
    ): "engine.read_per_s",
    (
        findings.Section.SERVICES,
        "engine.attention_ms_per_1m_pairs",
    ): "engine.pairs_per_m",
    (findings.Section.SERVICES, "engine.prefill_chunk_tokens"): "engine.chunk",
    (
        findings.Section.SERVICES,
        "engine.mean_output_tokens",
    ): "engine.usual.answer",
    (
        findings.Section.SERVICES,
        "engine.parallel_step_overhead_ms",
    ): "engine.hop_ms",
    (findings.Section.ORGANISATIONS, "keys"): "api_keys",
    (findings.Section.LIMITS, "max_header"): "max_header_bytes",
    (findings.Section.LIMITS, "max_body"): "max_body_bytes",
    (findings.Section.LIMITS, "header_timeout"): "header_timeout_ms",
    (findings.Section.LIMITS, "idle_timeout"): "idle_timeout_ms",
}


def json_path(place: findings.Place) -> str:
    """Returns the path of a place in the configuration's JSON."""
    path = _SECTION_FIELDS[place.section]
    if place.index is not None:
        path += f"[{place.index}]"
    if place.attribute is None:
        return path
    field = _ATTRIBUTE_FIELDS.get(
        (place.section, place.attribute), place.attribute
    )
    return f"{path}.{field}" if path else field

"""Findings of the review of a configuration."""

from __future__ import annotations

import dataclasses
import enum


class Severity(enum.Enum):
    """Consequence of a finding; values are part of the command's output."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


class Rule(enum.Enum):
    """What was found; values are part of the command's output."""

    INVALID = "invalid"
    VERSION_NOT_NEWER = "version_not_newer"

    ROUTE_HIDDEN = "route_hidden"
    ROUTE_UNMATCHABLE = "route_unmatchable"
    ROUTE_WITHOUT_SERVICE = "route_without_service"
    SERVICE_UNKNOWN = "service_unknown"
    SERVICE_WITHOUT_WEIGHT = "service_without_weight"
    SERVICE_UNUSED = "service_unused"
    SERVICE_WITHOUT_CONNECTIONS = "service_without_connections"
    NAME_REPEATED = "name_repeated"
    TIMEOUT_BELOW_TARGET = "timeout_below_target"
    ATTEMPTS_NONE = "attempts_none"
    ATTEMPTS_ABOVE_SERVERS = "attempts_above_servers"
    HEAD_ABOVE_PARSER = "head_above_parser"
    HEAD_TIMEOUT_ABOVE_IDLE = "head_timeout_above_idle"
    KEY_REPEATED = "key_repeated"

    VERSION_CHANGED = "version_changed"
    ROUTE_ADDED = "route_added"
    ROUTE_REMOVED = "route_removed"
    ROUTE_CHANGED = "route_changed"
    WEIGHT_CHANGED = "weight_changed"
    SERVICE_ADDED = "service_added"
    SERVICE_REMOVED = "service_removed"
    SERVICE_CHANGED = "service_changed"
    ORGANISATION_ADDED = "organisation_added"
    ORGANISATION_REMOVED = "organisation_removed"
    ORGANISATION_CHANGED = "organisation_changed"
    KEYS_REQUIRED_CHANGED = "keys_required_changed"
    KEY_ADDED = "key_added"
    KEY_WITHDRAWN = "key_withdrawn"
    LIMIT_CHANGED = "limit_changed"


_ERRORS = frozenset({Rule.INVALID, Rule.VERSION_NOT_NEWER})
_CHANGES = frozenset(
    {
        Rule.VERSION_CHANGED,
        Rule.ROUTE_ADDED,
        Rule.ROUTE_REMOVED,
        Rule.ROUTE_CHANGED,
        Rule.WEIGHT_CHANGED,
        Rule.SERVICE_ADDED,
        Rule.SERVICE_REMOVED,
        Rule.SERVICE_CHANGED,
        Rule.ORGANISATION_ADDED,
        Rule.ORGANISATION_REMOVED,
        Rule.ORGANISATION_CHANGED,
        Rule.KEYS_REQUIRED_CHANGED,
        Rule.KEY_ADDED,
        Rule.KEY_WITHDRAWN,
        Rule.LIMIT_CHANGED,
    }
)


class Section(enum.Enum):
    """Part of a configuration."""

    CONFIGURATION = "configuration"
    ROUTES = "routes"
    SERVICES = "services"
    ORGANISATIONS = "organisations"
    LIMITS = "limits"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a finding is in a configuration.

    Attributes:
        section: Part of the configuration.
        index: Position in this part; None if it is no list, or if the finding
            is about what the new configuration lacks.
        attribute: Attribute of the record in `routes.model`, if it is one.
    """

    section: Section
    index: int | None = None
    attribute: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A statement about a configuration.

    Attributes:
        rule: What was found.
        place: Where; None if the configuration could not be decoded.
        detail: The statement for an operator; holds no whole API key.
    """

    rule: Rule
    place: Place | None
    detail: str

    @property
    def severity(self) -> Severity:
        """Consequence of the finding."""
        if self.rule in _ERRORS:
            return Severity.ERROR
        return Severity.CHANGE if self.rule in _CHANGES else Severity.WARNING

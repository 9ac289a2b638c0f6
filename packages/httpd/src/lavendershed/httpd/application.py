"""Interface of the application behind the HTTP front end."""

from __future__ import annotations

import abc
from collections.abc import Mapping
import dataclasses

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Request timeouts of a service."""

    default_timeout: units.Seconds
    max_timeout: units.Seconds


class Application(abc.ABC):
    """Handles requests that the HTTP front end has decoded."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Whether the load balancer may send requests."""

    @property
    @abc.abstractmethod
    def refusal(self) -> outcomes.RequestFailure | None:
        """Failure returned to all requests; None if requests are accepted."""

    @abc.abstractmethod
    def authenticate(
        self, bearer_token: str
    ) -> result.Result[ids.OrganisationId, outcomes.RequestFailure]:
        """Returns the organisation of a bearer token."""

    @abc.abstractmethod
    def request_limits(
        self, service: ids.ServiceId
    ) -> result.Result[RequestLimits, outcomes.RequestFailure]:
        """Returns the request timeouts of a service."""

    @abc.abstractmethod
    async def generate(
        self, request: requests.GenerateRequest, sink: requests.ResponseSink
    ) -> result.Result[None, outcomes.RequestFailure]:
        """Runs a generate request and writes its response to `sink`."""

    @abc.abstractmethod
    async def call(
        self, request: requests.CallRequest
    ) -> result.Result[backend_servers.PlainResponse, outcomes.RequestFailure]:
        """Runs a call to a plain service."""

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""

    @abc.abstractmethod
    def status(self) -> Mapping[str, object]:
        """Returns the daemon's state for operators."""

"""Builds the components that communicate with other daemons."""

from __future__ import annotations

import dataclasses
import random

from lavendershed.configuration import state as state_module
from lavendershed.core import backend_servers
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.daemon import background as background_module
from lavendershed.daemon import limit_share_source
from lavendershed.daemon import options as options_module
from lavendershed.daemon import peer_configuration
from lavendershed.daemon import peer_network
from lavendershed.membership import detector
from lavendershed.membership import dissemination
from lavendershed.membership import gossip
from lavendershed.membership import records
from lavendershed.peer import authentication
from lavendershed.peer import client
from lavendershed.peer import codec
from lavendershed.peer import envelope
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import address

_FIRST_GENERATION = 1
_FIRST_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Peering:
    """Components of a daemon that communicate with other daemons."""

    network: peer_network.PeerNetwork
    configuration: peer_configuration.PeerConfiguration
    shares: limit_share_source.PeerShareSource

    @property
    def background(self) -> tuple[background_module.BackgroundTask, ...]:
        """Background tasks of the components; the network is released last."""
        return (self.configuration, self.shares, self.network)


class PeerFactory:
    """Builds the peer network of one router."""

    def __init__(
        self,
        options: options_module.RouterOptions,
        listen: address.Address,
        owner: backend_servers.Owner,
        state: state_module.ConfigurationState,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        generator: random.Random,
    ) -> None:
        self._options = options
        self._listen = listen
        self._owner = owner
        self._state = state
        self._timers = timer_service
        self._log = event_log
        self._random = generator

    def build(self) -> Peering:
        """Returns the connected components."""
        envelope_codec = envelope.EnvelopeCodec(
            self._options.deployment,
            authentication.Authenticator(self._options.peer_keys),
            lambda reason: self._log.emit(
                events.Event.PEER_MESSAGE_REJECTED, detail=reason
            ),
        )
        peer_client = client.TcpPeerClient(envelope_codec, self._random)
        configuration = peer_configuration.PeerConfiguration(
            peer_client, self._state, self._timers, self._log
        )
        network = peer_network.PeerNetwork(
            self._listen,
            self._build_gossip(),
            envelope_codec,
            peer_client,
            configuration,
            self._timers,
            self._log,
            self._random,
        )
        shares = limit_share_source.PeerShareSource(
            network, self._owner.vm, self._timers
        )
        return Peering(network, configuration, shares)

    def _build_gossip(self) -> gossip.Gossip:
        sizer = codec.ThriftRecordSizer()
        local_record = records.MemberRecord(
            self._owner,
            _FIRST_GENERATION,
            _FIRST_VERSION,
            states.MemberState.ALIVE,
            records.PeerAddress(str(self._listen)),
            self._options.availability_zone,
        )
        seed_addresses = [
            records.PeerAddress(str(peer)) for peer in self._options.peers
        ]
        return gossip.Gossip(
            detector.Membership(
                local_record, sizer, self._random, seed_addresses
            ),
            dissemination.Dissemination(self._owner, sizer),
            sizer,
        )

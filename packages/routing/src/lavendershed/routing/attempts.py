"""Properties of a request attempt that routing decisions depend on."""

from __future__ import annotations

import dataclasses
from typing import NewType

from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import held_prompts

# Identifies an attempt within a scheduler. Request ids don't, because a caller
# may send two concurrent requests with the same id.
Ticket = NewType("Ticket", int)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request.

    Attributes:
        block_hashes: Chained hashes of the prompt's leading blocks.
        excluded: Engines that must not run the attempt.
        exclusive: Whether no other request may run on the engine meanwhile.
        retry: Whether an earlier attempt of the request was admitted; it is
            not charged to the limits again.
    """

    ticket: Ticket
    organisation: ids.OrganisationId
    prompt_class: states.PromptClass
    prompt_tokens: units.Tokens
    max_tokens: units.Tokens
    deadline: deadlines.Deadline
    block_hashes: tuple[int, ...] = ()
    excluded: frozenset[ids.BackendServerId] = frozenset()
    exclusive: bool = False
    retry: bool = False

    @property
    def total_tokens(self) -> int:
        """Prompt and answer tokens: the cost in limits and fair queueing."""
        return self.prompt_tokens + self.max_tokens

    @property
    def prompt_prefix(self) -> held_prompts.PromptPrefix:
        """Leading blocks of the prompt."""
        return held_prompts.from_blocks(self.block_hashes)

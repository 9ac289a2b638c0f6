"""Prompt classes and the engine priority of each class."""

from __future__ import annotations

from lavendershed.core import states
from lavendershed.core import units

SHORT_LIMIT = units.Tokens(8_000)
MEDIUM_LIMIT = units.Tokens(100_000)

# Smaller numbers run first on an engine. Medium and long prompts share a number
# and run in order of arrival: if medium prompts overtook a long one, it might
# wait for several times its own prefill time.
PRIORITIES = {
    states.PromptClass.SHORT: 0,
    states.PromptClass.MEDIUM: 1,
    states.PromptClass.LONG: 1,
    states.PromptClass.OVERSIZED: 1,
}


def classify(
    prompt_tokens: units.Tokens,
    max_tokens: units.Tokens,
    engine_memory: units.Tokens,
) -> states.PromptClass:
    """Returns the class of a prompt.

    A prompt is oversized if it does not fit into the KV cache of one engine
    together with its answer, even if the prompt itself is short.
    """
    if prompt_tokens + max_tokens > engine_memory:
        return states.PromptClass.OVERSIZED
    if prompt_tokens <= SHORT_LIMIT:
        return states.PromptClass.SHORT
    if prompt_tokens <= MEDIUM_LIMIT:
        return states.PromptClass.MEDIUM
    return states.PromptClass.LONG

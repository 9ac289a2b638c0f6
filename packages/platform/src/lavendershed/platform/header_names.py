"""Header names of the platform, in lower case."""

from __future__ import annotations

# Identity of one attempt of a client; engines echo it.
REQUEST_ID = "attempt-id"
# Milliseconds that the client, or the sender, still waits.
TIMEOUT_MS = "deadline-ms"
API_KEY = "x-api-key"
# Organisation of the key, for the engine.
ORGANISATION = "tenant"
# Prompt tokens and most answer tokens, separated by a comma.
TOKEN_COUNT = "token-count"
# The client's estimate of the answer's tokens; right at the median only.
EXPECTED_OUTPUT_TOKENS = "length-hint"
LAST_EVENT_ID = "last-event-id"
# Signature of the engine that ran the request.
SIGNATURE = "engine-seal"
# Present if the engine has not run the request.
NOT_RUN = "not-executed"
# The engine that has to answer.
EXPECTED_SERVER = "expect-instance"
# Address of the engine that made a request fail, if it is another one.
FAULTY_SERVER = "at-server"
# Engines that read parts of the prompt.
HELPERS = "helpers"
# Rank of the request from 0 to 9; 0 is the first.
PRIORITY = "request-priority"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that this system sets; what a client sends under these names is not
# passed on.
SET_BY_ROUTER = frozenset(
    {
        API_KEY,
        TIMEOUT_MS,
        ORGANISATION,
        LAST_EVENT_ID,
        EXPECTED_SERVER,
        HELPERS,
        PRIORITY,
    }
)

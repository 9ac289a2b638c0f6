"""Header names of the external platform, in lower case."""

from __future__ import annotations

# Identifies one attempt by the client, which is one request to the router;
# engines echo it.
REQUEST_ID = "attempt-id"
# Remaining timeout of the client or sender in milliseconds, not a timestamp.
TIMEOUT_MS = "deadline-ms"
API_KEY = "x-api-key"
# Organisation that the API key belongs to; sent to engines.
ORGANISATION = "tenant"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNT = "token-count"
# The client's estimate of the output tokens; accurate only at the median.
EXPECTED_OUTPUT_TOKENS = "length-hint"
# Parts of the prompt in order, each as ID:TOKENS, separated by commas. The last
# one belongs to the request or to its session.
PROMPT_PARTS = "prefix-hash"
LAST_EVENT_ID = "last-event-id"
# Signature of the engine that executed the request.
SIGNATURE = "engine-seal"
# Present if the engine has not executed the request.
NOT_RUN = "not-executed"
# Id of the engine that the request is addressed to.
EXPECTED_SERVER = "expect-instance"
# Address of the engine that caused the failure, if it is another one.
FAULTY_SERVER = "at-server"
# Requests per second that an engine in need takes from all routers together, a
# decimal number; absent if it has no limit.
REQUEST_LIMIT = "server-limit"
# "1" in all answers of an engine that is leaving.
LEAVING = "server-leaving"
# Seconds, a decimal number; from an engine that refuses a request, the time for
# which it wants nothing from this router.
RETRY_AFTER = "retry-after"
# Addresses of the engines that prefill shards of the prompt, each followed by
# the id of its memory reservation if it has one.
HELPERS = "helpers"
# Priority from 0 to 9; 0 is the highest.
PRIORITY = "request-priority"
# Era of the store, a whole number in all its answers.
STORE_ERA = "store-era"

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
# Headers that the router sets; values sent by clients are not forwarded.
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

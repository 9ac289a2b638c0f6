// Messages between daemons. Regenerate the committed code after changes:
//   thrift --gen py:slots -out src/lavendershed/peer/gen idl/messages.thrift
// Fields are only added, never renumbered or made required, because daemons of
// different versions run side by side during an upgrade.

namespace py messages

struct Owner {
  1: optional string vm
  2: optional i64 incarnation
}

struct Member {
  1: optional Owner owner
  2: optional i64 generation
  3: optional i64 version
  4: optional i32 state
  5: optional string address
  6: optional string availability_zone
  7: optional i64 replaces
}

struct Quarantine {
  1: optional i64 fingerprint
}

struct CrashSuspect {
  1: optional i64 fingerprint
}

struct OrganisationDemand {
  1: optional string organisation
  // In thousandths: an integer takes two to four bytes, a double eight.
  2: optional i64 requests_per_second
  3: optional i64 tokens_per_second
}

struct Demand {
  1: optional list<OrganisationDemand> demands
}

struct EngineLoad {
  1: optional string engine
  2: optional i32 outstanding
  3: optional i64 prefill_tokens
}

struct Load {
  1: optional list<EngineLoad> loads
}

struct BackendLeaving {
  1: optional string server
  2: optional i64 incarnation
}

struct Record {
  1: optional Owner origin
  2: optional i64 version
  3: optional i32 lifetime_ms
  4: optional Quarantine quarantine
  5: optional Demand demand
  6: optional Load load
  7: optional BackendLeaving backend_leaving
  8: optional CrashSuspect crash_suspect
}

struct Datagram {
  1: optional string deployment
  2: optional i32 kind
  3: optional i64 sequence
  4: optional Member sender
  5: optional i64 epoch
  6: optional Member target
  7: optional list<Member> members
  8: optional list<Record> records
}

struct Snapshot {
  1: optional i64 epoch
  2: optional list<Member> members
  3: optional list<Record> records
}

struct Call {
  1: optional string deployment
  2: optional i64 call_id
  3: optional i32 kind
  4: optional string chunk_hash
  5: optional Owner owner
}

struct Answer {
  1: optional string deployment
  2: optional i64 call_id
  3: optional i32 status
  4: optional binary content
  5: optional Snapshot snapshot
  6: optional i32 member_state
}

// Open tasks of one daemon at the engines, and the versions of its state.
struct LoadReport {
  1: optional i64 incarnation
  // Grows with each change of what the report states; a repeated report has
  // the same number.
  2: optional i32 sequence
  3: optional i64 configuration_version
  4: optional i64 server_revision
  // One group of numbers for each task of a request, see peer/load_reports.py.
  5: optional list<i32> works
  // Fingerprints of requests that may crash engines, each with its count.
  // Not sent any more; crashes of whole requests are among `crashes`.
  6: optional list<i64> suspects
  // Known daemons: IPv4 address as a number, times 65,536, plus the port.
  7: optional list<i64> peers
  // Slow engines: pairs of the engine's hash and ten times its slowdown factor.
  8: optional list<i32> slow
  // Unreachable servers: pairs of the server's hash and the milliseconds for
  // which it is excluded.
  9: optional list<i32> unreachable
  // Address of the sender, encoded as in `peers`, and its availability zone.
  10: optional i64 sender
  11: optional string zone
  // Former relay flag: 12: optional bool relayed
  // Whether the sender watches the store successfully.
  13: optional bool watching
  // A bundle has only these two, `sender` and `zone`: encoded reports of other
  // daemons, and how many daemons of its zone the sender knows.
  14: optional list<binary> bundled
  15: optional i32 members
  // Daemons of the sender's zone that are alive, encoded as in `peers`.
  16: optional list<i64> alive
  // Bandwidth of the sender's VM in Mbit/s.
  17: optional i32 bandwidth
  // Milliseconds since the sender's configuration, and its server list, were
  // known to be the newest, and the revision up to which it knows the latter.
  18: optional i32 configuration_age
  19: optional i32 servers_age
  20: optional i64 servers_known
  // Evidence on requests and parts of prompts that crash engines: groups of a
  // hash of the engine's incarnation, the age of the crash in milliseconds, the
  // number of suspects, and these. Those of whole requests are negative.
  21: optional list<i64> crashes
  // Pairs of a suspect and the milliseconds since an answer cleared it.
  22: optional list<i64> begun
  // Groups of the remaining milliseconds, the number of parts, and the parts.
  23: optional list<i64> quarantines
  // Groups of a hash of a server's incarnation, the limit that it named in
  // thousandths of a request per second, 0 if it names none any more, and the
  // age of the answer in milliseconds.
  24: optional list<i64> limits
  // Eras of `server_revision` and `servers_known`; revisions of a later era are
  // newer.
  25: optional i64 server_era
  26: optional i64 servers_known_era
  // Whether the sender is cut off from all servers, so that it runs no requests
  // of others.
  27: optional bool cut_off
  // Revision of the last change of the evacuated zones, the revision up to
  // which the sender knows all of them, and the milliseconds since they were
  // known to be the newest.
  28: optional i64 evacuation_revision
  29: optional i64 evacuation_era
  30: optional i64 evacuations_known
  31: optional i64 evacuations_known_era
  32: optional i32 evacuations_age
  // Hashes of incarnations of servers whose answers to the sender say that they
  // are leaving. 33 to 39 are left for other fields.
  40: optional list<i64> leaving
  // Recent calls of the sender at servers of plain services: groups of a hash
  // of the server's incarnation, ten times the calls that it answered, and ten
  // times those that it failed.
  41: optional list<i64> call_counts
}

// A request that passed admission at one daemon and runs at another one.
struct RelayedRequest {
  1: optional string id
  2: optional string method
  3: optional string target
  4: optional string host
  // Names and values by turns.
  5: optional list<string> headers
  6: optional binary body
  7: optional i32 prompt_tokens
  8: optional i32 max_output_tokens
  9: optional i32 expected_output_tokens
  10: optional i64 last_event_id
  11: optional list<i64> prompt_parts
  // The route as the first daemon knows it.
  12: optional string route
  13: optional string kind
  14: optional bool resumable
  15: optional i32 timeout_ms
  16: optional i32 target_latency_ms
  17: optional i32 target_inter_token_latency_ms
  18: optional i32 max_attempts
  19: optional string service_id
  20: optional string organisation
  21: optional i32 priority
  22: optional i64 fingerprint
  // Time since the request was received, and until its deadline.
  23: optional i32 elapsed_ms
  24: optional i32 left_ms
  // Whether the caller has a part of the response.
  25: optional bool begun
}

// Asks for a permit for one request to a limited server, or replies.
struct PermitMessage {
  1: optional i64 call
  // Hash of the server's incarnation, and its limit as the sender knows it,
  // encoded as in a load report. Set in calls only.
  2: optional i64 server
  3: optional i64 limit
  4: optional i64 limit_age
  5: optional bool standby
  // Set in replies only: milliseconds to wait, 0 if the permit is issued. A
  // reply without it declines the call.
  6: optional i32 wait
  // Set in calls for a cold engine only: the requests a second that it takes,
  // encoded like the limit, and the milliseconds until it is warm.
  7: optional i64 cold_rate
  8: optional i32 cold_time
}

struct StoredObject {
  1: optional string name
  2: optional i64 revision
  // One of these: the content, or its zlib compression if it is large.
  3: optional binary spec
  4: optional binary compressed_spec
  // Era of the store that `revision` belongs to.
  5: optional i64 era
}

struct StateRequest {
  1: optional i64 configuration_version
  2: optional i64 server_revision
  3: optional i64 server_era
  // Revision up to which the sender knows the evacuated zones.
  4: optional i64 evacuation_revision
  5: optional i64 evacuation_era
}

struct StateReply {
  1: optional i64 configuration_revision
  2: optional list<StoredObject> configuration
  3: optional i64 server_revision
  4: optional list<StoredObject> servers
  // Set if `servers` has only the changes since the requested revision; then
  // these servers were removed.
  5: optional bool partial
  6: optional list<string> removed
  // Time for which missing servers may be an effect of a store outage.
  7: optional i32 grace_ms
  // Eras of the store that the revisions belong to.
  8: optional i64 configuration_era
  9: optional i64 server_era
  // All evacuated zones, if the receiver lacks a change of them. Those of an
  // older era are not in the store any more and lapse.
  10: optional i64 evacuation_revision
  11: optional i64 evacuation_era
  12: optional list<StoredObject> evacuations
}

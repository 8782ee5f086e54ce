// The inner protocol between entry instances. Every frame holds one
// `frame` in compact protocol, after its length as four bytes, big-endian.
// New fields must be optional: a release skips what it does not know, so two
// neighbouring releases run side by side.

namespace cpp jasminedyke.wire

// The first frame of each side.
struct hello {
  1: i32 version
  2: string instance
  3: string incarnation
  4: string failure_domain
  5: binary nonce
}

// The second frame: shows that the sender has the shared key.
struct proof {
  1: binary mac
}

// Upstreams and teams go by the short numbers of `wire_names`.
struct demand_entry {
  1: i32 team
  2: i32 rank_ms
  3: i32 tasks
  4: optional i32 memory_mb
}

struct count {
  1: i32 id
  2: i32 number
}

struct slot_demand {
  1: i64 sequence
  2: i64 last_grant_sequence
  3: optional list<demand_entry> waiting
  4: optional list<count> running
  5: optional bool full_report
  6: optional list<count> held
  7: optional list<i32> quarantined
}

struct slot_grant {
  1: i64 sequence
  2: i64 demand_sequence
  // Of the granted slots, in order: the upstreams; the teams, or one team for
  // all; and the positions of trials.
  3: optional list<i32> upstreams
  6: optional list<i32> teams
  7: optional list<i32> trials
  4: optional i32 domain_waiting
  5: optional i32 domain_running
}

// The results' numbers are those of `slot_result`; none: it answered. The
// slowness is in tenths; none: about as expected.
struct released_slot {
  1: i32 upstream
  2: optional i8 result
  3: optional i8 slowness
}

struct slot_release {
  1: list<released_slot> slots
}

struct instance_version {
  1: string instance
  2: i64 config_version
}

struct domain_room {
  1: string failure_domain
  2: i32 free_slots
}

// A heartbeat, and news of what changed.
struct status {
  1: i64 config_version
  2: i64 membership_version
  3: optional bool leaving
  4: optional list<instance_version> in_force
  5: optional list<domain_room> rooms
  // The number is that of `store_reading`.
  6: optional i8 reading
  // The number is that of `group_knowledge`.
  7: optional i8 group
  // The `sent_at_us` of the receiver's latest home status that the sender has
  // handled; 0: of none.
  8: optional i64 confirmed_us
  // The highest token of the group to which the receiver is home, if it exceeds
  // the one in the receiver's latest home status.
  9: optional i64 higher_token
}

enum document_kind {
  CONFIGURATION = 1
  MEMBERSHIP = 2
}

// With `have` the answer is what changed since that version, as routing pieces,
// and piece 0 begins it; without, as of older releases, the whole document.
struct document_request {
  1: document_kind kind
  2: optional i64 have
  3: optional i32 piece
}

struct document {
  1: document_kind kind
  2: i64 version
  3: string json
}

// The numbers are those of `job_operation`.
struct job_request {
  1: i64 number
  2: i8 operation
  3: string job
  4: string team
  5: optional string body
}

struct header {
  1: string name
  2: string value
}

struct job_reply {
  1: i64 number
  2: i32 status
  3: list<header> headers
  4: string body
}

// The resources of tasks: thousandths of a core, megabytes, accelerators.
struct amount {
  1: i64 cpu_millis
  2: optional i64 memory_mb
  3: optional i64 accelerators
}

// Tasks of one step that need the same; `maybe_started` holds for all.
struct task_group {
  1: i32 step
  2: list<i32> indexes
  3: amount need
  4: i32 estimate_us
  5: optional bool maybe_started
  6: optional string rack
  7: optional string required_label
  8: optional i32 max_per_upstream
}

// Times are durations from the sending.
struct run_request {
  1: string job
  2: i64 submission
  3: string queue
  4: string upstream_service
  5: string spec
  6: i64 to_objective_us
  7: i64 to_limit_us
  8: i64 age_us
  9: i32 max_attempts
  10: optional i32 priority
  11: list<task_group> tasks
  12: optional bool may_pass
  13: optional i32 sending
  14: optional i32 kept_spec_bytes
  15: optional bool has_place
}

struct run_cancel {
  1: string job
  2: i64 submission
}

// The verdicts' numbers are those of `task_verdict`; none: done.
struct task_report {
  1: i32 step
  2: i32 index
  3: optional i8 verdict
}

// The refusal's number is that of `run_refusal`.
struct run_report {
  1: string job
  2: i64 submission
  3: optional list<task_report> tasks
  4: optional i8 refusal
  5: optional bool not_run
  6: optional i64 retry_after_us
  7: optional i32 sending
}

struct home_status {
  1: string failure_domain
  2: i32 group
  3: i64 token
  4: bool serving
  5: bool settled
  6: i64 free_cpu_millis
  7: i64 total_cpu_millis
  8: i64 wait_us
  9: optional bool yielding
  10: optional bool owners_start
  // 11 had another meaning; it is not used again.
  // By the sender's own clock.
  12: optional i64 sent_at_us
}

// The home has the job's owner send a start, as only that one has the
// specification. Times are of the upstream's clock.
struct delegated_start {
  1: i64 number
  2: string job
  3: i64 submission
  4: i32 step
  5: i32 index
  6: i64 run
  7: string upstream
  8: string address
  9: i64 token
  10: i64 not_after_ms
}

// The result's number is that of `start_result`.
struct delegated_start_result {
  1: i64 number
  2: i8 result
  3: optional i64 clock_ms
}

struct upstream_row {
  1: string id
  2: string address
  3: string upstream_service
  4: optional string rack
  5: optional list<string> labels
  6: amount capacity
  7: optional bool draining
  // Of the incarnation that registered; none: the upstream does not tell.
  8: optional i64 birth
}

// Upstreams of the sender's failure domain that are new or changed, and those
// that are gone. A full and whole one replaces all that is known.
struct upstream_news {
  1: bool full
  2: list<upstream_row> rows
  3: optional list<string> gone
  4: optional bool whole
  // With a full one: the latest fencing token of the group that is known.
  5: optional i64 token
}

// All failure domains that operators have drained, as of that version of the
// store.
struct drained_domains {
  1: i64 as_of
  2: optional list<string> domains
}

struct upstream_incarnation {
  1: string id
  2: optional i64 birth
}

struct task_loss {
  1: upstream_incarnation upstream
  2: bool begun
}

struct crash_suspect {
  1: string job
  2: i32 step
  3: i32 index
  // For older releases, which tell nothing else.
  4: i32 lost
  // Not told any more: older releases take it for proof.
  5: optional i32 crashed
  6: optional list<task_loss> losses
}

// Tasks that were running on upstreams when these were lost, and upstreams of
// which that proves nothing any more.
struct crash_news {
  1: list<crash_suspect> suspects
  2: optional list<upstream_incarnation> explained
}

// How fast an upstream runs tasks, in thousandths of the usual speed.
struct upstream_speed {
  1: string id
  2: i32 thousandths
  3: optional i64 birth
}

// What a home has learnt of its upstreams, for its successor.
struct speed_news {
  1: list<upstream_speed> speeds
}

struct route {
  1: string name
  2: string host
  3: string path_prefix
  4: string upstream_service
  5: i64 timeout_us
  6: i64 target_latency_us
  7: double stretch
  8: i32 max_attempts
  9: i32 priority
}

struct route_key {
  1: string host
  2: string path_prefix
}

struct service_row {
  1: string name
  2: bool guarded
  3: i32 max_connections
  4: string health_path
}

// A part of what leads from one version of the configuration to another. The
// base is 0 if the parts together hold all routes. The digest is that of all
// routes, services and limits at the new version.
struct routing_piece {
  1: i64 base
  2: i64 version
  3: i64 digest
  4: list<route> routes
  5: list<route_key> removed
  6: list<service_row> services
  7: i64 max_header_bytes
  8: i64 max_body_bytes
  9: i32 number
  10: bool last
  11: optional bool busy
}

// Exactly one field is set.
struct frame {
  1: optional hello hello_message
  2: optional proof proof_message
  3: optional slot_demand demand
  4: optional slot_grant grant
  5: optional slot_release release
  6: optional status status_message
  7: optional document_request wanted
  8: optional document document_message
  9: optional job_request request
  10: optional job_reply reply
  11: optional run_request run
  12: optional run_cancel cancel
  13: optional run_report report
  14: optional home_status home
  15: optional upstream_news upstreams
  16: optional delegated_start delegated
  17: optional delegated_start_result delegated_result
  18: optional drained_domains drained
  19: optional crash_news crashes
  20: optional speed_news speeds
  21: optional routing_piece routing
}

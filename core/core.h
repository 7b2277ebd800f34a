// Decision logic of clementinelb as a library without I/O.
//
// Two facades take typed events with a time point and return typed actions.
// Neither facade owns a socket, thread, clock or random device. Randomness
// comes from the seed in the options, so the same sequence of events produces
// the same actions.
//
//   RequestPath   Handles each request from arrival to its final answer:
//                 routing, admission, retries, at-most-once execution,
//                 quarantine.
//   ControlPlane  Handles the state that daemons agree on or replicate: lease,
//                 placement, membership, presence of hosts, configuration,
//                 status.
//
// The caller (the daemon, or a test with a virtual clock) executes the actions
// and passes the results back as events:
//
//   for (const Action& action : path.Handle(RequestArrived{request}, now))
//     Execute(action);
//
// Terms: a plain service is a set of hosts that run no model. An engine is a
// backend server that runs a model. The hosts of a replica are all in one
// fabric domain.
//
// The caller forwards GroupsChanged, ConfigurationChanged, DaemonsChanged,
// QuarantineLearned and LoadReported actions of ControlPlane to RequestPath as
// events.
#ifndef CORE_CORE_H_
#define CORE_CORE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "config/config.h"

namespace clementine {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

using RequestId = std::uint64_t;
/// Identifies one attempt of a request; unique within an incarnation of a
/// daemon. On the wire, the daemon prefixes it with its node name and start
/// time.
using AttemptId = std::uint64_t;
/// Identifies a call to the platform (the object store that the daemons share)
/// or an order to a backend server; the reply carries the same value.
using CallId = std::uint64_t;

/// One log line: event name and key=value fields, in order.
struct LogDecision {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

// ---------------------------------------------------------------------------
// Platform objects, used by both facades.

enum class ObjectStatus {
  kOk,
  kNotFound,
  kConflict,     ///< `if_version` didn't match. The reply has the current
                 ///< version and value if the platform returned them.
  kUnavailable,  ///< Not applied, because no connection was established.
  kUnknown,      ///< May or may not have been applied.
};

struct GetObject {
  CallId call = 0;
  std::string key;
};

/// Value of `if_version` that matches any version; for objects with a single
/// writer.
inline constexpr std::uint64_t kAnyVersion = ~std::uint64_t{0};

/// Writes an object if its version is `if_version`. An `if_version` of 0
/// requires that the object doesn't exist.
struct PutObject {
  CallId call = 0;
  std::string key;
  std::string value;
  std::uint64_t if_version = 0;
};

struct DeleteObject {
  CallId call = 0;
  std::string key;
  std::uint64_t if_version = 0;
};

/// Era of the platform's store; see core/store_era.h. As an event: an answer to
/// another component, or another daemon, stated it first. As an action: the
/// store was restored, or its era has become known; the other components have
/// to read and write their objects again.
struct StoreEraSeen {
  std::uint64_t era = 0;
};

struct ObjectReply {
  CallId call = 0;
  ObjectStatus status = ObjectStatus::kUnknown;
  std::uint64_t version = 0;
  std::string value;
  /// Number that increases each time the platform was restored from a copy;
  /// empty if the platform doesn't state it.
  std::optional<std::uint64_t> era = std::nullopt;
};

// ---------------------------------------------------------------------------
// Request path.

struct Request {
  RequestId id = 0;
  std::string organisation;
  RequestClass request_class = RequestClass::kCounter;
  std::string path;
  std::string model;    ///< Empty for plain services.
  std::string service;  ///< Empty for models.
  std::string adapter;
  std::vector<std::uint64_t> prefix_blocks;  ///< Hashes of prompt blocks.
  /// Identifiers of the parts of the prompt that other requests may share.
  /// Crashes can be blamed on them.
  std::vector<std::string> shared_parts;
  std::string content_digest;       ///< Digest of the body.
  std::uint32_t prompt_tokens = 0;  ///< Estimated.
  std::uint32_t max_tokens = 0;
  bool idempotent = true;
  std::string idempotency_key;  ///< Empty when the caller gave none.
  TimePoint deadline;
  /// Latency target, from arrival to the answer or to the first event of a
  /// stream. A request that isn't expected to start early enough to meet it is
  /// refused. A running request isn't cancelled when it misses it, because a
  /// late answer is still of some use to the caller. 0 means that only
  /// `deadline` matters.
  milliseconds target{0};
  /// Latency target of an answer that isn't a stream. Only steers the limit of
  /// the pool; the request waits until its deadline. 0: none.
  milliseconds answer_target{0};
  int priority = 0;      ///< From route or organisation; 0 is the most urgent.
  int max_attempts = 0;  ///< 0 selects RequestPathOptions::max_attempts.
};

/// A model replica or a host of a plain service, as known to this daemon.
/// Invariant: `open` is set only if every host of the group was confirmed
/// present in this group and epoch within the presence timeout.
struct GroupView {
  std::string group;  ///< Name of the replica, or "service/host".
  std::string model;
  std::string version;
  std::string service;  ///< Set only for hosts of plain services.
  std::string data_centre;
  std::string fabric_domain;
  std::uint64_t epoch = 0;
  std::string head_host;
  std::string head_address;  ///< IP:port that accepts requests.
  std::vector<std::string> adapters;
  int max_running = 8;   ///< Requests that the group runs concurrently.
  bool open = false;     ///< May receive requests.
  bool leaving = false;  ///< Accepts no new requests.
  /// The data centre is being evacuated: the group gets no new requests.
  bool evacuated = false;
  /// The data centre will be left soon: the group gets new requests only while
  /// the other groups have no room.
  bool evacuating = false;
  /// Requests per second that this daemon may send to the group until
  /// `cold_until`, because its head is cold. Unused once that time has passed.
  double cold_rate = 0.0;
  TimePoint cold_until;
};

struct LoadReport {
  std::string group;
  std::uint64_t epoch = 0;
  int running = 0;
  int waiting = 0;
  double kv_used = 0.0;  ///< Fraction of the KV cache in use.
};

/// Result of an attempt. The first three values prove that the backend server
/// didn't execute the request.
enum class AttemptResult {
  kNotSent,     ///< No byte can have reached the backend server.
  kRefused,     ///< The backend server states that it didn't execute it.
  kWrongEpoch,  ///< Refused, because the group has another epoch.
  kComplete,
  kBroken,    ///< The connection was lost or reset after bytes were sent.
  kTimedOut,  ///< A timeout or the deadline ended the attempt.
  kCrashed,   ///< The backend server crashed while the attempt ran.
  kError,     ///< The backend server returned a final error answer.
};
const char* AttemptResultName(AttemptResult result);

// Events of the request path.
struct RequestArrived {
  Request request;
};
struct CallerLeft {
  RequestId request = 0;
};
/// Tokens up to `offset` were delivered to the caller (bytes of the body for
/// plain services).
struct AttemptProgress {
  AttemptId attempt = 0;
  std::uint64_t offset = 0;
};
struct AttemptEnded {
  AttemptId attempt = 0;
  AttemptResult result = AttemptResult::kBroken;
  std::uint64_t offset = 0;     ///< Tokens delivered to the caller.
  milliseconds retry_after{0};  ///< From the backend server; 0 if absent.
  /// Status and body of the final answer, stored in the request's claim. The
  /// body is empty for streams.
  int status = 0;
  std::string body;
};
/// The group of an attempt sends no data. The request is moved to another group
/// if it is idempotent, holds no claim, isn't isolated, and may be retried. The
/// attempt continues until the new one delivers something, and if there is
/// none, because a pause in an answer doesn't prove that the attempt has
/// failed.
struct AttemptStalled {
  AttemptId attempt = 0;
};
/// A backend server answered a request, a query or an order with a backoff
/// (503 with Retry-After).
struct ServerBusy {
  std::string host;
  milliseconds wait{0};
};
/// An incarnation of a backend server has ended: a new incarnation, or another
/// server at the same address, was detected. Each running attempt on this host
/// gets a crash mark, and so does each attempt on it that ended within the last
/// 10 s with a result that doesn't tell whether the server crashed. An orderly
/// restart isn't distinguished from a crash.
struct ServerEnded {
  std::string host;
};
/// @param retry_after Retry-After of a backend server's answer, or zero.
/// @return The backoff that the server requested; zero unless the status is 503
///     and the answer has a Retry-After.
milliseconds RequestedBackoff(int status, milliseconds retry_after);
struct LoadReported {
  LoadReport load;
  milliseconds age{0};
};
/// Consecutively numbered changes of a group's prefix cache. After a gap in the
/// numbering, the contents of the cache are unknown.
struct CacheEvents {
  std::string group;
  std::uint64_t first_sequence = 0;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};
struct GroupsChanged {
  std::vector<GroupView> groups;
};
struct ConfigurationChanged {
  std::uint64_t generation = 0;
  std::shared_ptr<const Configuration> configuration;
};
/// A crash mark or an acquittal received from another daemon.
struct QuarantineLearned {
  std::string digest;  ///< Name of the mark or acquittal; see ShareQuarantine.
  milliseconds remaining{0};
};
/// The number of live daemons in this data centre has changed. Limits that hold
/// for all daemons together are divided by it.
struct DaemonsChanged {
  int live = 1;
  /// Fraction of all daemons' requests that arrive at this daemon; its share of
  /// the capacity of the groups. 0 means unknown; an equal share for each live
  /// daemon is then assumed. In-flight limits are always divided by `live`.
  double share = 0.0;
};
/// This daemon shuts down. It refuses new requests, and releases its lease.
struct DrainStarted {};
/// This daemon ends soon: refuses every request that is not finished.
struct RequestsStopped {};
struct Tick {
  /// Wall clock time, for the retention of claims. The default value
  /// means unknown.
  std::chrono::system_clock::time_point wall{};
};

using RequestEvent =
    std::variant<RequestArrived, CallerLeft, AttemptProgress, AttemptEnded,
                 AttemptStalled, ServerBusy, ServerEnded, LoadReported,
                 CacheEvents, GroupsChanged, ConfigurationChanged,
                 QuarantineLearned, DaemonsChanged, DrainStarted,
                 RequestsStopped, ObjectReply, StoreEraSeen, Tick>;

enum class RefusalReason {
  kUnknownModel,
  kUnknownOrganisation,
  kNoGroup,      ///< No open group can serve the request.
  kOverloaded,   ///< The queue is full, or the wait would be too long.
  kQuarantined,  ///< Requests with this digest crashed backend servers.
  kKeyRequired,
  kKeyReused,  ///< The key was used before with another body.
  /// Another call with this key is running, or its released claim could not be
  /// replaced after several attempts.
  kStillRunning,
  /// The claim can't be stored: the platform doesn't answer, or this daemon has
  /// too many open claims.
  kPlatformDown,
  /// The attempts failed, and no further one is allowed: by the last result, by
  /// the maximum number of attempts or by a retry budget.
  kRetriesExhausted,
  kDeadline,
  kDraining,
  /// The request isn't idempotent, and either may have run, or has run (outcome
  /// "complete") but its answer was too large to be stored.
  kOutcomeUnknown,
};
const char* RefusalReasonName(RefusalReason reason);

/// Execution status of a request as reported to its caller.
enum class Outcome { kComplete, kNotRun, kUnknown };
/// @return "complete", "not-run" or "unknown".
const char* OutcomeName(Outcome outcome);

// Actions of the request path.
struct Dispatch {
  RequestId request = 0;
  AttemptId attempt = 0;
  std::string group;
  std::uint64_t epoch = 0;
  std::string address;
  std::uint64_t resume_offset = 0;
  int priority = 0;  ///< Higher is more urgent.
  /// The request has another running attempt. The first of the two that
  /// delivers something from now on wins; the other is cancelled.
  bool concurrent = false;
};
struct CancelAttempt {
  AttemptId attempt = 0;
};
/// Ends a request without an answer from a backend server.
/// Invariant: `outcome` is kNotRun only if every attempt ended with a result
/// that proves that the backend server didn't execute the request.
struct Refuse {
  RequestId request = 0;
  RefusalReason reason = RefusalReason::kNoGroup;
  Outcome outcome = Outcome::kNotRun;
  int status = 503;  ///< HTTP status.
  milliseconds retry_after{0};
};
/// Ends a request with the complete answer of an attempt.
struct Finish {
  RequestId request = 0;
  AttemptId attempt = 0;
};
/// Ends a request with the stored answer of an earlier call with the same
/// idempotency key.
struct Replay {
  RequestId request = 0;
  int status = 200;
  std::string body;
};
/// Sends other daemons a crash mark (a request was in flight when a replica
/// crashed) or an acquittal, which withdraws a crash mark.
struct ShareQuarantine {
  /// Name of the mark or acquittal, not only a digest.
  /// Crash mark: "<digest>/<crash>", with a digest of organisation and content
  /// and an identifier of the crash, so that each crash counts once.
  /// Acquittal: "<digest>!<crash>". Components other than Quarantine treat it
  /// as opaque.
  std::string digest;
  milliseconds remaining{0};
};

using RequestAction = std::variant<Dispatch, CancelAttempt, Refuse, Finish,
                                   Replay, ShareQuarantine, GetObject,
                                   PutObject, DeleteObject, LogDecision>;

/// Picks one of `candidates`, which is never empty, for a request.
/// @param in_flight This daemon's attempts on each candidate, in the same
///     order.
/// @return Index into `candidates`.
using RoutePolicy = std::function<std::size_t(
    const Request& request, const std::vector<const GroupView*>& candidates,
    const std::vector<int>& in_flight)>;

struct RequestPathOptions {
  std::string node;
  /// Start time of the daemon; part of claim ids.
  std::uint64_t incarnation = 0;
  std::string data_centre;
  std::uint64_t seed = 1;
  bool admission = true;     ///< False dispatches requests without admission
                             ///< control, as a baseline for comparison.
  RoutePolicy route_policy;  ///< Empty selects the weighted policy.
  int max_attempts = 3;
  double retry_ratio = 0.1;  ///< Retries and hedges per first attempt.
  double hedge_ratio = 0.0;  ///< Hedges per first attempt; 0 disables them.
  int crashes_to_quarantine = 2;
  /// Runs the next attempt of a request that was in flight at a crash on a
  /// group that runs nothing else.
  bool isolate_suspects = true;
  /// Lower bound of the Retry-After of a refusal with outcome "not-run".
  milliseconds min_retry_after{1'000};
  milliseconds quarantine_duration{600'000};
  std::size_t max_queued = 4096;
  std::chrono::seconds claim_retention{86'400};
  /// For tests: name of a rule to violate deliberately; see docs/requests.md
  /// and the uses of IsRuleBroken() and `broken_rule`.
  std::string broken_rule;
};

/// Concurrency limit of this daemon in a pool whose requests have targets.
struct PoolLimitStats {
  std::string pool;
  double fair_share = 0.0;
  int limit = 0;
  double margin = 0.0;     ///< See CapacityLimit::margin.
  std::uint64_t late = 0;  ///< First events that missed their target.
  std::uint64_t full = 0;  ///< Requests that servers refused as full.
};

/// Reason against a second attempt of a request whose first attempt is slow.
enum class HedgeDenial {
  kDraining,  ///< This daemon shuts down.
  kSuspect,   ///< The request may have caused a crash.
  kQueue,     ///< Requests wait for the pool.
  kFull,      ///< The pool's limit has no room.
  kNoGroup,   ///< No other group is fast enough and has room.
  kBudget,    ///< The budget of hedges or of retries is exhausted.
};
inline constexpr std::size_t kHedgeDenials = 6;
const char* HedgeDenialName(HedgeDenial denial);

/// Counters and gauges of the request path, for /metrics and status.
struct RequestPathStats {
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;  ///< Refusals, except those counted in `unknown`.
  std::uint64_t unknown = 0;  ///< Refusals with Outcome::kUnknown.
  std::uint64_t dispatched = 0;  ///< Attempts, including retries.
  std::uint64_t retried = 0;     ///< Attempts after the first of a request.
  std::uint64_t hedged = 0;      ///< Second attempts beside a running one.
  std::uint64_t hedges_won = 0;  ///< Hedges whose answer counted.
  /// Attempts cancelled because the other one of their request won.
  std::uint64_t hedges_cancelled = 0;
  std::array<std::uint64_t, kHedgeDenials> hedges_denied{};  ///< By reason.
  std::uint64_t quarantined = 0;  ///< Times that a digest was quarantined.
  std::uint64_t cold_waits = 0;   ///< Requests that waited for a cold server.
  std::uint64_t crash_marks = 0;  ///< Crash marks created by this daemon.
  /// Digests in the quarantine table: suspect, quarantined and acquitted ones.
  std::uint64_t suspects = 0;
  std::uint64_t in_flight = 0;
  std::uint64_t queued = 0;
  std::vector<PoolLimitStats> limits;
};

/// Handles requests from arrival to final answer. Each request gets exactly one
/// Finish, Refuse or Replay, unless its caller leaves before.
class RequestPath {
 public:
  explicit RequestPath(RequestPathOptions options);
  ~RequestPath();
  RequestPath(const RequestPath&) = delete;
  RequestPath& operator=(const RequestPath&) = delete;

  /// @param now Not earlier than in the previous call.
  /// @return Actions in the order in which they must be executed.
  std::vector<RequestAction> Handle(const RequestEvent& event, TimePoint now);

  RequestPathStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// ---------------------------------------------------------------------------
// Control plane.

/// A row of the platform's host list, which may lag behind the actual state.
struct HostInfo {
  std::string host;
  std::string data_centre;
  std::string fabric_domain;
  std::string address;
  int accelerators = 4;
  bool engine = true;  ///< False for plain services.
  bool leaving = false;
};

/// Answer of a backend server to a health probe.
struct HostHealth {
  std::string host;
  std::string state;  ///< "idle", "loading", "serving".
  std::string group;
  std::uint64_t epoch = 0;
  std::vector<std::string> hosts;  ///< Hosts of the group in rank order.
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  bool leaving = false;
  int running = 0;
  int waiting = 0;
  double kv_used = 0.0;
  std::uint64_t fence = 0;  ///< Highest fence of the orders it has accepted.
};

/// Order to a backend server to change its state.
struct HostOrder {
  std::string kind;  ///< "load", "unload", "load_adapter", "set_role".
  std::string group;
  std::uint64_t epoch = 0;
  int rank = 0;  ///< Index of the receiving host in `hosts`.
  std::vector<std::string> hosts;
  std::string model;
  std::string version;
  std::string weights;  ///< Name of the model's weights in the weight store.
  std::vector<std::string> adapters;
  std::string role;  ///< For "set_role".
  std::uint64_t fence = 0;
};

/// Another daemon, as known from its heartbeats.
struct PeerInfo {
  std::string node;
  std::string data_centre;
  std::string peer_address;
  std::uint64_t incarnation = 0;  ///< Start time; increases with each restart.
};

// Events of the control plane, besides ObjectReply, DrainStarted and Tick.
struct HostsListed {
  std::vector<HostInfo> hosts;
};
/// The host list could not be read.
struct HostsUnavailable {};
/// Reply to a watch; has no entries if nothing changed before its timeout.
struct ObjectsChanged {
  std::uint64_t revision = 0;
  struct Entry {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
  };
  std::vector<Entry> entries;
  std::string prefix;  ///< Prefix of the watch.
};
struct WatchFailed {
  std::string prefix;
};
struct ProbeAnswered {
  std::string host;
  HostHealth health;
};
struct ProbeFailed {
  std::string host;
};
/// An order has ended, with or without an answer from the host.
struct OrderAnswered {
  std::string host;
  CallId call = 0;
  bool accepted = false;
  bool sent = true;  ///< False if the order can't have reached the host.
};
/// Message from another daemon; the sender was authenticated by the caller.
struct PeerMessageReceived {
  std::string bytes;
};
/// The request path lost a connection to this host, or received an answer with
/// a leaving header from it.
struct HostSuspected {
  std::string host;
  bool leaving = false;
};
/// A ShareQuarantine action of this daemon's request path, to be sent to the
/// other daemons.
struct QuarantineFound {
  std::string digest;  ///< As in ShareQuarantine.
  milliseconds remaining{0};
};

using ControlEvent =
    std::variant<HostsListed, HostsUnavailable, ObjectsChanged, WatchFailed,
                 ProbeAnswered, ProbeFailed, OrderAnswered, PeerMessageReceived,
                 HostSuspected, QuarantineFound, ObjectReply, StoreEraSeen,
                 DrainStarted, Tick>;

// Actions of the control plane, besides GetObject, PutObject, DeleteObject,
// GroupsChanged, ConfigurationChanged, DaemonsChanged, QuarantineLearned,
// LoadReported and LogDecision.
struct ListHosts {};
struct Watch {
  std::string prefix;
  std::uint64_t since = 0;
  milliseconds timeout{0};
};
struct ProbeHost {
  std::string host;
  std::string address;
};
struct SendOrder {
  CallId call = 0;
  std::string host;
  std::string address;
  HostOrder order;
  /// From this time on the order must not be sent, because the lease under
  /// which it was issued may have expired.
  TimePoint send_by;
};
/// Sends a message to one daemon, or to all connected daemons if `peer_address`
/// is empty.
struct SendPeer {
  std::string peer_address;
  std::string bytes;
};
struct ConnectPeer {
  std::string peer_address;
};
struct DisconnectPeer {
  std::string peer_address;
};

using ControlAction =
    std::variant<ListHosts, Watch, ProbeHost, SendOrder, SendPeer, ConnectPeer,
                 DisconnectPeer, GetObject, PutObject, DeleteObject,
                 GroupsChanged, ConfigurationChanged, DaemonsChanged,
                 QuarantineLearned, LoadReported, StoreEraSeen, LogDecision>;

struct PlannerInput;   ///< See core/placement.h.
struct PlannerResult;  ///< See core/placement.h.
/// Computes the next placement from the current state; a pure function.
using PlacementPlanner = std::function<PlannerResult(const PlannerInput&)>;

enum class Mutation : int;  ///< See core/mutation.h.

struct ControlPlaneOptions {
  std::string node;
  std::string region;
  std::string data_centre;
  std::string peer_address;  ///< Address at which other daemons connect.
  std::vector<std::string> peer_seeds;  ///< Peer addresses to join through.
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 1;
  milliseconds probe_interval{1'000};
  milliseconds presence_timeout{3'000};
  milliseconds lease_duration{10'000};
  /// Maximum order duration: an order has ended this long after it was sent.
  milliseconds longest_order{5'000};
  milliseconds heartbeat_interval{1'000};
  milliseconds peer_timeout{4'000};
  milliseconds status_interval{2'000};  ///< Between writes of the status.
  PlacementPlanner placement_planner;   ///< Empty selects the weighted planner.
  Mutation mutation{};                  ///< For tests: a deliberate fault.
};

/// Status of this daemon; docs/status.md describes the JSON document.
struct ControlStatus {
  std::uint64_t generation = 0;
  bool holds_lease = false;
  std::uint64_t fence = 0;
  int live_daemons = 1;
  std::string json;  ///< Complete status document.
};

/// Handles the lease, the placement, membership, the presence of hosts, the
/// configuration and the status.
class ControlPlane {
 public:
  explicit ControlPlane(ControlPlaneOptions options);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// See RequestPath::Handle.
  std::vector<ControlAction> Handle(const ControlEvent& event, TimePoint now);

  ControlStatus status(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace clementine

#endif  // CORE_CORE_H_

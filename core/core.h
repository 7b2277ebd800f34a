// The decisions of clementinelb as a pure library.
//
// Two facades take typed events with a time point and return typed actions.
// Neither holds a socket, thread, clock or random device; randomness comes from
// the seed in the options, so the same events give the same actions.
//
//   RequestPath   one request from arrival to its final answer: routing,
//                 admission, retries, at most once, quarantine.
//   ControlPlane  what is agreed or spread: lease, placement, membership,
//                 presence of hosts, configuration, status.
//
// The caller (the daemon, or a test with a virtual clock) carries out the
// actions and feeds back what happened:
//
//   for (const Action& action : path.Handle(RequestArrived{request}, now))
//     Execute(action);
//
// ControlPlane's GroupsChanged, ConfigurationChanged and QuarantineLearned are
// handed on to RequestPath by the caller.
#ifndef CORE_CORE_H_
#define CORE_CORE_H_

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
/// Identifies one try of a request; unique within a daemon's lifetime. On the
/// wire the daemon prefixes it with its node name and start time.
using AttemptId = std::uint64_t;
/// Identifies a platform call; replies carry it back.
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
  kConflict,     ///< Condition failed; version and value are the current ones.
  kUnavailable,  ///< Certainly not applied (no connection was made).
  kUnknown,      ///< May or may not have been applied.
};

struct GetObject {
  CallId call = 0;
  std::string key;
};

/// As `if_version`: replaces any version, for objects with one writer.
inline constexpr std::uint64_t kAnyVersion = ~std::uint64_t{0};

/// Conditional update; `if_version` 0 creates.
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

struct ObjectReply {
  CallId call = 0;
  ObjectStatus status = ObjectStatus::kUnknown;
  std::uint64_t version = 0;
  std::string value;
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
  std::string content_digest;                ///< Digest of the body.
  std::uint32_t prompt_tokens = 0;           ///< Estimate.
  std::uint32_t max_tokens = 0;
  bool idempotent = true;
  std::string idempotency_key;  ///< Empty when the caller gave none.
  TimePoint deadline;
  /// The answer, or the first event of a stream, is worth much less once this
  /// time from its arrival has passed; 0: it's worth the same until `deadline`.
  milliseconds target{0};
  int max_attempts = 0;  ///< 0: as in RequestPathOptions.
};

/// A routable replica or plain host as this node knows it.
/// Invariant: `open` only if every host was confirmed present in this group and
/// epoch within the presence timeout.
struct GroupView {
  std::string group;  ///< Replica name or "service/host".
  std::string model;
  std::string version;
  std::string service;  ///< Set for plain hosts.
  std::string data_centre;
  std::string fabric_domain;
  std::uint64_t epoch = 0;
  std::string leader_host;
  std::string leader_address;  ///< IP:port that takes requests.
  std::vector<std::string> adapters;
  int max_running = 8;
  bool open = false;
  bool leaving = false;  ///< Takes no new work.
};

struct LoadReport {
  std::string group;
  std::uint64_t epoch = 0;
  int running = 0;
  int waiting = 0;
  double kv_used = 0.0;  ///< Fraction of KV cache in use.
};

/// How an attempt ended. The first three prove that nothing was run.
enum class AttemptResult {
  kNotSent,     ///< No byte could have reached the backend server.
  kRefused,     ///< The backend server says that it didn't run it.
  kWrongEpoch,  ///< As kRefused; the group has changed.
  kComplete,
  kBroken,    ///< Connection lost or reset after bytes were sent.
  kTimedOut,  ///< Silent for longer than the phase's timeout.
  kCrashed,   ///< The backend server died while the attempt ran.
  kError,     ///< A final error answer from the backend server.
};
const char* AttemptResultName(AttemptResult result);

// Events.
struct RequestArrived {
  Request request;
};
struct CallerLeft {
  RequestId request = 0;
};
/// Tokens (or body bytes for plain services) up to `offset` were delivered.
struct AttemptProgress {
  AttemptId attempt = 0;
  std::uint64_t offset = 0;
};
struct AttemptEnded {
  AttemptId attempt = 0;
  AttemptResult result = AttemptResult::kBroken;
  std::uint64_t offset = 0;     ///< Tokens delivered to the caller.
  milliseconds retry_after{0};  ///< From the backend server, or zero.
  /// The final answer, kept for claims: status and body. Empty for streams.
  int status = 0;
  std::string body;
};
/// Nothing comes from an attempt's group. The attempt goes on unless another
/// group can take the request, since silence alone doesn't end an answer.
struct AttemptStalled {
  AttemptId attempt = 0;
};
/// A backend server answered, to whatever it was asked, that it wants no
/// request for a time.
struct ServerBusy {
  std::string host;
  milliseconds wait{0};
};
/// A backend server was found to have ended, by a new life of it or by another
/// server at its address. Attempts there whose own ends tell nothing were in
/// flight.
struct ServerEnded {
  std::string host;
};
/// @param retry_after From the answer of a backend server, or zero.
/// @return How long the server wants no request; zero unless it turned one away
///     and named a time.
milliseconds BusyTime(int status, milliseconds retry_after);
struct LoadReported {
  LoadReport load;
  milliseconds age{0};
};
/// Cache events of a group; a gap in numbering makes its knowledge unknown.
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
/// A crash-causing digest learned from another daemon.
struct QuarantineLearned {
  std::string digest;  ///< As in ShareQuarantine.
  milliseconds remaining{0};
};
/// Live daemons in this data centre; limits are divided by it.
struct DaemonsChanged {
  int live = 1;
  /// Part of all requests that come to this daemon; 0 when unknown, which
  /// counts as an equal part.
  double share = 0.0;
};
struct DrainStarted {};
struct Tick {
  /// Wall clock, for the retention of claims; zero when unknown.
  std::chrono::system_clock::time_point wall{};
};

using RequestEvent =
    std::variant<RequestArrived, CallerLeft, AttemptProgress, AttemptEnded,
                 AttemptStalled, ServerBusy, ServerEnded, LoadReported,
                 CacheEvents, GroupsChanged, ConfigurationChanged,
                 QuarantineLearned, DaemonsChanged, DrainStarted, ObjectReply,
                 Tick>;

enum class RefusalReason {
  kUnknownModel,
  kUnknownOrganisation,
  kNoGroup,      ///< No group is open.
  kOverloaded,   ///< Can't finish in time.
  kQuarantined,  ///< Crashed backend servers repeatedly.
  kKeyRequired,
  kKeyReused,     ///< Same key, other content.
  kStillRunning,  ///< The first call with this key is still running.
  kPlatformDown,  ///< A claim can't be made durable.
  kRetriesExhausted,
  kDeadline,
  kDraining,
  kOutcomeUnknown,  ///< It may have run and must not be repeated.
};
const char* RefusalReasonName(RefusalReason reason);

/// What the caller is told about a request. Order of severity.
enum class Outcome { kComplete, kNotRun, kUnknown };
const char* OutcomeName(
    Outcome outcome);  ///< "complete", "not-run", "unknown".

// Actions.
struct Dispatch {
  RequestId request = 0;
  AttemptId attempt = 0;
  std::string group;
  std::uint64_t epoch = 0;
  std::string address;
  std::uint64_t resume_offset = 0;
  int priority = 0;  ///< Higher is more urgent.
};
struct CancelAttempt {
  AttemptId attempt = 0;
};
/// Ends a request without an answer from a backend server.
/// `outcome` is kNotRun only where no byte could have reached one.
struct Refuse {
  RequestId request = 0;
  RefusalReason reason = RefusalReason::kNoGroup;
  Outcome outcome = Outcome::kNotRun;
  int status = 503;  ///< HTTP status.
  milliseconds retry_after{0};
};
/// The attempt's answer is the final answer; it's complete.
struct Finish {
  RequestId request = 0;
  AttemptId attempt = 0;
};
/// Replays the recorded answer of an earlier call with the same key.
struct Replay {
  RequestId request = 0;
  int status = 200;
  std::string body;
};
/// Tells other daemons that a request was in flight at a replica crash, or that
/// it's acquitted of one.
struct ShareQuarantine {
  /// "<digest>/<crash>": digest over organisation and content, and the name of
  /// the crash, so that each crash counts once. "<digest>!<crash>" acquits.
  /// Others pass it on unread.
  std::string digest;
  milliseconds remaining{0};
};

using RequestAction = std::variant<Dispatch, CancelAttempt, Refuse, Finish,
                                   Replay, ShareQuarantine, GetObject,
                                   PutObject, DeleteObject, LogDecision>;

/// Picks one of `candidates` (never empty) for a request; returns its index.
/// In-flight counts are this node's own, in the order of the candidates.
using RoutePolicy = std::function<std::size_t(
    const Request& request, const std::vector<const GroupView*>& candidates,
    const std::vector<int>& in_flight)>;

struct RequestPathOptions {
  std::string node;
  std::uint64_t incarnation = 0;  ///< Start time; part of claim ids.
  std::string data_centre;
  std::uint64_t seed = 1;
  bool admission = true;     ///< Off: the no-admission baseline.
  RoutePolicy route_policy;  ///< Empty: the weighted policy.
  int max_attempts = 3;
  double retry_ratio = 0.1;  ///< Retries for each first attempt.
  int crashes_to_quarantine = 2;
  /// Runs a request that was in flight at a crash alone on its next attempt.
  bool isolate_suspects = true;
  /// Least time that a refused caller is told to wait.
  milliseconds least_retry_after{1'000};
  milliseconds quarantine_time{600'000};
  std::size_t max_queued = 4096;
  std::chrono::seconds claim_retention{86'400};
  std::string
      broken_rule;  ///< Tests only: rule to break, see docs/requests.md.
};

/// Counters and gauges of the request path, for /metrics and status.
struct RequestPathStats {
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t retried = 0;
  std::uint64_t quarantined = 0;
  std::uint64_t crash_marks = 0;  ///< Requests in flight at a crash seen here.
  std::uint64_t suspects = 0;     ///< Digests with a crash that is remembered.
  std::uint64_t in_flight = 0;
  std::uint64_t queued = 0;
};

/// Decides one request from arrival to final answer. Each request gets exactly
/// one of Finish, Refuse or Replay, unless its caller left.
class RequestPath {
 public:
  explicit RequestPath(RequestPathOptions options);
  ~RequestPath();
  RequestPath(const RequestPath&) = delete;
  RequestPath& operator=(const RequestPath&) = delete;

  /// @param event What happened.
  /// @param now   Never earlier than in the previous call.
  /// @return Actions in the order in which to carry them out.
  std::vector<RequestAction> Handle(const RequestEvent& event, TimePoint now);

  RequestPathStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// ---------------------------------------------------------------------------
// Control plane.

/// A row of the platform's lagging host list.
struct HostInfo {
  std::string host;
  std::string data_centre;
  std::string fabric_domain;
  std::string address;
  int accelerators = 4;
  bool engine = true;  ///< False for plain services.
  bool leaving = false;
};

/// A backend server's own health answer.
struct HostHealth {
  std::string host;
  std::string state;  ///< "idle", "loading", "serving".
  std::string group;
  std::uint64_t epoch = 0;
  std::vector<std::string> hosts;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  bool leaving = false;
  int running = 0;
  int waiting = 0;
  double kv_used = 0.0;
  std::uint64_t fence = 0;
};

/// Order to a backend server.
struct HostOrder {
  std::string kind;  ///< "load", "unload", "load_adapter", "set_role".
  std::string group;
  std::uint64_t epoch = 0;
  int rank = 0;
  std::vector<std::string> hosts;
  std::string model;
  std::string version;
  std::string weights;
  std::vector<std::string> adapters;
  std::string role;
  std::uint64_t fence = 0;
};

/// Another daemon as known from its heartbeats.
struct PeerInfo {
  std::string node;
  std::string data_centre;
  std::string peer_address;
  std::uint64_t incarnation = 0;  ///< Start time; a restart has a higher one.
};

// Events (also ObjectReply and Tick).
struct HostsListed {
  std::vector<HostInfo> hosts;
};
struct HostsUnavailable {};
struct ObjectsChanged {  ///< Reply of a watch; may be empty.
  std::uint64_t revision = 0;
  struct Entry {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
  };
  std::vector<Entry> entries;
  std::string prefix;  ///< Of the watch that this answers.
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
struct OrderAnswered {
  std::string host;
  CallId call = 0;
  bool accepted = false;
  bool sent = true;
};
/// Bytes from another daemon, already authenticated.
struct PeerMessageReceived {
  std::string bytes;
};
/// The request path saw this host's connection break or a leaving header.
struct HostSuspected {
  std::string host;
  bool leaving = false;
};
struct QuarantineFound {
  std::string digest;
  milliseconds remaining{0};
};

using ControlEvent =
    std::variant<HostsListed, HostsUnavailable, ObjectsChanged, WatchFailed,
                 ProbeAnswered, ProbeFailed, OrderAnswered, PeerMessageReceived,
                 HostSuspected, QuarantineFound, ObjectReply, DrainStarted,
                 Tick>;

// Actions (also GetObject, PutObject, GroupsChanged, ConfigurationChanged,
// DaemonsChanged, QuarantineLearned, LoadReported, LogDecision).
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
  /// The order isn't sent from this time on, because the lease may have ended.
  TimePoint send_by;
};
/// Sends to one peer, or to all connected peers when `peer_address` is empty.
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
                 QuarantineLearned, LoadReported, LogDecision>;

struct PlannerInput;   ///< See core/placement.h.
struct PlannerResult;  ///< See core/placement.h.
/// Computes the next placement from all that is known; a pure function.
using PlacementPlanner = std::function<PlannerResult(const PlannerInput&)>;

enum class Mutation : int;  ///< See core/mutation.h.

struct ControlPlaneOptions {
  std::string node;
  std::string region;
  std::string data_centre;
  std::string peer_address;  ///< Own address for other daemons.
  std::vector<std::string> peer_seeds;
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 1;
  milliseconds probe_interval{1'000};
  milliseconds presence_timeout{3'000};
  milliseconds lease_duration{10'000};
  milliseconds longest_order{5'000};
  milliseconds heartbeat_interval{1'000};
  milliseconds peer_timeout{4'000};
  milliseconds status_interval{2'000};
  PlacementPlanner placement_planner;  ///< Empty: the weighted planner.
  Mutation mutation{};                 ///< A deliberate fault; tests only.
};

/// Status of this node as JSON members; see docs/status.md.
struct ControlStatus {
  std::uint64_t generation = 0;
  bool holds_lease = false;
  std::uint64_t fence = 0;
  int live_daemons = 1;
  std::string json;  ///< Whole status document.
};

/// Decides what is agreed or spread.
class ControlPlane {
 public:
  explicit ControlPlane(ControlPlaneOptions options);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// As RequestPath::Handle.
  std::vector<ControlAction> Handle(const ControlEvent& event, TimePoint now);

  ControlStatus status(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace clementine

#endif  // CORE_CORE_H_

// The configuration and state of a fleet, as read from a platform: the routes
// that callers may use, the services and models behind them, and the state that
// each backend server reports. The adapter in platform/ decodes into these
// types; no other code depends on the wire format.
#ifndef CORE_FLEET_H_
#define CORE_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Whether a route's requests may run more than once, and whether the answer is
/// a stream.
enum class RouteKind { kIdempotent, kNonIdempotent, kStream };

struct ServiceShare {
  std::string service;
  double weight = 1.0;
};

struct RouteRule {
  std::string name;
  std::string host;         ///< Lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kIdempotent;
  milliseconds timeout{30'000};        ///< Until the final answer.
  milliseconds target_latency{1'000};  ///< To the answer, or its first event.
  milliseconds target_gap{1'000};      ///< Between two events of a stream.
  int priority = 0;                    ///< 0 is the most urgent.
  int max_attempts = 1;    ///< Backend servers that one request may reach.
  bool is_public = false;  ///< Needs no API key.
  bool resumable = false;  ///< A stream may be resumed at another server.
  std::vector<ServiceShare> shares;
};

/// A model that groups of hosts of one service can serve.
struct EngineModel {
  std::string name;
  int hosts_per_group = 1;
  double work_share = 1.0;     ///< Expected fraction of the service's work.
  double time_factor = 1.0;    ///< Multiplies all times of the model's groups.
  milliseconds load_time{0};   ///< Join time, weights loaded from the store.
  milliseconds start_time{0};  ///< Join time, weights staged on the host.
};

/// Request times are those of a group whose time factor is 1. One step writes
/// one token of each running request.
struct EngineSpec {
  int max_running = 8;               ///< Requests that a group batches.
  double step_ms = 0.0;              ///< Fixed duration of a step.
  double step_ms_per_request = 0.0;  ///< Added for each running request.
  double step_ms_per_1k_context =
      0.0;  ///< Added for each 1,000 tokens of a running request's context.
  double prompt_tokens_per_second = 1e6;
  double prompt_ms_per_million_pairs =
      0.0;  ///< Added for each million pairs of a prompt's tokens.
  int default_answer_tokens = 0;  ///< Assumed if a request states no length.
  double loads_per_second = 1.0;
  int concurrent_loads = 1;  ///< More loads than this slow each other down.
  std::vector<EngineModel> models;
};

struct FleetService {
  std::string name;
  int max_connections = 0;  ///< To one server, from all callers; 0: unlimited.
  /// Requests per second that a cold server tolerates from all daemons
  /// together; 0: a cold server has no limit.
  double cold_requests_per_second = 0.0;
  milliseconds cold_duration{0};     ///< After the start of a server.
  std::optional<EngineSpec> engine;  ///< Empty for a plain service.
};

struct FleetOrganisation {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Overrides the route's priority.
};

/// What callers keep within; 0: not given.
struct FleetLimits {
  std::size_t max_header_bytes = 0;  ///< Of a request.
  std::size_t max_body_bytes = 0;    ///< Of a request.
  milliseconds header_timeout{0};    ///< In which a head is sent.
  /// Callers reuse connections that have been idle for up to four fifths of it.
  milliseconds idle_timeout{0};
};

/// One version of the operators' configuration; always adopted as a whole.
struct FleetConfiguration {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, FleetService> services;
  std::vector<FleetOrganisation> organisations;
  FleetLimits limits;
};

/// Returns the engine of a service; null for a plain or unknown service.
const EngineSpec* FindEngine(const FleetConfiguration& configuration,
                             const std::string& service);
/// Returns a model of an engine by its name; null if the engine has none of
/// that name.
const EngineModel* FindModel(const EngineSpec& engine, const std::string& name);

/// State of a backend server in its group, as the server reports it.
enum class GroupMemberState {
  kNone,     ///< In no group.
  kJoining,  ///< Loads weights or connects to the other members.
  kReady,    ///< Has joined. A head in this state takes no requests.
  kOpen,     ///< Head only: takes requests.
  kClosing,  ///< Head only: finishes its requests and takes no others.
  /// Can no longer serve in the group, for example because another member was
  /// lost.
  kBroken
};
const char* GroupMemberStateName(GroupMemberState state);

/// A backend server's membership in a group.
struct GroupMembership {
  std::string group;
  std::uint64_t epoch = 0;
  int rank = 0;  ///< 0 is the head, which takes the group's requests.
  GroupMemberState state = GroupMemberState::kNone;
};

/// A backend server, as its entry in the platform or its own report shows it.
struct BackendServer {
  std::string id;
  /// Unix milliseconds of the process start; distinguishes the processes that
  /// have run under one id.
  std::int64_t incarnation = 0;
  std::string service;
  std::string address;
  std::string data_centre;
  /// All members of a group are in one fabric domain.
  std::string fabric_domain;
  int slots = 1;  ///< Requests that a server of a plain service runs at once.
  bool leaving = false;
  /// Remaining time, when the entry was written, for which the server is cold.
  milliseconds cold_time{0};
  /// The entry is gone, but the server may only be partitioned from the
  /// platform; see ServerList.
  bool lapsed = false;
  std::uint64_t orders = 0;  ///< Number accepted in this incarnation.
  bool busy = false;         ///< An order is in progress; only in own reports.
  std::vector<std::string> staged;  ///< Models whose weights are on the host.
  GroupMembership member;
};

/// An order to a backend server about its group or its staged weights.
struct GroupOrder {
  enum class Kind { kJoin, kOpen, kClose, kLeave, kStage };
  Kind kind = Kind::kJoin;
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;                 ///< kJoin and kStage.
  std::vector<std::string> members;  ///< kJoin; the first is the head.
  bool evict = false;                ///< kClose: end running requests at once.
  /// The server carries the order out only if it has accepted exactly this many
  /// orders. If empty, it carries the order out whenever the order fits its
  /// group and epoch.
  std::optional<std::uint64_t> expected_orders;
};
const char* GroupOrderName(GroupOrder::Kind kind);

/// What the answer to an order proves.
enum class OrderResult {
  kAccepted,
  /// The server already was in the ordered state and did not count the order.
  kNoOp,
  kRejected,  ///< Does not fit the server's state; never carried out.
  kBusy,      ///< Never carried out, for a reason unrelated to the order.
  kUnknown,   ///< May still be carried out.
  /// The connection request timed out, for example because the host has no
  /// power. The order was not sent.
  kUnreachable,
};
const char* OrderResultName(OrderResult result);

/// Whether the server's answer proves that the order was not and will not be
/// carried out. False for kUnreachable, which is no answer of the server; the
/// order then stays outstanding until it times out, as for kUnknown.
bool ProvesNotCarriedOut(OrderResult result);

}  // namespace clementine

#endif  // CORE_FLEET_H_

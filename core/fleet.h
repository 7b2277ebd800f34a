// What a platform tells about a fleet, in the project's own terms: which routes
// callers may use, which services and models stand behind them, and what each
// backend server says of itself. The adapter in platform/ decodes into these
// types; nothing else depends on how they are spelled on the wire.
#ifndef CORE_FLEET_H_
#define CORE_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace clementine {

/// How often a request of a route may run, and what its answer looks like.
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
  milliseconds timeout{30'000};  ///< A request has its final answer by then.
  milliseconds target_latency{1'000};  ///< To the answer, or its first event.
  milliseconds target_gap{1'000};      ///< Between two events of a stream.
  int priority = 0;                    ///< 0 is the most urgent.
  int max_attempts = 1;      ///< Backend servers that one request may reach.
  bool open_to_all = false;  ///< Needs no API key.
  bool resumable = false;    ///< A stream may go on at another server.
  std::vector<ServiceShare> shares;
};

/// A model that groups of hosts of one service can serve.
struct EngineModel {
  std::string name;
  int hosts_per_group = 1;
  double work_share = 1.0;     ///< Expected part of the service's work.
  double pace = 1.0;           ///< Factor on all times of its groups.
  milliseconds load_time{0};   ///< From the weight store.
  milliseconds start_time{0};  ///< With the weights on the host.
};

/// Times are those of a group of pace 1.
struct EngineSpec {
  int max_running = 8;      ///< Requests that a group batches.
  double step_ms = 0.0;     ///< A step writes a token of each request.
  double request_ms = 0.0;  ///< Longer by so much for each request that writes,
  double context_ms = 0.0;  ///< and for each 1,000 tokens of its context.
  double prompt_tokens_per_second = 1e6;
  double pairs_ms = 0.0;  ///< For each million pairs of a prompt's tokens.
  int usual_answer = 0;   ///< Tokens of an answer, when a request tells none.
  double loads_per_second = 1.0;
  int concurrent_loads = 1;  ///< More loads than this slow each other down.
  std::vector<EngineModel> models;
};

struct FleetService {
  std::string name;
  int max_connections = 0;  ///< Of one server, by all callers; 0: no bound.
  std::optional<EngineSpec> engine;  ///< Empty for a plain service.
};

struct FleetOrganisation {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Goes before the route's.
};

/// One version of what operators want; always adopted as a whole.
struct FleetConfiguration {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, FleetService> services;
  std::vector<FleetOrganisation> organisations;
};

/// The engines of a service; null for a plain or unknown service.
const EngineSpec* FindEngine(const FleetConfiguration& configuration,
                             const std::string& service);
/// A model of an engine by its name; null when there's none.
const EngineModel* FindModel(const EngineSpec& engine, const std::string& name);

enum class GroupMemberState {
  kNone,
  kJoining,
  kReady,
  kOpen,
  kClosing,
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

/// What a backend server says of itself.
struct BackendServer {
  std::string id;
  std::int64_t born =
      0;  ///< Unix milliseconds of its start; tells lives apart.
  std::string service;
  std::string address;
  std::string data_centre;
  std::string fabric_domain;
  int slots = 1;
  bool leaving = false;
  /// Its entry is gone, but it may only be cut off from the platform; see
  /// ServerList.
  bool lapsed = false;
  std::uint64_t orders = 0;  ///< Orders accepted in this life.
  bool busy = false;         ///< An order is in progress; from its own report.
  std::vector<std::string> staged;  ///< Models whose weights are on the host.
  GroupMembership member;
};

/// An order to a backend server about its group or its staged weights.
struct GroupOrder {
  enum class Kind { kJoin, kOpen, kClose, kStage };
  Kind kind = Kind::kJoin;
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;                 ///< kJoin and kStage.
  std::vector<std::string> members;  ///< kJoin; the first is the head.
  bool evict = false;                ///< kClose: end running requests at once.
  /// The order is carried out only if the server has accepted this many.
  /// Without a number it's carried out whenever it fits the server's group and
  /// epoch.
  std::optional<std::uint64_t> expected_orders;
};
const char* GroupOrderName(GroupOrder::Kind kind);

/// What the answer to an order proves.
enum class OrderResult {
  kAccepted,
  kHolds,     ///< Nothing had to be done, so the server didn't count the order.
  kRejected,  ///< Doesn't fit the server's state, and is never carried out.
  kBusy,  ///< Never carried out, for reasons that have nothing to do with it.
  kUnknown,  ///< May still be carried out.
  /// Nothing answered the connection request, as when the host has no power.
  kUnreachable,
};
const char* OrderResultName(OrderResult result);

/// Whether the order certainly wasn't and won't be carried out.
bool ProvesNotCarriedOut(OrderResult result);

}  // namespace clementine

#endif  // CORE_FLEET_H_

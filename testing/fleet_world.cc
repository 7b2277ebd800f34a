// The simulated servers check only what real ones check: the expected order
// count, the epoch, and whether an order fits their own state. An order that
// finds its state already reached isn't counted. Everything that only the
// planner can prevent is recorded as a violation.

#include "testing/fleet_world.h"

#include <algorithm>

namespace clementine::testing {
namespace {

constexpr milliseconds kRejoinDuration{200};
constexpr milliseconds kOpenDuration{300};
/// Orders without an answer are carried out 2 to 12 s later.
constexpr milliseconds kMinOrderDelay{2'000};
constexpr milliseconds kMaxOrderDelay{12'000};
/// A head that has lost contact with a member for this time is broken.
constexpr milliseconds kStallDuration{5'000};
constexpr milliseconds kProbeTimeout{1'000};
constexpr milliseconds kReportInterval{1'000};
/// Delay after the end of a partition until the entries of heads return.
constexpr milliseconds kEntryReturnDelay{1'600};
/// Delay after which a server that was cut from the registry renews its entry.
constexpr milliseconds kRenewalDelay{200};

}  // namespace

FleetWorld::FleetWorld(int domains, int hosts_per_domain, std::uint64_t seed)
    : m_random(seed) {
  FleetService& service = configuration.services["engine"];
  service.name = "engine";
  EngineSpec engine;
  engine.max_running = 26;
  engine.loads_per_second = 4.5;
  engine.concurrent_loads = 6;
  EngineModel large{
      "large", 4, 0.57, 1.0, milliseconds(16'000), milliseconds(1'600)};
  EngineModel small{
      "small", 3, 0.43, 0.6, milliseconds(12'000), milliseconds(1'100)};
  engine.models = {large, small};
  service.engine = engine;
  for (int domain = 0; domain < domains; ++domain) {
    for (int host = 0; host < hosts_per_domain; ++host) {
      AddServer("d" + std::to_string(domain));
    }
  }
}

void FleetWorld::AddServer(const std::string& domain) {
  FakeServer server;
  server.entry.id = "h" + std::to_string(m_next_id++);
  server.entry.incarnation = m_next_id;
  server.entry.service = "engine";
  server.entry.address = "10.0.0.1:" + std::to_string(m_next_id);
  server.entry.data_centre = "dc";
  server.entry.fabric_domain = domain;
  servers[server.entry.id] = server;
}

void FleetWorld::Kill(const std::string& id) {
  servers.at(id).alive = false;
  servers.at(id).died_at = now;
}

void FleetWorld::PartitionDomain(const std::string& domain) {
  for (auto& [id, server] : servers) {
    if (server.entry.fabric_domain != domain) continue;
    server.offline = true;
    server.unlisted_at = now + kEntryTtl;
  }
}

void FleetWorld::EndPartition(const std::string& domain) {
  for (auto& [id, server] : servers) {
    if (server.entry.fabric_domain != domain) continue;
    server.offline = false;
    bool head = server.entry.member.rank == 0;
    if (now >= server.unlisted_at) {
      server.listed_at =
          now + (head ? kEntryReturnDelay : kEntryReturnDelay / 4);
    }
  }
}

void FleetWorld::CutFromRegistry(const std::string& id, milliseconds duration) {
  FakeServer& server = servers.at(id);
  server.cut_at = now;
  server.cut_until = now + duration;
  server.cut_entry = server.entry;
}

std::map<std::string, BackendServer> FleetWorld::List() const {
  std::map<std::string, BackendServer> listed;
  for (const auto& [id, server] : servers) {
    if (!Listed(server)) continue;
    listed[id] =
        server.history.empty() ? server.entry : server.history.front().second;
    if (server.cut_entry) listed[id] = *server.cut_entry;
    listed[id].orders = 0;  // Entries do not contain it.
    if (server.listed_state) listed[id].member.state = *server.listed_state;
  }
  return listed;
}

bool FleetWorld::Listed(const FakeServer& server) const {
  if (server.is_unlisted) return false;
  if (server.cut_entry && now >= server.cut_at + kEntryTtl) return false;
  if (server.offline) return now < server.unlisted_at;
  return now >= server.listed_at;
}

void FleetWorld::ReplacePlanner() {
  planner = GroupPlanner();
  planner.Reset(++m_term);
  failed.clear();
}

void FleetWorld::ResetPlanner() {
  planner.Reset(++m_term);
  failed.clear();
}

int FleetWorld::ServingGroups(const std::string& model) const {
  return static_cast<int>(
      std::count_if(servers.begin(), servers.end(), [&](const auto& entry) {
        const FakeServer& head = entry.second;
        return head.alive && head.entry.member.rank == 0 &&
               head.entry.member.state == GroupMemberState::kOpen &&
               GroupModel(head.entry.member.group) == model &&
               std::all_of(head.members.begin(), head.members.end(),
                           [&](const std::string& id) {
                             auto member = servers.find(id);
                             return member != servers.end() &&
                                    member->second.alive &&
                                    member->second.entry.member.group ==
                                        head.entry.member.group;
                           });
      }));
}

std::string FleetWorld::HeadOf(const std::string& model) const {
  for (const auto& [id, server] : servers) {
    if (server.alive && server.entry.member.rank == 0 &&
        server.entry.member.state == GroupMemberState::kOpen &&
        GroupModel(server.entry.member.group) == model) {
      return id;
    }
  }
  return "";
}

void FleetWorld::Step() {
  now += kStep;
  for (auto& [id, server] : servers) {
    if (server.alive) AdvanceServer(&server);
  }
  std::vector<DelayedOrder> pending;
  pending.swap(m_delayed_orders);
  for (const DelayedOrder& order : pending) {
    if (order.at > now) {
      m_delayed_orders.push_back(order);
    } else {
      Accept(order.host, order.order);
    }
  }
  std::erase_if(servers, [&](const auto& entry) {
    return !entry.second.alive && now - entry.second.died_at > kEntryTtl;
  });
  for (auto& [id, server] : servers) RecordHistory(&server);
  std::map<std::string, BackendServer> listed = List();
  for (auto& [id, server] : servers) {
    bool failing =
        server.offline && now + kEntryTtl > server.unlisted_at + kProbeTimeout;
    if (!server.alive && now - server.died_at > kProbeTimeout) failing = true;
    // FleetControl probes only listed hosts.
    if (failing && listed.count(id) > 0) {
      if (failed.insert(id).second) RequestReports(server.entry.member.group);
    } else if (!failing) {
      failed.erase(id);
    }
    auto entry = listed.find(id);
    if (!server.alive || server.offline || entry == listed.end()) continue;
    // FleetControl rarely asks hosts without a group for reports.
    GroupMemberState state = entry->second.member.state;
    bool needs_reports = state == GroupMemberState::kOpen ||
                         state == GroupMemberState::kReady ||
                         planner.NeedsReport(entry->second, now);
    bool due = needs_reports && now >= server.reported_at + kReportInterval;
    if (due || !planner.IsOrderCountKnown(server.entry)) {
      server.reported_at = now;
      BackendServer report = server.entry;
      report.busy = IsCarryingOutOrder(server);
      planner.OnReport(id, report, now);
    }
  }
  for (const GroupPlanner::Order& order :
       planner.Plan(configuration, listed, failed, now)) {
    ++orders;
    Deliver(order);
  }
}

void FleetWorld::RequestReports(const std::string& group) {
  for (auto& [id, server] : servers) {
    if (server.entry.member.group == group) server.reported_at = TimePoint();
  }
}

void FleetWorld::RecordHistory(FakeServer* server) const {
  if (server->list_delay == milliseconds(0)) return;
  auto& history = server->history;
  history.emplace_back(now, server->entry);
  while (history.size() > 1 && history[1].first <= now - server->list_delay) {
    history.pop_front();
  }
}

bool FleetWorld::IsCarryingOutOrder(const FakeServer& server) {
  return server.staged_at != TimePoint::max() ||
         server.opens_at != TimePoint::max() ||
         server.entry.member.state == GroupMemberState::kJoining;
}

bool FleetWorld::IsHeadServing(const FakeServer& head) const {
  return head.entry.member.state == GroupMemberState::kOpen ||
         head.opens_at != TimePoint::max();
}

void FleetWorld::AdvanceStall(FakeServer* head) const {
  const GroupMembership& group = head->entry.member;
  bool stalled =
      IsHeadServing(*head) &&
      std::any_of(head->members.begin(), head->members.end(),
                  [&](const std::string& id) {
                    auto found = servers.find(id);
                    return found == servers.end() || !found->second.alive ||
                           found->second.entry.member.group != group.group ||
                           found->second.entry.member.epoch != group.epoch;
                  });
  if (!stalled) {
    head->stalled_since.reset();
  } else if (!head->stalled_since) {
    head->stalled_since = now;
  } else if (now - *head->stalled_since >= kStallDuration) {
    head->entry.member.state = GroupMemberState::kBroken;
    head->opens_at = TimePoint::max();
    head->stalled_since.reset();
  }
}

void FleetWorld::AdvanceServer(FakeServer* server) {
  if (server->cut_entry && now >= server->cut_until + kRenewalDelay) {
    server->cut_entry.reset();
  }
  AdvanceStall(server);
  if (server->staged_at <= now) {
    server->staged_at = TimePoint::max();
    server->entry.staged = {server->staging};
  }
  GroupMembership& member = server->entry.member;
  if (member.state == GroupMemberState::kJoining && server->joined_at <= now) {
    member.state = GroupMemberState::kReady;
    server->was_ready = {member.group, member.epoch};
    server->entry.staged = {server->joining_model};
    server->last_model = server->joining_model;
  }
  if (server->opens_at <= now) {
    server->opens_at = TimePoint::max();
    member.state = GroupMemberState::kOpen;
    CheckOpen(*server);
  }
}

void FleetWorld::Deliver(const GroupPlanner::Order& planned) {
  auto uniform = [this] {
    return static_cast<double>(m_random() >> 11) * 0x1.0p-53;
  };
  auto target = servers.find(planned.host);
  if (target == servers.end() || !target->second.alive ||
      target->second.offline) {
    bool refused =
        target != servers.end() && target->second.refuses_connections;
    planner.OnOrderAnswered(
        planned.host, planned.order,
        refused ? OrderResult::kUnknown : OrderResult::kUnreachable, now);
    RequestReports(planned.order.group);
    return;
  }
  std::optional<milliseconds> delay;
  if (faults.delay_order) {
    delay = faults.delay_order(planned);
  } else if (uniform() < faults.late_order_rate) {
    delay = kMinOrderDelay +
            milliseconds(m_random() %
                         ((kMaxOrderDelay - kMinOrderDelay).count() + 1));
  }
  if (delay) {
    m_delayed_orders.push_back({now + *delay, planned.host, planned.order});
    planner.OnOrderAnswered(planned.host, planned.order, OrderResult::kUnknown,
                            now);
    return;
  }
  OrderResult result = Accept(planned.host, planned.order);
  if (result == OrderResult::kRejected) ++rejections;
  if (uniform() < faults.lost_answer_rate) result = OrderResult::kUnknown;
  planner.OnOrderAnswered(planned.host, planned.order, result, now);
}

void FleetWorld::Join(FakeServer* server, const GroupOrder& order,
                      const EngineModel& model) {
  GroupMembership& member = server->entry.member;
  bool staged = !server->entry.staged.empty() &&
                server->entry.staged.back() == model.name;
  CheckJoin(*server, order);
  if (!staged) ++loads;
  server->joined_at = now + (server->last_model == model.name ? kRejoinDuration
                             : staged                         ? model.start_time
                                      : model.load_time);
  server->joining_model = model.name;
  server->members = order.members;
  server->highest_epoch = order.epoch;
  server->opens_at = TimePoint::max();
  member.group = order.group;
  member.epoch = order.epoch;
  member.state = GroupMemberState::kJoining;
  member.rank = static_cast<int>(
      std::find(order.members.begin(), order.members.end(), server->entry.id) -
      order.members.begin());
}

OrderResult FleetWorld::CarryOut(FakeServer* server, const GroupOrder& order,
                                 const EngineModel* model) {
  GroupMembership& member = server->entry.member;
  bool same_group = member.group == order.group && member.epoch == order.epoch;
  switch (order.kind) {
    case GroupOrder::Kind::kJoin:
      if (server->staged_at != TimePoint::max() &&
          server->staging != model->name) {
        return OrderResult::kRejected;
      }
      if (order.epoch < server->highest_epoch) return OrderResult::kRejected;
      if (same_group && server->members != order.members) {
        return OrderResult::kRejected;
      }
      if (same_group && member.state != GroupMemberState::kNone &&
          member.state != GroupMemberState::kBroken) {
        return OrderResult::kNoOp;
      }
      Join(server, order, *model);
      break;
    case GroupOrder::Kind::kOpen:
      if (!same_group) return OrderResult::kRejected;
      if (IsHeadServing(*server)) return OrderResult::kNoOp;
      if (member.state != GroupMemberState::kReady) {
        return OrderResult::kRejected;
      }
      server->opens_at = now + kOpenDuration;
      break;
    case GroupOrder::Kind::kClose:
      if (!same_group) return OrderResult::kRejected;
      if (!IsHeadServing(*server)) return OrderResult::kNoOp;
      server->opens_at = TimePoint::max();
      member.state = GroupMemberState::kReady;
      break;
    case GroupOrder::Kind::kLeave:
      if (!same_group || member.state == GroupMemberState::kNone) {
        return OrderResult::kNoOp;
      }
      CheckLeave(*server, order);
      member = GroupMembership();
      server->opens_at = server->joined_at = TimePoint::max();
      // The order is done at once, which has the same answer as a no-op.
      ++server->entry.orders;
      return OrderResult::kNoOp;
    case GroupOrder::Kind::kStage:
      ++loads;
      server->staging = order.model;
      server->staged_at = now + model->load_time;
      break;
  }
  ++server->entry.orders;
  return OrderResult::kAccepted;
}

OrderResult FleetWorld::Accept(const std::string& host,
                               const GroupOrder& order) {
  auto found = servers.find(host);
  if (found == servers.end() || !found->second.alive) {
    return OrderResult::kUnknown;
  }
  FakeServer& server = found->second;
  if (order.expected_orders.value_or(server.entry.orders) !=
      server.entry.orders) {
    return OrderResult::kRejected;
  }
  const EngineModel* model =
      FindModel(*FindEngine(configuration, server.entry.service), order.model);
  bool needs_model = order.kind == GroupOrder::Kind::kJoin ||
                     order.kind == GroupOrder::Kind::kStage;
  if (needs_model && model == nullptr) {
    violations.push_back(host + " is ordered to load unknown model " +
                         order.model);
    return OrderResult::kRejected;
  }
  return CarryOut(&server, order, model);
}

bool FleetWorld::HeadServes(const FakeServer& member) const {
  if (member.members.empty()) return false;
  auto head = servers.find(member.members.front());
  return head != servers.end() && head->second.alive &&
         head->second.entry.id != member.entry.id &&
         head->second.entry.member.group == member.entry.member.group &&
         IsHeadServing(head->second);
}

void FleetWorld::CheckJoin(const FakeServer& server, const GroupOrder& order) {
  bool is_serving = IsHeadServing(server);
  if (order.group != server.entry.member.group &&
      (HeadServes(server) || is_serving)) {
    violations.push_back(server.entry.id + " joins " + order.group +
                         " while its head serves " + server.entry.member.group);
  }
}

void FleetWorld::CheckLeave(const FakeServer& server, const GroupOrder& order) {
  // Heads that left the list are closed whether they serve or not. Only orders
  // to these expect no count.
  bool may_serve = !order.expected_orders;
  if (HeadServes(server) || (IsHeadServing(server) && !may_serve)) {
    violations.push_back(server.entry.id + " leaves " +
                         server.entry.member.group + " while it serves");
  }
}

void FleetWorld::CheckOpen(const FakeServer& head) {
  for (const std::string& id : head.members) {
    auto member = servers.find(id);
    // A member that was lost after it was ready is no violation.
    if (member == servers.end() || !member->second.alive) continue;
    const GroupMembership& membership = member->second.entry.member;
    // A member that repeats the join of this group was ready in it before.
    bool was_ready = member->second.was_ready ==
                     std::pair(membership.group, membership.epoch);
    if (membership.group != head.entry.member.group ||
        (membership.state == GroupMemberState::kJoining && !was_ready)) {
      violations.push_back(head.entry.member.group + " opens without " + id);
    }
  }
}

}  // namespace clementine::testing

// The servers check nothing but what real ones check: the expected count, and
// that an order fits their own state. Everything that only the planner can
// prevent is counted as a violation.

#include "testing/fleet_world.h"

#include <algorithm>

namespace clementine::testing {
namespace {

constexpr milliseconds kRejoin{200};
constexpr milliseconds kForm{300};
constexpr milliseconds kLatest{6'000};
constexpr milliseconds kSilence{1'000};
constexpr milliseconds kAskInterval{1'000};
/// Entries that lapsed in a cut are back this long after its end.
constexpr milliseconds kReturn{1'600};

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
  server.entry.born = m_next_id;
  server.entry.service = "engine";
  server.entry.address = "10.0.0.1:" + std::to_string(m_next_id);
  server.entry.data_centre = "dc";
  server.entry.fabric_domain = domain;
  servers[server.entry.id] = server;
}

void FleetWorld::Kill(const std::string& id) {
  servers.at(id).alive = false;
  servers.at(id).died = now;
}

void FleetWorld::Cut(const std::string& domain) {
  for (auto& [id, server] : servers) {
    if (server.entry.fabric_domain != domain) continue;
    server.cut = true;
    server.unlisted_at = now + kEntryLife;
  }
}

void FleetWorld::Heal(const std::string& domain) {
  for (auto& [id, server] : servers) {
    if (server.entry.fabric_domain != domain) continue;
    server.cut = false;
    bool head = server.entry.member.rank == 0;
    if (now >= server.unlisted_at) {
      server.listed_at = now + (head ? kReturn : kReturn / 4);
    }
  }
}

std::map<std::string, BackendServer> FleetWorld::List() const {
  std::map<std::string, BackendServer> listed;
  for (const auto& [id, server] : servers) {
    if (!Listed(server)) continue;
    listed[id] =
        server.past.empty() ? server.entry : server.past.front().second;
    listed[id].orders = 0;  // Entries don't tell it.
    if (server.shown) listed[id].member.state = *server.shown;
  }
  return listed;
}

bool FleetWorld::Listed(const FakeServer& server) const {
  if (server.hidden) return false;
  if (server.cut) return now < server.unlisted_at;
  return now >= server.listed_at;
}

void FleetWorld::ReplacePlanner() {
  planner = GroupPlanner();
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
    if (server.alive) Progress(&server);
  }
  std::vector<Late> late;
  late.swap(m_late);
  for (const Late& order : late) {
    if (order.at > now) {
      m_late.push_back(order);
    } else {
      Accept(order.host, order.order);
    }
  }
  std::erase_if(servers, [&](const auto& entry) {
    return !entry.second.alive && now - entry.second.died > kEntryLife;
  });
  for (auto& [id, server] : servers) Remember(&server);
  std::map<std::string, BackendServer> listed = List();
  for (auto& [id, server] : servers) {
    bool silent =
        server.cut && now + kEntryLife > server.unlisted_at + kSilence;
    if (!server.alive && now - server.died > kSilence) silent = true;
    // As FleetControl: only listed hosts are asked whether they live.
    if (silent && listed.count(id) > 0) {
      if (failed.insert(id).second) AskGroupNow(server.entry.member.group);
    } else if (!silent) {
      failed.erase(id);
    }
    auto entry = listed.find(id);
    if (!server.alive || server.cut || entry == listed.end()) continue;
    // As FleetControl: hosts that stand in no group aren't asked for long.
    GroupMemberState state = entry->second.member.state;
    bool asked = state == GroupMemberState::kOpen ||
                 state == GroupMemberState::kReady ||
                 planner.NeedsReport(entry->second, now);
    bool due = asked && now >= server.reported + kAskInterval;
    if (due || !planner.Counted(server.entry)) {
      server.reported = now;
      BackendServer report = server.entry;
      report.busy = server.staged_at != TimePoint::max();
      planner.Reported(id, report, now);
    }
  }
  for (const GroupPlanner::Order& order :
       planner.Plan(configuration, listed, failed, now)) {
    ++orders;
    Deliver(order);
  }
}

void FleetWorld::AskGroupNow(const std::string& group) {
  for (auto& [id, server] : servers) {
    if (server.entry.member.group == group) server.reported = TimePoint();
  }
}

void FleetWorld::Remember(FakeServer* server) const {
  if (server->list_delay == milliseconds(0)) return;
  auto& past = server->past;
  past.emplace_back(now, server->entry);
  while (past.size() > 1 && past[1].first <= now - server->list_delay) {
    past.pop_front();
  }
}

void FleetWorld::Progress(FakeServer* server) {
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
  if (target == servers.end() || !target->second.alive || target->second.cut) {
    bool refused = target != servers.end() && target->second.refuses;
    planner.Answered(
        planned.host, planned.order,
        refused ? OrderResult::kUnknown : OrderResult::kUnreachable, now);
    AskGroupNow(planned.order.group);
    return;
  }
  if (uniform() < faults.late_order) {
    milliseconds delay(m_random() % kLatest.count());
    m_late.push_back({now + delay, planned.host, planned.order});
    planner.Answered(planned.host, planned.order, OrderResult::kUnknown, now);
    return;
  }
  OrderResult result = Accept(planned.host, planned.order);
  if (uniform() < faults.lost_answer) result = OrderResult::kUnknown;
  planner.Answered(planned.host, planned.order, result, now);
}

void FleetWorld::Join(FakeServer* server, const GroupOrder& order,
                      const EngineModel& model) {
  GroupMembership& member = server->entry.member;
  bool staged = !server->entry.staged.empty() &&
                server->entry.staged.back() == model.name;
  CheckJoin(*server, order);
  if (!staged) ++loads;
  server->joined_at = now + (server->last_model == model.name ? kRejoin
                             : staged                         ? model.start_time
                                      : model.load_time);
  server->joining_model = model.name;
  server->members = order.members;
  server->opens_at = TimePoint::max();
  member.group = order.group;
  member.epoch = order.epoch;
  member.state = GroupMemberState::kJoining;
  member.rank = static_cast<int>(
      std::find(order.members.begin(), order.members.end(), server->entry.id) -
      order.members.begin());
}

OrderResult FleetWorld::Accept(const std::string& host,
                               const GroupOrder& order) {
  auto found = servers.find(host);
  if (found == servers.end() || !found->second.alive) {
    return OrderResult::kUnknown;
  }
  FakeServer& server = found->second;
  GroupMembership& member = server.entry.member;
  bool same = member.group == order.group && member.epoch == order.epoch;
  if (order.expected_orders.value_or(server.entry.orders) !=
      server.entry.orders) {
    return OrderResult::kRejected;
  }
  const EngineModel* model =
      FindModel(*FindEngine(configuration, server.entry.service), order.model);
  bool weights = order.kind == GroupOrder::Kind::kJoin ||
                 order.kind == GroupOrder::Kind::kStage;
  if (weights && model == nullptr) {
    violations.push_back(host + " is told to take " + order.model);
    return OrderResult::kRejected;
  }
  switch (order.kind) {
    case GroupOrder::Kind::kJoin:
      if (server.staged_at != TimePoint::max() &&
          server.staging != model->name) {
        return OrderResult::kRejected;
      }
      Join(&server, order, *model);
      break;
    case GroupOrder::Kind::kOpen:
      if (!same || member.state != GroupMemberState::kReady) {
        return OrderResult::kRejected;
      }
      server.opens_at = now + kForm;
      break;
    case GroupOrder::Kind::kClose:
      if (!same) return OrderResult::kRejected;
      if (member.state != GroupMemberState::kOpen) return OrderResult::kHolds;
      member.state = GroupMemberState::kReady;
      break;
    case GroupOrder::Kind::kStage:
      ++loads;
      server.staging = order.model;
      server.staged_at = now + model->load_time;
      break;
  }
  ++server.entry.orders;
  return OrderResult::kAccepted;
}

bool FleetWorld::HeadServes(const FakeServer& member) const {
  if (member.members.empty()) return false;
  auto head = servers.find(member.members.front());
  return head != servers.end() && head->second.alive &&
         head->second.entry.id != member.entry.id &&
         head->second.entry.member.group == member.entry.member.group &&
         (head->second.entry.member.state == GroupMemberState::kOpen ||
          head->second.opens_at != TimePoint::max());
}

void FleetWorld::CheckJoin(const FakeServer& server, const GroupOrder& order) {
  bool serves = server.entry.member.state == GroupMemberState::kOpen ||
                server.opens_at != TimePoint::max();
  if (order.group != server.entry.member.group &&
      (HeadServes(server) || serves)) {
    violations.push_back(server.entry.id + " joins " + order.group +
                         " while its head serves " + server.entry.member.group);
  }
}

void FleetWorld::CheckOpen(const FakeServer& head) {
  for (const std::string& id : head.members) {
    auto member = servers.find(id);
    // A member that was ready and is lost since then excuses.
    if (member == servers.end() || !member->second.alive) continue;
    const GroupMembership& its = member->second.entry.member;
    // A member that joins the same group again has been ready in it.
    bool was_ready =
        member->second.was_ready == std::pair(its.group, its.epoch);
    if (its.group != head.entry.member.group ||
        (its.state == GroupMemberState::kJoining && !was_ready)) {
      violations.push_back(head.entry.member.group + " opens without " + id);
    }
  }
}

}  // namespace clementine::testing

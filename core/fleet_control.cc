// The list of backend servers is the only shared state. Every daemon derives
// from it which groups may be used; the one that holds the lease also asks the
// members of groups whether they live, and sends the planner's orders.

#include "core/fleet_control.h"

#include <algorithm>
#include <cmath>

#include "core/server_backoff.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr char kLeaseKey[] = "clementine-lease/planner";
/// Calls of the lease without a reply are read back after this time.
constexpr milliseconds kCallTimeout{1'200};

/// Daemons that don't stand by read the lease in such steps: each read is a
/// priced call. Some of them are enough to take over when all standbys are lost
/// at once; the rest matters when these are lost as well.
constexpr milliseconds kReadPause{4'000};
constexpr milliseconds kFarReadPause{30'000};
/// They leave those before them so much time to take a lapsed lease. A lease
/// that may be taken is read at that time, so a short wait of many daemons
/// would cost as many calls as a short pause.
constexpr milliseconds kReserveWait{1'000};
constexpr milliseconds kFarReserveWait{30'000};
constexpr int kReserves = 8;

/// So many lapsed members that are kept are logged.
constexpr std::size_t kManyKept = 5;
constexpr milliseconds kPlanInterval{100};
/// A member of a group that stands is asked this often whether it lives, or as
/// often as the others leave time for.
constexpr milliseconds kAskInterval{1'000};
/// Questions without an answer at a time. Answers that come together hold up
/// the loop, which ends the lease when it takes a fifth of its time.
constexpr std::size_t kMostAsks = 64;
/// A pause of this daemon for which a call to a server may time out though the
/// server has answered.
constexpr milliseconds kOwnPause{200};
/// Reports can be this old.
constexpr milliseconds kReportAge{250};
/// Failures in a row before a host is taken for gone. One lost packet delays an
/// answer by less than the time of two calls. In a group that went silent one
/// failure is enough, since the silence is the first sign.
constexpr int kAskFailures = 3;
constexpr int kAskFailuresWhenSilent = 1;
/// A group that went silent gets no work for as long as a head takes to notice
/// that a member is gone.
constexpr milliseconds kEngineSuspicion{5'500};
constexpr milliseconds kPlainSuspicion{2'000};
/// Changes of this daemon's share of the requests below this part are ignored.
constexpr double kShareStep = 0.1;
/// Requests that may run or wait at a server, for each that runs. The servers
/// queue a few, and the daemons' shares of the traffic are uneven.
constexpr int kOvercommit = 2;

bool SameView(const GroupView& a, const GroupView& b) {
  return a.group == b.group && a.epoch == b.epoch && a.open == b.open &&
         a.leaving == b.leaving && a.head_host == b.head_host &&
         a.head_address == b.head_address && a.max_running == b.max_running;
}

std::string CountText(const std::optional<std::uint64_t>& count) {
  return count ? std::to_string(*count) : "any";
}

}  // namespace

FleetControl::FleetControl(FleetControlOptions options)
    : m_options(std::move(options)),
      m_jitter(m_options.seed),
      m_lease(
          {m_options.node, m_options.incarnation, kLeaseKey,
           m_options.lease_duration, m_options.longest_order, Mutation::kNone},
          &m_calls, &m_jitter),
      m_nodes(m_options.node, m_options.incarnation, m_options.seed + 1) {
  // Nothing is ordered without the lease, so its absence means that no daemon
  // has held it yet.
  m_lease.PlacementAbsent();
  m_planner.SetFreeLoads(m_options.first_start);
  m_nodes.SetContact(m_options.data_centre, m_options.changes);
  m_nodes.SetCapacity(m_options.capacity);
}

std::vector<FleetAction> FleetControl::Handle(const FleetEvent& event,
                                              TimePoint now) {
  m_now = now;
  m_actions.clear();
  std::visit([this](const auto& value) { On(value); }, event);
  if (m_changed) {
    m_changed = false;
    PublishGroups();
  }
  return std::move(m_actions);
}

// ---------------------------------------------------------------------------
// The list and the configuration.

void FleetControl::On(const RequestsCounted& event) {
  m_nodes.CountRequests(event.total);
  m_nodes.CountDemand(event.by_model);
  if (event.total > 0) m_planner.SetFreeLoads(false);
}

void FleetControl::On(const ServersListed& event) {
  m_list.Replace(event.servers, m_now);
  TellEnded();
  m_changed = true;
}

void FleetControl::TellEnded() {
  for (const std::string& host : m_list.TakeEnded()) {
    Log("server_ended", {{"host", host}});
    m_actions.emplace_back(ServerEnded{host});
  }
}

void FleetControl::LogChanges(const std::vector<ServerList::Change>& changes) {
  for (const ServerList::Change& change : changes) {
    auto old = m_list.servers().find(change.id);
    bool listed = old != m_list.servers().end();
    if (!change.server) {
      if (listed) Log("server_gone", {{"host", change.id}});
      continue;
    }
    const BackendServer& server = *change.server;
    const GroupMembership& member = server.member;
    bool same = listed && old->second.leaving == server.leaving &&
                old->second.born == server.born &&
                old->second.member.group == member.group &&
                old->second.member.epoch == member.epoch &&
                old->second.member.state == member.state &&
                old->second.staged == server.staged;
    if (same) continue;
    Log("server",
        {{"host", change.id},
         {"leaving", server.leaving ? "yes" : "no"},
         {"domain", server.fabric_domain},
         {"group", member.group},
         {"rank", std::to_string(member.rank)},
         {"state", GroupMemberStateName(member.state)},
         {"staged", fmt::format("{}", fmt::join(server.staged, ","))}});
  }
}

void FleetControl::On(const ServersChanged& event) {
  if (m_planning) LogChanges(event.changes);
  m_list.Apply(event.changes, m_now);
  TellEnded();
  m_changed = m_changed || !event.changes.empty();
}

void FleetControl::LogKept() {
  bool many = m_list.kept() >= kManyKept;
  if (many == m_many_kept) return;
  m_many_kept = many;
  Log("servers_lapsed", {{"kept", std::to_string(m_list.kept())},
                         {"listed", std::to_string(m_list.servers().size())}});
}

void FleetControl::On(const ServersUnreachable& event) {
  m_list.Unreachable(event.since);
}

void FleetControl::On(const FleetConfigured& event) {
  m_configuration = event.configuration;
  m_changed = true;
}

void FleetControl::On(const GroupSilent& event) {
  // Plain hosts are named "<service>/<host>".
  bool plain = event.group.find('/') != std::string::npos;
  Suspicion& suspicion = m_suspected[event.group];
  if (suspicion.epoch == event.epoch && suspicion.until > m_now) return;
  suspicion = {event.epoch,
               m_now + (plain ? kPlainSuspicion : kEngineSuspicion)};
  m_changed = true;
  Log("group_silent",
      {{"group", event.group}, {"epoch", std::to_string(event.epoch)}});
  AskGroupNow({event.group, event.epoch});
}

void FleetControl::AskGroupNow(const GroupMembership& group) {
  for (const auto& [id, server] : m_list.servers()) {
    auto asked = m_asked.find(id);
    if (server.member.group == group.group &&
        server.member.epoch == group.epoch && asked != m_asked.end()) {
      asked->second.next = m_now;
    }
  }
}

bool FleetControl::Suspected(const std::string& group,
                             std::uint64_t epoch) const {
  auto found = m_suspected.find(group);
  return found != m_suspected.end() && found->second.epoch == epoch &&
         m_now < found->second.until;
}

// ---------------------------------------------------------------------------
// Groups for the request path.

void FleetControl::AddEngineGroups(const FleetService& service,
                                   std::vector<GroupView>* groups) const {
  std::map<std::string, int> sizes;
  for (const EngineModel& model : service.engine->models) {
    sizes[model.name] = model.hosts_per_group;
  }
  for (const auto& [key, group] :
       CollectGroups(m_list.servers(), service.name)) {
    const BackendServer* head =
        group.members.empty() ? nullptr : group.members.front();
    auto size = sizes.find(group.model);
    if (head == nullptr || size == sizes.end() ||
        head->member.state != GroupMemberState::kOpen) {
      continue;
    }
    GroupView view;
    view.group = group.name;
    view.model = service.name + "/" + group.model;
    view.epoch = group.epoch;
    view.data_centre = head->data_centre;
    view.fabric_domain = head->fabric_domain;
    view.head_host = head->id;
    view.head_address = head->address;
    view.max_running = service.engine->max_running * kOvercommit;
    view.leaving = std::any_of(group.members.begin(), group.members.end(),
                               [](const BackendServer* member) {
                                 return member != nullptr && member->leaving;
                               });
    view.open = IsWhole(group, size->second) &&
                !Suspected(group.name, group.epoch) &&
                std::none_of(group.members.begin(), group.members.end(),
                             [this](const BackendServer* member) {
                               return m_failed.count(member->id) > 0;
                             });
    groups->push_back(std::move(view));
  }
}

void FleetControl::AddPlainHosts(const FleetService& service,
                                 std::vector<GroupView>* groups) const {
  for (const auto& [id, server] : m_list.servers()) {
    if (server.service != service.name) continue;
    GroupView view;
    view.group = service.name + "/" + id;
    view.service = service.name;
    view.epoch = static_cast<std::uint64_t>(server.born);
    view.data_centre = server.data_centre;
    view.head_host = id;
    view.head_address = server.address;
    view.max_running = server.slots * kOvercommit;
    view.leaving = server.leaving;
    view.open = !Suspected(view.group, view.epoch);
    groups->push_back(std::move(view));
  }
}

void FleetControl::PublishGroups() {
  if (!m_configuration || !m_list.known()) return;
  std::vector<GroupView> groups;
  for (const auto& [name, service] : m_configuration->services) {
    if (service.engine) {
      AddEngineGroups(service, &groups);
    } else {
      AddPlainHosts(service, &groups);
    }
  }
  if (groups.size() == m_published.size() &&
      std::equal(groups.begin(), groups.end(), m_published.begin(), SameView)) {
    return;
  }
  std::map<std::string, const GroupView*> before;
  for (const GroupView& view : m_published) before[view.group] = &view;
  m_open_groups = 0;
  for (const GroupView& view : groups) {
    bool usable = view.open && !view.leaving;
    if (usable) ++m_open_groups;
    auto old = before.find(view.group);
    bool was = old != before.end() && old->second->open &&
               !old->second->leaving && old->second->epoch == view.epoch;
    if (usable != was) {
      Log("gate", {{"group", view.group},
                   {"epoch", std::to_string(view.epoch)},
                   {"head", view.head_host},
                   {"open", usable ? "yes" : "no"},
                   {"leaving", view.leaving ? "yes" : "no"}});
    }
    if (old != before.end()) before.erase(old);
  }
  for (const auto& [name, view] : before) {
    if (view->open && !view->leaving) {
      Log("gate", {{"group", name},
                   {"epoch", std::to_string(view->epoch)},
                   {"open", "no"},
                   {"why", "not listed"}});
    }
  }
  m_published = groups;
  m_actions.emplace_back(GroupsChanged{std::move(groups)});
}

std::map<std::string, int> FleetControl::OpenGroupsByModel() const {
  std::map<std::string, int> open;
  for (const GroupView& view : m_published) {
    if (view.model.empty()) continue;
    open[view.model] += view.open && !view.leaving ? 1 : 0;
  }
  return open;
}

// ---------------------------------------------------------------------------
// Lease, nodes, platform calls.

void FleetControl::Take(std::vector<ControlAction> actions) {
  for (ControlAction& action : actions) {
    if (auto* get = std::get_if<GetObject>(&action)) {
      m_actions.emplace_back(std::move(*get));
    } else if (auto* put = std::get_if<PutObject>(&action)) {
      m_actions.emplace_back(std::move(*put));
    } else if (auto* log = std::get_if<LogDecision>(&action)) {
      m_actions.emplace_back(std::move(*log));
    }
  }
}

void FleetControl::On(const ObjectReply& event) {
  if (m_nodes.Replied(event, m_now)) return;
  std::optional<PendingCall> call = m_calls.Take(event.call);
  if (!call) return;
  std::vector<ControlAction> out;
  m_lease.Replied(*call, event, m_now, &out);
  Take(std::move(out));
}

void FleetControl::On(const NodesListed& event) {
  m_nodes.Listed(event, m_now);
}

void FleetControl::On(const DrainStarted& /*event*/) { m_stopping = true; }

void FleetControl::TellDaemons() {
  bool moved = std::abs(m_nodes.share() - m_daemons.share) >
               kShareStep * std::max(m_daemons.share, m_nodes.share());
  if (m_nodes.live() == m_daemons.live && !moved) return;
  m_daemons = {m_nodes.live(), m_nodes.share()};
  Log("nodes", {{"live", std::to_string(m_daemons.live)},
                {"share", fmt::format("{:.3f}", m_daemons.share)}});
  m_actions.emplace_back(m_daemons);
}

void FleetControl::SetReserve() {
  if (plans_or_stands_by()) {
    m_lease.SetReserve(milliseconds(0), milliseconds(0));
  } else if (m_nodes.Rank() < NodeDirectory::kStandbys + kReserves) {
    m_lease.SetReserve(kReserveWait, kReadPause);
  } else {
    m_lease.SetReserve(kFarReserveWait, kFarReadPause);
  }
}

void FleetControl::AdvanceLease() {
  std::vector<ControlAction> out;
  for (const auto& [id, call] : m_calls.TakeOlderThan(m_now - kCallTimeout)) {
    ObjectReply lost;
    lost.call = id;
    m_lease.Replied(call, lost, m_now, &out);
  }
  if (m_stopping) m_lease.Release(m_orders_running == 0, m_now, &out);
  SetReserve();
  // Before the others are known every daemon is the first.
  bool may_compete =
      m_configuration != nullptr && m_list.known() && m_nodes.RankKnown(m_now);
  m_lease.Advance(may_compete, m_now, &out);
  Take(std::move(out));
}

void FleetControl::On(const Tick& /*event*/) {
  if (m_now - m_ticked > kOwnPause) m_paused_at = m_now;
  m_ticked = m_now;
  if (m_list.Expire(m_now)) m_changed = true;
  LogKept();
  std::size_t suspected = m_suspected.size();
  std::erase_if(m_suspected, [this](const auto& entry) {
    return entry.second.until <= m_now;
  });
  if (m_suspected.size() != suspected) m_changed = true;
  for (NodeDirectory::Action& action : m_nodes.Advance(m_now)) {
    std::visit(
        [this](auto& value) { m_actions.emplace_back(std::move(value)); },
        action);
  }
  TellDaemons();
  AdvanceLease();
  if (m_now - m_planned < kPlanInterval) return;
  m_planned = m_now;
  if (m_configuration && m_list.known()) {
    m_planner.Observe(*m_configuration, m_list.servers(), m_now);
  }
  SetPlanning(!m_stopping && m_lease.CanOrder(m_now));
  if (!m_planning) return;
  AskMembers();
  PlanOrders();
}

// A lapse in which nobody else was granted the lease changes nothing of what
// this planner knows of its orders. To start over would repeat the work that
// may have caused the lapse.
void FleetControl::SetPlanning(bool planning) {
  bool same_tenure = m_lease.tenure() == m_tenure;
  if (planning && !same_tenure) {
    Forget();
    m_planner.Reset(m_lease.fence());
    m_tenure = m_lease.tenure();
  }
  if (planning) m_last_planning = m_now;
  // Only the planner asks hosts, so nobody else notices that one is back.
  bool lapsed = m_now - m_last_planning > m_options.lease_duration;
  if (!planning && (lapsed || !m_lease.Holding())) Forget();
  if (planning == m_planning) return;
  m_planning = planning;
  Log("planner", {{"active", planning ? "yes" : "no"},
                  {"tenure", std::to_string(m_lease.tenure())},
                  {"resumed", planning && same_tenure ? "yes" : "no"}});
}

void FleetControl::Forget() {
  m_asked.clear();
  m_changed = m_changed || !m_failed.empty();
  m_failed.clear();
}

// ---------------------------------------------------------------------------
// The planner's work.

// Goes through the hosts in turn, so that none waits because others are due
// again.
void FleetControl::AskMembers() {
  if (!m_configuration) return;
  const auto& servers = m_list.servers();
  std::erase_if(m_asked, [&](const auto& entry) {
    return servers.count(entry.first) == 0;
  });
  auto running = static_cast<std::size_t>(
      std::count_if(m_asked.begin(), m_asked.end(),
                    [](const auto& entry) { return entry.second.waiting; }));
  auto next = servers.upper_bound(m_last_asked);
  for (std::size_t i = 0; i < servers.size() && running < kMostAsks; ++i) {
    if (next == servers.end()) next = servers.begin();
    const auto& [id, server] = *next++;
    if (!IsDue(server)) continue;
    Asked& asked = m_asked[id];
    asked.waiting = true;
    asked.sent = m_now;
    m_last_asked = id;
    ++running;
    m_actions.emplace_back(AskServer{id, server.address});
  }
}

bool FleetControl::IsDue(const BackendServer& server) {
  bool member = server.member.state == GroupMemberState::kOpen ||
                server.member.state == GroupMemberState::kReady;
  bool engine = FindEngine(*m_configuration, server.service) != nullptr;
  bool urgent = (engine && !m_planner.Counted(server)) ||
                m_planner.NeedsReport(server, m_now);
  if (!member && !urgent) return false;
  auto [entry, added] = m_asked.try_emplace(server.id);
  Asked& asked = entry->second;
  if (added && !urgent) {
    asked.next = m_now + m_jitter.Between(milliseconds(0), kAskInterval);
  }
  return !asked.waiting && m_now >= asked.next && m_now >= asked.busy_until;
}

void FleetControl::On(const ServerAnswered& event) {
  if (event.server) {
    m_planner.Reported(event.host, *event.server, m_now);
  }
  auto found = m_asked.find(event.host);
  if (found == m_asked.end()) return;
  Asked& asked = found->second;
  asked.waiting = false;
  if (event.server) {
    asked.failures = 0;
    asked.next = m_now + kAskInterval;
    if (m_failed.erase(event.host) > 0) {
      m_changed = true;
      Log("host_answers", {{"host", event.host}});
    }
    return;
  }
  asked.next = m_now;
  // The answer may be there, and wasn't read in time.
  bool missed = asked.sent <= m_paused_at || m_now - m_ticked > kOwnPause;
  if (missed) return;
  ++asked.failures;
  auto server = m_list.servers().find(event.host);
  bool silent =
      server != m_list.servers().end() &&
      Suspected(server->second.member.group, server->second.member.epoch);
  bool failed =
      asked.failures >= (silent ? kAskFailuresWhenSilent : kAskFailures);
  if (failed && m_failed.insert(event.host).second) {
    m_changed = true;
    Log("host_failed",
        {{"host", event.host}, {"failures", std::to_string(asked.failures)}});
    if (server != m_list.servers().end()) AskGroupNow(server->second.member);
  }
  if (failed) asked.next = m_now + kAskInterval / 2;
}

void FleetControl::On(const ServerLeaving& event) {
  if (!m_list.MarkLeaving(event.host, m_now)) return;
  m_changed = true;
  Log("server_leaving", {{"host", event.host}, {"source", event.source}});
}

void FleetControl::On(const ServerBusy& event) {
  auto found = m_asked.find(event.host);
  if (found == m_asked.end()) return;
  found->second.busy_until =
      m_now + std::min(event.wait, ServerBackoff::kMaxBackoff);
}

void FleetControl::PlanOrders() {
  if (!m_configuration || !m_list.known()) return;
  m_planner.SetDemand(m_nodes.Demand());
  m_planner.SetListSettled(m_list.settled(m_now));
  for (GroupPlanner::Order& planned :
       m_planner.Plan(*m_configuration, m_list.servers(), m_failed, m_now)) {
    const GroupOrder& order = planned.order;
    Log("order", {{"host", planned.host},
                  {"kind", GroupOrderName(order.kind)},
                  {"group", order.group},
                  {"epoch", std::to_string(order.epoch)},
                  {"model", order.model},
                  {"expected", CountText(order.expected_orders)}});
    ++m_orders_running;
    m_actions.emplace_back(SendGroupOrder{std::move(planned.host),
                                          std::move(planned.address),
                                          std::move(planned.order)});
  }
  for (const GroupPlanner::Abandoned& lost : m_planner.TakeAbandoned()) {
    Log("order_abandoned", {{"host", lost.host},
                            {"kind", GroupOrderName(lost.order.kind)},
                            {"group", lost.order.group},
                            {"accepted", lost.accepted ? "yes" : "no"},
                            {"age_ms", std::to_string(lost.age.count())}});
  }
  LogShares();
}

void FleetControl::LogShares() {
  for (const auto& [model, share] : m_planner.shares()) {
    std::pair<int, int> groups{share.wanted, share.standing};
    auto [logged, added] = m_logged_shares.try_emplace(model, groups);
    if (!added && logged->second == groups) continue;
    logged->second = groups;
    Log("allocation", {{"model", model},
                       {"busy", fmt::format("{:.1f}", share.busy_groups)},
                       {"wanted", std::to_string(share.wanted)},
                       {"standing", std::to_string(share.standing)}});
  }
}

void FleetControl::On(const OrderEnded& event) {
  if (m_orders_running > 0) --m_orders_running;
  Log("order_ended", {{"host", event.host},
                      {"kind", GroupOrderName(event.order.kind)},
                      {"group", event.order.group},
                      {"expected", CountText(event.order.expected_orders)},
                      {"result", OrderResultName(event.result)},
                      {"detail", event.detail}});
  m_planner.Answered(event.host, event.order, event.result, m_now);
  if (event.result == OrderResult::kUnreachable) {
    AskGroupNow({event.order.group, event.order.epoch});
  }
  // The count of orders that was expected may be wrong. Reports are some time
  // old, so a rejection is followed by a pause.
  auto asked = m_asked.find(event.host);
  if (ProvesNotCarriedOut(event.result) && asked != m_asked.end()) {
    asked->second.next = m_now + kReportAge;
  }
}

void FleetControl::Log(
    const char* event,
    std::vector<std::pair<std::string, std::string>> fields) {
  m_actions.emplace_back(LogDecision{event, std::move(fields)});
}

}  // namespace clementine

// Each daemon derives from the platform's list of backend servers which groups
// may take requests; daemons do not exchange these decisions. The daemon that
// holds the lease also queries the status of group members and sends the
// planner's orders.

#include "core/fleet_control.h"

#include <algorithm>
#include <cmath>

#include "core/server_backoff.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr char kLeaseKey[] = "clementine-lease/planner";
/// A lease call without a reply is treated as lost after this time, and the
/// lease is read again.
constexpr milliseconds kLeaseCallTimeout{1'200};

/// Daemons that are not standbys read the lease at these intervals, because
/// each read is a billed platform call. The kNumReserves daemons that rank next
/// after the standbys (reserves) take over when all standbys are lost at once.
/// The others (late reserves) are needed only when the reserves are lost as
/// well.
constexpr milliseconds kReserveReadInterval{4'000};
constexpr milliseconds kLateReserveReadInterval{30'000};
/// Extra delay before a daemon that is not a standby takes a lapsed lease,
/// which leaves time to daemons of a lower rank. A lapsed lease is read when
/// this delay is over, and a short delay on many daemons would cost as many
/// calls as a short read interval.
constexpr milliseconds kReserveTakeoverDelay{1'000};
constexpr milliseconds kLateReserveTakeoverDelay{30'000};
constexpr int kNumReserves = 8;

/// A log entry is written when the number of lapsed members that are kept
/// reaches or falls below this number.
constexpr std::size_t kMinLapsedToLog = 5;
constexpr milliseconds kPlanInterval{100};
/// Interval between status queries to a member of an active group. It is longer
/// when kMaxOutstandingQueries is reached.
constexpr milliseconds kStatusQueryInterval{1'000};
/// Maximum number of status queries in flight. Limits the time for which
/// responses that arrive together block the event loop: the lease is lost when
/// the loop is blocked for a fifth of the lease duration.
constexpr std::size_t kMaxOutstandingQueries = 64;
/// Minimum length of a pause of this process after which a timed-out call to a
/// server is not counted as a failure, because the response may have arrived
/// during the pause.
constexpr milliseconds kMinOwnPause{200};
/// Maximum age of a server's status report.
constexpr milliseconds kMaxReportAge{250};
/// Consecutive failed queries after which a host counts as failed. One lost
/// packet delays a response by less than the duration of two calls. In a group
/// that is already unresponsive one failure is enough, because the missing data
/// was the first sign.
constexpr int kQueryFailureThreshold = 3;
constexpr int kUnresponsiveGroupFailureThreshold = 1;
/// An unresponsive group gets no requests for the time that a head needs to
/// detect the loss of a member.
constexpr milliseconds kEngineSuspicionDuration{5'500};
constexpr milliseconds kPlainSuspicionDuration{2'000};
/// Relative changes of this daemon's share of the requests below this fraction
/// are not reported.
constexpr double kMinShareChange = 0.1;
/// Requests that may be running or queued at a server, as a multiple of those
/// that it can run. Servers queue a few requests, and the traffic is not spread
/// evenly over the daemons.
constexpr int kOvercommitFactor = 2;

bool IsSameView(const GroupView& a, const GroupView& b) {
  return a.group == b.group && a.epoch == b.epoch && a.open == b.open &&
         a.leaving == b.leaving && a.evacuated == b.evacuated &&
         a.evacuating == b.evacuating && a.cold_until == b.cold_until &&
         a.cold_rate == b.cold_rate && a.head_host == b.head_host &&
         a.head_address == b.head_address && a.max_running == b.max_running;
}

bool IsUsable(const GroupView& view) {
  return view.open && !view.leaving && !view.evacuated;
}

std::string FormatOrderCount(const std::optional<std::uint64_t>& count) {
  return count ? std::to_string(*count) : "any";
}

}  // namespace

FleetControl::FleetControl(FleetControlOptions options)
    : m_options(std::move(options)),
      m_jitter(m_options.seed),
      m_lease({m_options.node, m_options.incarnation, kLeaseKey,
               m_options.lease_duration, m_options.max_order_duration,
               Mutation::kNone, m_options.first_start},
              &m_calls, &m_jitter),
      m_nodes(m_options.node, m_options.incarnation, m_options.seed + 1),
      m_evacuation(m_options.departure_delay),
      m_cold({m_options.node, m_options.cold_overshoot,
              m_options.cold_tolerance, m_options.list_delay}) {
  // Reports that no daemon has acted under the lease yet if the lease object is
  // missing. Lease infers this from an absent placement object; this platform
  // has no placement object, and orders require the lease.
  m_lease.OnPlacementAbsent();
  m_planner.SetFreeLoads(m_options.first_start);
  m_nodes.SetContact(m_options.data_centre, m_options.changes_address);
  m_nodes.SetCapacity(m_options.capacity);
}

std::vector<FleetAction> FleetControl::Handle(const FleetEvent& event,
                                              TimePoint now) {
  m_now = now;
  m_actions.clear();
  std::visit([this](const auto& value) { On(value); }, event);
  if (m_groups_dirty) {
    m_groups_dirty = false;
    PublishGroups();
  }
  return std::move(m_actions);
}

// ---------------------------------------------------------------------------
// Server list and configuration.

void FleetControl::On(const RequestsCounted& event) {
  m_nodes.SetRequestCount(event.total);
  m_nodes.SetDemandCounts(event.by_model);
  if (event.total > 0) m_planner.SetFreeLoads(false);
}

bool FleetControl::ObserveEra(std::optional<std::uint64_t> era) {
  std::uint64_t before = m_store_era.highest();
  switch (m_store_era.Observe(era)) {
    case StoreEra::Verdict::kCurrent:
      return true;
    case StoreEra::Verdict::kOlder:
      if (m_store_era.ShouldLogOlder(*era)) {
        Log("store_era_older", {{"era", std::to_string(*era)},
                                {"highest", std::to_string(before)}});
      }
      return false;
    case StoreEra::Verdict::kFirst:
      m_lease.SetStoreEra(m_store_era.highest());
      return true;
    case StoreEra::Verdict::kRestored:
      break;
  }
  Log("store_restored", {{"era", std::to_string(*era)},
                         {"before", std::to_string(before)},
                         {"held_lease", m_lease.IsHolder() ? "yes" : "no"}});
  std::vector<ControlAction> out;
  m_lease.OnStoreRestored(*era, m_now, &out);
  AppendActions(std::move(out));
  m_nodes.OnStoreRestored(m_now);
  m_list.OnStoreRestored(m_now);
  m_actions.emplace_back(StoreEraSeen{*era});
  return true;
}

void FleetControl::On(const StoreEraSeen& event) { ObserveEra(event.era); }

void FleetControl::NoteEpoch(const GroupMembership& member) {
  m_lease.NoteFence(member.epoch / GroupPlanner::kEpochsPerTerm);
}

void FleetControl::On(const ServersListed& event) {
  bool stale = m_list.known() && !m_list.reachable();
  for (const BackendServer& server : event.servers) NoteEpoch(server.member);
  m_list.Replace(event.servers, m_now);
  for (const BackendServer& server : event.servers) {
    ObserveServer(server, /*is_change=*/false, stale);
  }
  m_cold.Retain(m_list.servers());
  m_evacuation.OnSourcesAnswered(m_now);
  ReportEndedServers();
  m_groups_dirty = true;
}

void FleetControl::ReportEndedServers() {
  for (const std::string& host : m_list.TakeEndedServers()) {
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
                old->second.incarnation == server.incarnation &&
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
  for (const ServerList::Change& change : event.changes) {
    if (change.server) NoteEpoch(change.server->member);
  }
  if (m_planning) LogChanges(event.changes);
  bool stale = m_list.known() && !m_list.reachable();
  m_list.Apply(event.changes, m_now);
  bool removed = false;
  for (const ServerList::Change& change : event.changes) {
    removed = removed || !change.server;
    if (change.server) ObserveServer(*change.server, /*is_change=*/true, stale);
  }
  if (removed) m_cold.Retain(m_list.servers());
  m_evacuation.OnSourcesAnswered(m_now);
  ReportEndedServers();
  m_groups_dirty = m_groups_dirty || !event.changes.empty();
}

void FleetControl::LogLapsedServers() {
  bool many = m_list.kept_members() >= kMinLapsedToLog;
  if (many == m_logged_many_lapsed) return;
  m_logged_many_lapsed = many;
  Log("servers_lapsed", {{"kept", std::to_string(m_list.kept_members())},
                         {"listed", std::to_string(m_list.servers().size())}});
}

void FleetControl::On(const ServerListUnavailable& event) {
  m_list.OnUnreachable(event.since);
  m_evacuation.OnSourcesLost();
}

void FleetControl::On(const FleetConfigured& event) {
  m_configuration = event.configuration;
  m_groups_dirty = true;
}

void FleetControl::On(const GroupUnresponsive& event) {
  // The group of a plain host is named "<service>/<host>".
  bool plain = event.group.find('/') != std::string::npos;
  Suspicion& suspicion = m_suspicions[event.group];
  if (suspicion.epoch == event.epoch && suspicion.until > m_now) return;
  suspicion = {event.epoch, m_now + (plain ? kPlainSuspicionDuration
                                           : kEngineSuspicionDuration)};
  m_groups_dirty = true;
  Log("group_silent",
      {{"group", event.group}, {"epoch", std::to_string(event.epoch)}});
  QueryGroupNow({event.group, event.epoch});
}

void FleetControl::QueryGroupNow(const GroupMembership& group) {
  for (const auto& [id, server] : m_list.servers()) {
    auto query = m_queries.find(id);
    if (server.member.group == group.group &&
        server.member.epoch == group.epoch && query != m_queries.end()) {
      query->second.next_at = m_now;
    }
  }
}

bool FleetControl::IsSuspected(const std::string& group,
                               std::uint64_t epoch) const {
  auto found = m_suspicions.find(group);
  return found != m_suspicions.end() && found->second.epoch == epoch &&
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
    view.max_running = service.engine->max_running * kOvercommitFactor;
    view.leaving = std::any_of(group.members.begin(), group.members.end(),
                               [](const BackendServer* member) {
                                 return member != nullptr && member->leaving;
                               });
    view.open = IsComplete(group, size->second) &&
                !IsSuspected(group.name, group.epoch) &&
                std::none_of(group.members.begin(), group.members.end(),
                             [this](const BackendServer* member) {
                               return m_failed_hosts.count(member->id) > 0;
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
    view.epoch = static_cast<std::uint64_t>(server.incarnation);
    view.data_centre = server.data_centre;
    view.head_host = id;
    view.head_address = server.address;
    view.max_running = server.slots * kOvercommitFactor;
    view.leaving = server.leaving;
    view.open = !IsSuspected(view.group, view.epoch);
    groups->push_back(std::move(view));
  }
}

void FleetControl::PublishGroups() {
  if (!AreInputsKnown()) return;
  std::vector<GroupView> groups;
  for (const auto& [name, service] : m_configuration->services) {
    if (service.engine) {
      AddEngineGroups(service, &groups);
    } else {
      AddPlainHosts(service, &groups);
    }
  }
  for (GroupView& view : groups) {
    ApplyEvacuation(&view);
    ApplyColdLimit(&view);
  }
  if (groups.size() == m_published_groups.size() &&
      std::equal(groups.begin(), groups.end(), m_published_groups.begin(),
                 IsSameView)) {
    return;
  }
  std::map<std::string, const GroupView*> before;
  for (const GroupView& view : m_published_groups) before[view.group] = &view;
  m_open_groups = 0;
  for (const GroupView& view : groups) {
    bool usable = IsUsable(view);
    if (usable) ++m_open_groups;
    auto old = before.find(view.group);
    bool was_usable = old != before.end() && IsUsable(*old->second) &&
                      old->second->epoch == view.epoch;
    if (usable != was_usable) {
      Log("gate", {{"group", view.group},
                   {"epoch", std::to_string(view.epoch)},
                   {"head", view.head_host},
                   {"open", usable ? "yes" : "no"},
                   {"leaving", view.leaving ? "yes" : "no"},
                   {"evacuated", view.evacuated ? "yes" : "no"}});
    }
    if (old != before.end()) before.erase(old);
  }
  for (const auto& [name, view] : before) {
    if (IsUsable(*view)) {
      Log("gate", {{"group", name},
                   {"epoch", std::to_string(view->epoch)},
                   {"open", "no"},
                   {"why", "not listed"}});
    }
  }
  RecordColdGroups(groups);
  m_published_groups = groups;
  m_actions.emplace_back(GroupsChanged{std::move(groups)});
}

std::map<std::string, int> FleetControl::OpenGroupsByModel() const {
  std::map<std::string, int> open;
  for (const GroupView& view : m_published_groups) {
    if (view.model.empty()) continue;
    open[view.model] += IsUsable(view) ? 1 : 0;
  }
  return open;
}

// ---------------------------------------------------------------------------
// Lease, nodes, platform calls.

void FleetControl::AppendActions(std::vector<ControlAction> actions) {
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
  bool answered = event.status != ObjectStatus::kUnavailable &&
                  event.status != ObjectStatus::kUnknown;
  bool usable = !(answered || event.era) || ObserveEra(event.era);
  ObjectReply reply = event;
  if (!usable) reply.status = ObjectStatus::kUnknown;
  if (m_nodes.OnReply(reply, m_now)) return;
  std::optional<PendingCall> call = m_calls.Take(event.call);
  if (!call) return;
  std::vector<ControlAction> out;
  m_lease.OnReply(*call, reply, m_now, &out);
  AppendActions(std::move(out));
}

void FleetControl::On(const NodesListed& event) {
  bool answered = event.complete || event.era;
  if (answered && !ObserveEra(event.era)) return;
  m_nodes.OnNodesListed(event, m_now);
  m_cold.SetDaemons(m_nodes.listed_names());
  if (!m_cold_hosts.empty()) m_groups_dirty = true;
}

void FleetControl::On(const DrainStarted& /*event*/) { m_stopping = true; }

void FleetControl::ReportDaemons() {
  bool share_changed =
      std::abs(m_nodes.share() - m_reported_daemons.share) >
      kMinShareChange * std::max(m_reported_daemons.share, m_nodes.share());
  if (m_nodes.live() == m_reported_daemons.live && !share_changed) return;
  m_reported_daemons = {m_nodes.live(), m_nodes.share()};
  Log("nodes", {{"live", std::to_string(m_reported_daemons.live)},
                {"share", fmt::format("{:.3f}", m_reported_daemons.share)}});
  m_actions.emplace_back(m_reported_daemons);
}

void FleetControl::SetLeaseDelays() {
  if (is_planner_or_standby()) {
    m_lease.SetCandidateDelays(milliseconds(0), milliseconds(0));
  } else if (m_nodes.Rank() < NodeDirectory::kStandbys + kNumReserves) {
    m_lease.SetCandidateDelays(kReserveTakeoverDelay, kReserveReadInterval);
  } else {
    m_lease.SetCandidateDelays(kLateReserveTakeoverDelay,
                               kLateReserveReadInterval);
  }
}

void FleetControl::AdvanceLease() {
  std::vector<ControlAction> out;
  for (const auto& [id, call] :
       m_calls.TakeCallsSentBefore(m_now - kLeaseCallTimeout)) {
    ObjectReply lost;
    lost.call = id;
    m_lease.OnReply(call, lost, m_now, &out);
  }
  if (m_stopping) m_lease.Release(m_orders_running == 0, m_now, &out);
  SetLeaseDelays();
  // Until the other daemons have been discovered, every daemon has rank 0.
  bool may_compete = AreInputsKnown() && m_nodes.IsRankKnown(m_now);
  m_lease.Advance(may_compete, m_now, &out);
  AppendActions(std::move(out));
}

void FleetControl::On(const Tick& event) {
  m_wall = event.wall;
  if (m_now - m_last_tick_at > kMinOwnPause) m_last_pause_end = m_now;
  m_last_tick_at = m_now;
  if (m_list.Expire(m_now)) m_groups_dirty = true;
  LogLapsedServers();
  AdvanceEvacuations();
  AdvanceColdServers();
  std::size_t suspected = m_suspicions.size();
  std::erase_if(m_suspicions, [this](const auto& entry) {
    return entry.second.until <= m_now;
  });
  if (m_suspicions.size() != suspected) m_groups_dirty = true;
  for (NodeDirectory::Action& action : m_nodes.Advance(m_now)) {
    std::visit(
        [this](auto& value) { m_actions.emplace_back(std::move(value)); },
        action);
  }
  ReportDaemons();
  AdvanceLease();
  if (m_now - m_last_pass_at < kPlanInterval) {
    // With one batch of queries per pass, a new planner would need 5 s to learn
    // the order counts of 3,000 hosts.
    if (m_planning && m_lease.CanSendOrders(m_now)) QueryMembers();
    return;
  }
  m_last_pass_at = m_now;
  if (m_configuration && m_list.known()) {
    m_planner.RecordServingHeads(*m_configuration, m_list.servers(), m_now);
  }
  SetPlanning(!m_stopping && m_lease.CanSendOrders(m_now));
  if (!m_planning) return;
  QueryMembers();
  SendPlannedOrders();
}

// If no other daemon was granted the lease during a lapse, the planner's state
// about its orders is still valid and is kept. Discarding it would make this
// daemon query all hosts again, and the load of these queries may have caused
// the lapse.
void FleetControl::SetPlanning(bool planning) {
  bool same_tenure = m_lease.tenure() == m_known_tenure;
  if (planning && !same_tenure) {
    ForgetQueryResults();
    m_planner.Reset(m_lease.fence());
    m_known_tenure = m_lease.tenure();
  }
  if (planning) m_last_active_at = m_now;
  // Only the planner queries hosts. A daemon that no longer plans would not
  // notice that a failed host has recovered.
  bool lapsed = m_now - m_last_active_at > m_options.lease_duration;
  if (!planning && (lapsed || !m_lease.IsHolder())) ForgetQueryResults();
  if (planning == m_planning) return;
  m_planning = planning;
  Log("planner", {{"active", planning ? "yes" : "no"},
                  {"tenure", std::to_string(m_lease.tenure())},
                  {"resumed", planning && same_tenure ? "yes" : "no"}});
}

void FleetControl::ForgetQueryResults() {
  m_queries.clear();
  m_groups_dirty = m_groups_dirty || !m_failed_hosts.empty();
  m_failed_hosts.clear();
}

// ---------------------------------------------------------------------------
// Planner.

// Queries the hosts in round-robin order, so that no host is starved by others
// that become due again.
void FleetControl::QueryMembers() {
  if (!m_configuration) return;
  const auto& servers = m_list.servers();
  std::erase_if(m_queries, [&](const auto& entry) {
    return servers.count(entry.first) == 0;
  });
  auto running = static_cast<std::size_t>(std::count_if(
      m_queries.begin(), m_queries.end(),
      [](const auto& entry) { return entry.second.outstanding; }));
  auto next = servers.upper_bound(m_last_queried_host);
  for (std::size_t i = 0;
       i < servers.size() && running < kMaxOutstandingQueries; ++i) {
    if (next == servers.end()) next = servers.begin();
    const auto& [id, server] = *next++;
    if (!IsQueryDue(server)) continue;
    StatusQuery& query = m_queries[id];
    query.outstanding = true;
    query.sent_at = m_now;
    m_last_queried_host = id;
    ++running;
    m_actions.emplace_back(QueryServerStatus{id, server.address});
  }
}

bool FleetControl::IsQueryDue(const BackendServer& server) {
  bool member = server.member.state == GroupMemberState::kOpen ||
                server.member.state == GroupMemberState::kReady;
  bool engine = FindEngine(*m_configuration, server.service) != nullptr;
  bool urgent = (engine && !m_planner.IsOrderCountKnown(server)) ||
                m_planner.NeedsReport(server, m_now);
  if (!member && !urgent) return false;
  auto [entry, added] = m_queries.try_emplace(server.id);
  StatusQuery& query = entry->second;
  if (added && !urgent) {
    query.next_at =
        m_now + m_jitter.Between(milliseconds(0), kStatusQueryInterval);
  }
  return !query.outstanding && m_now >= query.next_at &&
         m_now >= query.busy_until;
}

void FleetControl::On(const ServerStatusResult& event) {
  if (event.server) {
    NoteEpoch(event.server->member);
    m_planner.OnReport(event.host, *event.server, m_now);
  }
  auto found = m_queries.find(event.host);
  if (found == m_queries.end()) return;
  StatusQuery& query = found->second;
  query.outstanding = false;
  if (event.server) {
    query.failures = 0;
    query.next_at = m_now + kStatusQueryInterval;
    if (m_failed_hosts.erase(event.host) > 0) {
      m_groups_dirty = true;
      Log("host_answers", {{"host", event.host}});
    }
    return;
  }
  query.next_at = m_now;
  // The response may have arrived without being read in time.
  bool missed = query.sent_at <= m_last_pause_end ||
                m_now - m_last_tick_at > kMinOwnPause;
  if (missed) return;
  ++query.failures;
  auto server = m_list.servers().find(event.host);
  bool group_unresponsive =
      server != m_list.servers().end() &&
      IsSuspected(server->second.member.group, server->second.member.epoch);
  bool failed =
      query.failures >= (group_unresponsive ? kUnresponsiveGroupFailureThreshold
                                            : kQueryFailureThreshold);
  if (failed && m_failed_hosts.insert(event.host).second) {
    m_groups_dirty = true;
    Log("host_failed",
        {{"host", event.host}, {"failures", std::to_string(query.failures)}});
    if (server != m_list.servers().end()) QueryGroupNow(server->second.member);
  }
  if (failed) query.next_at = m_now + kStatusQueryInterval / 2;
}

void FleetControl::On(const ServerLeaving& event) {
  if (!m_list.MarkLeaving(event.host, m_now)) return;
  m_groups_dirty = true;
  Log("server_leaving", {{"host", event.host}, {"source", event.source}});
}

void FleetControl::On(const ServerBusy& event) {
  auto found = m_queries.find(event.host);
  if (found == m_queries.end()) return;
  found->second.busy_until =
      m_now + std::min(event.wait, ServerBackoff::kMaxBackoff);
}

void FleetControl::SendPlannedOrders() {
  if (!AreInputsKnown()) return;
  PassEvacuationsToPlanner();
  m_planner.SetDemand(m_nodes.Demand());
  m_planner.SetListSettled(m_list.is_settled(m_now));
  for (GroupPlanner::Order& planned : m_planner.Plan(
           *m_configuration, m_list.servers(), m_failed_hosts, m_now)) {
    const GroupOrder& order = planned.order;
    Log("order", {{"host", planned.host},
                  {"kind", GroupOrderName(order.kind)},
                  {"group", order.group},
                  {"epoch", std::to_string(order.epoch)},
                  {"model", order.model},
                  {"expected", FormatOrderCount(order.expected_orders)}});
    ++m_orders_running;
    m_actions.emplace_back(SendGroupOrder{std::move(planned.host),
                                          std::move(planned.address),
                                          std::move(planned.order)});
  }
  for (const GroupPlanner::AbandonedOrder& lost :
       m_planner.TakeAbandonedOrders()) {
    Log("order_abandoned", {{"host", lost.host},
                            {"kind", GroupOrderName(lost.order.kind)},
                            {"group", lost.order.group},
                            {"accepted", lost.accepted ? "yes" : "no"},
                            {"age_ms", std::to_string(lost.age.count())}});
  }
  LogAllocation();
}

void FleetControl::LogAllocation() {
  for (const auto& [model, share] : m_planner.model_groups()) {
    std::pair<int, int> groups{share.target_groups, share.active_groups};
    auto [logged, added] = m_logged_allocation.try_emplace(model, groups);
    if (!added && logged->second == groups) continue;
    logged->second = groups;
    Log("allocation", {{"model", model},
                       {"busy", fmt::format("{:.1f}", share.busy_groups)},
                       {"wanted", std::to_string(share.target_groups)},
                       {"standing", std::to_string(share.active_groups)}});
  }
}

void FleetControl::On(const OrderEnded& event) {
  if (m_orders_running > 0) --m_orders_running;
  Log("order_ended",
      {{"host", event.host},
       {"kind", GroupOrderName(event.order.kind)},
       {"group", event.order.group},
       {"expected", FormatOrderCount(event.order.expected_orders)},
       {"result", OrderResultName(event.result)},
       {"detail", event.detail}});
  m_planner.OnOrderAnswered(event.host, event.order, event.result, m_now);
  if (event.result == OrderResult::kUnreachable) {
    QueryGroupNow({event.order.group, event.order.epoch});
  }
  // A rejection may mean that the expected order count was wrong. The next
  // query waits for kMaxReportAge, because a report may be that old.
  auto query = m_queries.find(event.host);
  if (ProvesNotCarriedOut(event.result) && query != m_queries.end()) {
    query->second.next_at = m_now + kMaxReportAge;
  }
}

void FleetControl::Log(
    const char* event,
    std::vector<std::pair<std::string, std::string>> fields) {
  m_actions.emplace_back(LogDecision{event, std::move(fields)});
}

}  // namespace clementine

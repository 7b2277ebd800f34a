// In each step the lease holder checks its lease, claims the placement object
// with its fence, plans, and writes the placement. It sends orders only after
// the write is confirmed. Every step starts from the stored placement and the
// health of the hosts, so that a new holder continues the work of the old one.

#include "core/placement_control.h"

#include <algorithm>
#include <utility>

#include "core/store_era.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr milliseconds kPlanInterval{500};
constexpr milliseconds kOrderInterval{200};
constexpr milliseconds kHistoryInterval{250};
/// Time within which all daemons stop sending requests to a draining group.
constexpr milliseconds kDrainPropagationTime{5'000};
/// A group that loads for longer than this multiple of its load time no longer
/// counts towards the limit of loading groups.
constexpr int kStalledAfterLoadTimes = 3;

}  // namespace

PlacementControl::PlacementControl(const ControlPlaneOptions& options,
                                   PlatformCalls* calls, Jitter* jitter)
    : m_options(options),
      m_lease(
          {options.node, options.incarnation, "lease/" + options.data_centre,
           options.lease_duration, options.longest_order, options.mutation,
           // An absent lease counts as never held only if the placement is
           // absent as well.
           /*first_start=*/true},
          calls, jitter),
      m_store("placement/" + options.data_centre,
              fmt::format("{}.{}", options.node, options.incarnation), calls,
              jitter, options.mutation),
      m_orders(options.longest_order, calls, jitter),
      m_history(options.presence_timeout),
      m_planner(options.placement_planner ? options.placement_planner
                                          : PlanPlacement) {}

void PlacementControl::OnReply(const PendingCall& call,
                               const ObjectReply& reply, TimePoint now,
                               Actions* out) {
  if (call.owner == CallOwner::kLease) {
    m_lease.OnReply(call, reply, now, out);
  } else {
    m_store.OnReply(call, reply, now, out);
  }
}

void PlacementControl::OnStoreEra(std::uint64_t era, bool restored,
                                  TimePoint now, Actions* out) {
  if (!restored && !m_lease.IsHolder()) {
    m_lease.SetStoreEra(era);
    return;
  }
  m_lease.OnStoreRestored(era, now, out);
  m_store.OnStoreRestored(FirstFenceOfEra(era));
}

void PlacementControl::OnOrderAnswered(const OrderAnswered& answer,
                                       TimePoint now, Actions* out) {
  m_orders.OnOrderAnswered(answer, now, out);
}

void PlacementControl::Advance(const Presence& presence,
                               const Configuration* configuration,
                               bool may_compete, TimePoint now, Actions* out) {
  if (now >= m_next_history_at) {
    m_next_history_at = now + kHistoryInterval;
    m_history.Update(presence, now, out);
  }
  if (m_draining) {
    m_lease.Release(m_orders.HasNoOutstandingOrders(now), now, out);
  }
  if (m_store.known() && !m_lease.IsHolder()) {
    m_lease.RaiseFence(m_store.placement().fence);
  } else if (m_store.absent()) {
    m_lease.OnPlacementAbsent();
  }
  m_lease.Advance(may_compete, now, out);
  if (!m_lease.IsValid(now) || m_draining) {
    return;
  }
  if (m_fence != m_lease.fence()) {
    m_fence = m_lease.fence();
    m_store.OnNewFence();
    m_orders.OnLeaseGranted(now);
  }
  if (m_store.IsFenceTooLow(m_fence)) {
    m_lease.RaiseFence(m_store.placement().fence);
    return;
  }
  m_store.Advance(m_fence, now, out);
  if (!m_store.IsClaimed(m_fence) || configuration == nullptr ||
      !presence.listed()) {
    return;
  }
  if (now >= m_next_plan_at) {
    m_next_plan_at = now + kPlanInterval;
    Plan(presence, *configuration, now, out);
  }
  if (now >= m_next_orders_at && m_store.IsClaimed(m_fence) &&
      m_lease.CanSendOrders(now)) {
    m_next_orders_at = now + kOrderInterval;
    m_orders.Advance(m_store.placement(), presence, m_fence,
                     m_limits.max_loading, now, out);
  }
}

void PlacementControl::Plan(const Presence& presence,
                            const Configuration& configuration, TimePoint now,
                            Actions* out) {
  PlannerInput input = GatherInput(presence, configuration, now);
  PlannerResult result = m_planner(input);
  m_waiting = std::move(result.waiting);
  if (result.next == m_store.placement()) {
    return;
  }
  std::vector<std::string> duplicate_hosts = result.next.FindDuplicateHosts();
  if (!duplicate_hosts.empty()) {
    out->push_back(
        LogDecision{"plan_refused", {{"host_twice", duplicate_hosts[0]}}});
    return;
  }
  for (LogDecision& decision : result.decisions) {
    out->push_back(std::move(decision));
  }
  m_store.Write(std::move(result.next), m_fence, now, out);
}

PlannerInput PlacementControl::GatherInput(const Presence& presence,
                                           const Configuration& configuration,
                                           TimePoint now) {
  PlannerInput input;
  input.configuration = &configuration;
  input.data_centre = m_options.data_centre;
  input.current = m_store.placement();
  input.limits = m_limits;
  input.held_domains = m_history.held_domains();
  input.suspended = m_history.isolated();
  for (const auto& [name, record] : presence.hosts()) {
    if (record.info.engine) {
      input.hosts[name] = GatherFacts(record, presence, now);
    }
  }
  std::erase_if(m_phase_ages, [&](const auto& entry) {
    return input.current.groups.count(entry.first) == 0;
  });
  for (const auto& [name, group] : input.current.groups) {
    input.groups[name] = GatherFacts(name, group, presence, configuration, now);
  }
  return input;
}

HostFacts PlacementControl::GatherFacts(const HostPresence& record,
                                        const Presence& presence,
                                        TimePoint now) const {
  HostFacts facts;
  facts.info = record.info;
  facts.up = presence.HasFreshHealth(record, now);
  facts.failed = m_history.IsFailed(record.info.host);
  facts.gone = !record.listed && !facts.up;
  facts.leaving = record.leaving;
  facts.held = m_history.IsHeldDown(record.info.host, now);
  facts.idle = m_options.mutation == Mutation::kSkipUnloadConfirmed ||
               m_orders.IsConfirmedIdle(record, presence, now);
  return facts;
}

GroupFacts PlacementControl::GatherFacts(const std::string& name,
                                         const PlacedGroup& group,
                                         const Presence& presence,
                                         const Configuration& configuration,
                                         TimePoint now) {
  PhaseAge& age = m_phase_ages[name];
  if (age.phase != group.phase || age.epoch != group.epoch ||
      age.since == TimePoint{}) {
    age = {group.phase, group.epoch, now};
  }
  GroupFacts facts;
  facts.phase_age = std::chrono::duration_cast<milliseconds>(now - age.since);
  auto model = configuration.models.find(group.model);
  facts.stalled =
      model != configuration.models.end() &&
      facts.phase_age > kStalledAfterLoadTimes * model->second.load_time;
  facts.present = facts.drained = true;
  for (const std::string& host : group.hosts) {
    const HostPresence* record = presence.Find(host);
    if (record == nullptr || !presence.HasFreshHealth(*record, now) ||
        !HealthMatches(name, group, *record->health)) {
      facts.present = false;
    }
    bool requests_finished =
        record != nullptr && record->health &&
        presence.HasFreshHealth(*record, now) &&
        record->probed_at >= age.since + kDrainPropagationTime &&
        record->health->running == 0 && record->health->waiting == 0;
    facts.drained = facts.drained && requests_finished;
  }
  return facts;
}

}  // namespace clementine

// One step of the holder: prove the lease, claim the object with its fence,
// plan, write, and only after the write is confirmed send orders. Every step
// starts from what is stored and from health, so a new holder continues where
// the old one stopped.

#include "core/placement_control.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace clementine {
namespace {

constexpr milliseconds kPlanInterval{500};
constexpr milliseconds kOrderInterval{200};
constexpr milliseconds kHistoryInterval{250};
/// Other daemons learn within this time that a group takes no new work.
constexpr milliseconds kDrainSettle{5'000};
/// Loads that take longer than this many load times no longer hold up others.
constexpr int kStalledLoadTimes = 3;

}  // namespace

PlacementControl::PlacementControl(const ControlPlaneOptions& options,
                                   PlatformCalls* calls, Jitter* jitter)
    : m_options(options),
      m_lease(
          {options.node, options.incarnation, "lease/" + options.data_centre,
           options.lease_duration, options.longest_order, options.mutation},
          calls, jitter),
      m_store("placement/" + options.data_centre,
              fmt::format("{}.{}", options.node, options.incarnation), calls,
              jitter, options.mutation),
      m_orders(options.longest_order, calls, jitter),
      m_history(options.presence_timeout),
      m_planner(options.placement_planner ? options.placement_planner
                                          : PlanPlacement) {}

void PlacementControl::Replied(const PendingCall& call,
                               const ObjectReply& reply, TimePoint now,
                               Actions* out) {
  if (call.owner == CallOwner::kLease) {
    m_lease.Replied(call, reply, now, out);
  } else {
    m_store.Replied(call, reply, now, out);
  }
}

void PlacementControl::OrderReplied(const OrderAnswered& answer, TimePoint now,
                                    Actions* out) {
  m_orders.Answered(answer, now, out);
}

void PlacementControl::Advance(const Presence& presence,
                               const Configuration* configuration,
                               bool may_compete, TimePoint now, Actions* out) {
  if (now >= m_next_history) {
    m_next_history = now + kHistoryInterval;
    m_history.Update(presence, now, out);
  }
  if (m_draining) {
    m_lease.Release(m_orders.AllSettled(now), now, out);
  }
  if (m_store.known() && !m_lease.Holding()) {
    m_lease.RaiseFence(m_store.placement().fence);
  } else if (m_store.absent()) {
    m_lease.PlacementAbsent();
  }
  m_lease.Advance(may_compete, now, out);
  if (!m_lease.Proven(now) || m_draining) {
    return;
  }
  if (m_fence != m_lease.fence()) {
    m_fence = m_lease.fence();
    m_store.NewFence();
    m_orders.LeaseGranted(now);
  }
  if (m_store.FenceTooLow(m_fence)) {
    m_lease.RaiseFence(m_store.placement().fence);
    return;
  }
  m_store.Advance(m_fence, now, out);
  if (!m_store.Claimed(m_fence) || configuration == nullptr ||
      !presence.listed()) {
    return;
  }
  if (now >= m_next_plan) {
    m_next_plan = now + kPlanInterval;
    Plan(presence, *configuration, now, out);
  }
  if (now >= m_next_orders && m_store.Claimed(m_fence) &&
      m_lease.CanOrder(now)) {
    m_next_orders = now + kOrderInterval;
    m_orders.Advance(m_store.placement(), presence, m_fence,
                     m_limits.max_loading, now, out);
  }
}

void PlacementControl::Plan(const Presence& presence,
                            const Configuration& configuration, TimePoint now,
                            Actions* out) {
  PlannerInput input = Gather(presence, configuration, now);
  PlannerResult result = m_planner(input);
  m_waiting = std::move(result.waiting);
  if (result.next == m_store.placement()) {
    return;
  }
  std::vector<std::string> twice = result.next.DoubleHosts();
  if (!twice.empty()) {
    out->push_back(LogDecision{"plan_refused", {{"host_twice", twice[0]}}});
    return;
  }
  for (LogDecision& decision : result.decisions) {
    out->push_back(std::move(decision));
  }
  m_store.Write(std::move(result.next), m_fence, now, out);
}

PlannerInput PlacementControl::Gather(const Presence& presence,
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
      input.hosts[name] = FactsOf(record, presence, now);
    }
  }
  std::erase_if(m_phases, [&](const auto& entry) {
    return input.current.groups.count(entry.first) == 0;
  });
  for (const auto& [name, group] : input.current.groups) {
    input.groups[name] = FactsOf(name, group, presence, configuration, now);
  }
  return input;
}

HostFacts PlacementControl::FactsOf(const HostRecord& record,
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
               m_orders.ConfirmedIdle(record, presence, now);
  return facts;
}

GroupFacts PlacementControl::FactsOf(const std::string& name,
                                     const PlacedGroup& group,
                                     const Presence& presence,
                                     const Configuration& configuration,
                                     TimePoint now) {
  PhaseAge& age = m_phases[name];
  if (age.phase != group.phase || age.epoch != group.epoch ||
      age.since == TimePoint{}) {
    age = {group.phase, group.epoch, now};
  }
  GroupFacts facts;
  facts.phase_age = std::chrono::duration_cast<milliseconds>(now - age.since);
  auto model = configuration.models.find(group.model);
  facts.stalled = model != configuration.models.end() &&
                  facts.phase_age > kStalledLoadTimes * model->second.load_time;
  facts.present = facts.drained = true;
  for (const std::string& host : group.hosts) {
    const HostRecord* record = presence.Find(host);
    if (record == nullptr || !presence.HasFreshHealth(*record, now) ||
        !HealthMatches(name, group, *record->health)) {
      facts.present = false;
    }
    bool quiet = record != nullptr && record->health &&
                 presence.HasFreshHealth(*record, now) &&
                 record->probed_at >= age.since + kDrainSettle &&
                 record->health->running == 0 && record->health->waiting == 0;
    facts.drained = facts.drained && quiet;
  }
  return facts;
}

}  // namespace clementine

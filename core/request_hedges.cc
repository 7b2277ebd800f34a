// Hedges: the second attempt of a request whose first one is slow. Both run
// until one makes progress or answers with success; the other is cancelled.

#include <algorithm>

#include "core/request_path_impl.h"
#include "fmt/format.h"

namespace clementine {

bool RequestPath::Impl::IsHedgeable(const ActiveRequest& active) const {
  int limit = active.request.max_attempts > 0 ? active.request.max_attempts
                                              : m_options.max_attempts;
  return m_options.hedge_ratio > 0.0 && active.request.idempotent &&
         !active.claimed && !active.trial && !active.holds_isolation &&
         !active.after_crash && active.hedge == 0 && active.other == nullptr &&
         active.offset == 0 && active.attempts < limit;
}

TimePoint RequestPath::Impl::HedgeTime(const ActiveRequest& active) const {
  TimePoint never = active.request.deadline;
  if (!IsHedgeable(active)) return never;
  std::optional<milliseconds> delay = m_hedge_delays.Delay(
      active.pool->id, active.request.request_class, m_now);
  return delay ? std::min(never, active.dispatched_at + *delay) : never;
}

std::optional<HedgeDenial> RequestPath::Impl::FindHedge(
    const ActiveRequest& active, RoutedGroup** group) {
  HedgeState state;
  state.draining = m_draining;
  state.suspect =
      m_quarantine.Classify(active.keys, m_now) != Quarantine::State::kClear;
  state.requests_wait = m_admission.IsBacklogged(active.pool->id);
  state.has_room = m_router.HasRoom(*active.pool, m_now);
  if (std::optional<HedgeDenial> denial = CheckHedge(state)) return denial;
  *group = m_router.PickForHedge(*active.pool, *active.group, m_now);
  if (*group == nullptr) return HedgeDenial::kNoGroup;
  if (!m_budget.TryHedge(active.request.organisation, m_now)) {
    return HedgeDenial::kBudget;
  }
  return std::nullopt;
}

void RequestPath::Impl::TryHedge(ActiveRequest* active) {
  if (!IsHedgeable(*active) || active->first_progress_at != TimePoint()) {
    SetTimer(active, active->request.deadline);
    return;
  }
  RoutedGroup* group = nullptr;
  if (std::optional<HedgeDenial> denial = FindHedge(*active, &group)) {
    ++m_stats.hedges_denied[static_cast<std::size_t>(*denial)];
    // Doubling the time bounds the number of times that a request is looked at.
    SetTimer(active,
             m_now + std::max<TimePoint::duration>(
                         milliseconds(1), m_now - active->dispatched_at));
    return;
  }
  StartHedge(active, group);
}

void RequestPath::Impl::StartHedge(ActiveRequest* active, RoutedGroup* group) {
  active->other = std::make_unique<RunningAttempt>();
  active->moving = false;
  RunningAttempt& hedge = *active->other;
  active->hedge = hedge.attempt = ++m_last_attempt;
  hedge.group = group;
  hedge.group_and_epoch =
      fmt::format("{}@{}", group->view.group, group->view.epoch);
  hedge.dispatched_at = m_now;
  m_attempts[hedge.attempt] = active->request.id;
  m_router.OnAttemptStarted(group, m_now);
  ++active->attempts;
  ++m_stats.dispatched;
  ++m_stats.hedged;
  SetTimer(active, active->request.deadline);
  auto ran =
      std::chrono::duration_cast<milliseconds>(m_now - active->dispatched_at);
  Log("hedge", active->request,
      {{"attempt", std::to_string(active->attempts)},
       {"group", group->view.group},
       {"epoch", std::to_string(group->view.epoch)},
       {"in_flight", std::to_string(group->in_flight)},
       {"slow_group", active->group->view.group},
       {"ran_ms", std::to_string(ran.count())}});
  Dispatch dispatch;
  dispatch.request = active->request.id;
  dispatch.attempt = hedge.attempt;
  dispatch.group = group->view.group;
  dispatch.epoch = group->view.epoch;
  dispatch.address = group->view.head_address;
  dispatch.priority = DispatchPriority(active->request.request_class);
  dispatch.concurrent = true;
  m_actions.push_back(std::move(dispatch));
}

void RequestPath::Impl::SelectAttempt(ActiveRequest* active,
                                      AttemptId attempt) {
  if (active->other == nullptr || active->other->attempt != attempt) return;
  std::swap(static_cast<RunningAttempt&>(*active), *active->other);
}

void RequestPath::Impl::CancelOther(ActiveRequest* active, bool lost) {
  RunningAttempt other = std::move(*active->other);
  active->other.reset();
  EndPromptWait(&other);
  if (!IsRuleBroken("cancel_loser")) {
    m_actions.push_back(CancelAttempt{other.attempt});
  }
  RememberAmbiguousEnd(
      other.attempt, {BlamableKeys(*active, other), other.group_and_epoch,
                      other.group->view.head_host, other.dispatched_at, m_now});
  active->may_have_run = true;
  if (lost && active->moving) {
    Log("move_decided", active->request,
        {{"won", active->attempt > other.attempt ? "new" : "stalled"},
         {"group", active->group->view.group},
         {"cancelled_group", other.group->view.group}});
  } else if (lost) {
    bool hedge_won = active->attempt == active->hedge;
    ++m_stats.hedges_cancelled;
    auto ran =
        std::chrono::duration_cast<milliseconds>(m_now - other.dispatched_at);
    // The first attempt would have taken at least as long. The time of a hedge
    // that lost says nothing.
    if (hedge_won) {
      // How long the attempt would have taken isn't known. Slow times spread
      // widely, so it's taken as twice the time until now. That time itself is
      // little more than usual and would hide a slow group.
      other.group->speed.AddFirstProgress(2 * ran, m_now);
      if (other.group->speed.slowness() <= 1.0) {
        m_hedge_delays.AddTime(active->pool->id, active->request.request_class,
                               ran, m_now);
      }
    }
    Log("hedge_decided", active->request,
        {{"won", hedge_won ? "hedge" : "first"},
         {"group", active->group->view.group},
         {"cancelled_group", other.group->view.group},
         {"cancelled_ms", std::to_string(ran.count())}});
  }
  m_attempts.erase(other.attempt);
  m_router.OnAttemptEnded(other.group);
}

void RequestPath::Impl::ContinueWithOther(ActiveRequest* active,
                                          AttemptId ended, const char* result) {
  static_cast<RunningAttempt&>(*active) = std::move(*active->other);
  active->other.reset();
  Log(active->moving ? "move_continued" : "hedge_continued", active->request,
      {{"ended", std::to_string(ended)},
       {"result", result},
       {"group", active->group->view.group}});
}

// Times of a group that is known to be slow aren't what a comparable request
// takes elsewhere.
void RequestPath::Impl::RecordFirstResult(const ActiveRequest& active) {
  if (active.attempt == active.hedge) ++m_stats.hedges_won;
  if (m_options.hedge_ratio <= 0.0 || active.offset > 0 ||
      active.group->speed.slowness() > 1.0) {
    return;
  }
  m_hedge_delays.AddTime(
      active.pool->id, active.request.request_class,
      std::chrono::duration_cast<milliseconds>(m_now - active.dispatched_at),
      m_now);
}

}  // namespace clementine

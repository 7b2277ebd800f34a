// Facade of the request path: one request from arrival to its final answer.
//
// Method: a request is sent to an open group of its model or service with the
// fewest own requests in flight and gets one attempt. Every branch ends in
// exactly one final action.

#include <algorithm>
#include <map>
#include <unordered_map>

#include "core/core.h"

namespace clementine {

namespace {

bool Serves(const GroupView& group, const Request& request) {
  if (!group.open || group.leaving) {
    return false;
  }
  if (!request.service.empty()) {
    return group.service == request.service;
  }
  return group.model == request.model &&
         (request.adapter.empty() ||
          std::find(group.adapters.begin(), group.adapters.end(),
                    request.adapter) != group.adapters.end());
}

int Priority(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kCounter:
      return 3;
    case RequestClass::kStream:
      return 2;
    case RequestClass::kPlain:
      return 1;
    case RequestClass::kBatch:
      return 0;
  }
  return 0;
}

bool ProvesNotRun(AttemptResult result) {
  return result == AttemptResult::kNotSent ||
         result == AttemptResult::kRefused ||
         result == AttemptResult::kWrongEpoch;
}

}  // namespace

class RequestPath::Impl {
 public:
  std::vector<RequestAction> Handle(const RequestEvent& event) {
    std::vector<RequestAction> actions;
    std::visit([&](const auto& value) { On(value, &actions); }, event);
    return actions;
  }

  RequestPathStats stats() const {
    RequestPathStats stats = m_stats;
    stats.in_flight = m_running.size();
    return stats;
  }

 private:
  using Actions = std::vector<RequestAction>;
  struct Running {
    RequestId request = 0;
    std::string group;
  };

  template <typename Ignored>
  void On(const Ignored&, Actions*) {}

  void On(const RequestArrived& event, Actions* actions) {
    const Request& request = event.request;
    ++m_stats.arrived;
    if (m_draining) {
      End({request.id, RefusalReason::kDraining, Outcome::kNotRun, 503,
           milliseconds(1000)},
          actions);
      return;
    }
    const GroupView* best = nullptr;
    for (const auto& [name, group] : m_groups) {
      if (Serves(group, request) &&
          (best == nullptr || m_in_flight[name] < m_in_flight[best->group])) {
        best = &group;
      }
    }
    if (best == nullptr) {
      End({request.id, RefusalReason::kNoGroup, Outcome::kNotRun, 503,
           milliseconds(1000)},
          actions);
      return;
    }
    AttemptId attempt = ++m_last_attempt;
    m_running[attempt] = {request.id, best->group};
    ++m_in_flight[best->group];
    ++m_stats.dispatched;
    actions->push_back(LogDecision{
        "route",
        {{"request", std::to_string(request.id)}, {"group", best->group}}});
    actions->push_back(Dispatch{request.id, attempt, best->group, best->epoch,
                                best->leader_address, 0,
                                Priority(request.request_class)});
  }

  void On(const CallerLeft& event, Actions* actions) {
    for (auto it = m_running.begin(); it != m_running.end(); ++it) {
      if (it->second.request == event.request) {
        actions->push_back(CancelAttempt{it->first});
        --m_in_flight[it->second.group];
        m_running.erase(it);
        return;
      }
    }
  }

  void On(const AttemptEnded& event, Actions* actions) {
    auto found = m_running.find(event.attempt);
    if (found == m_running.end()) {
      return;
    }
    Running running = found->second;
    m_running.erase(found);
    --m_in_flight[running.group];
    if (event.result == AttemptResult::kComplete) {
      ++m_stats.completed;
      actions->push_back(Finish{running.request, event.attempt});
      return;
    }
    bool not_run = ProvesNotRun(event.result);
    End({running.request, RefusalReason::kRetriesExhausted,
         not_run ? Outcome::kNotRun : Outcome::kUnknown, not_run ? 503 : 502,
         std::max(event.retry_after, milliseconds(not_run ? 1000 : 0))},
        actions);
  }

  void On(const GroupsChanged& event, Actions*) {
    m_groups.clear();
    for (const GroupView& group : event.groups) {
      m_groups[group.group] = group;
    }
  }

  void On(const DrainStarted&, Actions*) { m_draining = true; }

  void End(const Refuse& refuse, Actions* actions) {
    ++(refuse.outcome == Outcome::kUnknown ? m_stats.unknown : m_stats.refused);
    actions->push_back(
        LogDecision{"refuse",
                    {{"request", std::to_string(refuse.request)},
                     {"reason", RefusalReasonName(refuse.reason)},
                     {"outcome", OutcomeName(refuse.outcome)}}});
    actions->push_back(refuse);
  }

  std::map<std::string, GroupView> m_groups;
  std::unordered_map<std::string, int> m_in_flight;
  std::unordered_map<AttemptId, Running> m_running;
  AttemptId m_last_attempt = 0;
  bool m_draining = false;
  RequestPathStats m_stats;
};

RequestPath::RequestPath(
    RequestPathOptions /*options*/)  // NOLINT(performance-unnecessary-value-param)
    : m_impl(std::make_unique<Impl>()) {}

RequestPath::~RequestPath() = default;

std::vector<RequestAction> RequestPath::Handle(const RequestEvent& event,
                                               TimePoint) {
  return m_impl->Handle(event);
}

RequestPathStats RequestPath::stats() const { return m_impl->stats(); }

}  // namespace clementine

// Only groups that received a request from this daemon in the last 60 s are
// polled. The cost depends on the daemon's traffic and not on the size of the
// data centre.

#include "daemon/cache_poller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "config/config.h"

namespace clementine {
namespace {

constexpr std::chrono::seconds kPollInterval{1};
constexpr std::chrono::seconds kInUseWindow{60};
constexpr std::chrono::milliseconds kAnswerTimeout{2'000};

}  // namespace

CachePoller::CachePoller(BackendClient* backends,
                         std::function<void(RequestEvent)> feed)
    : m_backends(backends), m_feed(std::move(feed)) {}

CachePoller::~CachePoller() { *m_alive = false; }

void CachePoller::SetGroups(const std::vector<GroupView>& groups) {
  std::map<std::string, Group> next;
  for (const GroupView& view : groups) {
    if (!view.open || view.model.empty()) continue;
    auto found = m_groups.find(view.group);
    bool same = found != m_groups.end() && found->second.epoch == view.epoch &&
                found->second.address == view.head_address;
    Group& group = next[view.group];
    if (same) group = found->second;
    group.address = view.head_address;
    group.epoch = view.epoch;
  }
  m_groups = std::move(next);
}

void CachePoller::OnRequestSent(const std::string& group, TimePoint now) {
  auto found = m_groups.find(group);
  if (found != m_groups.end()) found->second.last_used = now;
}

void CachePoller::Poll(TimePoint now) {
  for (auto& [name, group] : m_groups) {
    bool in_use =
        group.last_used != TimePoint() && now - group.last_used < kInUseWindow;
    if (!in_use || group.poll_pending ||
        now - group.last_polled < kPollInterval) {
      continue;
    }
    group.last_polled = now;
    RequestEvents(name, &group);
  }
}

void CachePoller::RequestEvents(const std::string& name, Group* group) {
  BackendCall call;
  call.address = group->address;
  call.method = "GET";
  call.target =
      "/v1/cache-events?since=" + std::to_string(group->engine_sequence);
  call.first_byte_timeout = kAnswerTimeout;
  group->poll_pending = true;
  BackendHandlers handlers;
  handlers.end = [this, alive = m_alive, name,
                  epoch = group->epoch](const BackendEnd& end) {
    if (!*alive) return;
    auto found = m_groups.find(name);
    if (found == m_groups.end() || found->second.epoch != epoch) return;
    found->second.poll_pending = false;
    if (end.result == AttemptResult::kComplete && end.status == 200) {
      ApplyEvents(name, &found->second, end.body);
    }
  };
  m_backends->Start(std::move(call), std::move(handlers));
}

void CachePoller::ApplyEvents(const std::string& name, Group* group,
                              const std::string& body) {
  try {
    nlohmann::json json = ParseJson(body);
    for (const nlohmann::json& entry : json.at("events")) {
      auto sequence = entry.at("sequence").get<std::uint64_t>();
      if (sequence <= group->engine_sequence) continue;
      CacheEvents events;
      events.group = name;
      entry.at("added").get_to(events.added);
      entry.at("removed").get_to(events.removed);
      if (sequence != group->engine_sequence + 1) ++group->sequence;
      group->engine_sequence = sequence;
      events.first_sequence = group->sequence + 1;
      group->sequence += events.added.size() + events.removed.size();
      m_feed(std::move(events));
    }
  } catch (const nlohmann::json::exception& error) {
    LogEvent("cache_events_invalid",
             {{"group", name}, {"error", error.what()}});
  }
}

}  // namespace clementine

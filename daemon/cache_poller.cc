// Only groups that took a request in the last minute are asked, so the cost
// follows the traffic of this daemon and not the size of the data centre.

#include "daemon/cache_poller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "config/config.h"

namespace clementine {
namespace {

constexpr std::chrono::seconds kPollInterval{1};
constexpr std::chrono::seconds kUseTime{60};
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

void CachePoller::Used(const std::string& group, TimePoint now) {
  auto found = m_groups.find(group);
  if (found != m_groups.end()) found->second.used = now;
}

void CachePoller::Poll(TimePoint now) {
  for (auto& [name, group] : m_groups) {
    bool in_use = group.used != TimePoint() && now - group.used < kUseTime;
    if (!in_use || group.waiting || now - group.polled < kPollInterval) {
      continue;
    }
    group.polled = now;
    Ask(name, &group);
  }
}

void CachePoller::Ask(const std::string& name, Group* group) {
  BackendCall call;
  call.address = group->address;
  call.method = "GET";
  call.target =
      "/v1/cache-events?since=" + std::to_string(group->engine_sequence);
  call.first_byte_timeout = kAnswerTimeout;
  group->waiting = true;
  BackendHandlers handlers;
  handlers.end = [this, alive = m_alive, name,
                  epoch = group->epoch](const BackendEnd& end) {
    if (!*alive) return;
    auto found = m_groups.find(name);
    if (found == m_groups.end() || found->second.epoch != epoch) return;
    found->second.waiting = false;
    if (end.result == AttemptResult::kComplete && end.status == 200) {
      Apply(name, &found->second, end.body);
    }
  };
  m_backends->Start(std::move(call), std::move(handlers));
}

void CachePoller::Apply(const std::string& name, Group* group,
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

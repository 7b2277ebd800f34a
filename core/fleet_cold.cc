// Cold servers in the control decisions.

#include "core/fleet_control.h"
#include "fmt/format.h"

namespace clementine {

const FleetService* FleetControl::FindColdService(
    const BackendServer& server) const {
  if (!m_configuration) return nullptr;
  auto found = m_configuration->services.find(server.service);
  bool limited = found != m_configuration->services.end() &&
                 found->second.cold_requests_per_second > 0.0;
  return limited ? &found->second : nullptr;
}

void FleetControl::ObserveServer(const BackendServer& server, bool is_change,
                                 bool is_stale) {
  const FleetService* service = FindColdService(server);
  // Entries that arrive before the configuration are recorded as well.
  if (service == nullptr && m_configuration) return;
  milliseconds duration =
      service == nullptr ? milliseconds(0) : service->cold_duration;
  m_cold.Observe(server, duration, {is_change, is_stale, m_wall}, m_now);
}

void FleetControl::ApplyColdLimit(GroupView* view) const {
  auto head = m_list.servers().find(view->head_host);
  if (head == m_list.servers().end()) return;
  const FleetService* service = FindColdService(head->second);
  if (service == nullptr) return;
  view->cold_until =
      m_cold.ColdUntil(view->head_host, service->cold_duration,
                       m_evacuation.EndedAt(view->data_centre), m_now);
  if (view->cold_until == TimePoint()) return;
  view->cold_rate =
      m_cold.RateFor(view->head_host, service->cold_requests_per_second);
}

void FleetControl::RecordColdGroups(const std::vector<GroupView>& groups) {
  std::set<std::string> hosts;
  m_next_cold_end = TimePoint::max();
  for (const GroupView& view : groups) {
    if (view.cold_until == TimePoint()) continue;
    m_next_cold_end = std::min(m_next_cold_end, view.cold_until);
    hosts.insert(view.head_host);
    // Every daemon limits the server. Only holders report it.
    if (view.cold_rate <= 0.0 || m_cold_hosts.count(view.head_host) > 0) {
      continue;
    }
    auto left =
        std::chrono::duration_cast<milliseconds>(view.cold_until - m_now);
    Log("cold_limited", {{"host", view.head_host},
                         {"group", view.group},
                         {"rate", fmt::format("{:.2f}", view.cold_rate)},
                         {"remaining_ms", std::to_string(left.count())}});
  }
  m_cold_hosts = std::move(hosts);
}

void FleetControl::AdvanceColdServers() {
  if (m_now >= m_next_cold_end) m_groups_dirty = true;
}

}  // namespace clementine

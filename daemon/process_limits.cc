#include "daemon/process_limits.h"

#include <algorithm>

#include "daemon/event_queue.h"
#include "fmt/format.h"

namespace clementine {
namespace {

/// Connections that a part of the account can hold while they are idle, with
/// half of it left for requests.
std::size_t ConnectionsWithin(std::size_t memory) {
  constexpr std::size_t kIdleConnectionBytes = 8'192;
  return std::max<std::size_t>(1, memory / 2 / kIdleConnectionBytes);
}

}  // namespace

ProcessLimits::ProcessLimits(const Settings& settings)
    : memory(PlanMemory(settings.memory)),
      descriptors(PlanDescriptors(settings.max_descriptors)) {
  callers = ServerLimits(settings);
  callers.max_connections =
      std::min(callers.max_connections, descriptors.callers);
  callers.max_held_bytes = memory.plan.callers;
  callers.memory = memory.callers;
  health.max_connections = descriptors.health;
  health.max_held_bytes = memory.plan.health;
  health.memory = memory.health;
  peers.max_connections = descriptors.peers;
  peers.max_held_bytes = memory.plan.peers;
  peers.memory = memory.peers;
  if (settings.memory == 0) return;
  for (HttpLimits* limits : {&callers, &health, &peers}) {
    limits->max_connections = std::min(
        limits->max_connections, ConnectionsWithin(limits->max_held_bytes));
  }
}

void SetBackendLimits(const ProcessLimits& limits, BackendOptions* options) {
  options->max_held_bytes = limits.memory.plan.backends;
  options->max_idle = limits.descriptors.backends / 2;
}

HttpLimits WithFleetLimits(HttpLimits limits, const FleetLimits& fleet) {
  limits.max_header_bytes =
      std::max(limits.max_header_bytes, fleet.max_header_bytes);
  limits.max_body_bytes = std::max(limits.max_body_bytes, fleet.max_body_bytes);
  limits.header_timeout = std::max(limits.header_timeout, fleet.header_timeout);
  if (fleet.idle_timeout > std::chrono::milliseconds(0)) {
    limits.idle_timeout = fleet.idle_timeout;
  }
  return limits;
}

std::vector<std::pair<std::string, std::string>> DescribeLimits(
    const HttpLimits& limits) {
  return {{"max_header_bytes", std::to_string(limits.max_header_bytes)},
          {"max_body_bytes", std::to_string(limits.max_body_bytes)},
          {"header_timeout_ms", std::to_string(limits.header_timeout.count())},
          {"idle_timeout_ms", std::to_string(limits.idle_timeout.count())},
          {"min_bytes_per_second", std::to_string(limits.min_transfer_rate())}};
}

void SetListenerMetrics(const std::string& listener,
                        const HttpServerStats& stats, Metrics* metrics) {
  std::string label = fmt::format("listener=\"{}\"", listener);
  metrics->Set("clementine_listener_connections", label,
               static_cast<double>(stats.connections));
  metrics->Set("clementine_memory_charged_bytes", label,
               static_cast<double>(stats.charged_bytes));
  metrics->Set("clementine_memory_limit_bytes", label,
               static_cast<double>(stats.charged_limit));
  auto count = [&](const char* reason, std::uint64_t total) {
    metrics->SetTotal("clementine_connections_closed_total",
                      fmt::format("{},reason=\"{}\"", label, reason), total);
  };
  count("refused", stats.refused_connections);
  count("max_connections", stats.closed_for_others);
  count("memory_request", stats.dropped_requests);
  count("memory_reader", stats.closed_readers);
  count("memory_idle", stats.closed_idle);
  count("request_timeout", stats.timed_out_requests);
}

}  // namespace clementine

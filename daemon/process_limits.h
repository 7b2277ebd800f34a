// Limits of a daemon's listeners and clients that follow from the memory and
// the descriptors of its process.
#ifndef DAEMON_PROCESS_LIMITS_H_
#define DAEMON_PROCESS_LIMITS_H_

#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "core/fleet.h"
#include "net/memory_account.h"
#include "net/net.h"

namespace clementine {

struct ProcessLimits {
  explicit ProcessLimits(const Settings& settings);

  MemoryAccount memory;
  DescriptorPlan descriptors;
  HttpLimits callers;
  HttpLimits health;  ///< Connections and memory only.
  HttpLimits peers;   ///< Connections and memory only.
};

/// Sets the limits of the client of backend servers.
void SetBackendLimits(const ProcessLimits& limits, BackendOptions* options);

/// Returns a listener's limits under a configuration. Sizes and the time for a
/// head are the larger ones of settings and configuration, so no client that
/// keeps within either is refused. Clients reuse connections that have been
/// idle for less than the configuration's idle time, so it replaces `limits`'.
HttpLimits WithFleetLimits(HttpLimits limits, const FleetLimits& fleet);

/// @return Keys and values for the log: the limits that clients meet.
std::vector<std::pair<std::string, std::string>> DescribeLimits(
    const HttpLimits& limits);

/// Sets the metrics of a listener's connections and its part of the account.
/// @param listener Name of the listener: callers, health or peers.
void SetListenerMetrics(const std::string& listener,
                        const HttpServerStats& stats, Metrics* metrics);

}  // namespace clementine

#endif  // DAEMON_PROCESS_LIMITS_H_

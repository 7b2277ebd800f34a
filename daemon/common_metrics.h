// Metrics that the daemons of both interfaces export.
#ifndef DAEMON_COMMON_METRICS_H_
#define DAEMON_COMMON_METRICS_H_

#include "core/core.h"
#include "net/net.h"

namespace clementine {

/// Sets the metrics of the request path, the HTTP server for callers and the
/// calls to backend servers.
void SetCommonMetrics(const RequestPathStats& path,
                      const HttpServerStats& server,
                      const BackendStats& backend, Metrics* metrics);

/// Counts an attempt that got an answer, by its framing and result.
void CountAnswer(const BackendEnd& end, Metrics* metrics);

}  // namespace clementine

#endif  // DAEMON_COMMON_METRICS_H_

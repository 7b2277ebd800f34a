#include "daemon/event_queue.h"

#include <chrono>

namespace clementine {

std::uint64_t MillisecondsSinceEpoch() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

HttpLimits ServerLimits(const Settings& settings) {
  HttpLimits limits;
  limits.max_header_bytes = settings.max_header_bytes;
  limits.max_body_bytes = settings.max_body_bytes;
  limits.max_connections = settings.max_connections;
  limits.header_timeout = settings.header_timeout;
  limits.body_timeout = settings.body_timeout;
  limits.write_timeout = settings.body_timeout;
  return limits;
}

}  // namespace clementine

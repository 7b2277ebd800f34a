// Event queue and start-up helpers that Daemon and FleetDaemon share.
#ifndef DAEMON_EVENT_QUEUE_H_
#define DAEMON_EVENT_QUEUE_H_

#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <utility>

#include "config/config.h"
#include "net/net.h"

namespace clementine {

/// Handles events one at a time, in the order of Push. An event that is pushed
/// while another is handled waits until that one is done.
template <typename Event>
class EventQueue {
 public:
  /// @param handle Called for each event. Exceptions that it throws are logged
  ///               and counted.
  EventQueue(Metrics* metrics, std::function<void(const Event&)> handle)
      : m_metrics(metrics), m_handle(std::move(handle)) {}

  void Push(Event event) {
    m_events.push_back(std::move(event));
    if (m_handling) return;
    m_handling = true;
    while (!m_events.empty()) {
      Event next = std::move(m_events.front());
      m_events.pop_front();
      try {
        m_handle(next);
      } catch (const std::exception& error) {
        m_metrics->Add("clementine_internal_errors_total", "");
        LogEvent("internal_error", {{"error", error.what()}});
      }
    }
    m_handling = false;
  }

 private:
  Metrics* m_metrics;
  std::function<void(const Event&)> m_handle;
  std::deque<Event> m_events;
  bool m_handling = false;
};

/// Returns the current system time in ms since 1970. The start time of a
/// process is its incarnation.
std::uint64_t MillisecondsSinceEpoch();

/// Returns the limits of the HTTP server that callers connect to.
HttpLimits ServerLimits(const Settings& settings);

}  // namespace clementine

#endif  // DAEMON_EVENT_QUEUE_H_

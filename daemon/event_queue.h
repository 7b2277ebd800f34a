// What both daemons need to feed their facades.
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

/// Hands events on one at a time: an event that is pushed while another is
/// handled waits, so that a callback inside an action is handled after it.
template <typename Event>
class EventQueue {
 public:
  /// @param handle Called for each event; what it throws is logged and counted.
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

/// Start time of a process, which tells its lives apart.
std::uint64_t MillisecondsSinceEpoch();

/// Limits of the server for callers.
HttpLimits ServerLimits(const Settings& settings);

}  // namespace clementine

#endif  // DAEMON_EVENT_QUEUE_H_

// Splits a forwarded stream of server-sent events at the event boundaries.
#ifndef DAEMON_RELAY_STREAM_H_
#define DAEMON_RELAY_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementine {

/// Delivers only complete events, in order and each once. A stream that breaks
/// inside an event can therefore be resumed on another server.
class RelayStream {
 public:
  /// Appends bytes of the current answer.
  /// @return Bytes to deliver: complete events that were not delivered before.
  std::string ExtractEvents(std::string_view bytes);

  /// The current answer has ended. If it ended inside an event, it was broken
  /// off, whatever its framing says.
  /// @return Bytes to deliver after the last event.
  std::string Finish();

  /// Whether the current answer, which has ended with a complete event, can end
  /// the stream: it is the first answer, or it delivered new events.
  bool CanEnd() const { return !m_broken && (!m_resumed || m_has_new_event); }

  /// Starts a new answer, which has to continue after the last delivered event.
  void Restart();

  /// Number of delivered events.
  std::uint64_t events() const { return m_events; }
  /// Id of the last delivered event that has one; empty if none has.
  const std::string& last_id() const { return m_last_id; }
  /// Whether the incomplete event exceeds the maximum size.
  bool oversized() const { return held_bytes() > kMaxEventBytes; }
  /// Size of the incomplete event, in bytes.
  std::size_t held_bytes() const { return m_partial.size(); }
  /// Whether the answer ended inside an event, or an event of a resumed stream
  /// did not follow the last delivered one: its id skips a number, or it has no
  /// number although earlier events have.
  bool broken() const { return m_broken; }

 private:
  /// Far above the size of events, which hold a few tokens (less than 1 KB).
  static constexpr std::size_t kMaxEventBytes = 1'048'576;

  bool AcceptEvent(std::string_view event);

  std::string m_partial;  ///< The incomplete event.
  std::string m_last_id;
  std::optional<std::int64_t> m_last_number;
  std::uint64_t m_events = 0;
  bool m_resumed = false;
  bool m_has_new_event = false;  ///< The current answer delivered an event.
  bool m_broken = false;
};

}  // namespace clementine

#endif  // DAEMON_RELAY_STREAM_H_

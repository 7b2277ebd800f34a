// Splits a relayed stream of server-sent events at its event boundaries.
#ifndef DAEMON_RELAY_STREAM_H_
#define DAEMON_RELAY_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementine {

/// Lets through whole events only, in order and each once, so that a stream
/// that breaks inside an event can go on at another server.
class RelayStream {
 public:
  /// Takes bytes of the running answer.
  /// @return Bytes to deliver: whole events that weren't delivered before.
  std::string Take(std::string_view bytes);

  /// The running answer ended complete. @return What follows its last event.
  std::string Finish();

  /// Whether the running answer, which has ended complete, can end the stream:
  /// it's the first one, or it told events after those of the earlier ones.
  bool CanEnd() const { return !m_broken && (!m_resumed || m_went_on); }

  /// A new answer begins, which goes on after the last delivered event.
  void Restart();

  /// Events delivered so far.
  std::uint64_t events() const { return m_events; }
  /// Id of the last delivered event; empty when it had none.
  const std::string& last_id() const { return m_last_id; }
  /// More bytes came than an event may have, and none of them ends it.
  bool oversized() const { return held_bytes() > kMostEventBytes; }
  /// Bytes of an event that isn't complete.
  std::size_t held_bytes() const { return m_partial.size(); }
  /// An event of a resumed stream doesn't follow the last one: a number is
  /// missing between them, or it has none where the earlier ones have.
  bool broken() const { return m_broken; }

 private:
  /// Events hold some tokens, below a KB.
  static constexpr std::size_t kMostEventBytes = 1'048'576;

  bool Accept(std::string_view event);

  std::string m_partial;  ///< Of an event that isn't complete.
  std::string m_last_id;
  std::optional<std::int64_t> m_last_number;
  std::uint64_t m_events = 0;
  bool m_resumed = false;
  bool m_went_on = false;  ///< The running answer told a new event.
  bool m_broken = false;
};

}  // namespace clementine

#endif  // DAEMON_RELAY_STREAM_H_

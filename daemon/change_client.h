// Reads changes of the platform's objects from other daemons.
#ifndef DAEMON_CHANGE_CLIENT_H_
#define DAEMON_CHANGE_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemon/change_relay.h"

namespace clementine {

/// Subscriptions to change relays. The time up to which a peer knows all
/// changes is computed from the start of the subscription and the elapsed time
/// on the peer's clock. A frame that arrives late, such as after a pause of
/// this process, therefore doesn't count as more recent than it is.
class ChangeClient {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    /// Receives an update of a peer, and the time up to which the peer knows
    /// all changes.
    std::function<void(const std::string& peer, const ChangeUpdate& update,
                       TimePoint as_of)>
        on_update;
    /// The subscription has ended, but not by Unsubscribe.
    std::function<void(const std::string& peer, const std::string& detail)>
        on_ended;
  };

  /// More than a frame with a whole history (ChangeHistory::kMaxBytes).
  static constexpr std::size_t kMaxHeldBytes = 25'165'824;

  /// @param silence_timeout A subscription without data for this time has
  /// ended.
  /// @param keys Shared with the sources, which sign with them.
  /// @param max_held_bytes Of unfinished frames of all sources.
  ChangeClient(boost::asio::io_context* io, milliseconds silence_timeout,
               Hooks hooks, ChangeKeys keys = {},
               std::size_t max_held_bytes = kMaxHeldBytes);
  ~ChangeClient();
  ChangeClient(const ChangeClient&) = delete;
  ChangeClient& operator=(const ChangeClient&) = delete;

  /// @param peer  Address, IP:port.
  /// @param known Revisions after which changes are requested.
  /// @param eras In which the revisions in `known` count.
  void Subscribe(const std::string& peer, const ChangeRevisions& known,
                 const ChangeRevisions& eras = {});
  void Unsubscribe(const std::string& peer);

 private:
  struct Stream;

  void OnBytes(Stream* stream, std::string_view bytes);
  void EndStream(const std::string& peer, const std::string& detail);

  milliseconds m_silence_timeout;
  Hooks m_hooks;
  ChangeKeys m_keys;
  BackendClient m_client;
  std::map<std::string, std::shared_ptr<Stream>> m_streams;  ///< By peer.
};

}  // namespace clementine

#endif  // DAEMON_CHANGE_CLIENT_H_

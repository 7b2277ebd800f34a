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
/// changes is measured from the subscription by the peer's clock, so a frame
/// that was late, as after a pause of this process, tells an older time.
class ChangeClient {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    /// What a peer told, and up to when it knows all changes.
    std::function<void(const std::string& peer, const ChangeUpdate& update,
                       TimePoint as_of)>
        heard;
    /// The subscription has ended by itself.
    std::function<void(const std::string& peer, const std::string& detail)>
        lost;
  };

  /// @param silence A stream without a frame for so long has ended.
  /// @param keys Shared with the sources, which sign by them.
  ChangeClient(boost::asio::io_context* io, milliseconds silence, Hooks hooks,
               ChangeKeys keys = {});
  ~ChangeClient();
  ChangeClient(const ChangeClient&) = delete;
  ChangeClient& operator=(const ChangeClient&) = delete;

  /// @param peer  Address, IP:port.
  /// @param known Revisions after which changes are wanted.
  void Subscribe(const std::string& peer, const ChangeRevisions& known);
  void Unsubscribe(const std::string& peer);

 private:
  struct Stream;

  void Take(Stream* stream, std::string_view bytes);
  void End(const std::string& peer, const std::string& detail);

  milliseconds m_silence;
  Hooks m_hooks;
  ChangeKeys m_keys;
  BackendClient m_client;
  std::map<std::string, std::shared_ptr<Stream>> m_streams;  ///< By peer.
};

}  // namespace clementine

#endif  // DAEMON_CHANGE_CLIENT_H_

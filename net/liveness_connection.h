// A connection that shows whether a server's process lives.
#ifndef NET_LIVENESS_CONNECTION_H_
#define NET_LIVENESS_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "net/server_connections.h"

namespace clementine {

/// A connection that is held to a server while answers are read whose end only
/// the end of their connection tells, so that ServerConnections has one that is
/// open with each of them. Nothing is sent on it. If the server closes it, as
/// it does after its idle timeout, another one is made after a pause, so that
/// none is made to a successor in the moment in which the process ends.
class LivenessConnection {
 public:
  /// @param connections Is told of them.
  /// @param address IP:port of the server.
  /// @param idle_timeout Of the server, as seen so far; 0: unknown. Updated.
  /// @throws std::runtime_error if it isn't one.
  LivenessConnection(boost::asio::io_context* io,
                     std::shared_ptr<ServerConnections> connections,
                     const std::string& address,
                     std::shared_ptr<std::chrono::milliseconds> idle_timeout);
  ~LivenessConnection();
  LivenessConnection(const LivenessConnection&) = delete;
  LivenessConnection& operator=(const LivenessConnection&) = delete;

  /// Connections made.
  int made() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace clementine

#endif  // NET_LIVENESS_CONNECTION_H_

// Evidence on whether a server's process outlives an answer.
#ifndef NET_SERVER_WATCH_H_
#define NET_SERVER_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace clementine {

/// Holds a connection to a server while answers are read whose end only the end
/// of their connection tells. When a process ends, the kernel closes all its
/// connections in the same moment, whoever listens at its address afterwards.
/// Nothing is sent on the connection. If the server closes it, a few more are
/// made, each after a pause, so that none is made to a successor in the moment
/// in which the process ends.
class ServerWatch {
 public:
  using Clock = std::chrono::steady_clock;

  /// Connections that the kernel closes with a process end within this time of
  /// each other, as seen here. It is also how long a process has to outlive an
  /// answer.
  static constexpr std::chrono::milliseconds kMoment{20};

  /// @param address IP:port of the server.
  /// @throws std::runtime_error if it isn't one.
  ServerWatch(boost::asio::io_context* io, const std::string& address);
  ~ServerWatch();
  ServerWatch(const ServerWatch&) = delete;
  ServerWatch& operator=(const ServerWatch&) = delete;

  /// Connects, unless a connection is open or being made.
  void Ensure();

  enum class Verdict {
    kUnknown,    ///< No connection was open when the answer ended.
    kOutlived,   ///< One that was open then is still open.
    kEndedWith,  ///< The one that was open then ended in the same moment.
  };

  /// Whether the server's process has outlived an answer; to be asked kMoment
  /// after its end.
  /// @param answer_end When the end of the answer's connection was seen.
  Verdict Judge(Clock::time_point answer_end);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace clementine

#endif  // NET_SERVER_WATCH_H_

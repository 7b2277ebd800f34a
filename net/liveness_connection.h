// Evidence on whether a server's process outlives an answer.
#ifndef NET_LIVENESS_CONNECTION_H_
#define NET_LIVENESS_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace clementine {

/// A connection that is held to a server while answers are read whose end only
/// the end of their connection tells. When a process ends, the kernel closes
/// all its connections in the same moment, whoever listens at its address
/// afterwards. Nothing is sent on it. If the server closes it, as it does after
/// its idle timeout, another one is made after a pause, so that none is made to
/// a successor in the moment in which the process ends.
class LivenessConnection {
 public:
  using Clock = std::chrono::steady_clock;

  /// Ends of connections that are handled within this time of each other, or
  /// later because this process got no processor time, count as simultaneous.
  /// A server's process has to outlive an answer by this time.
  static constexpr std::chrono::milliseconds kSimultaneous{20};

  /// @param address IP:port of the server.
  /// @throws std::runtime_error if it isn't one.
  LivenessConnection(boost::asio::io_context* io, const std::string& address);
  ~LivenessConnection();
  LivenessConnection(const LivenessConnection&) = delete;
  LivenessConnection& operator=(const LivenessConnection&) = delete;

  /// Connects, unless a connection is open or being made.
  void Ensure();

  enum class Verdict {
    kUnknown,    ///< No connection was open when the answer ended.
    kOutlived,   ///< One that was open then is still open.
    kEndedWith,  ///< The one that was open then ended in the same moment.
  };

  /// Whether the server's process has outlived an answer. Before kSimultaneous
  /// has passed, kOutlived only says that no end has been seen yet.
  /// @param answer_end When the end of the answer's connection was seen.
  Verdict Judge(Clock::time_point answer_end);

  /// Whether a connection is open, and how many have been made.
  /// @return For logs, such as "open,made=1".
  std::string Describe() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace clementine

#endif  // NET_LIVENESS_CONNECTION_H_

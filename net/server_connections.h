// Whether the process of a server has outlived an answer.
#ifndef NET_SERVER_CONNECTIONS_H_
#define NET_SERVER_CONNECTIONS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementine {

/// What the reader of a connection knows of it. Nobody else looks at the
/// socket: a look takes a pending error away, and the reader then sees a reset
/// as a regular end. Invariant: process_since <= opened_at <= open_until.
struct ReadConnection {
  using Clock = std::chrono::steady_clock;

  explicit ReadConnection(Clock::time_point now)
      : opened_at(now),
        waited_at(now),
        read_at(now),
        open_until(now),
        process_since(now) {}

  void BeginRead() {
    reading = true;
    ++reads;
  }
  void EndRead() {
    reading = false;
    if (!unread) read_at = Clock::now();
  }

  Clock::time_point opened_at;
  /// Latest time at which a read on it waited, so that it was open.
  Clock::time_point waited_at;
  /// When a read returned last, unless the reader had stopped before.
  Clock::time_point read_at;
  /// Latest time at which the connection is taken to have been open.
  Clock::time_point open_until;
  /// Earliest time since which the process at the other end is known to run.
  Clock::time_point process_since;
  bool reading = false;  ///< A read waits for bytes or for the end.
  bool unread = false;   ///< Its reader has stopped since `open_until`.
  /// The server has ended it, and nothing but its process had a reason to: set
  /// for connections without a request only.
  bool ended = false;
  std::uint64_t reads = 0;  ///< Begun so far.
};

/// The connections to servers, by address. Two connections to an address that
/// are open at the same time lead to the same process, and when a process ends
/// the kernel closes all its connections in the same moment. So a process has
/// outlived an answer if another connection to it
///   - was open while the answer's was, directly or through others, and
///   - is open a moment after the answer's has ended.
/// A connection is known to be open while a read on it waits. One that isn't
/// being read tells nothing of the other's end: bytes may be left from before.
/// Bytes may also come faster than they are read. So until a connection to its
/// server ends, an answer's own connection is taken to be open if bytes came a
/// moment ago.
class ServerConnections
    : public std::enable_shared_from_this<ServerConnections> {
 public:
  using Clock = std::chrono::steady_clock;

  /// Ends of connections that are handled within this time of each other, or
  /// later because this process got no processor time, count as simultaneous.
  /// A server's process has to outlive an answer by this time.
  static constexpr std::chrono::milliseconds kSimultaneous{20};

  /// A process is assumed not to be replaced at its address within this time.
  /// An answer whose reader had stopped for longer before it came to the end
  /// may come from a process that has been replaced since.
  static constexpr std::chrono::milliseconds kMaxUnreadTime{100};

  enum class Verdict {
    kUnknown,    ///< No other connection tells.
    kReadLate,   ///< As kUnknown, and the end may have come long before.
    kOutlived,   ///< One that was open with the answer's is open after it.
    kEndedWith,  ///< All that were open with it ended in the same moment.
  };

  /// @param has_idle_since Whether a connection to an address that nobody reads
  ///     has been idle since before a time and is open.
  ServerConnections(
      boost::asio::io_context* io,
      std::function<bool(const std::string&, Clock::time_point)> has_idle_since)
      : m_io(io), m_has_idle_since(std::move(has_idle_since)) {}
  ServerConnections(const ServerConnections&) = delete;
  ServerConnections& operator=(const ServerConnections&) = delete;

  /// Adds a connection that has just been established.
  std::shared_ptr<ReadConnection> Add(const std::string& address);
  /// Notes that the server has ended a connection without a request.
  void End(const std::string& address, ReadConnection* connection);
  /// Removes a connection that its owner closes or no longer reads.
  void Remove(const std::string& address, const ReadConnection* connection);

  /// Begins to mark the connections to an address that are open.
  void Refresh(const std::string& address);

  /// Returns the verdict on an answer whose end has just been handled. Takes
  /// kSimultaneous and a little more if there are other connections.
  /// @param answer The record of the answer's connection, which has been
  /// removed.
  /// @return kUnknown also without any other connection.
  boost::asio::awaitable<Verdict> Judge(
      std::string address, std::shared_ptr<const ReadConnection> answer);

  /// Connections to an address.
  std::size_t Count(const std::string& address) const;

 private:
  /// Marks the connections that are open. Returns after the ends that had
  /// arrived when it was called have been handled.
  static boost::asio::awaitable<void> MarkOpen(
      std::shared_ptr<ServerConnections> self, std::string address);

  struct Server {
    std::vector<std::shared_ptr<ReadConnection>> connections;
    Clock::time_point last_end = Clock::time_point::min();
  };

  boost::asio::io_context* m_io;
  std::function<bool(const std::string&, Clock::time_point)> m_has_idle_since;
  std::unordered_map<std::string, Server> m_servers;
};

/// @return For logs.
const char* VerdictName(ServerConnections::Verdict verdict);

/// Waits for the ends of connections that are simultaneous with one that has
/// just been handled.
boost::asio::awaitable<void> WaitForSimultaneousEnds(
    boost::asio::io_context* io);

}  // namespace clementine

#endif  // NET_SERVER_CONNECTIONS_H_

// Idle connections to backend servers, by address.
#ifndef NET_CONNECTION_POOL_H_
#define NET_CONNECTION_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine {

/// Whether the peer has neither closed an idle connection nor sent something
/// unasked.
bool StillOpen(boost::asio::ip::tcp::socket* socket);

/// Keeps connections that are proven idle. Invariant: at most
/// `max_per_address` connections for an address.
class ConnectionPool {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Clock = std::chrono::steady_clock;

  /// @param most Of all addresses together; 0: unlimited.
  ConnectionPool(std::size_t max_per_address,
                 std::chrono::milliseconds idle_timeout, std::size_t most = 0)
      : m_max_per_address(max_per_address),
        m_most(most),
        m_idle_timeout(idle_timeout) {}

  /// Returns the most recently used connection that the server hasn't closed.
  std::optional<Socket> Take(const std::string& address);
  void Put(const std::string& address, Socket socket, Clock::time_point now);

  /// Closes all idle connections of an address, after one stopped responding.
  void Purge(const std::string& address);
  /// Closes connections that were idle for longer than the idle timeout.
  void Expire(Clock::time_point now);

  /// Whether a connection that has been idle since before a time is open.
  bool HasOpenSince(const std::string& address, Clock::time_point time);

  /// Sets the bound; connections above it close as they are returned.
  void SetMaxPerAddress(std::size_t most) { m_max_per_address = most; }

  std::size_t size() const;

 private:
  struct Idle {
    Socket socket;
    Clock::time_point since;
  };

  std::size_t m_max_per_address;
  std::size_t m_most;
  std::chrono::milliseconds m_idle_timeout;
  std::unordered_map<std::string, std::vector<Idle>> m_idle;
};

}  // namespace clementine

#endif  // NET_CONNECTION_POOL_H_

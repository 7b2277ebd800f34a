// A connection is checked just before reuse: a pending end of file means that
// the server closed it, and pending bytes can't belong to the next answer.

#include "net/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace clementine {
bool StillOpen(boost::asio::ip::tcp::socket* socket) {
  char byte = 0;
  ssize_t size =
      ::recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<ConnectionPool::Socket> ConnectionPool::Take(
    const std::string& address) {
  auto found = m_idle.find(address);
  if (found == m_idle.end()) return std::nullopt;
  std::vector<Idle>& idle = found->second;
  while (!idle.empty()) {
    Socket socket = std::move(idle.back().socket);
    idle.pop_back();
    if (StillOpen(&socket)) return socket;
  }
  m_idle.erase(found);
  return std::nullopt;
}

void ConnectionPool::Put(const std::string& address, Socket socket,
                         Clock::time_point now) {
  if (m_max_per_address == 0) return;
  // Counting takes time for each address, so it's done only with a limit.
  if (m_most > 0 && size() >= m_most) return;
  std::vector<Idle>& idle = m_idle[address];
  if (idle.size() >= m_max_per_address) idle.erase(idle.begin());
  idle.push_back({std::move(socket), now});
}

void ConnectionPool::Purge(const std::string& address) {
  m_idle.erase(address);
}

void ConnectionPool::Expire(Clock::time_point now) {
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    std::vector<Idle>& idle = it->second;
    auto fresh = std::find_if(idle.begin(), idle.end(), [&](const Idle& entry) {
      return now - entry.since < m_idle_timeout;
    });
    idle.erase(idle.begin(), fresh);
    it = idle.empty() ? m_idle.erase(it) : std::next(it);
  }
}

bool ConnectionPool::HasOpenSince(const std::string& address,
                                  Clock::time_point time) {
  auto found = m_idle.find(address);
  if (found == m_idle.end()) return false;
  return std::any_of(
      found->second.begin(), found->second.end(),
      [&](Idle& idle) { return idle.since < time && StillOpen(&idle.socket); });
}

std::size_t ConnectionPool::size() const {
  std::size_t total = 0;
  for (const auto& [address, idle] : m_idle) total += idle.size();
  return total;
}

}  // namespace clementine

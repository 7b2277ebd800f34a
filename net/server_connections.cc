// The end of a connection that has arrived is handled within some turns of the
// event loop, so a read that still waits after them shows that the connection
// was open before them. That costs no system call for each connection, and is
// right also if this process got no processor time meanwhile.

#include "net/server_connections.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace clementine {
namespace {

namespace asio = boost::asio;

/// No number of a read.
constexpr std::uint64_t kNoRead = 0;

/// Handlers run in turn, and one turn delivers a bounded number of events.
asio::awaitable<void> RunPendingHandlers(asio::io_context* io) {
  constexpr int kTurns = 8;
  for (int turn = 0; turn < kTurns; ++turn) {
    co_await asio::post(*io, asio::use_awaitable);
  }
}

}  // namespace

std::shared_ptr<ReadConnection> ServerConnections::Add(
    const std::string& address) {
  return m_servers[address].connections.emplace_back(
      std::make_shared<ReadConnection>(Clock::now()));
}

void ServerConnections::End(const std::string& address,
                            ReadConnection* connection) {
  connection->ended = true;
  auto found = m_servers.find(address);
  if (found != m_servers.end()) found->second.last_end = Clock::now();
}

void ServerConnections::Remove(const std::string& address,
                               const ReadConnection* connection) {
  auto found = m_servers.find(address);
  if (found == m_servers.end()) return;
  std::erase_if(found->second.connections, [connection](const auto& entry) {
    return entry.get() == connection;
  });
  if (found->second.connections.empty()) m_servers.erase(found);
}

void ServerConnections::Refresh(const std::string& address) {
  asio::co_spawn(*m_io, MarkOpen(shared_from_this(), address), asio::detached);
}

asio::awaitable<void> ServerConnections::MarkOpen(
    std::shared_ptr<ServerConnections> self, std::string address) {
  // The caller may be about to begin a read.
  co_await asio::post(*self->m_io, asio::use_awaitable);
  auto found = self->m_servers.find(address);
  if (found == self->m_servers.end()) co_return;
  Clock::time_point now = Clock::now();
  std::vector<std::pair<std::shared_ptr<ReadConnection>, std::uint64_t>> seen;
  for (const auto& connection : found->second.connections) {
    seen.emplace_back(connection,
                      connection->reading ? connection->reads : kNoRead);
  }
  co_await RunPendingHandlers(self->m_io);
  found = self->m_servers.find(address);
  if (found == self->m_servers.end()) co_return;
  Clock::time_point last_end = found->second.last_end;
  std::vector<ReadConnection*> open;
  for (const auto& [connection, reads] : seen) {
    if (connection->reading && connection->reads == reads) {
      connection->waited_at = now;
      connection->unread = false;
      open.push_back(connection.get());
    } else if (last_end < connection->opened_at &&
               connection->read_at >= now - kMaxUnreadTime) {
      open.push_back(connection.get());
    }
  }
  Clock::time_point since = now;
  for (const ReadConnection* connection : open) {
    since = std::min(since, connection->process_since);
  }
  for (ReadConnection* connection : open) {
    connection->open_until = std::max(connection->open_until, now);
    connection->process_since = since;
  }
}

asio::awaitable<ServerConnections::Verdict> ServerConnections::Judge(
    std::string address, std::shared_ptr<const ReadConnection> answer) {
  Clock::time_point end = Clock::now();
  // Those that end meanwhile are removed from the list.
  std::vector<std::shared_ptr<ReadConnection>> others;
  auto found = m_servers.find(address);
  if (found != m_servers.end()) others = found->second.connections;
  if (!others.empty()) {
    asio::steady_timer pause(*m_io, kSimultaneous);
    boost::system::error_code ignored;
    co_await pause.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    co_await MarkOpen(shared_from_this(), address);
  }
  if (m_has_idle_since(address, answer->open_until)) {
    co_return Verdict::kOutlived;
  }
  Verdict verdict = answer->unread && end - answer->open_until > kMaxUnreadTime
                        ? Verdict::kReadLate
                        : Verdict::kUnknown;
  for (const auto& other : others) {
    if (other->process_since > answer->open_until) continue;
    if (other->waited_at >= end + kSimultaneous) co_return Verdict::kOutlived;
    if (other->ended) verdict = Verdict::kEndedWith;
  }
  co_return verdict;
}

std::size_t ServerConnections::Count(const std::string& address) const {
  auto found = m_servers.find(address);
  return found == m_servers.end() ? 0 : found->second.connections.size();
}

const char* VerdictName(ServerConnections::Verdict verdict) {
  switch (verdict) {
    case ServerConnections::Verdict::kUnknown:
      return "unknown";
    case ServerConnections::Verdict::kReadLate:
      return "read_late";
    case ServerConnections::Verdict::kOutlived:
      return "outlived";
    case ServerConnections::Verdict::kEndedWith:
      return "ended_with";
  }
  return "unknown";
}

// A process without processor time may run the handler of one end long after
// that of the other. Timers are served after the sockets that are ready, so the
// other end has been handled when this returns.
asio::awaitable<void> WaitForSimultaneousEnds(asio::io_context* io) {
  asio::steady_timer pause(*io, ServerConnections::kSimultaneous);
  boost::system::error_code ignored;
  co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_await RunPendingHandlers(io);
}

}  // namespace clementine

// A connection that was never accepted by the process counts too: the kernel
// resets it when the listening socket is closed.

#include "net/liveness_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <deque>
#include <utility>

#include "net/address.h"

namespace clementine {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

/// A server that closes a connection sooner doesn't do so for its idle timeout:
/// it refuses connections or has too many. The next one waits.
constexpr std::chrono::milliseconds kMinLifetime{100};
constexpr std::chrono::milliseconds kMinRetryDelay{50};
constexpr std::chrono::milliseconds kMaxRetryDelay{800};
/// Assumed until a server has closed a connection, or hasn't for longer.
constexpr std::chrono::milliseconds kFirstIdleTimeout{200};
constexpr std::chrono::milliseconds kMaxIdleTimeout{60'000};
/// Connections to a server that are open at the same time.
constexpr std::size_t kMaxLinks = 3;
/// Bytes that a server may send unasked, such as an answer that tells of its
/// idle timeout.
constexpr std::size_t kMaxUnaskedBytes = 16'384;

}  // namespace

struct LivenessConnection::State {
  State(asio::io_context* io_context,
        std::shared_ptr<ServerConnections> server_connections,
        const std::string& server_address,
        std::shared_ptr<std::chrono::milliseconds> server_idle_timeout)
      : io(io_context),
        connections(std::move(server_connections)),
        address(server_address),
        endpoint(ParseEndpoint(server_address)),
        idle_timeout(std::move(server_idle_timeout)),
        pause(*io) {
    if (*idle_timeout == std::chrono::milliseconds(0)) {
      *idle_timeout = kFirstIdleTimeout;
    }
  }

  /// An established connection until its end has been handled.
  struct Link {
    explicit Link(asio::io_context* io)
        : socket(*io), opened_at(Clock::now()) {}
    std::chrono::milliseconds age() const {
      return std::chrono::duration_cast<std::chrono::milliseconds>(
          Clock::now() - opened_at);
    }

    tcp::socket socket;
    Clock::time_point opened_at;
    bool open = true;
  };

  static asio::awaitable<void> Run(std::shared_ptr<State> self);
  /// Reads a connection until it ends, and learns the idle timeout from that.
  static asio::awaitable<void> ReadUntilClosed(std::shared_ptr<State> self,
                                               std::shared_ptr<Link> link);
  asio::awaitable<void> Wait(std::chrono::milliseconds time);
  /// Closes the oldest connection if there are too many: the server's idle
  /// timeout is longer than assumed.
  void CloseExcessLinks();

  asio::io_context* io;
  std::shared_ptr<ServerConnections> connections;
  std::string address;
  tcp::endpoint endpoint;
  std::shared_ptr<std::chrono::milliseconds> idle_timeout;
  std::deque<std::shared_ptr<Link>> links;  ///< Open ones, the oldest first.
  std::shared_ptr<Link> newest;  ///< May be connecting, or have ended.
  asio::steady_timer pause;      ///< Of Run.
  int made = 0;
  bool stopped = false;
};

asio::awaitable<void> LivenessConnection::State::Run(
    std::shared_ptr<State> self) {
  std::chrono::milliseconds retry_delay = kMinRetryDelay;
  while (!self->stopped) {
    ++self->made;
    auto link = self->newest = std::make_shared<Link>(self->io);
    error_code error;
    co_await link->socket.async_connect(
        self->endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (self->stopped) break;
    if (error) {
      co_await WaitForSimultaneousEnds(self->io);
    } else {
      self->links.push_back(link);
      self->CloseExcessLinks();
      asio::co_spawn(*self->io, ReadUntilClosed(self, link), asio::detached);
      // The next one overlaps with it, so that one is open at any time.
      co_await self->Wait(*self->idle_timeout / 2);
      if (link->open || link->age() >= kMinLifetime) {
        retry_delay = kMinRetryDelay;
        continue;
      }
    }
    co_await self->Wait(retry_delay);
    retry_delay = std::min(retry_delay * 2, kMaxRetryDelay);
  }
}

// The end stays known until those that are simultaneous with it are handled.
asio::awaitable<void> LivenessConnection::State::ReadUntilClosed(
    std::shared_ptr<State> self, std::shared_ptr<Link> link) {
  std::shared_ptr<ReadConnection> connection =
      self->connections->Add(self->address);
  self->connections->Refresh(self->address);
  std::array<char, 512> bytes{};
  error_code error;
  std::size_t received = 0;
  while (!error && received <= kMaxUnaskedBytes) {
    connection->BeginRead();
    received += co_await link->socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    connection->EndRead();
  }
  std::chrono::milliseconds lifetime = link->age();
  std::erase(self->links, link);
  // A connection that is given up here says nothing about the server.
  bool ended = error && error != asio::error::operation_aborted;
  link->socket.close(error);
  if (ended) {
    self->connections->End(self->address, connection.get());
    if (lifetime >= kMinLifetime) *self->idle_timeout = lifetime;
    co_await WaitForSimultaneousEnds(self->io);
  }
  self->connections->Remove(self->address, connection.get());
  link->open = false;
  if (link == self->newest) self->pause.cancel();
}

asio::awaitable<void> LivenessConnection::State::Wait(
    std::chrono::milliseconds time) {
  error_code ignored;
  pause.expires_after(time);
  co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void LivenessConnection::State::CloseExcessLinks() {
  if (links.size() <= kMaxLinks) return;
  *idle_timeout = std::min(*idle_timeout * 2, kMaxIdleTimeout);
  error_code ignored;
  links.front()->socket.close(ignored);
  links.pop_front();
}

LivenessConnection::LivenessConnection(
    asio::io_context* io, std::shared_ptr<ServerConnections> connections,
    const std::string& address,
    std::shared_ptr<std::chrono::milliseconds> idle_timeout)
    : m_state(std::make_shared<State>(io, std::move(connections), address,
                                      std::move(idle_timeout))) {
  asio::co_spawn(*io, State::Run(m_state), asio::detached);
}

LivenessConnection::~LivenessConnection() {
  error_code ignored;
  m_state->stopped = true;
  m_state->pause.cancel();
  for (const auto& link : m_state->links) link->socket.close(ignored);
  if (m_state->newest) m_state->newest->socket.close(ignored);
}

int LivenessConnection::made() const { return m_state->made; }

}  // namespace clementine

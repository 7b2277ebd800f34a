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
constexpr std::size_t kMaxOpen = 3;
/// Bytes that a server may send unasked, such as an answer that tells of its
/// idle timeout.
constexpr std::size_t kMaxUnaskedBytes = 16'384;

}  // namespace

struct LivenessConnection::State {
  State(asio::io_context* io_context,
        std::shared_ptr<ServerConnections> connections,
        const std::string& server_address,
        std::shared_ptr<std::chrono::milliseconds> server_idle_timeout)
      : io(io_context),
        server_connections(std::move(connections)),
        address(server_address),
        endpoint(ParseEndpoint(server_address)),
        idle_timeout(std::move(server_idle_timeout)),
        pause(*io) {
    if (*idle_timeout == std::chrono::milliseconds(0)) {
      *idle_timeout = kFirstIdleTimeout;
    }
  }

  /// A connection, from the attempt to make it until its end has been handled.
  struct Connection {
    explicit Connection(asio::io_context* io)
        : socket(*io), begun_at(Clock::now()) {}
    std::chrono::milliseconds age() const {
      return std::chrono::duration_cast<std::chrono::milliseconds>(
          Clock::now() - begun_at);
    }

    tcp::socket socket;
    Clock::time_point begun_at;
    bool ended = false;
  };

  static asio::awaitable<void> Run(std::shared_ptr<State> self);
  /// Reads a connection until it ends, and learns the idle timeout from that.
  static asio::awaitable<void> ReadUntilClosed(
      std::shared_ptr<State> self, std::shared_ptr<Connection> connection);
  asio::awaitable<void> Wait(std::chrono::milliseconds time);
  /// Closes the oldest connection if there are too many: the server's idle
  /// timeout is longer than assumed.
  void CloseExcess();

  asio::io_context* io;
  std::shared_ptr<ServerConnections> server_connections;
  std::string address;
  tcp::endpoint endpoint;
  std::shared_ptr<std::chrono::milliseconds> idle_timeout;
  std::deque<std::shared_ptr<Connection>> open;  ///< The oldest first.
  std::shared_ptr<Connection> newest;  ///< May be connecting, or have ended.
  asio::steady_timer pause;            ///< Of Run.
  int made = 0;
  bool stopped = false;
};

asio::awaitable<void> LivenessConnection::State::Run(
    std::shared_ptr<State> self) {
  std::chrono::milliseconds retry_delay = kMinRetryDelay;
  while (!self->stopped) {
    ++self->made;
    auto connection = self->newest = std::make_shared<Connection>(self->io);
    error_code error;
    co_await connection->socket.async_connect(
        self->endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (self->stopped) break;
    if (error) {
      co_await WaitForSimultaneousEnds(self->io);
    } else {
      self->open.push_back(connection);
      self->CloseExcess();
      asio::co_spawn(*self->io, ReadUntilClosed(self, connection),
                     asio::detached);
      // The next one overlaps with it, so that one is open at any time.
      co_await self->Wait(*self->idle_timeout / 2);
      if (!connection->ended || connection->age() >= kMinLifetime) {
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
    std::shared_ptr<State> self, std::shared_ptr<Connection> connection) {
  std::shared_ptr<ReadConnection> record =
      self->server_connections->Add(self->address);
  self->server_connections->Refresh(self->address);
  std::array<char, 512> bytes{};
  error_code error;
  std::size_t received = 0;
  while (!error && received <= kMaxUnaskedBytes) {
    record->BeginRead();
    received += co_await connection->socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    record->EndRead();
  }
  std::chrono::milliseconds lifetime = connection->age();
  std::erase(self->open, connection);
  // A connection that is given up here says nothing about the server.
  bool ended = error && error != asio::error::operation_aborted;
  connection->socket.close(error);
  if (ended) {
    self->server_connections->End(self->address, record.get());
    if (lifetime >= kMinLifetime) *self->idle_timeout = lifetime;
    co_await WaitForSimultaneousEnds(self->io);
  }
  self->server_connections->Remove(self->address, record.get());
  connection->ended = true;
  if (connection == self->newest) self->pause.cancel();
}

asio::awaitable<void> LivenessConnection::State::Wait(
    std::chrono::milliseconds time) {
  error_code ignored;
  pause.expires_after(time);
  co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void LivenessConnection::State::CloseExcess() {
  if (open.size() <= kMaxOpen) return;
  *idle_timeout = std::min(*idle_timeout * 2, kMaxIdleTimeout);
  error_code ignored;
  open.front()->socket.close(ignored);
  open.pop_front();
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
  for (const auto& connection : m_state->open) {
    connection->socket.close(ignored);
  }
  if (m_state->newest) m_state->newest->socket.close(ignored);
}

int LivenessConnection::made() const { return m_state->made; }

}  // namespace clementine

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
/// Bytes that a server may send unasked, such as an answer that tells of its
/// idle timeout.
constexpr std::size_t kMaxUnaskedBytes = 16'384;

}  // namespace

struct LivenessConnection::State {
  State(asio::io_context* io_context,
        std::shared_ptr<ServerConnections> server_connections,
        const std::string& server_address)
      : io(io_context),
        connections(std::move(server_connections)),
        address(server_address),
        endpoint(ParseEndpoint(server_address)),
        socket(*io),
        pause(*io) {}

  static asio::awaitable<void> Run(std::shared_ptr<State> self);
  asio::awaitable<void> ReadUntilClosed();

  asio::io_context* io;
  std::shared_ptr<ServerConnections> connections;
  std::string address;
  tcp::endpoint endpoint;
  tcp::socket socket;
  asio::steady_timer pause;
  int made = 0;
  bool stopped = false;
};

asio::awaitable<void> LivenessConnection::State::Run(
    std::shared_ptr<State> self) {
  std::chrono::milliseconds retry_delay = kMinRetryDelay;
  while (!self->stopped) {
    ++self->made;
    Clock::time_point begin = Clock::now();
    self->socket = tcp::socket(*self->io);
    error_code error;
    co_await self->socket.async_connect(
        self->endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (self->stopped) break;
    if (error) {
      co_await WaitForSimultaneousEnds(self->io);
    } else {
      co_await self->ReadUntilClosed();
    }
    if (self->stopped) break;
    if (!error && Clock::now() - begin >= kMinLifetime) {
      retry_delay = kMinRetryDelay;
      continue;
    }
    self->pause.expires_after(retry_delay);
    co_await self->pause.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    retry_delay = std::min(retry_delay * 2, kMaxRetryDelay);
  }
}

// The end stays known until those that are simultaneous with it are handled.
asio::awaitable<void> LivenessConnection::State::ReadUntilClosed() {
  std::shared_ptr<ReadConnection> connection = connections->Add(address);
  asio::co_spawn(*io, connections->Refresh(address), asio::detached);
  std::array<char, 512> bytes{};
  error_code error;
  std::size_t received = 0;
  while (!error && received <= kMaxUnaskedBytes) {
    connection->BeginRead();
    received += co_await socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    connection->EndRead();
  }
  // A connection that is given up here says nothing about the server.
  connection->ended = error && !stopped;
  socket.close(error);
  if (connection->ended) {
    co_await WaitForSimultaneousEnds(io);
  }
  connections->Remove(address, connection.get());
}

LivenessConnection::LivenessConnection(
    asio::io_context* io, std::shared_ptr<ServerConnections> connections,
    const std::string& address)
    : m_state(std::make_shared<State>(io, std::move(connections), address)) {
  asio::co_spawn(*io, State::Run(m_state), asio::detached);
}

LivenessConnection::~LivenessConnection() {
  error_code ignored;
  m_state->stopped = true;
  m_state->pause.cancel();
  m_state->socket.close(ignored);
}

int LivenessConnection::made() const { return m_state->made; }

}  // namespace clementine

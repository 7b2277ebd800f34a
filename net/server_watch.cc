// A connection that was never accepted by the process counts too: the kernel
// resets it when the listening socket is closed.

#include "net/server_watch.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/address.h"
#include "net/connection_pool.h"

namespace clementine {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Connections made, one after the other, before the watch gives up.
constexpr int kMaxConnections = 3;
/// Bytes that a server may send unasked, such as an answer that tells of its
/// idle timeout.
constexpr std::size_t kMaxUnaskedBytes = 16'384;

}  // namespace

struct ServerWatch::State {
  State(asio::io_context* io, tcp::endpoint server)
      : endpoint(std::move(server)), socket(*io), pause(*io) {}

  static asio::awaitable<void> Run(std::shared_ptr<State> self);
  asio::awaitable<void> ReadUntilClosed();

  tcp::endpoint endpoint;
  tcp::socket socket;
  asio::steady_timer pause;
  std::optional<Clock::time_point> opened_at;  ///< Set while one is open.
  std::optional<Clock::time_point> closed_at;  ///< By the server, the last one.
  Clock::time_point closed_opened_at;  ///< When that one was established.
  bool running = false;
  bool stopped = false;
};

asio::awaitable<void> ServerWatch::State::Run(std::shared_ptr<State> self) {
  for (int made = 0; made < kMaxConnections; ++made) {
    error_code error;
    if (made > 0) {
      self->pause.expires_after(kMoment);
      co_await self->pause.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
    }
    if (self->stopped) break;
    self->socket = tcp::socket(self->pause.get_executor());
    co_await self->socket.async_connect(
        self->endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (self->stopped) break;
    if (error) continue;
    self->opened_at = Clock::now();
    co_await self->ReadUntilClosed();
    if (self->stopped) break;
    self->opened_at.reset();
  }
  self->running = false;
}

asio::awaitable<void> ServerWatch::State::ReadUntilClosed() {
  std::array<char, 512> bytes{};
  error_code error;
  std::size_t received = 0;
  while (!error && received <= kMaxUnaskedBytes) {
    received += co_await socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  }
  // A connection that is given up here says nothing about the server.
  if (error) {
    closed_at = Clock::now();
    closed_opened_at = *opened_at;
  }
  socket.close(error);
}

ServerWatch::ServerWatch(asio::io_context* io, const std::string& address)
    : m_state(std::make_shared<State>(io, ParseEndpoint(address))) {}

ServerWatch::~ServerWatch() {
  error_code ignored;
  m_state->stopped = true;
  m_state->pause.cancel();
  m_state->socket.close(ignored);
}

void ServerWatch::Ensure() {
  if (m_state->running) return;
  m_state->running = true;
  asio::co_spawn(m_state->pause.get_executor(), State::Run(m_state),
                 asio::detached);
}

ServerWatch::Verdict ServerWatch::Judge(Clock::time_point answer_end) {
  if (m_state->opened_at && *m_state->opened_at < answer_end) {
    // The event loop may not have delivered the end yet.
    return HasEnded(&m_state->socket) ? Verdict::kEndedWith
                                      : Verdict::kOutlived;
  }
  bool ended_with = m_state->closed_at &&
                    *m_state->closed_at >= answer_end - kMoment &&
                    m_state->closed_opened_at < answer_end;
  return ended_with ? Verdict::kEndedWith : Verdict::kUnknown;
}

}  // namespace clementine

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
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fmt/format.h"
#include "net/address.h"
#include "net/connection_pool.h"

namespace clementine {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

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
  State(asio::io_context* io, tcp::endpoint server)
      : endpoint(std::move(server)), socket(*io), pause(*io) {}

  static asio::awaitable<void> Run(std::shared_ptr<State> self);
  asio::awaitable<void> ReadUntilClosed();
  asio::awaitable<void> WaitForSimultaneousEnds();

  tcp::endpoint endpoint;
  tcp::socket socket;
  asio::steady_timer pause;
  /// When the present connection was established; empty without one.
  std::optional<Clock::time_point> opened_at;
  /// When a connection was established that the server has just closed; empty
  /// once all ends that were simultaneous have been handled.
  std::optional<Clock::time_point> just_closed_opened_at;
  int made = 0;  ///< Connections since Run began.
  bool running = false;
  bool stopped = false;
};

asio::awaitable<void> LivenessConnection::State::Run(
    std::shared_ptr<State> self) {
  std::chrono::milliseconds retry_delay = kMinRetryDelay;
  while (!self->stopped) {
    ++self->made;
    Clock::time_point begin = Clock::now();
    self->socket = tcp::socket(self->pause.get_executor());
    error_code error;
    co_await self->socket.async_connect(
        self->endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (self->stopped) break;
    if (!error) {
      self->opened_at = Clock::now();
      co_await self->ReadUntilClosed();
      if (self->stopped) break;
      self->opened_at.reset();
    }
    bool short_lived = error || Clock::now() - begin < kMinLifetime;
    co_await self->WaitForSimultaneousEnds();
    self->just_closed_opened_at.reset();
    if (self->stopped) break;
    if (!short_lived) {
      retry_delay = kMinRetryDelay;
      continue;
    }
    self->pause.expires_after(retry_delay);
    co_await self->pause.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    retry_delay = std::min(retry_delay * 2, kMaxRetryDelay);
  }
  self->running = false;
}

asio::awaitable<void> LivenessConnection::State::ReadUntilClosed() {
  std::array<char, 512> bytes{};
  error_code error;
  std::size_t received = 0;
  while (!error && received <= kMaxUnaskedBytes) {
    received += co_await socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  }
  // A connection that is given up here says nothing about the server.
  if (error) just_closed_opened_at = opened_at;
  socket.close(error);
}

// A process without processor time may run the handler of one end long after
// that of the other. Timers are served after the sockets that are ready, and
// handlers in turn, so the other end has been handled when this returns.
asio::awaitable<void> LivenessConnection::State::WaitForSimultaneousEnds() {
  constexpr int kTurns = 8;
  error_code ignored;
  pause.expires_after(kSimultaneous);
  co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  for (int turn = 0; turn < kTurns; ++turn) {
    co_await asio::post(pause.get_executor(), asio::use_awaitable);
  }
}

LivenessConnection::LivenessConnection(asio::io_context* io,
                                       const std::string& address)
    : m_state(std::make_shared<State>(io, ParseEndpoint(address))) {}

LivenessConnection::~LivenessConnection() {
  error_code ignored;
  m_state->stopped = true;
  m_state->pause.cancel();
  m_state->socket.close(ignored);
}

void LivenessConnection::Ensure() {
  if (m_state->running) return;
  m_state->running = true;
  asio::co_spawn(m_state->pause.get_executor(), State::Run(m_state),
                 asio::detached);
}

LivenessConnection::Verdict LivenessConnection::Judge(
    Clock::time_point answer_end) {
  if (m_state->opened_at && *m_state->opened_at < answer_end) {
    // The event loop may not have delivered the end yet.
    return HasEnded(&m_state->socket) ? Verdict::kEndedWith
                                      : Verdict::kOutlived;
  }
  bool ended_with = m_state->just_closed_opened_at &&
                    *m_state->just_closed_opened_at < answer_end;
  return ended_with ? Verdict::kEndedWith : Verdict::kUnknown;
}

std::string LivenessConnection::Describe() const {
  const char* state = m_state->opened_at               ? "open"
                      : m_state->just_closed_opened_at ? "just_ended"
                      : m_state->running               ? "connecting"
                                                       : "none";
  return fmt::format("{},made={}", state, m_state->made);
}

}  // namespace clementine

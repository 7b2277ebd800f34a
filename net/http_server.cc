// Accepts connections, bounds what all of them hold, and refuses or closes
// those for which there is no room. net/http_session.h describes a connection.

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

#include "net/header_name.h"
#include "net/http_session.h"

namespace clementine {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

/// Longest delay with which an exceeded deadline is noticed.
constexpr std::chrono::milliseconds kSweepInterval{250};

/// Wait after accept failed, which happens when descriptors run out.
constexpr std::chrono::milliseconds kAcceptPause{100};

/// Shortest time after which a connection without a successful answer may be
/// closed for a new one.
constexpr std::chrono::milliseconds kLeastAge{500};

/// Wait after no connection could be closed for a new one, as ranking them
/// takes time for each connection.
constexpr std::chrono::milliseconds kRoomPause{50};

}  // namespace

std::size_t HttpLimits::min_transfer_rate() const {
  if (transfer_rate > 0) return transfer_rate;
  auto timeout_ms = static_cast<std::size_t>(
      std::max<std::chrono::milliseconds::rep>(1, header_timeout.count()));
  return std::max<std::size_t>(1, max_header_bytes * 1'000 / timeout_ms);
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (SameHeaderName(key, name)) return value;
  }
  return {};
}

// ---------------------------------------------------------------------------
// Accepting.

void HttpServer::Impl::Stop(bool abort) {
  m_stopping = true;
  error_code ignored;
  m_acceptor.close(ignored);
  std::vector<HttpSession*> sessions(m_sessions.begin(), m_sessions.end());
  for (HttpSession* session : sessions) {
    if (abort) {
      session->Close();
    } else {
      session->StopIdle();
    }
  }
  if (abort) m_sweep.cancel();
}

void HttpServer::Impl::ReclaimLater() {
  if (m_memory->excess() == 0 || m_reclaim_due) return;
  m_reclaim_due = true;
  asio::post(*m_io, [self = shared_from_this()] {
    self->m_reclaim_due = false;
    self->Reclaim(true);
  });
}

void HttpServer::Impl::Reclaim(bool with_readers) {
  if (m_memory->excess() == 0) return;
  Clock::time_point now = Clock::now();
  std::vector<HttpSession*> sessions(m_sessions.begin(), m_sessions.end());
  std::vector<HeldConnection> held;
  held.reserve(sessions.size());
  for (HttpSession* session : sessions) held.push_back(session->Describe(now));
  std::size_t goal = m_memory->limit() - m_memory->limit() / kReclaimShare;
  std::size_t used = m_memory->used();
  for (std::size_t index : ReclaimOrder(held)) {
    if (used <= goal) return;
    if (held[index].use == ConnectionUse::kSending && !with_readers) {
      ReclaimLater();
      continue;
    }
    // Connections that have just begun are closed only as far as needed.
    if (held[index].stalled < kLeastAge && used <= m_memory->limit()) return;
    std::size_t bytes = held[index].bytes;
    used -= std::min(used, bytes);
    sessions[index]->Reclaim();
  }
}

bool HttpServer::Impl::MakeRoom() {
  Clock::time_point now = Clock::now();
  if (now < m_no_room_until) return false;
  std::vector<HttpSession*> sessions(m_sessions.begin(), m_sessions.end());
  std::vector<HeldConnection> held;
  held.reserve(sessions.size());
  for (HttpSession* session : sessions) held.push_back(session->Describe(now));
  std::size_t share = m_limits.max_connections / kReclaimShare;
  for (std::size_t index : ReclaimOrder(held)) {
    if (m_open + share < m_limits.max_connections) break;
    if (held[index].stalled < kLeastAge) continue;
    if (held[index].use == ConnectionUse::kUnproven) {
      sessions[index]->CloseForOthers();
    } else if (held[index].stalled >= kStalledReader) {
      sessions[index]->Reclaim();
    }
  }
  if (m_open < m_limits.max_connections) return true;
  m_no_room_until = now + kRoomPause;
  return false;
}

void HttpServer::Impl::Refuse(tcp::socket socket, const char* reason) {
  ++m_stats.refused_connections;
  LogEvent("connection_refused", {{"reason", reason}});
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.write_some(asio::buffer(RefusalText()), ignored);
}

void HttpServer::Impl::RefuseWithSpare() {
  if (m_spare < 0) return;
  ::close(m_spare);
  error_code error;
  m_acceptor.non_blocking(true, error);
  tcp::socket socket(*m_io);
  m_acceptor.accept(socket, error);
  if (!error) Refuse(std::move(socket), "descriptors");
  m_spare = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
}

void HttpServer::Impl::Admit(tcp::socket socket) {
  if (m_open >= m_limits.max_connections && !MakeRoom()) {
    Refuse(std::move(socket), "max_connections");
    return;
  }
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::make_shared<HttpSession>(shared_from_this(), std::move(socket))->Start();
  ReclaimLater();
}

asio::awaitable<void> HttpServer::Impl::Accept(std::shared_ptr<Impl> self) {
  asio::steady_timer pause(*self->m_io);
  while (!self->m_stopping) {
    error_code error;
    tcp::socket socket = co_await self->m_acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      self->Admit(std::move(socket));
    } else if (!self->m_stopping) {
      LogEvent("accept_failed", {{"error", error.message()}});
      bool exhausted =
          error == asio::error::no_descriptors || error.value() == ENFILE;
      if (exhausted) {
        self->MakeRoom();
        self->RefuseWithSpare();
      }
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
    }
  }
}

asio::awaitable<void> HttpServer::Impl::Sweep(std::shared_ptr<Impl> self) {
  while (!self->m_stopping || !self->m_sessions.empty()) {
    self->m_sweep.expires_after(kSweepInterval);
    error_code error;
    co_await self->m_sweep.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    Clock::time_point now = Clock::now();
    std::vector<HttpSession*> sessions(self->m_sessions.begin(),
                                       self->m_sessions.end());
    for (HttpSession* session : sessions) session->CheckDeadline(now);
  }
}

// ---------------------------------------------------------------------------

HttpServer::HttpServer(asio::io_context* io, const std::string& address,
                       HttpLimits limits, Handler handler)
    : m_impl(std::make_shared<Impl>(io, address, std::move(limits),
                                    std::move(handler))) {
  m_impl->Start();
}

HttpServer::~HttpServer() { m_impl->Stop(/*abort=*/true); }

std::string HttpServer::address() const { return m_impl->m_address; }
HttpServerStats HttpServer::stats() const {
  HttpServerStats stats = m_impl->m_stats;
  stats.charged_bytes = m_impl->memory()->used();
  stats.charged_limit = m_impl->memory()->limit();
  return stats;
}
const HttpLimits& HttpServer::limits() const { return m_impl->limits(); }
void HttpServer::SetLimits(HttpLimits limits) {
  m_impl->SetLimits(std::move(limits));
}
void HttpServer::StartDraining() { m_impl->StartDraining(); }
void HttpServer::Stop() { m_impl->Stop(/*abort=*/false); }

}  // namespace clementine

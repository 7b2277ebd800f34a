// One coroutine for each connection reads a request, calls the handler and then
// writes what the exchange queues. While the answer is produced, a second
// coroutine waits for the socket to become readable, which is how a caller that
// leaves is noticed. Phases are limited by a deadline for each connection that
// one timer checks for all of them; arming a timer for each written token would
// cost more than the write.

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <unordered_set>

#include "fmt/format.h"
#include "net/address.h"
#include "net/header_name.h"
#include "net/memory_account.h"
#include "net/net.h"

namespace clementine {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

/// Longest delay with which an exceeded deadline is noticed.
constexpr std::chrono::milliseconds kSweepInterval{250};

/// Wait after accept failed, which happens when descriptors run out.
constexpr std::chrono::milliseconds kAcceptPause{100};

/// Memory of a connection beside its request and answer: the session, the
/// frames of its coroutines, the reactor's state and the kernel's socket.
/// Measured with idle connections: 3 KB in the process.
constexpr std::size_t kConnectionBytes = 8'192;

/// Memory of a field beside its name and value, while it is parsed and in the
/// copies of a running request.
constexpr std::size_t kFieldBytes = 192;

/// Bytes that are read at once of a head, of a chunked body and of a body of
/// known length. All connections share the space: what isn't consumed at once
/// is copied to the connection's own buffer. Bytes of the next request are at
/// most those read with the end of a head or of a chunked body.
constexpr std::size_t kHeadReadBytes = 4'096;
constexpr std::size_t kChunkReadBytes = 16'384;
constexpr std::size_t kBodyReadBytes = 65'536;

/// A part of the account that was full is emptied by this share, so that the
/// connections aren't ranked again for each byte.
constexpr std::size_t kReclaimShare = 16;

/// Shortest time after which a connection without a successful answer may be
/// closed for a new one.
constexpr std::chrono::milliseconds kLeastAge{500};

/// Wait after no connection could be closed for a new one, as ranking them
/// takes time for each connection.
constexpr std::chrono::milliseconds kRoomPause{50};

/// Shortest field: a letter, a colon and the end of the line.
constexpr std::size_t kShortestField = 4;

/// Space for reading and for discarding, shared by all connections of the
/// thread, as its bytes are never kept while a coroutine waits.
std::array<char, kBodyReadBytes>& SharedSpace() {
  static thread_local std::array<char, kBodyReadBytes> space;
  return space;
}

/// Keeps a body. Its space grows in steps, not by the length that the head
/// announces, so that an announced length costs nothing; but never beyond it.
struct GrowingBody {
  using value_type = std::string;
  static std::uint64_t size(const value_type& body) { return body.size(); }

  // Beast looks the type up by this name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool kRequest, class Fields>
    reader(http::header<kRequest, Fields>& /*header*/, value_type& body)
        : m_body(body) {}

    void init(const boost::optional<std::uint64_t>& length, error_code& error) {
      if (length) m_length = static_cast<std::size_t>(*length);
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, error_code& error) {
      std::size_t size = beast::buffer_bytes(buffers);
      Reserve(m_body.size() + size);
      for (auto buffer : beast::buffers_range_ref(buffers)) {
        m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      error = {};
      return size;
    }

    void finish(error_code& error) { error = {}; }

   private:
    void Reserve(std::size_t size) {
      if (size <= m_body.capacity()) return;
      std::size_t space = std::max(size, 2 * m_body.size());
      std::string grown;
      grown.reserve(std::max(size, std::min(space, m_length)));
      grown.append(m_body);
      m_body.swap(grown);
    }

    value_type& m_body;
    std::size_t m_length = std::numeric_limits<std::size_t>::max();
  };
};

std::string FormatHead(int status, const HttpHeaders& headers, bool close) {
  fmt::memory_buffer out;
  auto reason = http::obsolete_reason(static_cast<http::status>(status));
  fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", status,
                 std::string_view(reason.data(), reason.size()));
  for (const auto& [name, value] : headers) {
    // A line break in a value would let it add headers of its own.
    if (value.find_first_of("\r\n") != std::string::npos) continue;
    fmt::format_to(std::back_inserter(out), "{}: {}\r\n", name, value);
  }
  if (close) out.append(std::string_view("Connection: close\r\n"));
  return fmt::to_string(out);
}

std::string ErrorBody(std::string_view type, std::string_view message) {
  return fmt::format(
      R"({{"error":{{"type":"{}","message":"{}"}},"outcome":"not-run"}})", type,
      message);
}

/// Answer to a connection for which there is no room.
const std::string& RefusalText() {
  static const std::string text =
      FormatHead(503,
                 {{"Content-Length", "0"},
                  {"X-Clementine-Outcome", "not-run"},
                  {"Retry-After", "1"}},
                 true) +
      "\r\n";
  return text;
}

/// Bytes to read next of a request: never those of a later request's body.
template <typename Parser>
std::size_t ReadSize(const Parser& parser) {
  if (!parser.is_header_done()) return kHeadReadBytes;
  auto rest = parser.content_length_remaining();
  if (!rest) return kChunkReadBytes;
  return std::clamp<std::size_t>(static_cast<std::size_t>(*rest), 1,
                                 kBodyReadBytes);
}

struct ReadFault {
  int status = 400;
  const char* type = "malformed_request";
  std::string message;
};

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

class HttpSession;

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context* io, const std::string& address, HttpLimits limits,
       Handler handler)
      : m_io(io),
        m_limits(std::move(limits)),
        m_handler(std::move(handler)),
        m_acceptor(*io),
        m_sweep(*io),
        m_spare(::open("/dev/null", O_RDONLY | O_CLOEXEC)) {
    m_memory = m_limits.memory
                   ? m_limits.memory
                   : std::make_shared<MemoryPart>(m_limits.max_held_bytes);
    tcp::endpoint endpoint = ParseEndpoint(address);
    try {
      m_acceptor.open(endpoint.protocol());
      m_acceptor.set_option(asio::socket_base::reuse_address(true));
      m_acceptor.bind(endpoint);
      m_acceptor.listen();
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error(
          fmt::format("can't listen on {}: {}", address, error.what()));
    }
    m_address = FormatEndpoint(m_acceptor.local_endpoint());
  }

  ~Impl() {
    if (m_spare >= 0) ::close(m_spare);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start() {
    asio::co_spawn(*m_io, Accept(shared_from_this()), asio::detached);
    asio::co_spawn(*m_io, Sweep(shared_from_this()), asio::detached);
  }

  void Stop(bool abort);

  const HttpLimits& limits() const { return m_limits; }
  void SetLimits(HttpLimits limits) {
    limits.memory = m_limits.memory;
    m_limits = std::move(limits);
  }
  MemoryPart* memory() const { return m_memory.get(); }
  /// Largest number of fields of a head.
  std::size_t max_fields() const {
    return m_limits.max_header_fields > 0
               ? m_limits.max_header_fields
               : m_limits.max_header_bytes / kShortestField;
  }
  const Handler& handler() const { return m_handler; }
  bool stopping() const { return m_stopping; }
  /// Whether answers end their connections.
  bool draining() const { return m_draining || m_stopping; }
  void StartDraining() { m_draining = true; }
  /// Whether nearly all connections of the limit are taken.
  bool crowded() const {
    return m_open + m_limits.max_connections / kReclaimShare >=
           m_limits.max_connections;
  }
  /// Closes connections in the order of ReclaimOrder if all together hold too
  /// much. Called while a request is read, so it closes only those that send
  /// one; ReclaimLater closes readers too.
  void ReclaimFromSenders() { Reclaim(false); }
  /// Closes connections if all together hold too much, from the event loop.
  void ReclaimLater();

  std::string m_address;
  HttpServerStats m_stats;
  std::unordered_set<HttpSession*> m_sessions;
  std::size_t m_open = 0;  ///< Sessions whose sockets are open.

 private:
  static asio::awaitable<void> Accept(std::shared_ptr<Impl> self);
  static asio::awaitable<void> Sweep(std::shared_ptr<Impl> self);
  void Admit(tcp::socket socket);
  void Reclaim(bool with_readers);
  /// Closes connections that send nothing useful. @return Whether there is room
  /// for one more.
  bool MakeRoom();
  void Refuse(tcp::socket socket, const char* reason);
  void RefuseWithSpare();

  asio::io_context* m_io;
  HttpLimits m_limits;
  Handler m_handler;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_sweep;
  std::shared_ptr<MemoryPart> m_memory;
  int m_spare;  ///< Given up to refuse a connection when descriptors run out.
  bool m_reclaim_due = false;
  Clock::time_point m_no_room_until;
  bool m_stopping = false;
  bool m_draining = false;
};

/// One connection; at most one exchange at a time.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServer::Impl> server, tcp::socket socket)
      : m_server(std::move(server)),
        m_socket(std::move(socket)),
        m_wake(m_socket.get_executor()) {
    error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_wake.expires_at(Clock::time_point::max());
    UpdateCharge();
    m_server->m_sessions.insert(this);
    ++m_server->m_open;
    ++m_server->m_stats.connections;
  }

  ~HttpSession() {
    Close();
    SetHeld(0);
    m_server->memory()->Change(m_charged, 0);
    m_server->m_sessions.erase(this);
    --m_server->m_stats.connections;
  }

  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Start() {
    asio::co_spawn(m_socket.get_executor(), Run(shared_from_this()),
                   asio::detached);
  }

  void CheckDeadline(Clock::time_point now) {
    if (now < m_deadline) return;
    m_timed_out = true;
    m_deadline = Clock::time_point::max();
    if (m_answering) {
      Leave("write_timeout");
    } else {
      m_socket.cancel();
    }
  }

  /// What it holds, and for how long it has made no progress.
  HeldConnection Describe(Clock::time_point now) const;

  void StopIdle() {
    if (!m_answering && m_buffer.size() == 0 && !m_reading_request) Close();
  }

  void Close() {
    if (!m_socket.is_open()) return;
    error_code ignored;
    m_socket.close(ignored);
    --m_server->m_open;
  }

  std::size_t charged() const { return m_charged; }

  /// Ends the connection because all together hold too much: a request that is
  /// being read is refused, an idle connection and one whose client doesn't
  /// read are closed.
  void Reclaim();
  /// Closes a connection without a running request at once, with an answer if
  /// a part of a request has come.
  void CloseForOthers();

  // Used by the exchange.
  void QueueHead(int status, const HttpHeaders& headers, std::string_view body);
  void QueueStreamHead(int status, const HttpHeaders& headers);
  bool QueueChunk(std::string_view bytes);
  void FinishAnswer() {
    m_finished = true;
    // The answer must not be cut off for the bytes of its own request.
    m_head_bytes = m_fields = 0;
    UpdateHeld(0);
    m_wake.cancel();
  }
  void Abort() {
    m_leave_handler = nullptr;
    // Without chunks, only a reset tells the caller that the answer is cut off.
    if (m_unframed) {
      error_code ignored;
      m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    Leave("aborted");
  }
  HttpRequest ReleaseRequest() { return std::move(m_request); }

  std::function<void()> m_leave_handler;
  std::function<void()> m_drain_handler;

 private:
  using Parser = http::request_parser<GrowingBody>;

  static asio::awaitable<void> Run(std::shared_ptr<HttpSession> self);
  asio::awaitable<bool> WaitForRequest();
  asio::awaitable<bool> ReadRequest();
  asio::awaitable<bool> ReadParts(Parser* parser, error_code* error);
  asio::awaitable<error_code> ReadBytes(Parser* parser);
  error_code Receive(std::size_t most, std::string_view* bytes);
  error_code Parse(Parser* parser, std::string_view bytes);
  void Keep(std::string_view bytes);
  void CountFields(std::string_view bytes);
  asio::awaitable<void> RejectRequest(error_code error);
  asio::awaitable<bool> WriteAnswer();
  asio::awaitable<error_code> WritePending();
  asio::awaitable<void> DrainInput();
  static asio::awaitable<void> WatchCaller(std::shared_ptr<HttpSession> self);
  /// Counts the bytes kept of a request: those that are not parsed yet, its
  /// head as far as it is read, and its body.
  void UpdateHeld(std::size_t body_bytes) {
    SetHeld(m_buffer.capacity() + m_head_bytes + m_fields * kFieldBytes +
            body_bytes);
  }
  /// Frees what is kept of a request that was answered or rejected. Bytes of
  /// the next one remain.
  void ReleaseRequestBytes() {
    if (m_dropped) m_buffer.clear();
    m_buffer.shrink_to_fit();
    ReleaseString(&m_pending);
    ReleaseString(&m_writing);
    m_head_bytes = m_fields = 0;
    UpdateHeld(0);
  }
  /// Gives back the space of a large answer.
  static void ReleaseString(std::string* text) {
    if (text->empty() && text->capacity() > kHeadReadBytes) {
      std::string().swap(*text);
    }
  }
  void SetHeld(std::size_t bytes) {
    m_server->m_stats.held_bytes += bytes;
    m_server->m_stats.held_bytes -= m_held;
    m_held = bytes;
    UpdateCharge();
  }
  /// Brings the account to what the connection holds now.
  void UpdateCharge() {
    std::size_t bytes =
        kConnectionBytes + m_held + m_pending.capacity() + m_writing.capacity();
    m_server->memory()->Change(m_charged, bytes);
    m_charged = bytes;
  }
  void OnQueued(int status);
  /// Whether it has pipelined requests while others wait for a connection. It
  /// is then closed after its current answer, which says so; what was pipelined
  /// is not run.
  bool HoldsOthersUp() const {
    return m_buffer.size() > 0 && m_server->crowded();
  }
  ReadFault Explain(error_code error) const;
  void TakeRequest(Parser::value_type message);
  void Leave(const char* reason);
  void SetDeadline(std::chrono::milliseconds timeout) {
    m_timed_out = false;
    m_received = 0;
    m_progress_at = m_received_at = Clock::now();
    m_deadline = m_progress_at + timeout;
  }
  /// Sets the deadline of a transfer that began at `start` and goes on.
  void ExtendDeadline(Clock::time_point start,
                      std::chrono::milliseconds timeout, std::size_t bytes) {
    if (m_timed_out) return;
    m_deadline =
        std::min(start + TransferTime(timeout, bytes,
                                      m_server->limits().min_transfer_rate()),
                 Clock::now() + timeout);
  }

  std::shared_ptr<HttpServer::Impl> m_server;
  tcp::socket m_socket;
  asio::steady_timer m_wake;    ///< Cancelled when there is something to write.
  beast::flat_buffer m_buffer;  ///< Received bytes that aren't parsed yet.
  HttpRequest m_request;
  Clock::time_point m_deadline = Clock::time_point::max();
  std::string m_pending;  ///< Queued bytes that aren't being written yet.
  std::string m_writing;
  bool m_timed_out = false;
  bool m_first = true;
  bool m_reading_request = false;
  bool m_answering = false;
  bool m_finished = false;
  bool m_left = false;
  bool m_chunked = false;
  bool m_unframed = false;  ///< The end of the connection ends the answer.
  bool m_http_1_0 = false;
  bool m_head_request = false;
  bool m_keep_alive = true;
  bool m_watching = false;
  bool m_full = false;     ///< Write returned false; the drain handler is due.
  std::size_t m_held = 0;  ///< Part of the server's `held_bytes`.
  std::size_t m_head_bytes = 0;
  std::size_t m_fields = 0;    ///< At least those of the head, as far as read.
  std::size_t m_charged = 0;   ///< Its part of the account.
  bool m_dropped = false;      ///< All requests together held too much.
  bool m_proven = false;       ///< It had a successful answer.
  std::size_t m_received = 0;  ///< Bytes of the request, so far.
  Clock::time_point m_progress_at = Clock::now();  ///< See Describe.
  Clock::time_point m_received_at = m_progress_at;
};

namespace {

/// Keeps the connection alive and ignores calls after the answer's end.
class SessionExchange : public HttpExchange {
 public:
  explicit SessionExchange(std::shared_ptr<HttpSession> session)
      : m_session(std::move(session)), m_request(m_session->ReleaseRequest()) {}

  const HttpRequest& request() const override { return m_request; }
  std::string TakeBody() override { return std::move(m_request.body); }

  void Answer(int status, const HttpHeaders& headers,
              std::string_view body) override {
    if (!m_session) return;
    m_session->QueueHead(status, headers, body);
    Release();
  }

  void StartStream(int status, const HttpHeaders& headers) override {
    if (m_session) m_session->QueueStreamHead(status, headers);
  }

  bool Write(std::string_view bytes) override {
    return !m_session || m_session->QueueChunk(bytes);
  }

  void EndStream() override { Release(); }

  void Abort() override {
    if (!m_session) return;
    m_session->Abort();
    m_session.reset();
  }

  void SetLeaveHandler(std::function<void()> handler) override {
    if (m_session) m_session->m_leave_handler = std::move(handler);
  }

  void SetDrainHandler(std::function<void()> handler) override {
    if (m_session) m_session->m_drain_handler = std::move(handler);
  }

 private:
  void Release() {
    if (!m_session) return;
    std::shared_ptr<HttpSession> session = std::move(m_session);
    session->m_leave_handler = nullptr;
    session->m_drain_handler = nullptr;
    session->FinishAnswer();
  }

  std::shared_ptr<HttpSession> m_session;
  HttpRequest m_request;
};

}  // namespace

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
// Reading.

asio::awaitable<void> HttpSession::Run(std::shared_ptr<HttpSession> self) {
  while (!self->m_server->stopping() || self->m_buffer.size() > 0) {
    bool more = co_await self->WaitForRequest();
    if (!more) break;
    self->m_reading_request = true;
    bool complete = co_await self->ReadRequest();
    self->m_reading_request = false;
    if (!complete) break;
    bool reusable = co_await self->WriteAnswer();
    if (!reusable) break;
  }
  error_code ignored;
  self->m_socket.shutdown(tcp::socket::shutdown_both, ignored);
  self->Close();
}

asio::awaitable<bool> HttpSession::WaitForRequest() {
  if (m_buffer.size() > 0) co_return true;
  SetDeadline(m_first ? m_server->limits().header_timeout
                      : m_server->limits().idle_timeout);
  error_code error = asio::error::would_block;
  std::string_view bytes;
  while (error == asio::error::would_block) {
    // A connection that waits holds no buffer.
    co_await m_socket.async_wait(
        tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, error));
    if (error || m_timed_out) co_return false;
    error = Receive(kHeadReadBytes, &bytes);
  }
  if (error) co_return false;
  Keep(bytes);
  m_first = false;
  co_return true;
}

asio::awaitable<bool> HttpSession::ReadRequest() {
  error_code error;
  {
    Parser parser;
    parser.header_limit(
        static_cast<std::uint32_t>(m_server->limits().max_header_bytes));
    parser.body_limit(m_server->limits().max_body_bytes);
    bool complete = co_await ReadParts(&parser, &error);
    if (complete) {
      m_keep_alive = parser.keep_alive();
      TakeRequest(parser.release());
      co_return true;
    }
  }
  co_await RejectRequest(error);
  co_return false;
}

asio::awaitable<bool> HttpSession::ReadParts(Parser* parser,
                                             error_code* error) {
  SetDeadline(m_server->limits().header_timeout);
  m_head_bytes = m_fields = 0;
  CountFields(
      {static_cast<const char*>(m_buffer.data().data()), m_buffer.size()});
  while (!parser->is_header_done()) {
    *error = co_await ReadBytes(parser);
    if (*error) co_return false;
  }
  m_fields = 0;
  for (const auto& field : parser->get()) {
    m_head_bytes += field.name_string().size() + field.value().size();
    ++m_fields;
  }
  if (m_fields > m_server->max_fields()) {
    *error = http::error::header_limit;
    co_return false;
  }
  SetDeadline(m_server->limits().body_timeout);
  Clock::time_point start = m_progress_at;
  if (SameHeaderName(parser->get()[http::field::expect], "100-continue")) {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
        m_socket, asio::buffer(kContinue),
        asio::redirect_error(asio::use_awaitable, *error));
    if (*error) co_return false;
  }
  while (!parser->is_done()) {
    *error = co_await ReadBytes(parser);
    if (*error) co_return false;
    m_received = parser->get().body().size();
    ExtendDeadline(start, m_server->limits().body_timeout, m_received);
  }
  if (!*error && parser->get().version() != 11 &&
      parser->get().version() != 10) {
    *error = http::error::bad_version;
  }
  co_return !*error;
}

error_code HttpSession::Receive(std::size_t most, std::string_view* bytes) {
  error_code error;
  char* space = SharedSpace().data();
  std::size_t size = m_socket.read_some(asio::buffer(space, most), error);
  *bytes = {space, size};
  return error;
}

void HttpSession::Keep(std::string_view bytes) {
  if (bytes.empty()) return;
  asio::buffer_copy(m_buffer.prepare(bytes.size()),
                    asio::buffer(bytes.data(), bytes.size()));
  m_buffer.commit(bytes.size());
}

void HttpSession::CountFields(std::string_view bytes) {
  m_fields +=
      static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
}

error_code HttpSession::Parse(Parser* parser, std::string_view bytes) {
  error_code error;
  if (m_buffer.size() > 0) {
    Keep(bytes);
    m_buffer.consume(parser->put(m_buffer.data(), error));
    if (m_buffer.size() == 0) m_buffer.shrink_to_fit();
  } else {
    bytes.remove_prefix(
        parser->put(asio::buffer(bytes.data(), bytes.size()), error));
    Keep(bytes);
  }
  bool overflow =
      error == http::error::need_more &&
      (m_buffer.size() >=
           m_server->limits().max_header_bytes + kBodyReadBytes ||
       (!parser->is_header_done() && m_fields > m_server->max_fields() + 2));
  if (overflow) error = http::error::header_limit;
  UpdateHeld(parser->get().body().capacity());
  return error;
}

asio::awaitable<error_code> HttpSession::ReadBytes(Parser* parser) {
  error_code error = http::error::need_more;
  if (m_buffer.size() > 0) {
    error = Parse(parser, {});
    if (error != http::error::need_more) {
      // Lets other handlers run, such as those that write what was read before.
      co_await asio::post(m_socket.get_executor(), asio::use_awaitable);
    }
  }
  while (error == http::error::need_more) {
    if (m_dropped) co_return asio::error::no_memory;
    if (m_timed_out) co_return asio::error::timed_out;
    std::string_view bytes;
    error = Receive(ReadSize(*parser), &bytes);
    if (error == asio::error::would_block) {
      co_await m_socket.async_wait(
          tcp::socket::wait_read,
          asio::redirect_error(asio::use_awaitable, error));
      if (!error) error = http::error::need_more;
      continue;
    }
    if (error) break;
    m_received_at = Clock::now();
    if (!parser->is_header_done()) {
      m_received += bytes.size();
      CountFields(bytes);
    }
    UpdateHeld(parser->get().body().capacity() + bytes.size());
    m_server->ReclaimFromSenders();
    if (m_dropped) co_return asio::error::no_memory;
    error = Parse(parser, bytes);
    if (!parser->is_done()) {
      // A fast sender must not keep the thread for itself.
      co_await asio::post(m_socket.get_executor(), asio::use_awaitable);
    }
  }
  if (m_dropped) co_return asio::error::no_memory;
  if (error == asio::error::eof) {
    if (!parser->got_some()) co_return http::error::end_of_stream;
    error = {};
    parser->put_eof(error);
  }
  co_return error;
}

HeldConnection HttpSession::Describe(Clock::time_point now) const {
  HeldConnection held;
  held.bytes = m_charged;
  auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - m_progress_at);
  held.stalled = since;
  if (m_answering) {
    bool sends = !m_pending.empty() || !m_writing.empty();
    held.use = sends ? ConnectionUse::kSending : ConnectionUse::kRunning;
  } else if (m_reading_request) {
    // Bytes justify time only while they keep coming.
    auto behind = since - TransferTime(std::chrono::milliseconds(0), m_received,
                                       m_server->limits().min_transfer_rate());
    auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - m_received_at);
    held.stalled = std::max({std::chrono::milliseconds(0), behind, silent});
  } else if (m_proven) {
    held.use = ConnectionUse::kIdle;
  }
  return held;
}

void HttpSession::Reclaim() {
  if (m_answering) {
    ++m_server->m_stats.closed_readers;
    Leave("memory");
  } else if (m_reading_request && !m_dropped) {
    m_dropped = true;
    SetHeld(0);
    error_code ignored;
    m_socket.cancel(ignored);
  } else {
    ++m_server->m_stats.closed_idle;
    Close();
  }
}

void HttpSession::CloseForOthers() {
  ++m_server->m_stats.closed_for_others;
  LogEvent("connection_closed",
           {{"reason", "max_connections"},
            {"state", m_reading_request ? "request" : "idle"}});
  if (m_reading_request && !m_dropped) {
    error_code ignored;
    m_socket.write_some(asio::buffer(RefusalText()), ignored);
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  }
  m_dropped = true;
  Close();
}

ReadFault HttpSession::Explain(error_code error) const {
  if (m_timed_out) {
    return {408, "request_timeout", "the request didn't arrive in time"};
  }
  if (m_dropped) {
    return {503, "held_bytes",
            fmt::format("all requests together hold more than {} bytes",
                        m_server->memory()->limit())};
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return {431, "header_too_large", "the header exceeds the limit"};
  }
  if (error == http::error::body_limit) {
    return {413, "body_too_large", "the body exceeds the limit"};
  }
  if (error == http::error::partial_message) {
    return {400, "truncated_request", "the request ended early"};
  }
  return {400, "malformed_request", error.message()};
}

asio::awaitable<void> HttpSession::RejectRequest(error_code error) {
  if (!m_socket.is_open()) co_return;
  ++(m_dropped ? m_server->m_stats.dropped_requests
               : m_server->m_stats.malformed);
  if (m_timed_out) ++m_server->m_stats.timed_out_requests;
  ReadFault fault = Explain(error);
  ReleaseRequestBytes();
  LogEvent("request_rejected",
           {{"status", std::to_string(fault.status)},
            {"reason", fault.type},
            {"detail", m_dropped ? fault.message : error.message()}});
  std::string body = ErrorBody(fault.type, fault.message);
  m_pending = FormatHead(fault.status,
                         {{"Content-Type", "application/json"},
                          {"X-Clementine-Outcome", "not-run"},
                          {"Retry-After", "1"},
                          {"Content-Length", std::to_string(body.size())}},
                         true) +
              "\r\n" + body;
  SetDeadline(m_server->limits().write_timeout);
  error = co_await WritePending();
  if (!error) {
    co_await DrainInput();
  }
}

asio::awaitable<void> HttpSession::DrainInput() {
  // Closing with unread input resets the connection, and the reset can discard
  // the error answer before the caller has read it.
  constexpr std::size_t kMostDiscarded = 4'194'304;
  constexpr std::chrono::milliseconds kDiscardTime{1'000};
  error_code error;
  m_socket.shutdown(tcp::socket::shutdown_send, error);
  SetDeadline(kDiscardTime);
  std::size_t total = 0;
  while (!error && total < kMostDiscarded) {
    total += co_await m_socket.async_read_some(
        asio::buffer(SharedSpace()),
        asio::redirect_error(asio::use_awaitable, error));
  }
}

void HttpSession::TakeRequest(Parser::value_type message) {
  m_request = {};
  m_request.method = std::string(message.method_string());
  std::string target(message.target());
  std::size_t question = target.find('?');
  m_request.path = target.substr(0, question);
  if (question != std::string::npos) {
    m_request.query = target.substr(question + 1);
  }
  m_request.headers.reserve(m_fields);
  for (const auto& field : message) {
    m_request.headers.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
  }
  m_request.body = std::move(message.body());
  m_head_request = message.method() == http::verb::head;
  m_http_1_0 = message.version() == 10;
  ++m_server->m_stats.requests;
  UpdateHeld(m_request.body.capacity());
}

// ---------------------------------------------------------------------------
// Answering.

void HttpSession::QueueHead(int status, const HttpHeaders& headers,
                            std::string_view body) {
  m_keep_alive = m_keep_alive && !m_server->draining() && !HoldsOthersUp();
  m_pending += FormatHead(status, headers, !m_keep_alive);
  m_pending += fmt::format("Content-Length: {}\r\n\r\n", body.size());
  if (!m_head_request) m_pending += body;
  OnQueued(status);
}

void HttpSession::QueueStreamHead(int status, const HttpHeaders& headers) {
  // HTTP/1.0 has no chunks; the end of the connection ends the answer.
  m_keep_alive =
      m_keep_alive && !m_server->draining() && !m_http_1_0 && !HoldsOthersUp();
  m_pending += FormatHead(status, headers, !m_keep_alive);
  m_pending += m_http_1_0 ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
  m_chunked = !m_http_1_0;
  m_unframed = m_http_1_0;
  OnQueued(status);
  m_wake.cancel();
}

void HttpSession::OnQueued(int status) {
  if (status < 400) m_proven = true;
  UpdateCharge();
  m_server->ReclaimLater();
}

bool HttpSession::QueueChunk(std::string_view bytes) {
  if (m_left || bytes.empty()) return true;
  if (m_unframed) {
    m_pending.append(bytes);
  } else {
    fmt::format_to(std::back_inserter(m_pending), "{:x}\r\n", bytes.size());
    m_pending.append(bytes).append("\r\n");
  }
  m_wake.cancel();
  UpdateCharge();
  m_server->ReclaimLater();
  if (m_pending.size() > m_server->limits().max_buffered_bytes) m_full = true;
  return !m_full;
}

asio::awaitable<bool> HttpSession::WriteAnswer() {
  m_answering = true;
  m_finished = m_left = m_chunked = m_unframed = m_full = false;
  m_deadline = Clock::time_point::max();
  ++m_server->m_stats.exchanges;
  if (!m_watching) {
    m_watching = true;
    asio::co_spawn(m_socket.get_executor(), WatchCaller(shared_from_this()),
                   asio::detached);
  }
  try {
    m_server->handler()(std::make_shared<SessionExchange>(shared_from_this()));
  } catch (const std::exception& error) {
    LogEvent("handler_failed", {{"error", error.what()}});
    Leave("handler_failed");
  }
  while (!m_left && (!m_finished || !m_pending.empty())) {
    error_code error;
    if (m_pending.empty()) {
      co_await m_wake.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    if (m_finished && m_chunked) {
      m_pending += "0\r\n\r\n";
      m_chunked = false;
    }
    SetDeadline(m_server->limits().write_timeout);
    error = co_await WritePending();
    m_deadline = Clock::time_point::max();
    if (error) Leave("write_failed");
  }
  if (!m_left && m_chunked) {
    m_pending = "0\r\n\r\n";
    SetDeadline(m_server->limits().write_timeout);
    error_code error = co_await WritePending();
    if (error) m_left = true;
  }
  --m_server->m_stats.exchanges;
  m_answering = false;
  m_leave_handler = nullptr;
  m_drain_handler = nullptr;
  ReleaseRequestBytes();
  co_return !m_left && m_keep_alive;
}

asio::awaitable<error_code> HttpSession::WritePending() {
  m_writing.swap(m_pending);
  m_pending.clear();
  error_code error;
  Clock::time_point start = m_progress_at;
  std::size_t sent = 0;
  while (!error && sent < m_writing.size()) {
    sent += co_await m_socket.async_write_some(
        asio::buffer(m_writing) + sent,
        asio::redirect_error(asio::use_awaitable, error));
    if (error || sent == m_writing.size()) break;
    m_progress_at = Clock::now();
    ExtendDeadline(start, m_server->limits().write_timeout, sent);
  }
  m_writing.clear();
  if (m_full && !error && !m_left) {
    m_full = false;
    if (m_drain_handler) m_drain_handler();
  }
  co_return error;
}

asio::awaitable<void> HttpSession::WatchCaller(
    std::shared_ptr<HttpSession> self) {
  error_code error;
  co_await self->m_socket.async_wait(
      tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  self->m_watching = false;
  if (!self->m_answering || !self->m_socket.is_open()) co_return;
  char byte = 0;
  ssize_t size =
      ::recv(self->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A pipelined request ends the watch: the socket stays readable until the
  // request is read, so a caller that leaves later is noticed when writing.
  if (size <= 0) self->Leave("closed");
}

void HttpSession::Leave(const char* reason) {
  if (m_left || !m_answering) return;
  m_left = true;
  if (!m_finished) ++m_server->m_stats.callers_left;
  LogEvent("caller_left", {{"reason", reason}});
  Close();
  m_wake.cancel();
  std::function<void()> handler = std::move(m_leave_handler);
  m_leave_handler = nullptr;
  m_drain_handler = nullptr;
  if (handler) handler();
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

// Reads the requests of a connection and writes the answers.

#include "net/http_session.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <iterator>

#include "net/header_name.h"

namespace clementine {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

/// Bytes that are read at once of a chunked body and of a body of known length.
/// All connections share the space: what isn't consumed at once is copied to
/// the connection's own buffer. Bytes of the next request are at most those
/// read with the end of a head or of a chunked body.
constexpr std::size_t kChunkReadBytes = 16'384;
constexpr std::size_t kBodyReadBytes = 65'536;

/// Space for reading and for discarding, shared by all connections of the
/// thread, as its bytes are never kept while a coroutine waits.
std::array<char, kBodyReadBytes>& SharedSpace() {
  static thread_local std::array<char, kBodyReadBytes> space;
  return space;
}

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

/// Whether the session can tell where a request's body ends, and decodes it: it
/// has a length, or chunks as its only coding (RFC 9112, section 6.3). The
/// parser ignores codings that it doesn't know.
template <typename Message>
bool HasKnownFraming(const Message& message) {
  auto [begin, end] = message.equal_range(http::field::transfer_encoding);
  if (begin == end) return true;
  return message.version() == 11 && std::next(begin) == end &&
         beast::iequals(begin->value(), "chunked");
}

std::string ErrorBody(std::string_view type, std::string_view message) {
  return fmt::format(
      R"({{"error":{{"type":"{}","message":"{}"}},"outcome":"not-run"}})", type,
      message);
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
  if (!HasKnownFraming(parser->get())) {
    *error = http::error::bad_transfer_encoding;
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
  auto exchange = std::make_shared<SessionExchange>(shared_from_this());
  try {
    m_server->handler()(exchange);
  } catch (const std::exception& error) {
    LogEvent("handler_failed", {{"error", error.what()}});
    RefuseAfterFailure(exchange.get());
  }
  exchange.reset();
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
  char byte = 0;
  ssize_t size = 0;
  // The socket may turn readable for bytes that have been read since, as those
  // of a body that follows its head.
  do {
    co_await self->m_socket.async_wait(
        tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, error));
    if (!self->m_answering || !self->m_socket.is_open()) {
      self->m_watching = false;
      co_return;
    }
    size = ::recv(self->m_socket.native_handle(), &byte, 1,
                  MSG_PEEK | MSG_DONTWAIT);
  } while (size < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
  self->m_watching = false;
  // A pipelined request ends the watch: the socket stays readable until the
  // request is read, so a caller that leaves later is noticed when writing.
  if (size <= 0) self->Leave("closed");
}

// What the handler has begun for the request ends as if its caller had left.
void HttpSession::RefuseAfterFailure(HttpExchange* exchange) {
  if (m_finished) return;
  if (m_chunked || m_unframed) {
    Leave("handler_failed");
    return;
  }
  std::function<void()> handler = std::move(m_leave_handler);
  exchange->Answer(500, {}, "internal error\n");
  if (handler) handler();
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

}  // namespace clementine

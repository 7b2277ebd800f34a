// Connections of an HttpServer; internal to it.
//
// One coroutine for each connection reads a request, calls the handler and then
// writes what the exchange queues. While the answer is produced, a second
// coroutine waits for the socket to become readable, which is how a caller that
// leaves is noticed. Phases are limited by a deadline for each connection that
// one timer of the server checks for all of them; arming a timer for each
// written token would cost more than the write.
#ifndef NET_HTTP_SESSION_H_
#define NET_HTTP_SESSION_H_

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "fmt/format.h"
#include "net/address.h"
#include "net/memory_account.h"
#include "net/net.h"

namespace clementine {

/// Memory of a connection beside its request and answer: the session, the
/// frames of its coroutines, the reactor's state and the kernel's socket.
/// Measured with idle connections: 3 KB in the process.
inline constexpr std::size_t kConnectionBytes = 8'192;

/// Memory of a field beside its name and value, while it is parsed and in the
/// copies of a running request.
inline constexpr std::size_t kFieldBytes = 192;

/// Bytes that are read at once of a head.
inline constexpr std::size_t kHeadReadBytes = 4'096;

/// A part of the account that was full is emptied by this share, so that the
/// connections aren't ranked again for each byte.
inline constexpr std::size_t kReclaimShare = 16;

/// Shortest field: a letter, a colon and the end of the line.
inline constexpr std::size_t kShortestField = 4;

/// Keeps a body. Its space grows in steps, not by the length that the head
/// announces, so that an announced length costs nothing; but never beyond it.
struct GrowingBody {
  using value_type = std::string;
  static std::uint64_t size(const value_type& body) { return body.size(); }

  // Beast looks the type up by this name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool kRequest, class Fields>
    reader(boost::beast::http::header<kRequest, Fields>& /*header*/,
           value_type& body)
        : m_body(body) {}

    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& error) {
      if (length) m_length = static_cast<std::size_t>(*length);
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      std::size_t size = boost::beast::buffer_bytes(buffers);
      Reserve(m_body.size() + size);
      for (auto buffer : boost::beast::buffers_range_ref(buffers)) {
        m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      error = {};
      return size;
    }

    void finish(boost::system::error_code& error) { error = {}; }

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

/// The answer to a request that could not be read.
struct ReadFault {
  int status = 400;
  const char* type = "malformed_request";
  std::string message;
};

/// Answer to a connection for which there is no room.
const std::string& RefusalText();

class HttpSession;

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context* io, const std::string& address,
       HttpLimits limits, Handler handler)
      : m_io(io),
        m_limits(std::move(limits)),
        m_handler(std::move(handler)),
        m_acceptor(*io),
        m_sweep(*io),
        m_spare(::open("/dev/null", O_RDONLY | O_CLOEXEC)) {
    m_memory = m_limits.memory
                   ? m_limits.memory
                   : std::make_shared<MemoryPart>(m_limits.max_held_bytes);
    boost::asio::ip::tcp::endpoint endpoint = ParseEndpoint(address);
    try {
      m_acceptor.open(endpoint.protocol());
      m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
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
    boost::asio::co_spawn(*m_io, Accept(shared_from_this()),
                          boost::asio::detached);
    boost::asio::co_spawn(*m_io, Sweep(shared_from_this()),
                          boost::asio::detached);
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
  static boost::asio::awaitable<void> Accept(std::shared_ptr<Impl> self);
  static boost::asio::awaitable<void> Sweep(std::shared_ptr<Impl> self);
  void Admit(boost::asio::ip::tcp::socket socket);
  void Reclaim(bool with_readers);
  /// Closes connections that send nothing useful. @return Whether there is room
  /// for one more.
  bool MakeRoom();
  void Refuse(boost::asio::ip::tcp::socket socket, const char* reason);
  void RefuseWithSpare();

  boost::asio::io_context* m_io;
  HttpLimits m_limits;
  Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_sweep;
  std::shared_ptr<MemoryPart> m_memory;
  int m_spare;  ///< Given up to refuse a connection when descriptors run out.
  bool m_reclaim_due = false;
  std::chrono::steady_clock::time_point m_no_room_until;
  bool m_stopping = false;
  bool m_draining = false;
};

/// One connection; at most one exchange at a time.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServer::Impl> server,
              boost::asio::ip::tcp::socket socket)
      : m_server(std::move(server)),
        m_socket(std::move(socket)),
        m_wake(m_socket.get_executor()) {
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_wake.expires_at(std::chrono::steady_clock::time_point::max());
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
    boost::asio::co_spawn(m_socket.get_executor(), Run(shared_from_this()),
                          boost::asio::detached);
  }

  void CheckDeadline(std::chrono::steady_clock::time_point now) {
    if (now < m_deadline) return;
    m_timed_out = true;
    m_deadline = std::chrono::steady_clock::time_point::max();
    if (m_answering) {
      Leave("write_timeout");
    } else {
      m_socket.cancel();
    }
  }

  /// What it holds, and for how long it has made no progress.
  HeldConnection Describe(std::chrono::steady_clock::time_point now) const;

  void StopIdle() {
    if (!m_answering && m_buffer.size() == 0 && !m_reading_request) Close();
  }

  void Close() {
    if (!m_socket.is_open()) return;
    boost::system::error_code ignored;
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
      boost::system::error_code ignored;
      m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    Leave("aborted");
  }
  HttpRequest ReleaseRequest() { return std::move(m_request); }

  std::function<void()> m_leave_handler;
  std::function<void()> m_drain_handler;

 private:
  using Parser = boost::beast::http::request_parser<GrowingBody>;

  static boost::asio::awaitable<void> Run(std::shared_ptr<HttpSession> self);
  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> ReadRequest();
  boost::asio::awaitable<bool> ReadParts(Parser* parser,
                                         boost::system::error_code* error);
  boost::asio::awaitable<boost::system::error_code> ReadBytes(Parser* parser);
  boost::system::error_code Receive(std::size_t most, std::string_view* bytes);
  boost::system::error_code Parse(Parser* parser, std::string_view bytes);
  void Keep(std::string_view bytes);
  void CountFields(std::string_view bytes);
  boost::asio::awaitable<void> RejectRequest(boost::system::error_code error);
  boost::asio::awaitable<bool> WriteAnswer();
  boost::asio::awaitable<boost::system::error_code> WritePending();
  boost::asio::awaitable<void> DrainInput();
  static boost::asio::awaitable<void> WatchCaller(
      std::shared_ptr<HttpSession> self);
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
  ReadFault Explain(boost::system::error_code error) const;
  void TakeRequest(Parser::value_type message);
  void Leave(const char* reason);
  /// Answers a request whose handler threw with status 500. An answer that has
  /// begun is cut off.
  void RefuseAfterFailure(HttpExchange* exchange);
  void SetDeadline(std::chrono::milliseconds timeout) {
    m_timed_out = false;
    m_received = 0;
    m_progress_at = m_received_at = std::chrono::steady_clock::now();
    m_deadline = m_progress_at + timeout;
  }
  /// Sets the deadline of a transfer that began at `start` and goes on.
  void ExtendDeadline(std::chrono::steady_clock::time_point start,
                      std::chrono::milliseconds timeout, std::size_t bytes) {
    if (m_timed_out) return;
    m_deadline =
        std::min(start + TransferTime(timeout, bytes,
                                      m_server->limits().min_transfer_rate()),
                 std::chrono::steady_clock::now() + timeout);
  }

  std::shared_ptr<HttpServer::Impl> m_server;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer
      m_wake;  ///< Cancelled when there is something to write.
  boost::beast::flat_buffer
      m_buffer;  ///< Received bytes that aren't parsed yet.
  HttpRequest m_request;
  std::chrono::steady_clock::time_point m_deadline =
      std::chrono::steady_clock::time_point::max();
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
  std::chrono::steady_clock::time_point m_progress_at =
      std::chrono::steady_clock::now();  ///< See Describe.
  std::chrono::steady_clock::time_point m_received_at = m_progress_at;
};

}  // namespace clementine

#endif  // NET_HTTP_SESSION_H_

// One coroutine for each call: connect or reuse, write, read the header, read
// the body. Each phase sets a deadline, and one timer checks the deadlines of
// all calls, because arming a timer for each token would cost more than reading
// it. How far a call got decides what its failure means: until the first byte
// was handed to the kernel nothing can have run.

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <unordered_set>

#include "config/config.h"
#include "fmt/format.h"
#include "net/address.h"
#include "net/connection_pool.h"
#include "net/http_status.h"
#include "net/liveness_connection.h"
#include "net/net.h"
#include "net/read_some.h"
#include "net/server_connections.h"

namespace clementine {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

/// Longest delay with which an exceeded deadline is noticed.
constexpr std::chrono::milliseconds kSweepInterval{25};

/// Connections made to tell a crash from a lost connection.
constexpr int kCrashProbes = 3;
constexpr std::chrono::milliseconds kCrashProbePause{10};

/// How long to wait for the end of the chunked coding after the last event.
constexpr std::chrono::milliseconds kTrailerTimeout{1'000};

/// Bounds what is kept of servers that no longer exist.
constexpr std::size_t kMaxUnframedServers = 4'096;

constexpr std::size_t kReadBytes = 16'384;
constexpr std::uint32_t kMaxHeaderBytes = 32'768;
/// Bytes of an answer that the parser has not consumed: its head, the size line
/// of a chunk, or the fields after the last chunk, and the bytes read with it.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{2} * kMaxHeaderBytes;

constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 3;
constexpr int kKeepAliveProbes = 3;

void SetOption(tcp::socket* socket, int name, int value) {
  ::setsockopt(socket->native_handle(), IPPROTO_TCP, name, &value,
               sizeof value);
}

void PrepareSocket(tcp::socket* socket, std::chrono::milliseconds timeout) {
  error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  socket->set_option(asio::socket_base::keep_alive(true), ignored);
  SetOption(socket, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

bool SaysNotRun(const std::string& body) {
  nlohmann::json json = TryParseJson(body);
  if (!json.is_object()) return false;
  auto found = json.find("not_run");
  return found != json.end() && found->is_boolean() && found->get<bool>();
}

const char* FaultName(EventStreamReader::Fault fault) {
  switch (fault) {
    case EventStreamReader::Fault::kGap:
      return "event_gap";
    case EventStreamReader::Fault::kOversized:
      return "event_too_large";
    case EventStreamReader::Fault::kErrorEvent:
      return "error_event";
    case EventStreamReader::Fault::kNone:
      break;
  }
  return "none";
}

template <typename Parser>
AnswerFraming FramingOf(const Parser& parser) {
  if (parser.need_eof()) return AnswerFraming::kConnection;
  return parser.chunked() ? AnswerFraming::kChunks : AnswerFraming::kLength;
}

std::string FormatRequest(const BackendCall& call, const std::string& token) {
  fmt::memory_buffer out;
  auto append = [&out](std::string_view name, std::string_view value) {
    if (value.find_first_of("\r\n") != std::string_view::npos) return;
    fmt::format_to(std::back_inserter(out), "{}: {}\r\n", name, value);
  };
  fmt::format_to(std::back_inserter(out), "{} {} HTTP/1.1\r\n", call.method,
                 call.target);
  if (!call.relay) {
    append("Host", call.address);
    if (!token.empty()) append("Authorization", "Bearer " + token);
    if (!call.attempt.empty()) append("X-Attempt-Id", call.attempt);
    if (call.event_stream) {
      append("X-Resume-Offset", std::to_string(call.resume_offset));
    }
  }
  for (const auto& [name, value] : call.headers) append(name, value);
  bool has_body = call.body && !call.body->empty();
  if (has_body || !call.relay || call.method != "GET") {
    append("Content-Length", std::to_string(call.body ? call.body->size() : 0));
  }
  out.append(std::string_view("\r\n"));
  return fmt::to_string(out);
}

}  // namespace

class CallState;

class BackendClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context* io, BackendOptions options)
      : m_io(io),
        m_options(std::move(options)),
        m_pool(m_options.max_idle_per_address, m_options.idle_timeout,
               m_options.max_idle),
        m_server_connections(std::make_shared<ServerConnections>(
            io,
            [this](const std::string& address, Clock::time_point time) {
              return m_pool.HasOpenSince(address, time);
            })),
        m_sweep(*io) {}

  std::shared_ptr<BackendAttempt> Start(BackendCall call,
                                        BackendHandlers handlers);
  void SetMaxIdle(std::size_t most) { m_pool.SetMaxPerAddress(most); }

  void Probe(const std::string& address, std::chrono::milliseconds timeout,
             bool fresh, std::function<void(std::optional<HostHealth>)> done);
  void Stop();
  /// Ends the call that keeps the most, if all together keep too much.
  void BoundHeldBytes();
  /// The connection that tells whether a server lives, shared by the calls that
  /// need one.
  std::shared_ptr<LivenessConnection> ShareLivenessConnection(
      const std::string& address);
  /// Runs the deadline timer while there are calls or idle connections.
  void EnsureSweep();

  asio::io_context* m_io;
  BackendOptions m_options;
  ConnectionPool m_pool;
  std::shared_ptr<ServerConnections> m_server_connections;
  BackendStats m_stats;
  std::unordered_set<CallState*> m_calls;
  std::unordered_map<std::string, std::weak_ptr<LivenessConnection>>
      m_liveness_connections;
  /// Idle timeouts by address, of servers whose last answer only the end of its
  /// connection ended.
  std::unordered_map<std::string, std::shared_ptr<milliseconds>>
      m_unframed_servers;

 private:
  static asio::awaitable<void> Sweep(std::shared_ptr<Impl> self);

  asio::steady_timer m_sweep;
  bool m_sweeping = false;
  bool m_stopped = false;
};

/// A running call.
class CallState : public BackendAttempt,
                  public std::enable_shared_from_this<CallState> {
 public:
  CallState(std::shared_ptr<BackendClient::Impl> client, BackendCall call,
            BackendHandlers handlers)
      : m_client(std::move(client)),
        m_call(std::move(call)),
        m_handlers(std::move(handlers)),
        m_socket(*m_client->m_io),
        m_resumed(*m_client->m_io),
        m_reader(m_call.attempt, m_call.resume_offset),
        m_buffer(kMaxUnparsedBytes) {
    m_resumed.expires_at(Clock::time_point::max());
    if (m_call.total_timeout > milliseconds(0)) {
      m_call_end = Clock::now() + m_call.total_timeout;
    }
    m_client->m_calls.insert(this);
    ++m_client->m_stats.calls;
  }
  ~CallState() override {
    UntrackConnection();
    ReleaseHeld();
    ReleaseLiveness();
    m_client->m_calls.erase(this);
  }

  void Start() {
    asio::co_spawn(*m_client->m_io, Run(shared_from_this()), asio::detached);
  }

  void Cancel() override {
    m_cancelled = true;
    ReleaseHeld();
    ReleaseLiveness();
    Close();
    m_resumed.cancel();
  }

  void Pause() override {
    m_paused = true;
    m_deadline = Clock::time_point::max();
  }

  void Resume() override {
    m_paused = false;
    m_resumed.cancel();
  }

  void Hold(std::size_t bytes) override {
    if (m_reported) return;
    m_held_by_owner = bytes;
    UpdateHeld();
  }

  bool reused() const override { return m_end.reused; }

  std::size_t held() const { return m_held; }

  /// Ends the call because all calls together keep too much.
  void Drop() {
    LogDropped("held_bytes", m_held);
    m_dropped = true;
    m_paused = false;
    ReleaseHeld();
    Close();
    m_resumed.cancel();
  }

  void CheckDeadline(Clock::time_point now) {
    if (now < m_deadline) return;
    m_deadline = Clock::time_point::max();
    m_timed_out = true;
    Close();
  }

 private:
  using Parser = http::response_parser<http::buffer_body>;

  enum class Address { kAccepts, kRefuses, kUnreachable };

  /// Frees the handlers when the call's coroutine ends or is destroyed.
  struct ReleaseHandlers {
    CallState* call;
    ~ReleaseHandlers() { call->m_handlers = {}; }
  };

  static asio::awaitable<void> Run(std::shared_ptr<CallState> self);
  asio::awaitable<void> Perform();
  asio::awaitable<bool> Connect();
  asio::awaitable<bool> WriteRequest();
  asio::awaitable<bool> ReadHeader(std::optional<Parser>* parser);
  /// Reads the header of the final answer, or of the first invalid one.
  asio::awaitable<error_code> ReadFinalHeader(std::optional<Parser>* parser);
  void RejectStatus(int status);
  asio::awaitable<void> ReadStream(Parser* parser);
  asio::awaitable<void> ReadBody(Parser* parser);
  asio::awaitable<void> RelayBody(Parser* parser);
  AnswerHead JudgeHead(const Parser& parser);
  asio::awaitable<error_code> ReadBytes(Parser* parser,
                                        std::string_view* bytes);
  asio::awaitable<void> FinishTrailer(Parser* parser);
  asio::awaitable<Address> ProbeAddress();
  asio::awaitable<void> VerifyUnframedEnd();
  /// Holds a liveness connection if the framing of the answer needs one.
  void HoldIfUnframed();
  asio::awaitable<void> JudgeByAddress();
  void SetUnverified(Address address, const char* reason);
  /// Logs what is known of the server when the answer's end is judged.
  void LogUnframedEnd(ServerConnections::Verdict verdict);
  void TakeTokens(std::string_view bytes);
  void Classify(const Parser& parser);
  void Fail(const char* phase, error_code error);
  void Report();
  void ReturnConnection(const Parser& parser);
  void SetDeadline(std::chrono::milliseconds timeout) {
    m_deadline = std::min(Clock::now() + timeout, m_call_end);
  }
  /// Counts what is kept of the answer: unparsed bytes, an unfinished event or
  /// the body, and what the call's owner keeps.
  void UpdateHeld() {
    if (m_dropped || m_cancelled) return;
    SetHeld(m_buffer.capacity() + m_reader.held_bytes() + m_end.body.size() +
            m_held_by_owner);
    m_client->BoundHeldBytes();
  }
  void ReleaseHeld() { SetHeld(0); }
  void ReleaseLiveness() {
    if (!m_liveness) return;
    if (m_liveness.use_count() == 1) {
      m_client->m_liveness_connections.erase(m_call.address);
    }
    m_liveness.reset();
  }
  void SetHeld(std::size_t bytes) {
    m_client->m_stats.held_bytes += bytes;
    m_client->m_stats.held_bytes -= m_held;
    m_held = bytes;
  }
  void LogDropped(const char* reason, std::size_t bytes) const {
    LogEvent("answer_dropped", {{"address", m_call.address},
                                {"attempt", m_call.attempt},
                                {"reason", reason},
                                {"bytes", std::to_string(bytes)}});
  }
  void Close() {
    error_code ignored;
    UntrackConnection();
    m_socket.close(ignored);
  }
  void TrackConnection() {
    m_connection = m_client->m_server_connections->Add(m_call.address);
  }
  void UntrackConnection() {
    if (!m_connection) return;
    m_client->m_server_connections->Remove(m_call.address, m_connection.get());
  }

  std::shared_ptr<BackendClient::Impl> m_client;
  BackendCall m_call;
  BackendHandlers m_handlers;
  tcp::socket m_socket;
  asio::steady_timer m_resumed;                  ///< Cancelled by Resume.
  std::shared_ptr<ReadConnection> m_connection;  ///< Null before it is made.
  /// Held while an answer is read that only the end of its connection ends.
  std::shared_ptr<LivenessConnection> m_liveness;
  EventStreamReader m_reader;
  beast::flat_buffer m_buffer;
  const std::function<void()> m_before_read = [this] {
    m_connection->BeginRead();
  };
  const std::function<void()> m_on_read = [this] {
    m_connection->EndRead();
    UpdateHeld();
  };
  std::array<char, kReadBytes> m_bytes{};
  BackendEnd m_end;
  Clock::time_point m_deadline = Clock::time_point::max();
  Clock::time_point m_call_end = Clock::time_point::max();
  bool m_cancelled = false;
  bool m_paused = false;
  bool m_timed_out = false;
  bool m_first_token = false;
  bool m_broken = false;      ///< The connection failed after bytes were sent.
  bool m_unverified = false;  ///< Only the connection's end ended the answer.
  bool m_reported = false;
  bool m_not_run = false;           ///< Relayed: the head says so.
  bool m_dropped = false;           ///< All answers together kept too much.
  std::size_t m_held = 0;           ///< Part of the client's `held_bytes`.
  std::size_t m_held_by_owner = 0;  ///< As told by Hold.
};

// ---------------------------------------------------------------------------
// Client.

void BackendClient::Impl::EnsureSweep() {
  if (m_sweeping || m_stopped) return;
  m_sweeping = true;
  asio::co_spawn(*m_io, Sweep(shared_from_this()), asio::detached);
}

asio::awaitable<void> BackendClient::Impl::Sweep(std::shared_ptr<Impl> self) {
  while (!self->m_stopped &&
         (!self->m_calls.empty() || self->m_pool.size() > 0)) {
    self->m_sweep.expires_after(
        self->m_calls.empty() ? self->m_options.idle_timeout : kSweepInterval);
    error_code error;
    co_await self->m_sweep.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    Clock::time_point now = Clock::now();
    std::vector<CallState*> calls(self->m_calls.begin(), self->m_calls.end());
    for (CallState* call : calls) call->CheckDeadline(now);
    for (const auto& [address, liveness] : self->m_liveness_connections) {
      self->m_server_connections->Refresh(address);
    }
    self->m_pool.Expire(now);
  }
  self->m_sweeping = false;
}

std::shared_ptr<BackendAttempt> BackendClient::Impl::Start(
    BackendCall call, BackendHandlers handlers) {
  auto state = std::make_shared<CallState>(shared_from_this(), std::move(call),
                                           std::move(handlers));
  state->Start();
  EnsureSweep();
  m_sweep.cancel();
  return state;
}

void BackendClient::Impl::Probe(
    const std::string& address, std::chrono::milliseconds timeout, bool fresh,
    std::function<void(std::optional<HostHealth>)> done) {
  BackendCall call;
  call.address = address;
  call.method = "GET";
  call.target = "/v1/health";
  call.idempotent = !fresh;
  call.first_byte_timeout = fresh ? timeout : timeout / 2;
  BackendHandlers handlers;
  handlers.end = [self = weak_from_this(), address, timeout,
                  done = std::move(done)](const BackendEnd& end) {
    std::shared_ptr<Impl> client = self.lock();
    bool answered = end.result == AttemptResult::kComplete;
    // A connection that no longer responds says nothing about its host.
    if (!answered && end.reused && client) {
      client->Probe(address, timeout / 2, true, done);
      return;
    }
    done(answered && end.status == 200 ? ParseHealth(end.body) : std::nullopt);
  };
  Start(std::move(call), std::move(handlers));
}

void BackendClient::Impl::BoundHeldBytes() {
  while (m_stats.held_bytes > m_options.max_held_bytes) {
    auto most = std::max_element(m_calls.begin(), m_calls.end(),
                                 [](const CallState* a, const CallState* b) {
                                   return a->held() < b->held();
                                 });
    ++m_stats.dropped_answers;
    (*most)->Drop();
  }
}

std::shared_ptr<LivenessConnection>
BackendClient::Impl::ShareLivenessConnection(const std::string& address) {
  std::weak_ptr<LivenessConnection>& entry = m_liveness_connections[address];
  std::shared_ptr<LivenessConnection> held = entry.lock();
  if (!held) {
    std::shared_ptr<milliseconds>& idle_timeout = m_unframed_servers[address];
    if (!idle_timeout) idle_timeout = std::make_shared<milliseconds>(0);
    held = std::make_shared<LivenessConnection>(m_io, m_server_connections,
                                                address, idle_timeout);
    entry = held;
  }
  return held;
}

void BackendClient::Impl::Stop() {
  m_stopped = true;
  std::vector<CallState*> calls(m_calls.begin(), m_calls.end());
  for (CallState* call : calls) call->Cancel();
  m_sweep.cancel();
}

// ---------------------------------------------------------------------------
// Call.

asio::awaitable<void> CallState::Run(std::shared_ptr<CallState> self) {
  // Handlers may own what owns the call, also when the loop ends before it.
  ReleaseHandlers release{self.get()};
  co_await self->Perform();
  self->m_deadline = Clock::time_point::max();
  if (!self->m_reported && !self->m_cancelled) {
    if (self->m_timed_out) {
      self->m_client->m_pool.Purge(self->m_call.address);
    } else if (self->m_broken) {
      Address address = co_await self->ProbeAddress();
      if (address == Address::kRefuses) {
        self->m_end.result = AttemptResult::kCrashed;
      }
    } else if (self->m_unverified) {
      Clock::time_point begin = Clock::now();
      co_await self->VerifyUnframedEnd();
      self->m_end.verified_for =
          std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
    }
  }
  self->Report();
}

asio::awaitable<void> CallState::Perform() {
  // GCC 12 miscompiles co_await inside && and ||, so each has its statement.
  bool connected = co_await Connect();
  if (!connected) co_return;
  if (m_call.verify_unframed &&
      m_client->m_unframed_servers.count(m_call.address) > 0) {
    m_liveness = m_client->ShareLivenessConnection(m_call.address);
  }
  bool written = co_await WriteRequest();
  if (!written) co_return;
  std::optional<Parser> parser;
  bool answered = co_await ReadHeader(&parser);
  if (!answered) co_return;
  std::string_view type = parser->get()[http::field::content_type];
  bool token_stream = !m_call.relay && m_call.event_stream &&
                      parser->get().result_int() == 200 &&
                      type.starts_with("text/event-stream");
  // An event of its own ends a token stream.
  if (token_stream) {
    co_await ReadStream(&*parser);
    co_return;
  }
  if (m_call.verify_unframed && !m_not_run) HoldIfUnframed();
  if (m_call.relay) {
    co_await RelayBody(&*parser);
  } else {
    co_await ReadBody(&*parser);
  }
}

asio::awaitable<bool> CallState::Connect() {
  if (m_call.idempotent) {
    std::optional<tcp::socket> reused = m_client->m_pool.Take(m_call.address);
    if (reused) {
      m_socket = std::move(*reused);
      m_end.reused = true;
      TrackConnection();
      ++m_client->m_stats.reused;
      co_return true;
    }
  }
  ++m_client->m_stats.connects;
  SetDeadline(m_client->m_options.connect_timeout);
  error_code error;
  try {
    co_await m_socket.async_connect(
        ParseEndpoint(m_call.address),
        asio::redirect_error(asio::use_awaitable, error));
  } catch (const std::runtime_error& fault) {
    m_end.detail = fault.what();
    error = asio::error::invalid_argument;
  }
  // The timer can close a socket whose successful connect is already queued.
  if (!error && !m_socket.is_open()) error = asio::error::operation_aborted;
  if (error) {
    Fail("connect", error);
    m_end.result = AttemptResult::kNotSent;
    m_end.unreachable = m_timed_out;
    m_broken = m_timed_out = false;
    co_return false;
  }
  TrackConnection();
  PrepareSocket(&m_socket, m_client->m_options.user_timeout);
  co_return true;
}

asio::awaitable<bool> CallState::WriteRequest() {
  // The process may have been paused since the call was decided on.
  if (Clock::now() >= m_call.send_by) {
    m_end.detail = "too late to send";
    m_end.result = AttemptResult::kNotSent;
    co_return false;
  }
  SetDeadline(m_call.first_byte_timeout);
  std::string head = FormatRequest(m_call, m_client->m_options.token);
  std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head),
      m_call.body ? asio::buffer(*m_call.body) : asio::const_buffer()};
  error_code error;
  std::size_t sent = co_await asio::async_write(
      m_socket, buffers, asio::redirect_error(asio::use_awaitable, error));
  if (!error) co_return true;
  Fail("write", error);
  // The kernel took no byte, so none can have been sent.
  if (sent == 0) {
    m_end.result = AttemptResult::kNotSent;
    m_broken = m_timed_out = false;
  }
  co_return false;
}

asio::awaitable<error_code> CallState::ReadFinalHeader(
    std::optional<Parser>* parser) {
  error_code error;
  int interim = 0;
  do {
    parser->emplace();
    (*parser)->header_limit(kMaxHeaderBytes);
    (*parser)->body_limit(boost::none);
    if (m_call.method == "HEAD") (*parser)->skip(true);
    while (!error && !(*parser)->is_header_done()) {
      error = co_await ReadSome(&m_socket, &m_buffer, &**parser, &m_on_read,
                                &m_before_read);
    }
  } while (
      !error &&
      http_status::IsInterim(static_cast<int>((*parser)->get().result_int())) &&
      ++interim <= http_status::kMaxInterimAnswers);
  co_return error;
}

void CallState::RejectStatus(int status) {
  ++m_client->m_stats.invalid_answers;
  m_end.detail = fmt::format("answer with status {}", status);
  LogEvent("answer_invalid", {{"address", m_call.address},
                              {"attempt", m_call.attempt},
                              {"status", std::to_string(status)}});
  Close();
}

asio::awaitable<bool> CallState::ReadHeader(std::optional<Parser>* parser) {
  error_code error = co_await ReadFinalHeader(parser);
  if (error) {
    Fail("header", error);
    co_return false;
  }
  const auto& answer = (*parser)->get();
  int status = static_cast<int>(answer.result_int());
  if (!http_status::IsFinal(status)) {
    RejectStatus(status);
    co_return false;
  }
  m_end.status = status;
  m_end.framing = FramingOf(**parser);
  AnswerHead judged = JudgeHead(**parser);
  if (judged == AnswerHead::kForeign) {
    ++m_end.dropped;
    ++m_client->m_stats.frames_dropped;
    m_end.status = 0;
    m_end.detail = "answer of another attempt";
    Close();
    co_return false;
  }
  m_not_run = judged == AnswerHead::kNotRun;
  m_end.content_type = std::string(answer[http::field::content_type]);
  m_end.retry_after = ParseRetryAfter(answer[http::field::retry_after],
                                      std::chrono::system_clock::now());
  std::string_view leaving = answer["leaving"];
  m_end.leaving = !leaving.empty() && leaving != "false" && leaving != "0";
  std::optional<LoadReport> load = ParseLoad(answer["X-Load"]);
  if (load && m_handlers.load && !m_cancelled) m_handlers.load(*load);
  co_return !m_cancelled;
}

// Remembers the server, because its next answer may end as soon as it begins: a
// connection that is made then comes too late.
void CallState::HoldIfUnframed() {
  auto& unframed = m_client->m_unframed_servers;
  if (m_end.framing != AnswerFraming::kConnection) {
    unframed.erase(m_call.address);
    ReleaseLiveness();
    return;
  }
  if (unframed.size() >= kMaxUnframedServers) unframed.clear();
  unframed.try_emplace(m_call.address);
  if (!m_liveness) {
    m_liveness = m_client->ShareLivenessConnection(m_call.address);
  }
}

AnswerHead CallState::JudgeHead(const Parser& parser) {
  const auto& answer = parser.get();
  if (!m_call.relay) {
    std::string_view attempt = answer["X-Attempt-Id"];
    return attempt.empty() || attempt == m_call.attempt ? AnswerHead::kAnswer
                                                        : AnswerHead::kForeign;
  }
  if (m_cancelled || !m_handlers.head) return AnswerHead::kAnswer;
  HttpHeaders headers;
  for (const auto& field : answer) {
    headers.emplace_back(std::string(field.name_string()),
                         std::string(field.value()));
  }
  return m_handlers.head(m_end.status, headers);
}

// The head of an answer isn't progress: a server may send it and then wait for
// its turn, so the first byte of the body ends the first phase.
asio::awaitable<void> CallState::RelayBody(Parser* parser) {
  std::size_t received = 0;
  while (!parser->is_done()) {
    while (m_paused && !m_cancelled) {
      m_connection->unread = true;
      error_code ignored;
      co_await m_resumed.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (m_first_token) SetDeadline(m_call.gap_timeout);
    std::string_view bytes;
    error_code error = co_await ReadBytes(parser, &bytes);
    if (m_cancelled) co_return;
    if (!bytes.empty()) m_first_token = true;
    received += bytes.size();
    if (m_call.max_body_bytes > 0 && received > m_call.max_body_bytes) {
      m_end.detail = "answer too large";
      Close();
      co_return;
    }
    if (!bytes.empty() && !m_not_run && m_handlers.bytes) {
      m_handlers.bytes(bytes);
    }
    if (m_cancelled) co_return;
    if (error) {
      Fail("body", error);
      co_return;
    }
  }
  m_end.result = AttemptResult::kComplete;
  if (m_end.status >= 500) m_end.result = AttemptResult::kError;
  if (m_not_run) m_end.result = AttemptResult::kRefused;
  m_unverified = m_call.verify_unframed &&
                 m_end.framing == AnswerFraming::kConnection && !m_not_run;
  ReturnConnection(*parser);
}

asio::awaitable<error_code> CallState::ReadBytes(Parser* parser,
                                                 std::string_view* bytes) {
  auto& body = parser->get().body();
  body.data = m_bytes.data();
  body.size = m_bytes.size();
  body.more = true;
  error_code error = co_await ReadSome(&m_socket, &m_buffer, parser, &m_on_read,
                                       &m_before_read);
  if (error == http::error::need_buffer) error = {};
  *bytes = std::string_view(m_bytes.data(), m_bytes.size() - body.size);
  co_return error;
}

asio::awaitable<void> CallState::ReadStream(Parser* parser) {
  while (true) {
    while (m_paused && !m_cancelled) {
      m_deadline = Clock::time_point::max();
      error_code ignored;
      co_await m_resumed.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (m_cancelled) co_return;
    if (m_first_token) SetDeadline(m_call.gap_timeout);
    std::string_view bytes;
    error_code error = co_await ReadBytes(parser, &bytes);
    if (m_cancelled) co_return;
    TakeTokens(bytes);
    if (m_cancelled) co_return;
    if (m_reader.done()) break;
    if (m_reader.fault() != EventStreamReader::Fault::kNone) {
      m_end.detail = FaultName(m_reader.fault());
      if (m_reader.fault() == EventStreamReader::Fault::kGap) {
        ++m_client->m_stats.gaps;
      }
      Close();
      co_return;
    }
    if (error || parser->is_done()) {
      Fail("stream", error ? error : asio::error::eof);
      co_return;
    }
  }
  m_end.result = AttemptResult::kComplete;
  Report();
  co_await FinishTrailer(parser);
}

void CallState::TakeTokens(std::string_view bytes) {
  std::uint64_t dropped = m_reader.dropped();
  m_reader.Read(bytes, [this](std::string_view data) {
    if (m_cancelled) return;
    m_first_token = true;
    m_handlers.token(data, m_reader.offset());
  });
  m_client->m_stats.frames_dropped += m_reader.dropped() - dropped;
  m_end.dropped = m_reader.dropped();
}

asio::awaitable<void> CallState::FinishTrailer(Parser* parser) {
  SetDeadline(kTrailerTimeout);
  while (!parser->is_done()) {
    std::string_view bytes;
    error_code error = co_await ReadBytes(parser, &bytes);
    if (error || !bytes.empty()) co_return;
  }
  ReturnConnection(*parser);
}

asio::awaitable<void> CallState::ReadBody(Parser* parser) {
  while (!parser->is_done()) {
    std::string_view bytes;
    error_code error = co_await ReadBytes(parser, &bytes);
    if (m_cancelled) co_return;
    if (error) {
      Fail("body", error);
      co_return;
    }
    if (m_end.body.size() + bytes.size() > m_client->m_options.max_body_bytes) {
      m_end.detail = "answer too large";
      Close();
      co_return;
    }
    m_end.body.append(bytes);
    UpdateHeld();
  }
  Classify(*parser);
  m_unverified = m_call.verify_unframed &&
                 m_end.framing == AnswerFraming::kConnection &&
                 (m_end.result == AttemptResult::kComplete ||
                  m_end.result == AttemptResult::kError);
  ReturnConnection(*parser);
}

void CallState::Classify(const Parser& parser) {
  unsigned status = parser.get().result_int();
  bool not_run = (status == 409 || status == 429 || status == 503) &&
                 SaysNotRun(m_end.body);
  if (not_run) {
    m_end.result =
        status == 409 ? AttemptResult::kWrongEpoch : AttemptResult::kRefused;
  } else if (status >= 500 || m_call.event_stream) {
    m_end.result = AttemptResult::kError;
  } else {
    m_end.result = AttemptResult::kComplete;
  }
}

void CallState::Fail(const char* phase, error_code error) {
  if (m_dropped) {
    m_end.detail = "answers too large together";
    return;
  }
  if (error == http::error::buffer_overflow ||
      error == http::error::header_limit) {
    ++m_client->m_stats.oversized_answers;
    LogDropped("unparsed_bytes", m_buffer.size());
  }
  m_broken = true;
  m_end.lost = !m_timed_out;
  m_end.result =
      m_timed_out ? AttemptResult::kTimedOut : AttemptResult::kBroken;
  if (m_end.detail.empty()) {
    m_end.detail =
        fmt::format("{}: {}", phase, m_timed_out ? "timeout" : error.message());
  }
  Close();
}

// A process that exits closes its connections before or after its listening
// socket, so one accepted connection doesn't prove that it lives.
asio::awaitable<CallState::Address> CallState::ProbeAddress() {
  asio::steady_timer pause(*m_client->m_io);
  for (int probe = 1;; ++probe) {
    error_code error;
    m_socket = tcp::socket(*m_client->m_io);
    SetDeadline(m_client->m_options.connect_timeout);
    co_await m_socket.async_connect(
        ParseEndpoint(m_call.address),
        asio::redirect_error(asio::use_awaitable, error));
    m_deadline = Clock::time_point::max();
    Close();
    if (error == asio::error::connection_refused) co_return Address::kRefuses;
    if (error || m_cancelled) co_return Address::kUnreachable;
    if (probe == kCrashProbes) co_return Address::kAccepts;
    pause.expires_after(kCrashProbePause);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

asio::awaitable<void> CallState::VerifyUnframedEnd() {
  using Verdict = ServerConnections::Verdict;
  Close();
  Verdict verdict = co_await m_client->m_server_connections->Judge(
      m_call.address, m_connection);
  if (m_cancelled) co_return;
  LogUnframedEnd(verdict);
  if (verdict == Verdict::kUnknown) {
    m_end.evidence = EndEvidence::kAddress;
    co_await JudgeByAddress();
    co_return;
  }
  m_end.evidence = EndEvidence::kConnections;
  if (verdict == Verdict::kOutlived) co_return;
  Address address = co_await ProbeAddress();
  if (m_cancelled) co_return;
  SetUnverified(address, verdict == Verdict::kReadLate
                             ? "its end was read late, with no connection that "
                               "shows that its server lives"
                             : "all connections to its server ended");
}

void CallState::LogUnframedEnd(ServerConnections::Verdict verdict) {
  LogEvent(
      "unframed_end",
      {{"address", m_call.address},
       {"verdict", VerdictName(verdict)},
       {"liveness_made", m_liveness ? std::to_string(m_liveness->made()) : "-"},
       {"connections",
        std::to_string(m_client->m_server_connections->Count(m_call.address))},
       {"leaving", m_end.leaving ? "yes" : "no"}});
}

// Without another connection, all that can be asked is whether somebody listens
// at the address. A server that is leaving may have stopped listening before it
// sent the end of its last answer, or may have cut it off: without evidence an
// answer isn't complete.
asio::awaitable<void> CallState::JudgeByAddress() {
  Address address = co_await ProbeAddress();
  if (address == Address::kAccepts || m_cancelled) co_return;
  SetUnverified(address, address == Address::kRefuses
                             ? "its server refuses connections"
                             : "its server can't be reached");
  // No connection tells of a crash, and the server has announced its end.
  if (m_end.leaving ||
      (m_handlers.server_leaving && m_handlers.server_leaving())) {
    m_end.result = AttemptResult::kBroken;
  }
}

void CallState::SetUnverified(Address address, const char* reason) {
  ++m_client->m_stats.unverified_answers;
  m_end.result = address == Address::kRefuses ? AttemptResult::kCrashed
                                              : AttemptResult::kBroken;
  m_end.lost = true;
  m_end.detail = fmt::format("answer without a length ended and {}", reason);
}

void CallState::Report() {
  if (m_reported || m_cancelled) return;
  m_reported = true;
  m_held_by_owner = 0;
  ReleaseHeld();
  ReleaseLiveness();
  m_end.offset = m_reader.offset();
  if (m_handlers.end) m_handlers.end(std::move(m_end));
}

void CallState::ReturnConnection(const Parser& parser) {
  if (!parser.keep_alive() || m_buffer.size() > 0 || !m_socket.is_open()) {
    return;
  }
  UntrackConnection();
  m_client->m_pool.Put(m_call.address, std::move(m_socket), Clock::now());
}

// ---------------------------------------------------------------------------

const char* AnswerFramingName(AnswerFraming framing) {
  switch (framing) {
    case AnswerFraming::kNone:
      return "none";
    case AnswerFraming::kLength:
      return "length";
    case AnswerFraming::kChunks:
      return "chunks";
    case AnswerFraming::kConnection:
      return "connection";
  }
  return "none";
}

const char* EndEvidenceName(EndEvidence evidence) {
  switch (evidence) {
    case EndEvidence::kNone:
      return "-";
    case EndEvidence::kConnections:
      return "connections";
    case EndEvidence::kAddress:
      return "address";
  }
  return "-";
}

milliseconds BackendEnd::BusyFor() const {
  return RequestedBackoff(status, retry_after);
}

BackendClient::BackendClient(asio::io_context* io, BackendOptions options)
    : m_impl(std::make_shared<Impl>(io, std::move(options))) {}

BackendClient::~BackendClient() { m_impl->Stop(); }

std::shared_ptr<BackendAttempt> BackendClient::Start(BackendCall call,
                                                     BackendHandlers handlers) {
  return m_impl->Start(std::move(call), std::move(handlers));
}

void BackendClient::Probe(const std::string& address,
                          std::chrono::milliseconds timeout,
                          std::function<void(std::optional<HostHealth>)> done) {
  m_impl->Probe(address, timeout, /*fresh=*/false, std::move(done));
}

void BackendClient::SendOrder(
    const std::string& address, const HostOrder& order,
    std::chrono::steady_clock::time_point send_by,
    std::function<void(bool accepted, bool sent)> done) {
  nlohmann::json json = {
      {"kind", order.kind},         {"group", order.group},
      {"epoch", order.epoch},       {"rank", order.rank},
      {"hosts", order.hosts},       {"model", order.model},
      {"version", order.version},   {"weights", order.weights},
      {"adapters", order.adapters}, {"role", order.role},
      {"fence", order.fence}};
  BackendCall call;
  call.address = address;
  call.target = "/v1/orders";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = std::make_shared<const std::string>(JsonText(json));
  call.idempotent = false;
  call.send_by = send_by;
  call.first_byte_timeout =
      std::chrono::duration_cast<milliseconds>(send_by - Clock::now());
  BackendHandlers handlers;
  handlers.end = [done = std::move(done)](const BackendEnd& end) {
    done(end.result == AttemptResult::kComplete && end.status / 100 == 2,
         end.result != AttemptResult::kNotSent);
  };
  Start(std::move(call), std::move(handlers));
}

void BackendClient::CancelRemote(const std::string& address,
                                 const std::string& attempt) {
  BackendCall call;
  call.address = address;
  call.method = "DELETE";
  call.target = "/v1/attempts/" + attempt;
  call.first_byte_timeout = std::chrono::seconds(2);
  Start(std::move(call), {});
}

void BackendClient::SetMaxIdle(std::size_t most) { m_impl->SetMaxIdle(most); }

BackendStats BackendClient::stats() const {
  BackendStats stats = m_impl->m_stats;
  stats.idle = m_impl->m_pool.size();
  return stats;
}

}  // namespace clementine

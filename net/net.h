// Asio, Beast and nng I/O layer around the pure library.
//
// Everything runs on one io_context and one thread; callbacks are called on
// that thread. Nothing here decides: it carries bytes, checks their form and
// reports what happened.
//
//   HttpServer      callers' requests; streamed answers with backpressure
//   BackendClient   calls to backend servers; checked event streams
//   PlatformClient  the platform's object API and host list
//   PeerTransport   authenticated messages between daemons
//   Metrics         counters, gauges and distributions as Prometheus text
//
//   boost::asio::io_context io;
//   HttpServer server(&io, "127.0.0.1:0", HttpLimits{},
//                     [](std::shared_ptr<HttpExchange> exchange) {
//                       exchange->Answer(200, {}, "hello");
//                     });
//   io.run();
#ifndef NET_NET_H_
#define NET_NET_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Writes one key=value line to standard output, never waiting for its reader.
/// Lines of one event beyond some hundred a second are dropped and counted; the
/// next line of that event tells how many. Values that contain spaces,
/// quotes or control characters are quoted and escaped.
/// @param event  Name of the event, written as event=NAME.
/// @param fields Keys and values in the order in which they are written.
void LogEvent(const std::string& event,
              const std::vector<std::pair<std::string, std::string>>& fields);

/// Sends log lines to another descriptor than standard output; for programs
/// whose standard output is their result.
void LogTo(int descriptor);

/// Compares secrets in a time that depends only on their lengths.
bool SecretsEqual(std::string_view left, std::string_view right);

/// HMAC-SHA256 of `text`, 32 bytes.
std::string MessageCode(std::string_view key, std::string_view text);

/// Bytes as lower-case hexadecimal digits.
std::string HexText(std::string_view bytes);

/// Random bytes that nobody can guess, as hexadecimal digits.
/// @throws std::runtime_error when the system has no entropy.
std::string RandomToken(std::size_t bytes);

// ---------------------------------------------------------------------------
// Metrics.

/// Counters, gauges and distributions, written in Prometheus text format.
/// Distributions are kept in constant memory: p50, p95 and p99 are estimated
/// over windows of one minute; sum and count are over the process's lifetime.
/// `labels` is empty or such as `class="counter"`.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Add(const std::string& name, const std::string& labels,
           std::uint64_t count = 1);
  /// Sets a counter that is counted elsewhere to its current total.
  void SetTotal(const std::string& name, const std::string& labels,
                std::uint64_t total);
  void Set(const std::string& name, const std::string& labels, double value);

  /// A distribution; the pointer stays valid as long as the registry.
  class Distribution;
  Distribution* Find(const std::string& name, const std::string& labels);
  static void Observe(Distribution* distribution, double value, TimePoint now);

  std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// ---------------------------------------------------------------------------
// HTTP server.

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

class HttpSession;
class CallState;
class MemoryPart;

/// Finds a header by name without regard to case; empty when absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// Whether a text is an address of the form IP:port.
bool IsEndpoint(const std::string& address);

/// The headers that are passed on: without those that concern one connection,
/// and without the length, which the sender of a message sets itself.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

struct HttpRequest {
  std::string method;
  std::string path;   ///< Target without its query.
  std::string query;  ///< Without the question mark.
  HttpHeaders headers;
  std::string body;
};

/// One request and its answer. Exactly one of Answer, or StartStream ...
/// EndStream, is called; calls after the caller left are ignored.
class HttpExchange {
 public:
  HttpExchange() = default;
  virtual ~HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  virtual const HttpRequest& request() const = 0;
  /// Takes the body out of the request, so that it isn't kept twice.
  virtual std::string TakeBody() { return request().body; }
  virtual void Answer(int status, const HttpHeaders& headers,
                      std::string_view body) = 0;

  /// Starts an answer of unknown length.
  virtual void StartStream(int status, const HttpHeaders& headers) = 0;
  /// Queues bytes of a streamed answer; never blocks.
  /// @return false when the caller reads too slowly: stop producing until the
  ///         drain handler is called.
  virtual bool Write(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  /// Closes the connection without completing a streamed answer, so that the
  /// caller can't take it for a complete one.
  virtual void Abort() = 0;

  /// Called at most once, when the caller closes its connection or stops
  /// reading for longer than the write timeout before the answer is complete.
  virtual void SetLeaveHandler(std::function<void()> handler) = 0;
  virtual void SetDrainHandler(std::function<void()> handler) = 0;
};

struct HttpLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 1'048'576;
  std::size_t max_connections = 4096;
  std::size_t max_buffered_bytes = 65'536;  ///< Unsent bytes of one answer.
  /// Of all requests together, from their first byte to the end of their
  /// answers. A request that would exceed it is refused as not run.
  std::size_t max_held_bytes = 33'554'432;
  /// Part of the process's account that the connections are charged to; null:
  /// one of its own, of max_held_bytes.
  std::shared_ptr<MemoryPart> memory;
  /// Fields of a request's head; 0: as many as fit into max_header_bytes.
  std::size_t max_header_fields = 0;
  std::chrono::milliseconds header_timeout{10'000};
  /// Longest time without progress of a body, and the time that it may take
  /// beside the time that min_transfer_rate allows for its bytes.
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds write_timeout{30'000};  ///< As body_timeout.
  std::chrono::milliseconds idle_timeout{60'000};   ///< Between requests.

  /// Bytes a second; 0: those of a client whose largest head just meets
  /// header_timeout.
  std::size_t transfer_rate = 0;

  /// Slowest average rate of a body and of the reading of an answer, in bytes a
  /// second.
  std::size_t min_transfer_rate() const;
};

struct HttpServerStats {
  std::uint64_t connections = 0;  ///< Open now.
  std::uint64_t exchanges = 0;    ///< Requests being answered now.
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;  ///< Rejected before the handler saw them.
  std::uint64_t refused_connections = 0;
  std::uint64_t callers_left = 0;
  std::uint64_t held_bytes = 0;  ///< Bytes kept of unanswered requests, now.
  std::uint64_t dropped_requests = 0;    ///< Refused, as all held too much.
  std::uint64_t timed_out_requests = 0;  ///< Part of `malformed`: too slow.
  std::uint64_t closed_readers = 0;  ///< Read too slowly while memory was full.
  std::uint64_t closed_idle = 0;     ///< Idle, without a successful answer.
  std::uint64_t closed_for_others = 0;  ///< At the limit of connections.
  std::uint64_t charged_bytes = 0;      ///< All that connections hold, now.
  std::uint64_t charged_limit = 0;
};

/// HTTP/1.1 server. Malformed, oversized, slow and truncated requests get a
/// JSON error and a log line; the handler never sees them.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Listens at once.
  /// @param address IP:port; port 0 takes a free one.
  /// @throws std::runtime_error when the address can't be used.
  HttpServer(boost::asio::io_context* io, const std::string& address,
             HttpLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string address() const;  ///< Bound IP:port.
  HttpServerStats stats() const;
  const HttpLimits& limits() const;

  /// Replaces the limits, except for `memory`. A larger limit takes effect for
  /// what arrives next, also on present connections.
  void SetLimits(HttpLimits limits);

  /// Closes each connection after its next answer, which says so. Goes on
  /// accepting, so that callers who don't know yet are served.
  void StartDraining();

  /// Accepts no more connections, closes idle ones, and closes the others
  /// after their current answer.
  void Stop();

 private:
  friend class HttpSession;
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

// ---------------------------------------------------------------------------
// Calls to backend servers.

/// Parses `running=3;waiting=1;kv=0.42`.
/// @return Nothing when the text is malformed; group and epoch are left empty.
std::optional<LoadReport> ParseLoad(std::string_view text);

/// Parses the time of a Retry-After header: seconds, which may have a fraction,
/// or a date.
/// @param now Time of day with which a date is compared.
/// @return Zero when the text is malformed or the date has passed; at most a
///     day.
std::chrono::milliseconds ParseRetryAfter(
    std::string_view text, std::chrono::system_clock::time_point now);

/// Parses the JSON of `GET /v1/health`.
/// @return Nothing when required members are missing or of a wrong type.
std::optional<HostHealth> ParseHealth(const std::string& json);

/// Splits a stream into server-sent events and checks that each belongs to one
/// attempt and continues at the expected offset. Token events carry
/// `id: <attempt>:<offset>`; offsets count from 0, so the offset of the next
/// event equals the number of tokens delivered so far.
class EventStreamReader {
 public:
  enum class Fault { kNone, kGap, kOversized, kErrorEvent };

  /// @param attempt Attempt whose events are accepted.
  /// @param offset  Offset of the first new event.
  EventStreamReader(std::string attempt, std::uint64_t offset);

  /// Consumes bytes; calls `token` with the data of each accepted event.
  /// Returns early after a fault.
  void Read(std::string_view bytes,
            const std::function<void(std::string_view data)>& token);

  std::uint64_t offset() const { return m_offset; }
  bool done() const { return m_done; }  ///< `data: [DONE]` was read.
  Fault fault() const { return m_fault; }
  std::uint64_t dropped() const { return m_dropped; }  ///< Foreign or repeated.
  /// Size of the unfinished event, in bytes.
  std::size_t held_bytes() const {
    return m_partial.size() + m_id.size() + m_data.size() + m_event.size();
  }

 private:
  using TokenHandler = std::function<void(std::string_view data)>;
  void Line(std::string_view line, const TokenHandler& token);
  void EndEvent(const TokenHandler& token);
  std::optional<std::uint64_t> OwnOffset() const;

  std::string m_attempt;
  std::uint64_t m_offset;
  std::string m_partial;  ///< Unfinished line.
  std::string m_id;
  std::string m_data;
  std::string m_event;
  bool m_has_data = false;
  bool m_done = false;
  Fault m_fault = Fault::kNone;
  std::uint64_t m_dropped = 0;
};

/// One call to a backend server.
struct BackendCall {
  std::string address;  ///< IP:port.
  std::string method = "POST";
  std::string target;
  HttpHeaders headers;
  std::shared_ptr<const std::string> body;  ///< May be null.
  std::string attempt;        ///< Identifies the attempt on the wire.
  bool event_stream = false;  ///< Expect and check a token stream.
  std::uint64_t resume_offset = 0;
  /// A call that must not run twice gets a new connection, because a reused one
  /// may be closed by the server just when the call is written.
  bool idempotent = true;
  std::chrono::milliseconds first_byte_timeout{10'000};
  std::chrono::milliseconds gap_timeout{2'000};
  /// The call isn't written from this time on.
  std::chrono::steady_clock::time_point send_by =
      std::chrono::steady_clock::time_point::max();
  /// The call ends at the latest after this time, however its bytes come.
  std::chrono::milliseconds total_timeout{0};  ///< 0: no limit.
  std::size_t max_body_bytes = 0;  ///< Of a relayed answer; 0: no limit.
  /// An answer whose length only the end of its connection tells counts as
  /// complete only if its server's process outlives it: a process that ends
  /// closes its connections as if its answers were complete. The evidence is
  /// another connection that was open before the end and still is afterwards.
  /// Without one, the address has to accept connections.
  bool verify_unframed = false;
  /// Passes the answer on unread: the hooks `head` and `bytes` get it, and
  /// `headers` hold all headers of the call, Host included.
  bool relay = false;
};

/// What the head of a relayed answer says, in the words of its protocol.
enum class AnswerHead {
  kAnswer,   ///< The answer to this call.
  kNotRun,   ///< The backend server didn't run the call.
  kForeign,  ///< Of another call, or not to be trusted.
};

/// What tells where an answer ends.
enum class AnswerFraming {
  kNone,        ///< There was no answer.
  kLength,      ///< Its length, which may be 0.
  kChunks,      ///< The chunked coding.
  kConnection,  ///< The end of its connection, which doesn't prove it whole.
};

/// @return As used in logs and as a label of metrics.
const char* AnswerFramingName(AnswerFraming framing);

/// What the verdict on the end of an answer rests on (verify_unframed).
enum class EndEvidence {
  kNone,         ///< None was needed.
  kConnections,  ///< Other connections to the server.
  kAddress,      ///< New connections to its address.
};

/// @return As used in logs.
const char* EndEvidenceName(EndEvidence evidence);

/// How a call ended.
struct BackendEnd {
  AttemptResult result = AttemptResult::kBroken;
  int status = 0;            ///< HTTP status, 0 without an answer.
  std::string content_type;  ///< Of `body`.
  std::string body;          ///< Answer that isn't a token stream.
  std::uint64_t offset = 0;  ///< Tokens delivered, earlier attempts included.
  std::uint64_t dropped = 0;
  milliseconds retry_after{0};
  bool leaving = false;  ///< The answer had a `leaving` header.
  bool reused = false;   ///< The connection came from the pool.
  AnswerFraming framing = AnswerFraming::kNone;
  /// Time for which the end of an answer waited for evidence on its server, and
  /// which it was.
  milliseconds verified_for{0};
  EndEvidence evidence = EndEvidence::kNone;
  bool lost = false;         ///< The connection couldn't be made or broke.
  bool unreachable = false;  ///< Nothing answered the connection request.
  std::string detail;        ///< For the log.

  /// As BusyTime, of this answer.
  milliseconds BusyFor() const;
};

struct BackendHandlers {
  std::function<void(std::string_view data, std::uint64_t offset)> token;
  std::function<void(const LoadReport& load)> load;
  /// Relayed calls: judges the head; empty accepts every answer.
  std::function<AnswerHead(int status, const HttpHeaders& headers)> head;
  /// Relayed calls: the next bytes of an accepted answer's body.
  std::function<void(std::string_view bytes)> bytes;
  /// Whether the server has announced that it is leaving. The end of such a
  /// server isn't a crash. Empty: it has not.
  std::function<bool()> server_leaving;
  std::function<void(BackendEnd end)> end;  ///< Exactly once unless cancelled.
};

/// A running call. Dropping the pointer doesn't end it.
class BackendAttempt {
 public:
  BackendAttempt() = default;
  virtual ~BackendAttempt() = default;
  BackendAttempt(const BackendAttempt&) = delete;
  BackendAttempt& operator=(const BackendAttempt&) = delete;

  /// Closes the connection; no handler is called any more.
  virtual void Cancel() = 0;
  /// Stops reading until Resume; the gap timeout doesn't run meanwhile.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
  /// Tells how many bytes of the answer the owner of the call keeps until it
  /// ends, beside those that the client keeps itself. Beyond
  /// BackendOptions::max_held_bytes for all calls, the one that keeps the most
  /// ends broken.
  virtual void Hold(std::size_t bytes) = 0;
  /// Whether the connection served another call before this one, so that its
  /// next answer may be a second one to that.
  virtual bool reused() const = 0;
};

struct BackendOptions {
  std::string token;  ///< Bearer token; never logged.
  std::chrono::milliseconds connect_timeout{500};
  /// Unacknowledged bytes for this long end a connection (TCP_USER_TIMEOUT).
  std::chrono::milliseconds user_timeout{5'000};
  std::chrono::milliseconds idle_timeout{15'000};  ///< In the pool.
  std::size_t max_idle_per_address = 32;
  std::size_t max_idle = 0;  ///< Of all addresses together; 0: unlimited.
  std::size_t max_body_bytes = 8'388'608;  ///< Of an answer.
  /// Of all answers together, with the bytes that are not parsed yet: a fifth
  /// of the smallest host of a daemon, which has 160 MB, and more than a whole
  /// answer of the largest size.
  std::size_t max_held_bytes = 33'554'432;
};

struct BackendStats {
  std::uint64_t calls = 0;
  std::uint64_t connects = 0;
  std::uint64_t reused = 0;
  std::uint64_t idle = 0;            ///< Connections in the pool now.
  std::uint64_t frames_dropped = 0;  ///< Events of another attempt or repeated.
  std::uint64_t gaps = 0;            ///< Streams ended by a missing event.
  std::uint64_t held_bytes = 0;      ///< Bytes kept of unfinished answers, now.
  std::uint64_t dropped_answers = 0;  ///< Ended, as all together kept too much.
  /// Ended, as a head, the size line of a chunk or a trailer was too long.
  std::uint64_t oversized_answers = 0;
  std::uint64_t invalid_answers = 0;  ///< Ended, as their status isn't final.
  /// Answers without length and chunks that their server has not outlived.
  std::uint64_t unverified_answers = 0;
};

/// Client of backend servers. Never repeats a call by itself. A result is
/// kNotSent only if the connection was never established, and kCrashed only if
/// the connection broke, or ended an answer of unknown length, and the address
/// then refuses a new one.
class BackendClient {
 public:
  BackendClient(boost::asio::io_context* io, BackendOptions options);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  std::shared_ptr<BackendAttempt> Start(BackendCall call,
                                        BackendHandlers handlers);

  /// Asks a backend server for its health; nothing on any failure.
  void Probe(const std::string& address, std::chrono::milliseconds timeout,
             std::function<void(std::optional<HostHealth>)> done);

  /// Sends an order. `sent` is false only if no byte could have arrived.
  /// @param send_by The order is neither sent nor waited for after this time.
  void SendOrder(const std::string& address, const HostOrder& order,
                 std::chrono::steady_clock::time_point send_by,
                 std::function<void(bool accepted, bool sent)> done);

  /// Tells a backend server to stop an attempt; failures are ignored.
  void CancelRemote(const std::string& address, const std::string& attempt);

  /// Sets how many idle connections to one address are kept.
  void SetMaxIdle(std::size_t most);

  BackendStats stats() const;

 private:
  friend class CallState;
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

// ---------------------------------------------------------------------------
// Messages between daemons.

struct PeerStats {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t not_sent = 0;  ///< No connection, or its queue is full.
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t rejected = 0;  ///< Damaged, unauthenticated or other version.
  std::uint64_t overflowed = 0;
};

/// Datagram-like messages over nng: one pull socket receives, and one push
/// socket for each peer sends, so that a slow peer delays only its own queue.
/// Messages may be lost, never altered: each carries an HMAC-SHA256.
class PeerTransport {
 public:
  /// @param listen   IP:port; port 0 takes a free one.
  /// @param key      Shared key; never logged.
  /// @param received Called on the io_context with the authenticated bytes.
  /// @throws std::runtime_error when the address can't be used.
  PeerTransport(boost::asio::io_context* io, const std::string& listen,
                std::string key, std::function<void(std::string)> received);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  std::string address() const;  ///< Bound IP:port.

  /// Connects, now or as soon as the peer can be reached.
  void Connect(const std::string& peer_address);
  void Disconnect(const std::string& peer_address);

  /// Sends to one peer (connecting first if needed), or to all connected peers
  /// when `peer_address` is empty.
  void Send(const std::string& peer_address, std::string_view bytes);

  PeerStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// ---------------------------------------------------------------------------
// Platform.

/// Client of the platform's object API and host list. All calls are
/// asynchronous; callbacks run on the io_context, exactly once each, and also
/// when the platform is unreachable; none runs after the client's destruction.
/// Counts its calls for /metrics.
class PlatformClient {
 public:
  using ObjectCallback = std::function<void(ObjectReply)>;

  /// @param io      Must outlive the client.
  /// @param address IP:port of the platform's API.
  /// @param token   Bearer token; never logged.
  /// @param timeout Longest wait for an answer; a watch adds its own time.
  /// @throws std::runtime_error when the address isn't IP:port.
  PlatformClient(boost::asio::io_context* io, const std::string& address,
                 const std::string& token,
                 std::chrono::milliseconds timeout = std::chrono::seconds(2));
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  /// @param seen Called with the era of the store (see core/store_era.h) when
  ///     it becomes known and each time that it has become higher, before the
  ///     answer is passed on. Answers of an older era count as lost.
  void SetEraHandler(std::function<void(std::uint64_t)> seen);
  /// Another daemon has stated the era.
  void OnEraSeen(std::uint64_t era);
  std::uint64_t store_era() const;

  void Get(const GetObject& get, ObjectCallback done);
  /// A lost answer is kUnknown; kUnavailable only if nothing was sent.
  void Put(const PutObject& put, ObjectCallback done);
  void Delete(const DeleteObject& del, ObjectCallback done);

  /// Lists objects whose key starts with a prefix; empty result on failure.
  void List(const std::string& prefix,
            std::function<void(std::optional<ObjectsChanged>)> done);

  /// Waits for changes after revision `watch.since`, at most `watch.timeout`.
  /// With `since` 0 all current objects are returned at once.
  void WatchObjects(const Watch& watch,
                    std::function<void(std::optional<ObjectsChanged>)> done);

  void ListHosts(
      std::function<void(std::optional<std::vector<HostInfo>>)> done);

  /// Calls made so far, all kinds, failed ones included.
  std::uint64_t calls() const;
  std::uint64_t held_bytes() const;       ///< Bytes of unfinished answers, now.
  std::uint64_t dropped_answers() const;  ///< Ended as they exceeded a limit.
  std::uint64_t invalid_answers() const;  ///< Without a final status.
  /// Sets the limit of the bytes of all unfinished answers together.
  void SetMaxHeldBytes(std::size_t bytes);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace clementine

#endif  // NET_NET_H_

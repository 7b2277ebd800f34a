// An answer counts only when it is complete; what a lost answer means depends
// on whether any byte of the call was handed to the connection.
//
// GCC 12 destroys some temporaries in co_await expressions twice; arguments
// with destructors are therefore named.

#include "net/http_transport.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "net/address.h"
#include "net/connection_pool.h"
#include "net/http_status.h"
#include "net/read_some.h"

namespace clementine {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using asio::ip::tcp;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// The largest answers are the host list and the list of a data centre's
// objects.
constexpr std::size_t kMaxAnswerBytes = 16'000'000;
// Of all unfinished answers together.
constexpr std::size_t kMaxHeldBytes = 2 * kMaxAnswerBytes;
// The head of an answer, the size line of a chunk, or the fields after the last
// chunk, and the bytes read with it.
constexpr std::size_t kMaxUnparsedBytes = 65'536;
constexpr std::size_t kMaxIdleConnections = 8;
// Reached only when the platform is slow; bounds memory and descriptors.
constexpr std::size_t kMaxConnections = 256;

struct Connection {
  explicit Connection(asio::io_context* io) : stream(*io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::size_t held = 0;  // Bytes of the unfinished answer.
  bool dropped = false;  // All answers together held too much.
};

}  // namespace

class HttpTransport::Impl
    : public std::enable_shared_from_this<HttpTransport::Impl> {
 public:
  Impl(asio::io_context* io, std::string address, HttpHeaders headers,
       std::chrono::milliseconds timeout)
      : m_io(io),
        m_endpoint(ParseEndpoint(address)),
        m_address(std::move(address)),
        m_headers(std::move(headers)),
        m_timeout(timeout) {}

  // Runs a call; `done` gets its answer unless the client was destroyed.
  void Start(http::verb verb, std::string target, std::string body,
             std::chrono::milliseconds extra_time,
             std::function<void(const Answer&)> done) {
    ++m_calls;
    asio::co_spawn(
        *m_io,
        Run(shared_from_this(), verb, std::move(target), std::move(body),
            m_timeout + extra_time, std::move(done)),
        asio::detached);
  }

  // Ends all calls without running their callbacks.
  void Stop() {
    m_stopped = true;
    m_idle.clear();
    for (const auto& weak : m_open) {
      if (auto connection = weak.lock()) connection->stream.close();
    }
  }

  void ForgetIdle() { m_idle.clear(); }

  std::uint64_t calls() const { return m_calls; }
  const Stats& stats() const { return m_stats; }
  void SetMaxHeldBytes(std::size_t bytes) { m_max_held_bytes = bytes; }

 private:
  using Parser = http::response_parser<http::string_body>;
  using ConnectionPtr = std::shared_ptr<Connection>;

  // `self` keeps the client's state until the call has ended.
  static asio::awaitable<void> Run(std::shared_ptr<Impl> self, http::verb verb,
                                   std::string target, std::string body,
                                   std::chrono::milliseconds timeout,
                                   std::function<void(const Answer&)> done) {
    std::string message = self->Serialize(verb, target, body);
    Answer answer = co_await self->Call(message, verb == http::verb::get,
                                        Clock::now() + timeout);
    if (!self->m_stopped) done(answer);
  }

  std::string Serialize(http::verb verb, const std::string& target,
                        const std::string& body) const {
    http::request<http::string_body> request(verb, target, 11);
    request.set(http::field::host, m_address);
    for (const auto& [name, value] : m_headers) request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    std::string message;
    http::request_serializer<http::string_body> serializer(request);
    boost::system::error_code error;
    while (!serializer.is_done()) {
      serializer.next(error,
                      [&](boost::system::error_code&, const auto& buffers) {
                        message += beast::buffers_to_string(buffers);
                        serializer.consume(beast::buffer_bytes(buffers));
                      });
    }
    return message;
  }

  // A kept connection may be closed by the platform while it is idle. The call
  // is then repeated on another one if it is a read or none of it was sent.
  asio::awaitable<Answer> Call(const std::string& message, bool is_read,
                               Clock::time_point deadline) {
    while (true) {
      ConnectionPtr connection = TakeIdle();
      bool reused = connection != nullptr;
      if (!reused) {
        connection = co_await Connect(deadline);
      }
      if (connection == nullptr) co_return Answer{};
      Answer answer = co_await Exchange(connection, message, deadline);
      if (answer.status != 0 || !reused || m_stopped) co_return answer;
      if (Clock::now() >= deadline || (answer.sent && !is_read)) {
        co_return answer;
      }
    }
  }

  ConnectionPtr TakeIdle() {
    while (!m_idle.empty()) {
      ConnectionPtr connection = std::move(m_idle.back());
      m_idle.pop_back();
      if (StillOpen(&connection->stream.socket())) return connection;
    }
    return nullptr;
  }

  asio::awaitable<ConnectionPtr> Connect(Clock::time_point deadline) {
    std::erase_if(m_open, [](const auto& weak) { return weak.expired(); });
    if (m_stopped || m_open.size() >= kMaxConnections) co_return nullptr;
    auto connection = std::make_shared<Connection>(m_io);
    m_open.push_back(connection);
    connection->stream.expires_at(deadline);
    auto [error] =
        co_await connection->stream.async_connect(m_endpoint, kAwaitTuple);
    if (error) co_return nullptr;
    boost::system::error_code ignored;
    connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return connection;
  }

  asio::awaitable<Answer> Exchange(ConnectionPtr connection,
                                   const std::string& message,
                                   Clock::time_point deadline) {
    Answer answer;
    connection->stream.expires_at(deadline);
    auto [write_error, written] = co_await asio::async_write(
        connection->stream, asio::buffer(message), kAwaitTuple);
    answer.sent = written > 0;
    if (write_error) co_return answer;
    std::optional<Parser> parser;
    boost::system::error_code read_error =
        co_await ReadFinal(connection, &parser);
    if (read_error) {
      // Whatever stopped this connection may have stopped the idle ones too.
      if (read_error == beast::error::timeout) m_idle.clear();
      co_return answer;
    }
    int status = static_cast<int>(parser->get().result_int());
    if (!http_status::IsFinal(status)) {
      ++m_stats.invalid_answers;
      LogEvent("answer_invalid",
               {{"address", m_address}, {"status", std::to_string(status)}});
      co_return answer;
    }
    answer.status = status;
    for (const auto& field : parser->get()) {
      answer.headers.emplace_back(std::string(field.name_string()),
                                  std::string(field.value()));
    }
    answer.body = std::move(parser->get().body());
    LogUnexpected(answer.status);
    if (parser->keep_alive() && connection->buffer.size() == 0 && !m_stopped &&
        m_idle.size() < kMaxIdleConnections) {
      connection->stream.expires_never();
      m_idle.push_back(std::move(connection));
    }
    co_return answer;
  }

  // Reads the final answer, or the first invalid one.
  asio::awaitable<boost::system::error_code> ReadFinal(
      ConnectionPtr connection, std::optional<Parser>* parser) {
    boost::system::error_code error;
    int interim = 0;
    do {
      parser->emplace();
      (*parser)->body_limit(std::min(kMaxAnswerBytes, m_max_held_bytes));
      error = co_await Read(connection, &**parser);
    } while (!error &&
             http_status::IsInterim(
                 static_cast<int>((*parser)->get().result_int())) &&
             ++interim <= http_status::kMaxInterimAnswers);
    co_return error;
  }

  // Reads an answer within the limits of held bytes.
  asio::awaitable<boost::system::error_code> Read(ConnectionPtr connection,
                                                  Parser* parser) {
    const std::function<void()> on_read = [this, connection, parser] {
      SetHeld(connection.get(),
              connection->buffer.capacity() + parser->get().body().size());
      BoundHeldBytes();
    };
    boost::system::error_code result;
    while (!result && !parser->is_done()) {
      result = co_await ReadSome(&connection->stream, &connection->buffer,
                                 parser, &on_read);
    }
    SetHeld(connection.get(), 0);
    bool too_long = result == http::error::buffer_overflow ||
                    result == http::error::header_limit ||
                    result == http::error::body_limit;
    if (too_long || connection->dropped) {
      ++m_stats.dropped_answers;
      LogEvent("answer_dropped",
               {{"address", m_address},
                {"reason", connection->dropped ? "held_bytes" : "too_long"},
                {"detail", result.message()}});
    }
    co_return result;
  }

  void SetHeld(Connection* connection, std::size_t bytes) {
    m_stats.held_bytes += bytes;
    m_stats.held_bytes -= connection->held;
    connection->held = bytes;
  }

  // Ends the answers that hold the most while all together hold too much.
  void BoundHeldBytes() {
    while (m_stats.held_bytes > m_max_held_bytes) {
      ConnectionPtr most;
      for (const auto& weak : m_open) {
        ConnectionPtr connection = weak.lock();
        if (connection && (!most || connection->held > most->held)) {
          most = std::move(connection);
        }
      }
      SetHeld(most.get(), 0);
      most->dropped = true;
      most->stream.close();
    }
  }

  // Logs a status that the protocol doesn't give, once until it changes.
  void LogUnexpected(int status) {
    bool expected =
        status / 100 == 2 || status == 404 || status == 409 || status == 410;
    if (!expected && status != m_logged_status) {
      LogEvent("http_status",
               {{"address", m_address}, {"status", std::to_string(status)}});
    }
    m_logged_status = expected ? 0 : status;
  }

  asio::io_context* m_io;
  tcp::endpoint m_endpoint;
  std::string m_address;
  HttpHeaders m_headers;
  std::chrono::milliseconds m_timeout;
  std::vector<ConnectionPtr> m_idle;
  std::vector<std::weak_ptr<Connection>> m_open;  // Idle and busy.
  std::uint64_t m_calls = 0;
  Stats m_stats;
  std::size_t m_max_held_bytes = kMaxHeldBytes;
  int m_logged_status = 0;
  bool m_stopped = false;
};

HttpTransport::HttpTransport(asio::io_context* io, const std::string& address,
                             HttpHeaders headers,
                             std::chrono::milliseconds timeout)
    : m_impl(std::make_shared<Impl>(io, address, std::move(headers), timeout)) {
}

HttpTransport::~HttpTransport() { m_impl->Stop(); }

void HttpTransport::Start(const std::string& method, std::string target,
                          std::string body,
                          std::chrono::milliseconds extra_time,
                          std::function<void(const Answer&)> done) {
  m_impl->Start(http::string_to_verb(method), std::move(target),
                std::move(body), extra_time, std::move(done));
}

void HttpTransport::ForgetIdle() { m_impl->ForgetIdle(); }

std::uint64_t HttpTransport::calls() const { return m_impl->calls(); }

HttpTransport::Stats HttpTransport::stats() const { return m_impl->stats(); }

void HttpTransport::SetMaxHeldBytes(std::size_t bytes) {
  m_impl->SetMaxHeldBytes(bytes);
}

}  // namespace clementine

// Answers are written by hand as bytes and not through Beast's serializers, so
// that whole answers and streams take the same path past the fault switches.

#include "testing/standin_http.h"

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <charconv>
#include <stdexcept>

#include "config/config.h"
#include "fmt/format.h"

namespace clementine::standin {
namespace {

constexpr std::size_t kMaxRequestBytes = 8'000'000;
constexpr std::chrono::milliseconds kHoldPoll{10};

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(&text[i + 1], &text[i + 3], value, 16).ptr ==
            &text[i + 3]) {
      decoded.push_back(static_cast<char>(value));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> query;
  while (!text.empty()) {
    std::string_view pair = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    std::size_t equals = pair.find('=');
    std::string value;
    if (equals != std::string_view::npos) {
      value = PercentDecode(pair.substr(equals + 1));
    }
    query[PercentDecode(pair.substr(0, equals))] = value;
  }
  return query;
}

std::string FormatHead(int status, const Headers& headers) {
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\n", status,
                  std::string(http::obsolete_reason(
                      http::int_to_status(static_cast<unsigned>(status)))));
  for (const auto& [name, value] : headers) {
    head += fmt::format("{}: {}\r\n", name, value);
  }
  return head + "\r\n";
}

}  // namespace

asio::awaitable<void> Sleep(std::chrono::microseconds time) {
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

Exchange::Exchange(HttpServer* server, std::shared_ptr<Connection> connection,
                   HttpRequest request)
    : m_server(server),
      m_connection(std::move(connection)),
      m_request(std::move(request)) {
  std::string copy(m_request.target());
  std::string_view target = copy;
  std::size_t question = target.find('?');
  m_path = PercentDecode(target.substr(0, question));
  if (question != std::string_view::npos) {
    m_query = ParseQuery(target.substr(question + 1));
  }
}

std::string Exchange::Header(const std::string& name) const {
  return std::string(m_request[name]);
}

std::string Exchange::Query(const std::string& name,
                            const std::string& fallback) const {
  auto found = m_query.find(name);
  return found == m_query.end() ? fallback : found->second;
}

std::optional<std::uint64_t> Exchange::QueryNumber(
    const std::string& name) const {
  std::string text = Query(name);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  auto [parsed, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || parsed != end) return {};
  return number;
}

asio::awaitable<void> Exchange::Write(std::string bytes) {
  co_await m_server->WaitWhileHeld(this);
  if (m_dropped) {
    throw boost::system::system_error(asio::error::connection_aborted);
  }
  co_await asio::async_write(m_connection->stream, asio::buffer(bytes),
                             asio::use_awaitable);
}

asio::awaitable<void> Exchange::Answer(int status, std::string text,
                                       Headers headers) {
  headers.emplace_back("Content-Length", std::to_string(text.size()));
  std::string bytes = FormatHead(status, headers) + text;
  co_await Write(std::move(bytes));
}

asio::awaitable<void> Exchange::Answer(int status, const Json& json,
                                       Headers headers) {
  headers.emplace_back("Content-Type", "application/json");
  std::string text = JsonText(json);
  co_await Answer(status, std::move(text), std::move(headers));
}

asio::awaitable<void> Exchange::StartStream(Headers headers) {
  headers.emplace_back("Content-Type", "text/event-stream");
  headers.emplace_back("Cache-Control", "no-store");
  headers.emplace_back("Transfer-Encoding", "chunked");
  std::string bytes = FormatHead(200, headers);
  co_await Write(std::move(bytes));
}

asio::awaitable<void> Exchange::Send(std::string text) {
  std::string bytes = fmt::format("{:x}\r\n{}\r\n", text.size(), text);
  co_await Write(std::move(bytes));
}

asio::awaitable<void> Exchange::EndStream() {
  std::string bytes = "0\r\n\r\n";
  co_await Write(std::move(bytes));
}

asio::awaitable<void> Exchange::SendRaw(std::string bytes) {
  co_await Write(std::move(bytes));
}

void Exchange::Drop(bool reset) {
  m_dropped = true;
  beast::error_code ignored;
  if (reset) {
    m_connection->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                             ignored);
  }
  m_connection->stream.socket().close(ignored);
}

bool Exchange::PeerClosed() {
  if (m_dropped || !m_connection->stream.socket().is_open()) return true;
  if (m_connection->silent) return false;
  char byte = 0;
  ssize_t got = ::recv(m_connection->stream.socket().native_handle(), &byte, 1,
                       MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

HttpServer::HttpServer(asio::io_context* io, const std::string& address,
                       Handler handler)
    : m_io(io),
      m_endpoint(ParseAddress(address)),
      m_acceptor(*io),
      m_handler(std::move(handler)) {
  Listen();
}

std::string HttpServer::address() const {
  return fmt::format("{}:{}", m_endpoint.address().to_string(),
                     m_endpoint.port());
}

void HttpServer::Listen() {
  m_acceptor.open(m_endpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(m_endpoint);
  m_acceptor.listen();
  m_endpoint = m_acceptor.local_endpoint();
  asio::co_spawn(*m_io, Accept(++m_listen_number), asio::detached);
}

void HttpServer::SetRefusing(bool refusing) {
  if (refusing == !m_acceptor.is_open()) return;
  if (refusing) {
    m_acceptor.close();
  } else {
    Listen();
  }
}

void HttpServer::CloseConnections(const Exchange* except) {
  for (const auto& connection : m_connections) {
    if (except && connection == except->m_connection) continue;
    beast::error_code ignored;
    connection->stream.socket().close(ignored);
  }
}

void HttpServer::SilenceConnections(const Exchange* except) {
  for (const auto& connection : m_connections) {
    if (!except || connection != except->m_connection) {
      connection->silent = true;
    }
  }
}

asio::awaitable<void> HttpServer::Accept(std::uint64_t listen_number) {
  while (m_listen_number == listen_number && m_acceptor.is_open()) {
    asio::ip::tcp::socket socket(*m_io);
    boost::system::error_code error;
    co_await m_acceptor.async_accept(
        socket, asio::redirect_error(asio::use_awaitable, error));
    if (error) continue;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    auto connection = std::make_shared<Connection>(std::move(socket));
    m_connections.insert(connection);
    asio::co_spawn(*m_io, Serve(std::move(connection)), asio::detached);
  }
}

asio::awaitable<void> HttpServer::WaitWhileHeld(const Exchange* exchange) {
  if (exchange->path() == "/faults") co_return;
  while (exchange->m_connection->silent || m_frozen) {
    co_await Sleep(kHoldPoll);
  }
}

asio::awaitable<void> HttpServer::Serve(
    std::shared_ptr<Connection> connection) {
  try {
    beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxRequestBytes);
      co_await http::async_read(connection->stream, buffer, parser,
                                asio::use_awaitable);
      Exchange exchange(this, connection, parser.release());
      co_await WaitWhileHeld(&exchange);
      std::string error;
      try {
        co_await m_handler(&exchange);
      } catch (const Json::exception& exception) {
        error = exception.what();
      }
      if (!error.empty()) {
        Json answer;
        answer["error"] = error;
        co_await exchange.Answer(400, answer);
      }
      keep_alive = exchange.m_request.keep_alive() && !exchange.dropped();
    }
  } catch (const std::exception&) {
    // The connection has ended; there is nobody to tell.
  }
  m_connections.erase(connection);
}

asio::awaitable<void> ChangeSignal::WaitUntil(
    std::chrono::steady_clock::time_point end) {
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor, end);
  m_waiting.insert(&timer);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  m_waiting.erase(&timer);
}

void ChangeSignal::Notify() {
  for (asio::steady_timer* timer : m_waiting) timer->cancel();
}

std::string HttpAnswer::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (beast::iequals(key, name)) return value;
  }
  return "";
}

asio::awaitable<HttpAnswer> Call(std::string address, std::string method,
                                 std::string target, std::string body,
                                 Headers headers,
                                 std::chrono::milliseconds timeout) {
  HttpAnswer answer;
  try {
    auto executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    co_await stream.async_connect(ParseAddress(address), asio::use_awaitable);
    HttpRequest request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.set(http::field::host, address);
    request.set(http::field::connection, "close");
    for (const auto& [name, value] : headers) request.set(name, value);
    request.body() = std::move(body);
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxRequestBytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    for (const auto& field : parser.get()) {
      answer.headers.emplace_back(std::string(field.name_string()),
                                  std::string(field.value()));
    }
    answer.body = parser.get().body();
    answer.status = static_cast<int>(parser.get().result_int());
  } catch (const boost::system::system_error&) {
    answer = HttpAnswer{};
  }
  co_return answer;
}

asio::ip::tcp::endpoint ParseAddress(const std::string& address) {
  std::size_t colon = address.rfind(':');
  unsigned short port = 0;
  const char* end = address.data() + address.size();
  if (colon == std::string::npos ||
      std::from_chars(&address[colon] + 1, end, port).ptr != end) {
    throw std::runtime_error("not an IP:port: " + address);
  }
  return {asio::ip::make_address(address.substr(0, colon)), port};
}

Headers BearerHeaders(const std::string& token) {
  if (token.empty()) return {};
  return {{"Authorization", "Bearer " + token}};
}

void RunUntilTerminated(asio::io_context* io) {
  asio::signal_set signals(*io, SIGTERM, SIGINT);
  signals.async_wait([io](const boost::system::error_code& error, int) {
    if (!error) io->stop();
  });
  io->run();
}

}  // namespace clementine::standin

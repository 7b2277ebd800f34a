// HTTP for the stand-ins: a small server with switchable connection faults, and
// a one-shot client. Everything runs on one io_context and one thread.
#ifndef TESTING_STANDIN_HTTP_H_
#define TESTING_STANDIN_HTTP_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace clementine::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;
using HttpRequest = http::request<http::string_body>;

/// Suspends the calling coroutine.
asio::awaitable<void> Sleep(std::chrono::microseconds time);

struct Connection {
  explicit Connection(asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  bool silent = false;  ///< Reads and writes nothing anymore, but stays open.
};

class HttpServer;

/// One request and the connection on which it's answered.
class Exchange {
 public:
  Exchange(HttpServer* server, std::shared_ptr<Connection> connection,
           HttpRequest request);

  const std::string& path() const { return m_path; }  ///< Percent-decoded.
  std::string method() const { return m_request.method_string(); }
  const std::string& body() const { return m_request.body(); }
  /// Value of a header, or "".
  std::string Header(const std::string& name) const;
  /// Value of a query parameter, or `fallback`.
  std::string Query(const std::string& name,
                    const std::string& fallback = "") const;
  /// Numeric query parameter; empty when it's missing or no number.
  std::optional<std::uint64_t> QueryNumber(const std::string& name) const;

  /// Sends a whole answer. @throws boost::system::system_error.
  asio::awaitable<void> Answer(int status, std::string text,
                               Headers headers = {});
  asio::awaitable<void> Answer(int status, const Json& json,
                               Headers headers = {});

  /// Starts an answer of server-sent events.
  asio::awaitable<void> StartStream(Headers headers);
  asio::awaitable<void> Send(std::string text);
  asio::awaitable<void> EndStream();

  /// Sends bytes as they are. @throws boost::system::system_error.
  asio::awaitable<void> SendRaw(std::string bytes);

  /// Closes the connection without a further byte.
  /// @param reset Whether by a reset, which may discard bytes on their way.
  void Drop(bool reset = false);
  bool dropped() const { return m_dropped; }

  /// Whether the caller has closed its side of the connection.
  bool PeerClosed();

 private:
  friend class HttpServer;
  asio::awaitable<void> Write(std::string bytes);

  HttpServer* m_server;
  std::shared_ptr<Connection> m_connection;
  HttpRequest m_request;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  bool m_dropped = false;
};

/// HTTP/1.1 server. JSON errors that escape from the handler are answered 400.
class HttpServer {
 public:
  using Handler = std::function<asio::awaitable<void>(Exchange* exchange)>;

  /// Binds and starts to accept.
  /// @param address IP:port; port 0 takes one from the kernel.
  HttpServer(asio::io_context* io, const std::string& address, Handler handler);

  /// Bound address as IP:port.
  std::string address() const;

  /// Closes or reopens the listening socket; the port stays the same.
  void SetRefusing(bool refusing);
  /// Closes all connections but the one of `except`.
  void CloseConnections(const Exchange* except);
  /// Makes all present connections silent but the one of `except`.
  void SilenceConnections(const Exchange* except);
  /// Frozen, connections are accepted and kept but nothing is answered, except
  /// on /faults.
  void set_frozen(bool frozen) { m_frozen = frozen; }

 private:
  friend class Exchange;
  void Listen();
  asio::awaitable<void> Accept(std::uint64_t listen_number);
  asio::awaitable<void> Serve(std::shared_ptr<Connection> connection);
  /// Waits until the exchange may read or write.
  asio::awaitable<void> WaitWhileHeld(const Exchange* exchange);

  asio::io_context* m_io;
  asio::ip::tcp::endpoint m_endpoint;
  asio::ip::tcp::acceptor m_acceptor;
  Handler m_handler;
  std::set<std::shared_ptr<Connection>> m_connections;
  std::uint64_t m_listen_number = 0;  ///< Ends the accept loop of a closed one.
  bool m_frozen = false;
};

/// Wakes those who wait for a change. Everything runs on one thread.
class ChangeSignal {
 public:
  /// Returns at the next change, or at a time.
  asio::awaitable<void> WaitUntil(std::chrono::steady_clock::time_point end);
  void Notify();
  std::size_t waiting() const { return m_waiting.size(); }

 private:
  std::set<asio::steady_timer*> m_waiting;
};

struct HttpAnswer {
  int status = 0;  ///< 0 when no answer arrived.
  std::string body;
  Headers headers;
  /// Value of a header by case-insensitive name, or "".
  std::string Header(const std::string& name) const;
};

/// Sends one request on a connection of its own.
/// @return The answer; status 0 on any failure or when `timeout` has elapsed.
asio::awaitable<HttpAnswer> Call(std::string address, std::string method,
                                 std::string target, std::string body,
                                 Headers headers,
                                 std::chrono::milliseconds timeout);

/// Splits "IP:port". @throws std::runtime_error when it isn't one.
asio::ip::tcp::endpoint ParseAddress(const std::string& address);

/// Headers with a bearer token, or none when the token is empty.
Headers BearerHeaders(const std::string& token);

/// Runs until SIGTERM or SIGINT.
void RunUntilTerminated(asio::io_context* io);

}  // namespace clementine::standin

#endif  // TESTING_STANDIN_HTTP_H_

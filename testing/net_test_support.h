// Peers of the I/O layer in tests, on the same io_context and thread.
#ifndef TESTING_NET_TEST_SUPPORT_H_
#define TESTING_NET_TEST_SUPPORT_H_

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/address.h"

namespace clementine::nettest {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Runs handlers until the condition holds; false after ten seconds.
inline bool RunUntil(asio::io_context* io,
                     const std::function<bool()>& condition) {
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io->restart();
    io->run_one_for(milliseconds(20));
  }
  return true;
}

/// Runs handlers for a time in which something must not happen.
inline void RunFor(asio::io_context* io, milliseconds time) {
  io->restart();
  io->run_for(time);
}

/// Either end of a connection that speaks bytes instead of HTTP.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(tcp::socket socket) : m_socket(std::move(socket)) {}

  static std::shared_ptr<RawConnection> Connect(asio::io_context* io,
                                                const std::string& address) {
    tcp::socket socket(*io);
    socket.connect(ParseEndpoint(address));
    auto connection = std::make_shared<RawConnection>(std::move(socket));
    connection->Read();
    return connection;
  }

  void Read() {
    m_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_bytes),
        [self = shared_from_this()](const boost::system::error_code& error,
                                    std::size_t size) {
          self->received.append(self->m_bytes.data(), size);
          self->m_reading = false;
          if (error) {
            self->closed = true;
            self->close_error = error;
          } else if (!self->paused) {
            self->Read();
          }
          if (self->on_bytes) self->on_bytes(*self);
        });
  }

  void Resume() {
    paused = false;
    if (!m_reading && !closed) Read();
  }

  void Send(const std::string& bytes) {
    auto kept = std::make_shared<std::string>(bytes);
    asio::async_write(m_socket, asio::buffer(*kept),
                      [kept, self = shared_from_this()](
                          const boost::system::error_code&, std::size_t) {});
  }

  /// Sends the same bytes again and again until the peer closes.
  void Flood(const std::string& piece) {
    auto kept = std::make_shared<std::string>(piece);
    asio::async_write(
        m_socket, asio::buffer(*kept),
        [kept, self = shared_from_this()](
            const boost::system::error_code& error, std::size_t size) {
          self->flooded += size;
          if (!error) self->Flood(*kept);
        });
  }

  void FinishSending() {
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  void Close() {
    boost::system::error_code ignored;
    m_socket.close(ignored);
  }

  /// Closes the connection with a reset, after the bytes that were sent.
  void Reset() {
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
  }

  const std::chrono::steady_clock::time_point opened_at =
      std::chrono::steady_clock::now();
  std::string received;
  std::size_t flooded = 0;  ///< Bytes that Flood has sent.
  bool closed = false;
  boost::system::error_code close_error;  ///< With which the connection ended.
  bool paused = false;
  std::function<void(RawConnection&)> on_bytes;

 private:
  tcp::socket m_socket;
  std::array<char, 4096> m_bytes{};
  bool m_reading = false;
};

/// Calls `on_request` for each request that ends with its header or a body of
/// the announced length.
class ScriptedServer {
 public:
  using Script = std::function<void(RawConnection&, const std::string&)>;

  ScriptedServer(asio::io_context* io, Script on_request)
      : m_acceptor(*io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        m_on_request(std::move(on_request)) {
    address = FormatEndpoint(m_acceptor.local_endpoint());
    Accept();
  }
  ~ScriptedServer() { Stop(); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  /// Refuses connections from now on.
  void StopListening() {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
  }

  /// Refuses connections from now on and closes the present ones.
  void Stop() {
    StopListening();
    for (auto& connection : connections) {
      connection->on_bytes = nullptr;
      connection->Close();
    }
  }

  /// Closes connections that have been open for an idle timeout, but for those
  /// that are in use.
  void CloseIdle(milliseconds timeout,
                 const std::vector<std::shared_ptr<RawConnection>>& in_use) {
    auto now = std::chrono::steady_clock::now();
    for (auto& connection : connections) {
      bool idle =
          std::find(in_use.begin(), in_use.end(), connection) == in_use.end();
      if (idle && now - connection->opened_at >= timeout) connection->Close();
    }
  }

  std::string address;
  std::vector<std::shared_ptr<RawConnection>> connections;
  std::vector<std::string> requests;

 private:
  void Accept() {
    m_acceptor.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket) {
          if (error) return;
          auto connection = std::make_shared<RawConnection>(std::move(socket));
          connection->on_bytes = [this](RawConnection& raw) { Take(raw); };
          connections.push_back(connection);
          connection->Read();
          Accept();
        });
  }

  void Take(RawConnection& raw) {
    std::size_t end = raw.received.find("\r\n\r\n");
    if (end == std::string::npos) return;
    std::size_t size = end + 4;
    std::size_t length = raw.received.find("Content-Length: ");
    if (length < end) size += std::stoul(raw.received.substr(length + 16));
    if (raw.received.size() < size) return;
    requests.push_back(raw.received.substr(0, size));
    raw.received.erase(0, size);
    m_on_request(raw, requests.back());
  }

  tcp::acceptor m_acceptor;
  Script m_on_request;
};

/// A complete answer with a body.
inline std::string HttpAnswer(int status, const std::string& body,
                              const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
inline constexpr const char* kLastChunk = "0\r\n\r\n";

inline std::string Chunk(const std::string& bytes) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

inline std::string Event(const std::string& attempt, int offset,
                         const std::string& data) {
  return "id: " + attempt + ":" + std::to_string(offset) + "\ndata: " + data +
         "\n\n";
}

inline constexpr const char* kDone = "data: [DONE]\n\n";

}  // namespace clementine::nettest

#endif  // TESTING_NET_TEST_SUPPORT_H_

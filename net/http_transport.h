// HTTP calls to one address, as the clients of platforms make them.
#ifndef NET_HTTP_TRANSPORT_H_
#define NET_HTTP_TRANSPORT_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/net.h"

namespace clementine {

/// Each call has a connection to itself until its answer is complete, so a
/// pending watch never delays another call. Connections are kept open between
/// calls.
class HttpTransport {
 public:
  struct Answer {
    bool sent = false;  ///< At least one byte may have reached the server.
    int status = 0;     ///< HTTP status; 0 without a complete answer.
    HttpHeaders headers;
    std::string body;
  };

  struct Stats {
    std::uint64_t invalid_answers = 0;  ///< Without a final status.
    std::uint64_t held_bytes = 0;  ///< Bytes kept of unfinished answers, now.
    std::uint64_t dropped_answers = 0;  ///< Ended as they exceeded a limit.
  };

  /// @param io      Must outlive the transport.
  /// @param address IP:port of the server.
  /// @param headers Sent with each call.
  /// @param timeout Longest wait for an answer.
  /// @throws std::runtime_error when the address isn't IP:port.
  HttpTransport(boost::asio::io_context* io, const std::string& address,
                HttpHeaders headers, std::chrono::milliseconds timeout);
  ~HttpTransport();
  HttpTransport(const HttpTransport&) = delete;
  HttpTransport& operator=(const HttpTransport&) = delete;

  /// Runs a call; `done` gets its answer unless the transport was destroyed.
  /// @param extra_time Added to the timeout, for calls that wait at the server.
  void Start(const std::string& method, std::string target, std::string body,
             std::chrono::milliseconds extra_time,
             std::function<void(const Answer&)> done);

  /// Closes idle connections, so that the next calls make new ones.
  void ForgetIdle();

  /// Calls made so far, failed ones included.
  std::uint64_t calls() const;

  Stats stats() const;

  /// Sets the limit of the bytes of all unfinished answers together.
  void SetMaxHeldBytes(std::size_t bytes);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace clementine

#endif  // NET_HTTP_TRANSPORT_H_

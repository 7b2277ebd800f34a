// A planned stop of a daemon on the users' platform.

#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <thread>

#include "fmt/format.h"
#include "net/address.h"
#include "testing/process_fleet.h"

namespace clementine {
namespace {

using boost::asio::ip::tcp;

/// A caller that sends its request in pieces.
class SlowCaller {
 public:
  explicit SlowCaller(const std::string& address) : m_socket(m_io) {
    m_socket.connect(ParseEndpoint(address));
  }
  void Send(const std::string& bytes) {
    boost::asio::write(m_socket, boost::asio::buffer(bytes));
  }
  /// Reads until the daemon closes the connection.
  std::string ReadAll() {
    std::string received;
    boost::system::error_code error;
    boost::asio::read(m_socket, boost::asio::dynamic_buffer(received), error);
    return received;
  }

 private:
  boost::asio::io_context m_io;
  tcp::socket m_socket;
};

}  // namespace

// Guards against requests that arrive late in a planned stop, are passed on and
// are cut off without an answer at its end, also those that may not be repeated
// (LOST).
TEST_CASE("a request that arrives late in a planned stop is refused") {
  testing::FleetOptions options;
  options.daemons = 2;
  testing::FleetSite site(options);
  SlowCaller caller(site.daemon(0).Listening("listen"));
  const std::string body = R"({"work_ms":4500})";
  caller.Send(
      fmt::format("POST /order/x HTTP/1.1\r\nHost: desk.example\r\n"
                  "X-Clementinelb-Attempt-Id: late\r\n"
                  "X-Clementinelb-Deadline-Ms: 5000\r\n"
                  "Content-Length: {}\r\n\r\n{}",
                  body.size(), body.substr(0, 3)));
  // The daemon waits for this request.
  std::thread other([&site] { site.Send(0, R"({"work_ms":3900})"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  site.daemon(0).Signal(SIGTERM);
  // The stop takes 7 s at most, so that the answer could not be awaited.
  std::this_thread::sleep_for(std::chrono::milliseconds(3'000));
  caller.Send(body.substr(3));
  std::string answer = caller.ReadAll();
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  CHECK(site.Runs(body) == 0);
  other.join();
  site.daemon(0).WaitForExit();
}

// Guards against requests that a planned stop ends by closing their connection,
// without an answer or a refusal (LOST).
TEST_CASE("a planned stop answers the requests that it can't finish") {
  testing::FleetOptions options;
  options.daemons = 2;
  testing::FleetSite site(options);
  SlowCaller caller(site.daemon(0).Listening("listen"));
  const std::string body = R"({"work_ms":20000})";
  caller.Send(
      fmt::format("POST /patient/x HTTP/1.1\r\nHost: desk.example\r\n"
                  "X-Clementinelb-Attempt-Id: long\r\n"
                  "X-Clementinelb-Deadline-Ms: 25000\r\n"
                  "Content-Length: {}\r\n\r\n{}",
                  body.size(), body));
  REQUIRE(testing::WaitFor(testing::kLongWait,
                           [&] { return site.Runs(body) == 1; }));
  site.daemon(0).Signal(SIGTERM);
  std::string answer = caller.ReadAll();
  // It may have run, so the answer must not say that it has not.
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(site.daemon(0).WaitForExit() == 0);
}

}  // namespace clementine

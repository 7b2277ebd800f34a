// Bare byte relay: the floor against which the daemon's cost per token is
// compared. It accepts connections and copies bytes both ways, nothing else.
// Each target gets a port of its own; one thread serves all of them.

#include <CLI/CLI.hpp>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/net.h"
#include "testing/standin_http.h"

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kBufferBytes = 16'384;

asio::awaitable<void> Copy(std::shared_ptr<tcp::socket> from,
                           std::shared_ptr<tcp::socket> to) {
  std::array<char, kBufferBytes> buffer;
  try {
    for (;;) {
      std::size_t bytes = co_await from->async_read_some(asio::buffer(buffer),
                                                         asio::use_awaitable);
      co_await asio::async_write(*to, asio::buffer(buffer, bytes),
                                 asio::use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    boost::system::error_code ignored;
    to->shutdown(tcp::socket::shutdown_send, ignored);
  }
}

asio::awaitable<void> Relay(tcp::socket client, tcp::endpoint target) {
  auto caller = std::make_shared<tcp::socket>(std::move(client));
  auto backend = std::make_shared<tcp::socket>(caller->get_executor());
  try {
    co_await backend->async_connect(target, asio::use_awaitable);
  } catch (const boost::system::system_error&) {
    co_return;
  }
  caller->set_option(tcp::no_delay(true));
  backend->set_option(tcp::no_delay(true));
  asio::co_spawn(caller->get_executor(), Copy(caller, backend), asio::detached);
  co_await Copy(backend, caller);
}

asio::awaitable<void> Accept(tcp::acceptor* acceptor, tcp::endpoint target) {
  for (;;) {
    tcp::socket socket = co_await acceptor->async_accept(asio::use_awaitable);
    asio::co_spawn(acceptor->get_executor(), Relay(std::move(socket), target),
                   asio::detached);
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Copies bytes between callers and targets");
  std::vector<std::string> targets;
  app.add_option("--target", targets, "IP:port, repeatable")->required();
  CLI11_PARSE(app, argc, argv);
  asio::io_context io(1);
  std::list<tcp::acceptor> acceptors;
  for (const std::string& target : targets) {
    auto any_port = clementine::standin::ParseAddress("127.0.0.1:0");
    tcp::acceptor& acceptor = acceptors.emplace_back(io, any_port);
    auto bound = acceptor.local_endpoint();
    clementine::LogEvent("listening",
                         {{"address", bound.address().to_string() + ":" +
                                          std::to_string(bound.port())},
                          {"target", target}});
    asio::co_spawn(io,
                   Accept(&acceptor, clementine::standin::ParseAddress(target)),
                   asio::detached);
  }
  clementine::standin::RunUntilTerminated(&io);
  return 0;
}

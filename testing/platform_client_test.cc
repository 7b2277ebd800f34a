#include <doctest/doctest.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/net.h"

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using clementine::ObjectReply;
using clementine::ObjectsChanged;
using clementine::ObjectStatus;
using clementine::PlatformClient;
using std::chrono::milliseconds;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

struct FakeAnswer {
  enum class Kind { kAnswer, kClose, kSilent, kAnswerThenClose, kCut };
  Kind kind = Kind::kAnswer;
  int status = 200;
  std::string body;
};

// Platform that answers from a function and records what it was asked.
class FakePlatform {
 public:
  using Handler =
      std::function<FakeAnswer(const http::request<http::string_body>&)>;

  FakePlatform(asio::io_context* io, Handler handler)
      : m_acceptor(*io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_handler(std::move(handler)) {
    asio::co_spawn(*io, Accept(), asio::detached);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  std::vector<std::string> targets;
  int connections = 0;

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto [error, socket] = co_await m_acceptor.async_accept(kAwaitTuple);
      if (error) co_return;
      ++connections;
      asio::co_spawn(m_acceptor.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    boost::beast::flat_buffer buffer;
    while (true) {
      http::request<http::string_body> request;
      auto [error, count] =
          co_await http::async_read(socket, buffer, request, kAwaitTuple);
      if (error) co_return;
      targets.emplace_back(request.target());
      FakeAnswer answer = m_handler(request);
      if (answer.kind == FakeAnswer::Kind::kClose) co_return;
      if (answer.kind == FakeAnswer::Kind::kSilent) continue;
      std::string text =
          "HTTP/1.1 " + std::to_string(answer.status) +
          " x\r\nContent-Length: " + std::to_string(answer.body.size()) +
          "\r\n\r\n" + answer.body;
      if (answer.kind == FakeAnswer::Kind::kCut) text.pop_back();
      auto [write_error, written] =
          co_await asio::async_write(socket, asio::buffer(text), kAwaitTuple);
      if (write_error || answer.kind != FakeAnswer::Kind::kAnswer) co_return;
    }
  }

  tcp::acceptor m_acceptor;
  Handler m_handler;
};

// Runs the loop until `value` is set. The calls' own timeouts bound it.
template <typename Value>
Value Await(asio::io_context* io, std::optional<Value>* value) {
  while (!value->has_value()) REQUIRE(io->run_one() > 0);
  return std::move(**value);
}

template <typename Value>
std::function<void(Value)> Store(std::optional<Value>* value) {
  return [value](Value result) {
    CHECK_MESSAGE(!value->has_value(), "callback ran twice");
    *value = std::move(result);
  };
}

struct Fixture {
  explicit Fixture(FakePlatform::Handler handler,
                   milliseconds timeout = std::chrono::seconds(5))
      : fake(&io, std::move(handler)),
        client(&io, fake.address(), "t0ken", timeout) {}

  ObjectReply Get(const std::string& key) {
    std::optional<ObjectReply> reply;
    client.Get({1, key}, Store(&reply));
    return Await(&io, &reply);
  }
  ObjectReply Put(const std::string& key) {
    std::optional<ObjectReply> reply;
    client.Put({2, key, "value", 3}, Store(&reply));
    return Await(&io, &reply);
  }

  asio::io_context io;
  FakePlatform fake;
  PlatformClient client;
};

}  // namespace

// Guards against a key that names another object, a call without its token, a
// conflict that hides the current object, and a connection for each call.
TEST_CASE("platform calls carry key, condition, value and token") {
  std::string seen;
  Fixture test([&](const auto& request) -> FakeAnswer {
    seen = std::string(request[http::field::authorization]) + " " +
           std::string(request.method_string()) + " " + request.body();
    if (request.method() == http::verb::put) {
      return {FakeAnswer::Kind::kAnswer, 409,
              R"({"version": 9, "value": "theirs"})"};
    }
    return {FakeAnswer::Kind::kAnswer, 200, R"({"version":4,"value":"mine"})"};
  });
  ObjectReply got = test.Get("route/a b?c%");
  CHECK(got.call == 1);
  CHECK(got.status == ObjectStatus::kOk);
  CHECK(got.version == 4);
  CHECK(got.value == "mine");
  ObjectReply put = test.Put("k");
  CHECK(seen == "Bearer t0ken PUT value");
  CHECK(put.status == ObjectStatus::kConflict);
  CHECK(put.version == 9);
  CHECK(put.value == "theirs");
  REQUIRE(test.fake.targets.size() == 2);
  CHECK(test.fake.targets[0] == "/v1/objects/route/a%20b%3Fc%25");
  CHECK(test.fake.targets[1] == "/v1/objects/k?if_version=3");
  CHECK(test.fake.connections == 1);
  CHECK(test.client.calls() == 2);
}

// Guards against a write that may have taken effect being reported as not
// applied, whatever way its answer is lost.
TEST_CASE("a write without a complete answer has an unknown outcome") {
  FakeAnswer answer;
  SUBCASE("closed") { answer.kind = FakeAnswer::Kind::kClose; }
  SUBCASE("silent") { answer.kind = FakeAnswer::Kind::kSilent; }
  SUBCASE("cut") { answer = {FakeAnswer::Kind::kCut, 200, R"({"version":4})"}; }
  SUBCASE("malformed") { answer.body = "{\"version\":"; }
  SUBCASE("wrong type") { answer.body = R"({"version":"x"})"; }
  SUBCASE("server error") { answer.status = 500; }
  Fixture test([&](const auto&) { return answer; }, milliseconds(100));
  ObjectReply put = test.Put("k");
  CHECK(put.status == ObjectStatus::kUnknown);
  CHECK(put.version == 0);
  CHECK(test.fake.targets.size() == 1);
}

// Guards against a write being repeated, and against a read being failed,
// because the platform closed an idle connection.
TEST_CASE("an idle connection that was closed is replaced") {
  int calls = 0;
  Fixture test([&](const auto&) -> FakeAnswer {
    ++calls;
    // Answers the first call, then closes when the second arrives.
    if (calls == 2) return {FakeAnswer::Kind::kClose, 0, ""};
    return {FakeAnswer::Kind::kAnswer, 200, R"({"version":1,"value":""})"};
  });
  CHECK(test.Get("a").status == ObjectStatus::kOk);
  SUBCASE("read") {
    CHECK(test.Get("a").status == ObjectStatus::kOk);
    CHECK(test.fake.targets.size() == 3);
  }
  SUBCASE("write") {
    CHECK(test.Put("a").status == ObjectStatus::kUnknown);
    CHECK(test.fake.targets.size() == 2);
  }
}

// Guards against a failure to connect being reported as a lost answer, which
// would make the caller look for a write that can't exist.
TEST_CASE("a write that was never sent is unavailable") {
  asio::io_context io;
  std::string address;
  {
    tcp::acceptor closed(io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  }
  PlatformClient client(&io, address, "");
  std::optional<ObjectReply> reply;
  client.Put({7, "k", "v", 0}, Store(&reply));
  ObjectReply put = Await(&io, &reply);
  CHECK(put.status == ObjectStatus::kUnavailable);
  CHECK(put.call == 7);
  CHECK_THROWS_AS(PlatformClient(&io, "localhost:1", ""), std::runtime_error);
}

// Guards against a pending watch that blocks other calls, and against a watch
// being cut off by the timeout of ordinary calls.
TEST_CASE("calls proceed beside a pending watch") {
  bool answer_watch = false;
  Fixture test(
      [&](const auto& request) -> FakeAnswer {
        if (!request.target().starts_with("/v1/watch") || answer_watch) {
          return {FakeAnswer::Kind::kAnswer, 200,
                  R"({"revision":8,"version":1,"value":"","events":[
                      {"key":"a/b","version":0,"value":"","deleted":true}]})"};
        }
        return {FakeAnswer::Kind::kSilent, 0, ""};
      },
      milliseconds(200));
  std::optional<std::optional<ObjectsChanged>> watched;
  test.client.WatchObjects({"a/", 5, milliseconds(100)}, Store(&watched));
  CHECK(test.Get("x").status == ObjectStatus::kOk);
  CHECK_FALSE(watched.has_value());
  CHECK_FALSE(Await(&test.io, &watched).has_value());
  answer_watch = true;
  watched.reset();
  test.client.WatchObjects({"a/", 5, milliseconds(100)}, Store(&watched));
  auto changed = Await(&test.io, &watched);
  REQUIRE(changed.has_value());
  CHECK(changed->revision == 8);
  // Without its prefix an empty reply can't be told from another watch's.
  CHECK(changed->prefix == "a/");
  REQUIRE(changed->entries.size() == 1);
  CHECK(changed->entries[0].key == "a/b");
  CHECK(changed->entries[0].version == 0);
  CHECK(test.fake.targets.back() ==
        "/v1/watch?prefix=a%2F&since=5&timeout_ms=100");
}

// Guards against one malformed row hiding the whole host list.
TEST_CASE("the host list is decoded row by row") {
  Fixture test([](const auto&) -> FakeAnswer {
    return {FakeAnswer::Kind::kAnswer, 200,
            R"([{"host":"w1","data_centre":"d","fabric_domain":"f",
                 "address":"10.0.0.1:80","accelerators":8,"kind":"engine",
                 "state":"leaving"}, {"host":3}, 7,
                {"host":"w2","address":"10.0.0.2:80","kind":"plain",
                 "state":"live"}])"};
  });
  std::optional<std::optional<std::vector<clementine::HostInfo>>> listed;
  test.client.ListHosts(Store(&listed));
  auto hosts = Await(&test.io, &listed);
  REQUIRE(hosts.has_value());
  REQUIRE(hosts->size() == 2);
  CHECK((*hosts)[0].leaving);
  CHECK((*hosts)[0].engine);
  CHECK((*hosts)[0].accelerators == 8);
  CHECK_FALSE((*hosts)[1].engine);
  CHECK_FALSE((*hosts)[1].leaving);
}

// Guards against a callback that reaches a destroyed owner.
TEST_CASE("no callback runs after the client was destroyed") {
  asio::io_context io;
  FakePlatform fake(&io, [](const auto&) -> FakeAnswer {
    return {FakeAnswer::Kind::kSilent, 0, ""};
  });
  bool called = false;
  {
    PlatformClient client(&io, fake.address(), "", std::chrono::seconds(60));
    client.Get({1, "a"}, [&](const ObjectReply&) { called = true; });
    while (fake.targets.empty()) REQUIRE(io.run_one() > 0);
  }
  io.poll();
  CHECK_FALSE(called);
}

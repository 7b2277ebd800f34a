#include "daemon/crash_notices.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "testing/net_test_support.h"

namespace clementine {
namespace {

using nettest::RawConnection;
using nettest::RunFor;
using nettest::RunUntil;
using nettest::ScriptedServer;

/// A daemon that takes notices.
struct Listener {
  Listener(boost::asio::io_context* io, ChangeKeys keys)
      : notices(io, std::move(keys),
                [this](const std::string& text) { heard.push_back(text); }),
        server(io, "127.0.0.1:0", HttpLimits{},
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 notices.Accept(exchange.get());
               }) {}

  std::vector<std::string> heard;
  CrashNotices notices;
  HttpServer server;
};

}  // namespace

// Guards against notices of whoever reaches the port, which could have any
// request refused by the whole fleet.
TEST_CASE("a notice is heard only with a key that both daemons share") {
  boost::asio::io_context io;
  struct Case {
    ChangeKeys told, taken;
    bool heard;
  };
  const std::vector<Case> cases = {{{}, {}, true},
                                   {{"new"}, {"new"}, true},
                                   {{"old"}, {"new", "old"}, true},
                                   {{"new"}, {"old"}, false},
                                   {{}, {"new"}, false}};
  for (const Case& keys : cases) {
    Listener to(&io, keys.taken);
    Listener from(&io, keys.told);
    from.notices.Tell({to.server.address()}, "4000000000 d/x");
    RunUntil(&io, [&] { return to.server.stats().requests == 1; });
    RunFor(&io, milliseconds(50));
    CHECK(to.heard.size() == (keys.heard ? 1 : 0));
  }
  // A code is of one text only.
  std::string code = SignNotice({"new"}, "4000000000 d/x");
  CHECK(VerifyNotice({"new"}, "4000000000 d/x", code));
  CHECK_FALSE(VerifyNotice({"new"}, "4000000000 e/x", code));
  CHECK_FALSE(VerifyNotice({"new"}, "4000000000 d/x", ""));
}

// Guards against daemons that are cut off and keep the others from hearing, and
// against a connection for each daemon of a large fleet at once.
TEST_CASE("notices reach the others past daemons that don't answer") {
  boost::asio::io_context io;
  ScriptedServer silent(&io, [](RawConnection&, const std::string&) {});
  Listener to(&io, {});
  Listener from(&io, {});
  std::vector<std::string> addresses(100, silent.address);
  addresses.push_back("127.0.0.1:1");  // Refuses connections.
  addresses.push_back(to.server.address());
  from.notices.Tell(addresses, "4000000000 d/x");
  RunFor(&io, milliseconds(200));
  CHECK(silent.connections.size() <= 32);
  CHECK(RunUntil(&io, [&] { return to.heard.size() == 1; }));
  // A later notice takes the place of what still waits.
  from.notices.Tell(addresses, "4000000000 first");
  from.notices.Tell({to.server.address()}, "4000000000 second");
  CHECK(RunUntil(&io, [&] { return to.heard.size() == 2; }));
  RunFor(&io, milliseconds(700));
  CHECK(to.heard.size() == 2);
  CHECK(to.heard.back() == "4000000000 second");
}

}  // namespace clementine

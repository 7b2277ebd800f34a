// Tests of answers that have neither a length nor chunks, so that the end of
// their connection ends them, also when their server ends.

#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>

#include "net/net.h"
#include "testing/net_test_support.h"

namespace clementine {
namespace {

using nettest::RawConnection;
using nettest::RunUntil;
using nettest::ScriptedServer;

const char kHead[] = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";

/// Calls a server that answers, waits for all of `calls` requests and then ends
/// their connections.
struct Fixture {
  explicit Fixture(bool server_ends, milliseconds refuses_after = {},
                   int call_count = 1)
      : calls(call_count),
        client(&io, BackendOptions()),
        server(&io, [=, this](RawConnection& raw, const std::string&) {
          raw.Send(std::string(kHead) + "text");
          waiting.push_back(raw.shared_from_this());
          if (static_cast<int>(waiting.size()) == calls) {
            End(server_ends, refuses_after);
          }
        }) {}

  void End(bool server_ends, milliseconds refuses_after) {
    // After the answers have been written.
    timer.expires_after(milliseconds(50));
    timer.async_wait([=, this](const boost::system::error_code&) {
      if (server_ends && refuses_after == milliseconds(0)) {
        server.Stop();
        return;
      }
      for (auto& raw : waiting) raw->Close();
      if (!server_ends) return;
      timer.expires_after(refuses_after);
      timer.async_wait(
          [this](const boost::system::error_code&) { server.Stop(); });
    });
  }

  std::vector<BackendEnd> Run(bool relay, bool leaving = false) {
    for (int i = 0; i < calls; ++i) {
      BackendCall call;
      call.address = server.address;
      call.target = "/";
      call.relay = relay;
      call.verify_unframed = true;
      call.idempotent = false;
      BackendHandlers handlers;
      handlers.server_leaving = [leaving] { return leaving; };
      handlers.end = [this](const BackendEnd& end) { ends.push_back(end); };
      client.Start(call, std::move(handlers));
    }
    REQUIRE(
        RunUntil(&io, [&] { return static_cast<int>(ends.size()) == calls; }));
    return ends;
  }

  int calls;
  boost::asio::io_context io;
  boost::asio::steady_timer timer{io};
  BackendClient client;
  std::vector<std::shared_ptr<RawConnection>> waiting;
  ScriptedServer server;
  std::vector<BackendEnd> ends;
};

}  // namespace

// Guards against an answer that counts as complete although its server ended,
// on both interfaces, whether its port refuses before or after the answer ends.
TEST_CASE("an unframed answer of a server that ended is broken") {
  for (bool relay : {false, true}) {
    CAPTURE(relay);
    CHECK(Fixture(true).Run(relay)[0].result == AttemptResult::kCrashed);
    CHECK(Fixture(true, milliseconds(5)).Run(relay)[0].result ==
          AttemptResult::kCrashed);
  }
}

// Guards against sound answers that are no longer served.
TEST_CASE("an unframed answer of a server that lives is complete") {
  for (bool relay : {false, true}) {
    CAPTURE(relay);
    Fixture fixture(false, milliseconds(0), 3);
    for (const BackendEnd& end : fixture.Run(relay)) {
      CHECK(end.result == AttemptResult::kComplete);
      CHECK(end.framing == AnswerFraming::kConnection);
      CHECK(relay == end.body.empty());
    }
    CHECK(fixture.client.stats().unverified_answers == 0);
  }
}

// Guards against whole answers that are lost when a server which is leaving
// ends after its last one, and against broken ones if it crashes before.
TEST_CASE("a server that is leaving may end after its last unframed answer") {
  for (bool relay : {false, true}) {
    CAPTURE(relay);
    CHECK(Fixture(true).Run(relay, /*leaving=*/true)[0].result ==
          AttemptResult::kComplete);
    // Answers that end together don't each come last.
    Fixture together(true, milliseconds(0), 3);
    for (const BackendEnd& end : together.Run(relay, /*leaving=*/true)) {
      CHECK(end.result == AttemptResult::kCrashed);
    }
  }
}

}  // namespace clementine

// Answers whose status isn't a final status of HTTP, and interim answers, at
// each place that reads a status.

#include <doctest/doctest.h>

#include "daemon/change_client.h"
#include "net/http_transport.h"
#include "platform/platform.h"
#include "testing/relay_fixture.h"

namespace clementine {
namespace {

using nettest::Chunk;
using nettest::kLastChunk;
using nettest::kSigned;
using nettest::RawConnection;
using nettest::RelayFixture;
using nettest::RunUntil;
using nettest::ScriptedServer;

/// Statuses that no final answer may have. 100 to 199 except 101 are those of
/// interim answers, which alone are no answer.
const std::vector<std::string> kInvalid = {"600", "999", "101",
                                           "000", "099", "199"};

constexpr char kInterim[] =
    "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

std::string Answer(const std::string& status, const std::string& body,
                   const std::string& headers = kSigned) {
  return "HTTP/1.1 " + status + " Reason\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends the bytes and closes the connection, so that a client that waits for
/// more sees its end.
ScriptedServer::Script SendAndClose(const std::string& bytes) {
  return [bytes](RawConnection& raw, const std::string&) {
    raw.Send(bytes);
    raw.FinishSending();
  };
}

/// A client of one scripted server.
struct ClientFixture {
  explicit ClientFixture(const std::string& bytes)
      : server(&io, SendAndClose(bytes)), client(&io, BackendOptions()) {}

  BackendEnd Run(BackendCall call) {
    call.address = server.address;
    std::optional<BackendEnd> ended;
    BackendHandlers handlers;
    handlers.head = [](int, const HttpHeaders&) { return AnswerHead::kAnswer; };
    handlers.bytes = [](std::string_view) {};
    handlers.token = [this](std::string_view data, std::uint64_t) {
      tokens += data;
    };
    handlers.end = [&ended](const BackendEnd& end) { ended = end; };
    client.Start(std::move(call), std::move(handlers));
    REQUIRE(RunUntil(&io, [&] { return ended.has_value(); }));
    return *ended;
  }

  boost::asio::io_context io;
  ScriptedServer server;
  BackendClient client;
  std::string tokens;
};

BackendCall ChatCall(bool stream) {
  BackendCall call;
  call.target = "/v1/chat/completions";
  call.body = std::make_shared<const std::string>("{}");
  call.attempt = "n-1";
  call.event_stream = stream;
  return call;
}

}  // namespace

// Guards against an invalid status that is passed on to a caller, with its
// reason phrase and signature.
TEST_CASE("relay answers 502 to an answer without a final status") {
  for (RouteKind kind : {RouteKind::kIdempotent, RouteKind::kStream}) {
    for (const std::string& status : kInvalid) {
      CAPTURE(status);
      RelayFixture relay(SendAndClose(Answer(status, "body")), kind);
      std::string received = relay.Call();
      CHECK(received.starts_with("HTTP/1.1 502"));
      CHECK(received.find("Reason") == std::string::npos);
      CHECK(received.find("body") == std::string::npos);
      CHECK(relay.backends.stats().invalid_answers ==
            (status == "199" ? 0 : 1));
    }
  }
}

// Guards against an interim answer that is taken for the final one, also if it
// comes with the first bytes of that, and against interim answers without end.
TEST_CASE("relay skips interim answers up to a bound") {
  RelayFixture relay([](RawConnection& raw, const std::string&) {
    raw.Send(kInterim + Answer("200", "body"));
  });
  std::string received = relay.Call();
  CHECK(received.starts_with("HTTP/1.1 200"));
  CHECK(received.ends_with("body"));
  CHECK(received.find("Link") == std::string::npos);

  RelayFixture stream(
      [](RawConnection& raw, const std::string&) {
        raw.Send(kInterim + std::string("HTTP/1.1 200 OK\r\n") + kSigned +
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n" +
                 Chunk("id: 1\ndata: a\n\n") + kLastChunk);
      },
      RouteKind::kStream);
  CHECK(stream.Call().find("data: a") != std::string::npos);

  std::string many;
  for (int i = 0; i < 200; ++i) many += kInterim;
  RelayFixture endless([many](RawConnection& raw, const std::string&) {
    raw.Send(many + Answer("200", "body"));
  });
  CHECK(endless.Call().starts_with("HTTP/1.1 502"));
}

// Guards against an expectation that is answered twice: the daemon has read the
// whole body when it forwards the request.
TEST_CASE("relay does not forward an expectation") {
  RelayFixture relay([](RawConnection& raw, const std::string& request) {
    std::string interim =
        request.find("\r\nExpect:") == std::string::npos ? "" : kInterim;
    raw.Send(interim + Answer("200", "body"));
  });
  std::string received = relay.Call("Expect: 100-continue\r\n");
  CHECK(received.find("HTTP/1.1 200") != std::string::npos);
  REQUIRE(relay.backend.requests.size() == 1);
  CHECK(relay.backend.requests[0].find("\r\nExpect:") == std::string::npos);
}

// Guards against the same on the interface `chat`.
TEST_CASE("chat calls break at an answer without a final status") {
  for (bool stream : {false, true}) {
    for (const std::string& status : kInvalid) {
      CAPTURE(status);
      ClientFixture f(Answer(status, "{}", ""));
      BackendEnd end = f.Run(ChatCall(stream));
      CHECK(end.result == AttemptResult::kBroken);
      CHECK(end.status == 0);
      CHECK(end.body.empty());
    }
  }
  ClientFixture f(kInterim + Answer("200", "{}", ""));
  BackendEnd end = f.Run(ChatCall(false));
  CHECK(end.result == AttemptResult::kComplete);
  CHECK(end.status == 200);
  CHECK(end.body == "{}");
}

// Guards against a health that is read from an answer without a final status,
// and against a host that counts as failed because of an interim answer.
TEST_CASE("health and orders are read from final answers only") {
  const std::string health = "{\"host\":\"h\",\"state\":\"idle\"}";
  auto probe = [&](const std::string& bytes) {
    ClientFixture f(bytes);
    std::optional<std::optional<HostHealth>> answer;
    f.client.Probe(
        f.server.address, milliseconds(2'000),
        [&](const std::optional<HostHealth>& found) { answer = found; });
    REQUIRE(RunUntil(&f.io, [&] { return answer.has_value(); }));
    return answer->has_value();
  };
  CHECK(probe(kInterim + Answer("200", health, "")));
  CHECK(!probe(Answer("600", health, "")));

  auto order = [&](const std::string& bytes) {
    ClientFixture f(bytes);
    std::optional<bool> accepted;
    f.client.SendOrder(f.server.address, {},
                       std::chrono::steady_clock::now() + milliseconds(2'000),
                       [&](bool was, bool /*sent*/) { accepted = was; });
    REQUIRE(RunUntil(&f.io, [&] { return accepted.has_value(); }));
    return *accepted;
  };
  CHECK(order(kInterim + Answer("200", "{}", "")));
  CHECK(!order(Answer("101", "{}", "")));
}

// Guards against an order on the interface `relay` that was carried out and
// whose answer is an interim one.
TEST_CASE("reports and orders of the relay are read from final answers only") {
  GroupOrder order;
  order.group = "g";
  auto send = [&](const std::string& bytes) {
    ClientFixture f(bytes);
    return platform::DecodeOrderAnswer(
        f.Run(platform::MakeOrderCall("h", f.server.address, order)));
  };
  CHECK(send(kInterim + Answer("202", "{}")) == OrderResult::kAccepted);
  for (const std::string& status : kInvalid) {
    CHECK(send(Answer(status, "{}")) == OrderResult::kUnknown);
  }
  ClientFixture f(Answer("600", "{\"sequence\":1}"));
  BackendEnd report = f.Run(platform::MakeReportCall("h", f.server.address));
  CHECK(report.result == AttemptResult::kBroken);
  CHECK(report.status == 0);
}

// Guards against platform objects that are read from an interim answer, and
// against a write that counts as refused because of an invalid one.
TEST_CASE("platform calls read final answers only") {
  auto put = [](const std::string& bytes) {
    boost::asio::io_context io;
    ScriptedServer server(&io, SendAndClose(bytes));
    PlatformClient client(&io, server.address, "");
    std::optional<ObjectReply> reply;
    client.Put(PutObject{1, "a", "v", 0},
               [&](const ObjectReply& got) { reply = got; });
    REQUIRE(RunUntil(&io, [&] { return reply.has_value(); }));
    return reply->status;
  };
  CHECK(put(kInterim + Answer("200", "{\"version\":3}")) == ObjectStatus::kOk);
  for (const std::string& status : kInvalid) {
    CAPTURE(status);
    CHECK(put(Answer(status, "{\"version\":3}")) == ObjectStatus::kUnknown);
  }
  boost::asio::io_context io;
  ScriptedServer server(&io, SendAndClose(Answer("999", "{}")));
  HttpTransport transport(&io, server.address, {}, milliseconds(2'000));
  std::optional<int> status;
  transport.Start(
      "GET", "/", "", milliseconds(0),
      [&](const HttpTransport::Answer& answer) { status = answer.status; });
  REQUIRE(RunUntil(&io, [&] { return status.has_value(); }));
  CHECK(*status == 0);
}

// Guards against a source of changes that is left because of an interim answer.
TEST_CASE("change subscriptions skip interim answers") {
  auto subscribe = [](const std::string& bytes) {
    boost::asio::io_context io;
    ScriptedServer server(&io, SendAndClose(bytes));
    std::string detail;
    ChangeClient::Hooks hooks;
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.on_update = [](const std::string&, const ChangeUpdate&, TimePoint) {};
    hooks.on_ended = [&](const std::string&, const std::string& ended) {
      detail = ended.empty() ? "-" : ended;
    };
    ChangeClient client(&io, milliseconds(2'000), std::move(hooks));
    client.Subscribe(server.address, {});
    REQUIRE(RunUntil(&io, [&] { return !detail.empty(); }));
    return detail.find("refused") == std::string::npos;
  };
  CHECK(subscribe(kInterim + Answer("200", "")));
  CHECK(!subscribe(Answer("600", "")));
}

}  // namespace clementine

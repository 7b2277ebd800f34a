#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "config/config.h"
#include "daemon/cache_poller.h"
#include "daemon/chat_answer.h"
#include "daemon/request_executor.h"
#include "daemon/request_reader.h"
#include "net/net.h"
#include "testing/net_test_support.h"

namespace clementine::nettest {
namespace {

Settings TestSettings() {
  Settings settings;
  settings.organisation_tokens = {{"garage", "token-g"}, {"press", "token-p"}};
  settings.first_token_timeout = milliseconds(300);
  settings.token_gap_timeout = milliseconds(300);
  return settings;
}

Configuration TestConfiguration() {
  Configuration configuration;
  configuration.models["chat"].adapters = {"paint"};
  RouteSpec& orders = configuration.routes["/v1/orders"];
  orders.path = "/v1/orders";
  orders.service = "orders";
  orders.request_class = RequestClass::kPlain;
  orders.idempotent = false;
  return configuration;
}

HttpRequest Chat(const std::string& body) {
  return {"POST",
          "/v1/chat/completions",
          "",
          {{"authorization", "Bearer token-g"}},
          body};
}

ReadResult Read(const HttpRequest& http) {
  return ReadCallerRequest(TestSettings(), TestConfiguration(), http,
                           TimePoint{});
}

constexpr const char* kMessages =
    R"("messages":[{"role":"user","content":"hi"}])";

std::string ChatBody(const std::string& members) {
  return "{" + members + "," + kMessages + "}";
}

// Guards against crashes of one interface that are never blamed on a part of a
// prompt: the last message is the request's own.
TEST_CASE("messages before the last one are shared parts") {
  auto parts = [](const std::string& messages) {
    ReadResult read =
        Read(Chat(R"({"model":"m","messages":[)" + messages + "]}"));
    REQUIRE(read.request);
    return read.request->request.shared_parts;
  };
  const std::string system = R"({"role":"system","content":"be brief"},)";
  auto one = parts(system + R"({"role":"user","content":"a"})");
  auto two = parts(system + R"({"role":"user","content":"b"})");
  CHECK(one.size() == 1);
  CHECK(one == two);
  CHECK(parts(R"({"role":"user","content":"a"})").empty());
}

// A request executor without a request path: the fixture records the executor's
// events, and the test executes actions.
struct ExecutorFixture {
  explicit ExecutorFixture(ScriptedServer::Script script)
      : engine(&io, std::move(script)),
        backends(&io, {}),
        platform(&io, "127.0.0.1:1", ""),
        server(&io, "127.0.0.1:0", {}, [this](auto exchange) {
          ReadResult read = ReadCallerRequest(settings, TestConfiguration(),
                                              exchange->request(),
                                              std::chrono::steady_clock::now());
          REQUIRE(read.request.has_value());
          executor->Accept(exchange, std::move(*read.request));
        }) {
    RequestContext context;
    context.settings = &settings;
    context.backends = &backends;
    context.platform = &platform;
    context.metrics = &metrics;
    context.attempt_prefix = "n";
    context.feed = [this](RequestEvent event) {
      if (std::holds_alternative<RequestArrived>(event)) ++arrived;
      if (std::holds_alternative<CallerLeft>(event)) ++left;
      if (auto* end = std::get_if<AttemptEnded>(&event)) ends.push_back(*end);
    };
    context.feed_control = [](const ControlEvent&) {};
    executor = std::make_unique<RequestExecutor>(std::move(context));
  }

  std::shared_ptr<RawConnection> Call(const std::string& body) {
    auto caller = RawConnection::Connect(&io, server.address());
    caller->Send(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer token-g\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(RunUntil(&io, [&] { return arrived == 1; }));
    return caller;
  }

  void DispatchAttempt(AttemptId attempt, std::uint64_t offset) {
    Dispatch dispatch;
    dispatch.request = 1;
    dispatch.attempt = attempt;
    dispatch.group = "chat/0";
    dispatch.address = engine.address;
    dispatch.resume_offset = offset;
    executor->Execute(dispatch);
  }

  bool Until(const std::function<bool()>& condition) {
    return RunUntil(&io, condition);
  }

  asio::io_context io;
  Settings settings = TestSettings();
  ScriptedServer engine;
  BackendClient backends;
  PlatformClient platform;
  Metrics metrics;
  std::unique_ptr<RequestExecutor> executor;
  HttpServer server;
  int arrived = 0;
  int left = 0;
  std::vector<AttemptEnded> ends;
};

std::string Delta(const std::string& text) {
  return R"({"choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}";
}

}  // namespace

// Guards against accepting unauthenticated requests, and against malformed
// requests that crash the daemon or reach an engine.
TEST_CASE("request reader rejects unauthenticated and malformed requests") {
  HttpRequest request = Chat(ChatBody(R"("model":"chat")"));
  CHECK(Read(request).request.has_value());
  for (const char* token : {"", "Bearer ", "Bearer token", "Bearer token-gg",
                            "token-g", "Basic token-g"}) {
    request.headers[0].second = token;
    CHECK(Read(request).error.status == 401);
  }
  for (const std::string& body :
       {std::string(), std::string("[]"), std::string("{\"messages\":"),
        std::string(R"({"model":"chat"})"),
        std::string(R"({"model":"chat","messages":[1]})"),
        std::string(kMessages), ChatBody(R"("stream":1)"),
        ChatBody(R"("model":7)"), ChatBody(R"("model":"chat","max_tokens":-1)"),
        std::string(100'000, '['), "{\"a\":" + std::string(100'000, '[')}) {
    CHECK(Read(Chat(body)).error.status == 400);
  }
  request = Chat(ChatBody(R"("model":"chat")"));
  request.headers.emplace_back("X-Request-Class", "plain");
  CHECK(Read(request).error.status == 400);
  request.headers.back() = {"X-Request-Timeout-Ms", "soon"};
  CHECK(Read(request).error.status == 400);
  request.path = "/v1/ordersandmore";
  CHECK(Read(request).error.status == 404);
}

// Guards against fields of a request that are parsed incorrectly, and against a
// forwarded body that differs from the caller's.
TEST_CASE("request reader parses the fields of a request") {
  std::string body =
      ChatBody(R"("model":"paint","stream":true,"max_tokens":9)");
  HttpRequest http = Chat(body);
  http.headers.emplace_back("X-Request-Class", "batch");
  http.headers.emplace_back("x-request-timeout-ms", "1500");
  ReadResult streamed = Read(http);
  REQUIRE(streamed.request.has_value());
  const Request& request = streamed.request->request;
  CHECK(request.organisation == "garage");
  CHECK(request.model == "chat");
  CHECK(request.adapter == "paint");
  CHECK(request.request_class == RequestClass::kBatch);
  CHECK(request.max_tokens == 9);
  CHECK(request.deadline == TimePoint{} + milliseconds(1500));
  CHECK(*streamed.request->body == body);
  ReadResult joined = Read(Chat(ChatBody(R"("model":"chat","top_p":0.5)")));
  REQUIRE(joined.request.has_value());
  CHECK_FALSE(joined.request->streamed);
  auto sent = ParseJson(*joined.request->body);
  CHECK(sent["stream"] == true);
  CHECK(sent["top_p"] == 0.5);
  HttpRequest order = {
      "POST",
      "/v1/orders/7",
      "a=b",
      {{"Authorization", "Bearer token-p"}, {"Idempotency-Key", "k"}},
      "not json"};
  ReadResult plain = Read(order);
  REQUIRE(plain.request.has_value());
  CHECK(plain.request->target == "/v1/orders/7?a=b");
  CHECK(plain.request->request.service == "orders");
  CHECK(plain.request->request.path == "/v1/orders");
  CHECK(plain.request->request.idempotency_key == "k");
  CHECK_FALSE(plain.request->request.idempotent);
}

// Guards against equal hashes of blocks whose prefixes differ.
TEST_CASE("hashes of prefix blocks are chained") {
  std::string a(600, 'a');
  std::string b = a;
  b[300] = 'b';
  auto blocks_a = PrefixBlocks(a);
  auto blocks_b = PrefixBlocks(b);
  REQUIRE(blocks_a.size() == 2);
  CHECK(blocks_a[0] == blocks_b[0]);
  CHECK(blocks_a[1] != blocks_b[1]);
  CHECK(blocks_a[0] != blocks_a[1]);
}

// Guards against losing text when the events of a stream are merged for a
// caller that does not stream.
TEST_CASE("chat events are merged into one completion") {
  const std::string first =
      R"({"id":"x","object":"chat.completion.chunk",)"
      R"("choices":[{"index":0,"delta":{"role":"assistant"}}]})";
  const std::string call =
      R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t",)"
      R"("function":{"name":"f","arguments":"{"}}]}}]})";
  const std::string last =
      R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,)"
      R"("function":{"arguments":"}"}}]},"finish_reason":"stop"}],)"
      R"("usage":{"total_tokens":5}})";
  auto answer =
      ParseJson(JoinChatEvents({first, Delta("a"), Delta("b"), call, last}));
  CHECK(answer["object"] == "chat.completion");
  CHECK(answer["id"] == "x");
  const auto& choice = answer["choices"][0];
  CHECK(choice["message"]["content"] == "ab");
  CHECK(choice["message"]["tool_calls"][0]["function"]["arguments"] == "{}");
  CHECK(choice["finish_reason"] == "stop");
  CHECK(answer["usage"]["total_tokens"] == 5);
  CHECK_THROWS_AS(JoinChatEvents({"{"}), std::runtime_error);
  CHECK_THROWS_AS(JoinChatEvents({R"({"choices":[1]})"}), std::runtime_error);
}

// Guards against repeated or missing tokens, and against tokens of an earlier
// attempt, when a stream is resumed on another group.
TEST_CASE("request executor resumes a stream at the delivered offset") {
  ExecutorFixture fixture([](RawConnection& raw, const std::string& request) {
    bool first = request.find("X-Attempt-Id: n-1\r\n") != std::string::npos;
    if (first) {
      raw.Send(kStreamHead +
               Chunk(Event("n-1", 0, "a") + Event("n-1", 1, "b")));
      raw.FinishSending();
    } else {
      raw.Send(kStreamHead +
               Chunk(Event("n-2", 1, "b") + Event("n-1", 2, "X") +
                     Event("n-2", 2, "c") + kDone) +
               kLastChunk);
    }
  });
  auto caller = fixture.Call(ChatBody(R"("model":"chat","stream":true)"));
  fixture.DispatchAttempt(1, 0);
  REQUIRE(fixture.Until([&] { return fixture.ends.size() == 1; }));
  CHECK(fixture.ends[0].result == AttemptResult::kBroken);
  CHECK(fixture.ends[0].offset == 2);
  fixture.DispatchAttempt(2, 2);
  REQUIRE(fixture.Until([&] { return fixture.ends.size() == 2; }));
  CHECK(fixture.ends[1].result == AttemptResult::kComplete);
  CHECK(fixture.ends[1].offset == 3);
  fixture.executor->Execute(Finish{1, 2});
  REQUIRE(
      fixture.Until([&] { return caller->received.ends_with("0\r\n\r\n"); }));
  std::string events;
  for (std::size_t at = 0;
       (at = caller->received.find("data: ", at)) != std::string::npos; ++at) {
    events += caller->received.substr(at + 6, 1);
  }
  CHECK(events == "abc[");
  CHECK(fixture.executor->unfinished() == 0);
}

// Guards against a failed stream that looks complete to the caller.
TEST_CASE("request executor ends a failed stream with an error event") {
  ExecutorFixture fixture([](RawConnection& raw, const std::string&) {
    raw.Send(kStreamHead + Chunk(Event("n-1", 0, "a")));
    raw.FinishSending();
  });
  auto caller = fixture.Call(ChatBody(R"("model":"chat","stream":true)"));
  fixture.DispatchAttempt(1, 0);
  REQUIRE(fixture.Until([&] { return fixture.ends.size() == 1; }));
  Refuse refuse;
  refuse.request = 1;
  refuse.reason = RefusalReason::kRetriesExhausted;
  refuse.outcome = Outcome::kUnknown;
  fixture.executor->Execute(refuse);
  REQUIRE(
      fixture.Until([&] { return caller->received.ends_with("0\r\n\r\n"); }));
  CHECK(caller->received.find("event: error\ndata: {\"error\":") !=
        std::string::npos);
  CHECK(caller->received.find("\"outcome\":\"unknown\"") != std::string::npos);
  CHECK(caller->received.find("[DONE]") == std::string::npos);
  CHECK(caller->received.find("X-Clementine-Outcome: unknown") !=
        std::string::npos);
  CHECK(caller->received.find("X-Clementine-Outcome: complete") ==
        std::string::npos);
}

// Guards against engine work that continues after its caller has disconnected,
// and against handling an answer after the attempt was cancelled.
TEST_CASE("request executor cancels the attempt of a disconnected caller") {
  ExecutorFixture fixture([](RawConnection& raw, const std::string& request) {
    raw.Send(request.starts_with("DELETE")
                 ? HttpAnswer(200, "{}")
                 : kStreamHead + Chunk(Event("n-1", 0, "a")));
  });
  auto caller = fixture.Call(ChatBody(R"("model":"chat","stream":true)"));
  fixture.DispatchAttempt(1, 0);
  REQUIRE(fixture.Until(
      [&] { return caller->received.find("data: a") != std::string::npos; }));
  caller->Close();
  REQUIRE(fixture.Until([&] { return fixture.left == 1; }));
  fixture.executor->Execute(CancelAttempt{1});
  REQUIRE(fixture.Until([&] { return fixture.engine.requests.size() == 2; }));
  CHECK(fixture.engine.requests[1].starts_with("DELETE /v1/attempts/n-1 "));
  CHECK(fixture.Until([&] { return fixture.engine.connections[0]->closed; }));
  CHECK(fixture.ends.empty());
  CHECK(fixture.executor->unfinished() == 0);
}

// Guards against missing a cache event unnoticed. The request path drops its
// cache state of a group whose sequence numbers are not consecutive.
TEST_CASE("cache poller leaves a gap where the engine's numbers have a gap") {
  asio::io_context io;
  ScriptedServer engine(&io, [](RawConnection& raw, const std::string&) {
    raw.Send(HttpAnswer(200, R"({"events":[
        {"sequence":1,"added":[7,8],"removed":[]},
        {"sequence":2,"added":[9],"removed":[7]},
        {"sequence":4,"added":[5],"removed":[]}]})"));
  });
  BackendClient backends(&io, {});
  std::vector<CacheEvents> fed;
  CachePoller poller(&backends, [&](const RequestEvent& event) {
    fed.push_back(std::get<CacheEvents>(event));
  });
  GroupView group;
  group.group = "chat/0";
  group.model = "chat";
  group.head_address = engine.address;
  group.open = true;
  poller.SetGroups({group});
  auto now = TimePoint{} + std::chrono::hours(1);
  poller.Poll(now);
  RunFor(&io, milliseconds(50));
  CHECK(engine.requests.empty());
  poller.OnRequestSent("chat/0", now);
  poller.Poll(now);
  REQUIRE(RunUntil(&io, [&] { return fed.size() == 3; }));
  CHECK(fed[0].first_sequence == 1);
  CHECK(fed[1].first_sequence == 3);
  CHECK(fed[2].first_sequence == 6);
  CHECK(fed[1].removed == std::vector<std::uint64_t>{7});
}

// Guards against a merged answer that lacks tokens.
TEST_CASE("request executor merges a stream for a caller that doesn't stream") {
  ExecutorFixture fixture([](RawConnection& raw, const std::string&) {
    raw.Send(kStreamHead +
             Chunk(Event("n-1", 0, Delta("a")) + Event("n-1", 1, Delta("b")) +
                   kDone) +
             kLastChunk);
  });
  auto caller = fixture.Call(ChatBody(R"("model":"chat")"));
  fixture.DispatchAttempt(1, 0);
  REQUIRE(fixture.Until([&] { return fixture.ends.size() == 1; }));
  CHECK(fixture.ends[0].body.find("\"content\":\"ab\"") != std::string::npos);
  fixture.executor->Execute(Finish{1, 1});
  REQUIRE(fixture.Until([&] {
    return caller->received.find("\"content\":\"ab\"") != std::string::npos;
  }));
  CHECK(caller->received.find("X-Clementine-Outcome: complete") !=
        std::string::npos);
}

// Guards against a memory leak when the event loop ends before a call: the
// attempt and its call own each other. The leak sanitizer reports it.
TEST_CASE("calls are freed if the event loop ends before them") {
  for (bool answered : {true, false}) {
    ExecutorFixture fixture([answered](RawConnection& raw, const std::string&) {
      raw.Send(kStreamHead + Chunk(Event("n-1", 0, "a")));
      // The last chunk, which the call waits for, is never sent.
      if (answered) raw.Send(Chunk(kDone));
    });
    auto caller = fixture.Call(ChatBody(R"("model":"chat","stream":true)"));
    fixture.DispatchAttempt(1, 0);
    CHECK(fixture.Until([&] {
      return caller->received.find("data: a") != std::string::npos &&
             fixture.ends.size() == (answered ? 1 : 0);
    }));
  }
}

}  // namespace clementine::nettest

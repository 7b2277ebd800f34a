// Whole paths through two daemons, with a platform stand-in, four engines in
// two groups, and a plain service.

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include "fmt/format.h"
#include "testing/process_site.h"

using clementine::testing::Answer;
using clementine::testing::ChatBody;
using clementine::testing::ChatText;
using clementine::testing::EventStream;
using clementine::testing::ExpectedText;
using clementine::testing::Fetch;
using clementine::testing::kCaller;
using clementine::testing::kChat;
using clementine::testing::kLongWait;
using clementine::testing::kOrders;
using clementine::testing::kTwoGroups;
using clementine::testing::SetFaults;
using clementine::testing::Site;
using clementine::testing::WaitFor;
using clementine::testing::WithKey;

// Guards against a daemon that serves only where placement was decided, and
// against answers that lose or change a token on the way.
TEST_CASE("requests are answered end to end by both daemons") {
  Site site;
  for (int i : {0, 1}) {
    std::string whole = ChatBody("chat", fmt::format("whole {}", i), 8, false);
    Answer answer = Fetch(site.address(i), "POST", kChat, whole, kCaller);
    CHECK(answer.status == 200);
    CHECK(answer.Header("X-Clementine-Outcome") == "complete");
    CHECK(ChatText(answer) == ExpectedText(whole));
    std::string streamed = ChatBody("chat", fmt::format("s {}", i), 20, true);
    EventStream stream(site.address(i), kChat, streamed, kCaller);
    REQUIRE(stream.WaitForEnd());
    CHECK(stream.done());
    CHECK(stream.text() == ExpectedText(streamed));
    std::string key = fmt::format("order-{}", i);
    Answer order = Fetch(site.address(i), "POST", kOrders, "{}", WithKey(key));
    CHECK(order.status == 200);
    CHECK(order.Header("X-Clementine-Outcome") == "complete");
  }
  CHECK(site.Runs("p1").size() == 2);
}

// Guards against an apply that is reported as in force while a daemon still
// has the configuration before it (I8).
TEST_CASE("an apply is in force on both daemons when it returns") {
  Site site;
  std::string changed =
      std::string(kTwoGroups) + "[route /v1/kit-status]\nservice = orders\n";
  auto applied = site.Apply(changed);
  INFO(applied.second);
  CHECK(applied.first == 0);
  for (int i : {0, 1}) {
    CHECK(site.Metric(i, "generation") == 2);
    CHECK(
        Fetch(site.address(i), "GET", "/v1/kit-status/1", "", kCaller).status ==
        200);
  }
}

// Guards against tokens of another request reaching a caller (I3) when frames
// arrive crossed, twice or again later.
TEST_CASE("crossed, repeated and late frames don't reach callers") {
  Site site({.engine_options = {"--token-ms", "10"}});
  site.SetEngineFaults({{"crossed", 20}, {"duplicate", 20}, {"late", 20}});
  std::vector<std::string> bodies;
  std::vector<std::unique_ptr<EventStream>> streams;
  for (int i = 0; i < 8; ++i) {
    bodies.push_back(ChatBody("chat", fmt::format("caller {}", i), 30, true));
    streams.push_back(std::make_unique<EventStream>(site.address(i % 2), kChat,
                                                    bodies.back(), kCaller));
  }
  for (std::size_t i = 0; i < streams.size(); ++i) {
    REQUIRE(streams[i]->WaitForEnd());
    CHECK(streams[i]->done());
    CHECK(streams[i]->text() == ExpectedText(bodies[i]));
  }
  CHECK(site.Metric(0, "frames_dropped_total") +
            site.Metric(1, "frames_dropped_total") >
        0);
}

// Guards against a whole answer that carries another attempt's id being handed
// to the caller (I3).
TEST_CASE("a crossed whole answer isn't delivered as complete") {
  Site site;
  site.SetEngineFaults({{"crossed", 1}});
  for (int i = 0; i < 6; ++i) {
    std::string body = ChatBody("chat", fmt::format("w {}", i), 8, false);
    Answer answer = Fetch(site.address(i % 2), "POST", kChat, body, kCaller);
    bool complete = answer.Header("X-Clementine-Outcome") == "complete";
    CHECK(complete == (ChatText(answer) == ExpectedText(body)));
  }
  int discarded = 0;
  for (const char* host : {"e1", "e2", "e3", "e4"}) {
    discarded += Fetch(site.backend(host).address(), "GET", "/faults")
                     .Json()["crossed"] == 0;
  }
  CHECK(discarded > 0);
}

// Guards against a stream that breaks off silently, repeats tokens or loses
// some when the backend server under it is killed.
TEST_CASE("a stream survives its backend server or ends with an error") {
  Site site({.engine_options = {"--token-ms", "20"}});
  std::string body = ChatBody("chat", "long story", 100, true);
  EventStream stream(site.address(0), kChat, body, kCaller);
  REQUIRE(stream.WaitForTokens(10));
  auto busy = site.BusyEngines();
  REQUIRE(busy.size() == 1);
  site.backend(busy[0]).Signal(SIGKILL);
  REQUIRE(stream.WaitForEnd());
  std::string expected = ExpectedText(body);
  INFO(stream.raw());
  CHECK(expected.starts_with(stream.text()));
  CHECK((stream.error() || (stream.done() && stream.text() == expected)));
  CHECK(stream.done() != stream.error());
  // The other group goes on.
  CHECK(WaitFor(kLongWait, [&] {
    Answer answer = Fetch(site.address(1), "POST", kChat,
                          ChatBody("chat", "after", 4, false), kCaller);
    return answer.status == 200;
  }));
}

// Guards against a kit order that runs twice because its caller resends it
// through another daemon (I5).
TEST_CASE("an order resent after its daemon was killed runs once") {
  Site site({.plain_options = {"--run-ms", "1000"}});
  std::thread caller([&] {
    Fetch(site.address(0), "POST", kOrders, R"({"kit":1})", WithKey("k1"));
  });
  CHECK(WaitFor(kLongWait, [&] { return site.Runs("p1").size() == 1; }));
  site.daemon(0).Signal(SIGKILL);
  caller.join();
  for (int i = 0; i < 3; ++i) {
    Answer again =
        Fetch(site.address(1), "POST", kOrders, R"({"kit":1})", WithKey("k1"));
    INFO(again.status << " " << again.body);
    // The order may have run, so nobody can be told that it didn't.
    CHECK(again.Header("X-Clementine-Outcome") == "unknown");
  }
  CHECK(WaitFor(kLongWait,
                [&] { return site.Runs("p1")[0]["outcome"] == "complete"; }));
  Answer later =
      Fetch(site.address(1), "POST", kOrders, R"({"kit":1})", WithKey("k1"));
  CHECK(later.Header("X-Clementine-Outcome") != "not-run");
  CHECK(site.Runs("p1").size() == 1);
  Answer other =
      Fetch(site.address(1), "POST", kOrders, R"({"kit":2})", WithKey("k2"));
  CHECK(other.status == 200);
  CHECK(site.Runs("p1").size() == 2);
}

// Guards against a planned stop that cuts streams or loses an answer (I7).
TEST_CASE("a daemon that is stopped finishes its streams") {
  Site site({.engine_options = {"--token-ms", "20"}});
  std::string body = ChatBody("chat", "until the end", 100, true);
  EventStream stream(site.address(0), kChat, body, kCaller);
  REQUIRE(stream.WaitForTokens(5));
  site.daemon(0).Signal(SIGTERM);
  CHECK(WaitFor(kLongWait, [&] {
    return Fetch(site.address(0), "GET", "/readyz").status != 200;
  }));
  CHECK_FALSE(stream.ended());
  REQUIRE(stream.WaitForEnd());
  CHECK(stream.done());
  CHECK(stream.text() == ExpectedText(body));
  int status = site.daemon(0).WaitForExit().value_or(-1);
  INFO(site.daemon(0).Log());
  CHECK(status == 0);
  Answer answer = Fetch(site.address(1), "POST", kChat,
                        ChatBody("chat", "other", 4, false), kCaller);
  CHECK(answer.status == 200);
}

// Guards against new work for a backend server that is about to stop (I6). The
// bound of 3 s is the invariant's own.
TEST_CASE("a leaving backend server gets no new work") {
  Site site;
  auto send = [&](int daemon, const std::string& prompt) {
    Answer answer = Fetch(site.address(daemon), "POST", kChat,
                          ChatBody("chat", prompt, 2, false), kCaller);
    CHECK(answer.status == 200);
  };
  for (int i = 0; i < 8; ++i) send(i % 2, "before");
  std::string leaving = site.Runs("e1").empty() ? "e2" : "e1";
  REQUIRE_FALSE(site.Runs(leaving).empty());
  SetFaults(site.backend(leaving).address(), {{"leaving", true}});
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
  while (std::chrono::steady_clock::now() < end) {
    send(0, "meanwhile");
    send(1, "meanwhile");
  }
  std::size_t before = site.Runs(leaving).size();
  for (int i = 0; i < 20; ++i) send(i % 2, fmt::format("after {}", i));
  CHECK(site.Runs(leaving).size() == before);
}

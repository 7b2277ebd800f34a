#include <doctest/doctest.h>

#include <csignal>

#include "config/config.h"
#include "testing/process_harness.h"
#include "testing/standin_tokens.h"

using clementine::testing::Answer;
using clementine::testing::BinaryPath;
using clementine::testing::ChatBody;
using clementine::testing::EventStream;
using clementine::testing::Fetch;
using clementine::testing::Headers;
using clementine::testing::kLongWait;
using clementine::testing::Link;
using clementine::testing::Process;
using clementine::testing::SetFaults;
using clementine::testing::WaitFor;
using Json = nlohmann::json;

namespace {

const char* const kChat = "/v1/chat/completions";

/// Puts a load order for a group of one host and waits until it's in force.
void Load(const std::string& address, std::uint64_t epoch) {
  Json order = {{"kind", "load"}, {"group", "chat/0"}, {"epoch", epoch},
                {"rank", 0},      {"hosts", {"h1"}},   {"model", "chat"},
                {"version", "1"}, {"weights", "w"},    {"fence", epoch}};
  REQUIRE(Fetch(address, "POST", "/v1/orders", clementine::JsonText(order))
              .status == 200);
  REQUIRE(WaitFor(kLongWait, [&] {
    return Fetch(address, "GET", "/v1/health").Json()["state"] == "serving";
  }));
}

Headers AttemptHeaders(const std::string& attempt, std::uint64_t epoch = 1,
                       int resume_offset = 0) {
  return {{"X-Attempt-Id", attempt},
          {"X-Group", "chat/0"},
          {"X-Group-Epoch", std::to_string(epoch)},
          {"X-Priority", "0"},
          {"X-Resume-Offset", std::to_string(resume_offset)}};
}

Json Runs(const std::string& address) {
  return Fetch(address, "GET", "/runs").Json()["runs"];
}

}  // namespace

// Guards against a stand-in that accepts a write on a stale version, with which
// no test of conditional updates would mean anything.
TEST_CASE("platform stand-in updates conditionally") {
  Process platform({BinaryPath("platform_standin")});
  std::string address = platform.address();
  std::string key = "/v1/objects/config/head?if_version=";
  CHECK(Fetch(address, "PUT", key + "0", "a").Json()["version"] == 1);
  Answer conflict = Fetch(address, "PUT", key + "0", "b");
  CHECK(conflict.status == 409);
  CHECK(conflict.Json() == Json{{"version", 1}, {"value", "a"}});
  CHECK(Fetch(address, "PUT", key + "1", "c").Json()["version"] == 2);
  CHECK(Fetch(address, "DELETE", key + "1").status == 409);
  CHECK(Fetch(address, "DELETE", key + "2").status == 200);
  CHECK(Fetch(address, "GET", "/v1/objects/config/head").status == 404);
  CHECK(Fetch(address, "PUT", "/v1/objects/x", "no condition").status == 400);
  std::string large(1'000'001, 'x');
  CHECK(Fetch(address, "PUT", "/v1/objects/x?if_version=0", large).status ==
        413);
  Json stats = Fetch(address, "GET", "/v1/stats").Json();
  CHECK(stats["put"] == 5);
  CHECK(stats["delete"] == 2);
}

// Guards against a watch that misses a change made between two polls.
TEST_CASE("platform stand-in watches from a revision") {
  Process platform({BinaryPath("platform_standin")});
  std::string address = platform.address();
  Fetch(address, "PUT", "/v1/objects/a/1?if_version=0", "x");
  Fetch(address, "PUT", "/v1/objects/b/1?if_version=0", "y");
  Json all = Fetch(address, "GET", "/v1/watch?prefix=a/&since=0").Json();
  CHECK(all["revision"] == 3);
  REQUIRE(all["events"].size() == 1);
  CHECK(all["events"][0]["value"] == "x");
  Json none =
      Fetch(address, "GET", "/v1/watch?prefix=a/&since=3&timeout_ms=1").Json();
  CHECK(none["events"].empty());
  Fetch(address, "DELETE", "/v1/objects/a/1?if_version=1");
  Json gone = Fetch(address, "GET", "/v1/watch?prefix=a/&since=3").Json();
  REQUIRE(gone["events"].size() == 1);
  CHECK(gone["events"][0]["deleted"] == true);
}

// Guards against faults that don't reproduce an outage or a lost answer.
TEST_CASE("platform stand-in loses answers and refuses connections") {
  Process platform({BinaryPath("platform_standin"), "--token", "secret"});
  std::string address = platform.address();
  Headers token = {{"Authorization", "Bearer secret"}};
  std::string key = "/v1/objects/k?if_version=0";
  CHECK(Fetch(address, "PUT", key, "v").status == 401);
  SetFaults(address, {{"lose_answers", 1}});
  CHECK(Fetch(address, "PUT", key, "v", token).status == 0);
  CHECK(Fetch(address, "GET", "/v1/objects/k", "", token).status == 200);
  SetFaults(address, {{"down", "refuse"}});
  CHECK(Fetch(address, "GET", "/v1/objects/k", "", token).status == 0);
  SetFaults(platform.Listening("control"), {{"down", false}});
  CHECK(Fetch(address, "GET", "/v1/objects/k", "", token).status == 200);
}

// Guards against a host list that never forgets a host that died.
TEST_CASE("hosts are listed while they send heartbeats") {
  Process platform({BinaryPath("platform_standin"), "--host-ttl-ms", "1000"});
  std::string address = platform.address();
  auto hosts = [&] { return Fetch(address, "GET", "/v1/hosts").Json(); };
  {
    Process backend(
        {BinaryPath("backend_standin"), "--platform", address, "--host", "h1"});
    REQUIRE(WaitFor(kLongWait, [&] { return hosts().size() == 1; }));
    CHECK(hosts()[0]["address"] == backend.address());
    SetFaults(backend.address(), {{"leaving", true}});
    CHECK(WaitFor(kLongWait, [&] { return hosts()[0]["state"] == "leaving"; }));
  }
  CHECK(WaitFor(kLongWait, [&] { return hosts().empty(); }));
}

// Guards against an engine that answers for a group it isn't in, and against
// resumed streams that can't be verified.
TEST_CASE("engine stand-in answers for its group and epoch and resumes") {
  Process backend({BinaryPath("backend_standin"), "--host", "h1"});
  std::string address = backend.address();
  std::string body = ChatBody("chat", "match this red", 8, true);
  Answer idle = Fetch(address, "POST", kChat, body, AttemptHeaders("a0"));
  CHECK(idle.status == 409);
  CHECK(idle.Json()["not_run"] == true);
  Load(address, 1);
  CHECK(Fetch(address, "POST", kChat, body, AttemptHeaders("a1", 2)).status ==
        409);
  EventStream whole(address, kChat, body, AttemptHeaders("a2"));
  EventStream rest(address, kChat, body, AttemptHeaders("a3", 1, 5));
  REQUIRE(whole.WaitForEnd());
  REQUIRE(rest.WaitForEnd());
  CHECK(whole.done());
  CHECK(whole.text() ==
        clementine::standin::AnswerText(clementine::ParseJson(body)));
  CHECK(rest.tokens() == 3);
  CHECK(whole.text().ends_with(rest.text()));
  CHECK(whole.raw().find("id: a2:7\n") != std::string::npos);
  CHECK(Runs(address).size() == 2);
}

// Guards against an engine that keeps working for callers that have gone.
TEST_CASE("engine stand-in cancels on request and when the caller leaves") {
  Process backend({BinaryPath("backend_standin"), "--slots", "1"});
  std::string address = backend.address();
  Load(address, 1);
  std::string body = ChatBody("chat", "long", 1'000'000, true);
  auto running = [&](int count) {
    return WaitFor(kLongWait, [&] {
      return Fetch(address, "GET", "/v1/health").Json()["running"] == count;
    });
  };
  {
    EventStream first(address, kChat, body, AttemptHeaders("a1"));
    REQUIRE(first.WaitForTokens(1));
    EventStream waiting(address, kChat, body, AttemptHeaders("a2"));
    CHECK(WaitFor(kLongWait, [&] { return Runs(address).size() == 2; }));
    CHECK(Fetch(address, "DELETE", "/v1/attempts/a1").status == 200);
    CHECK(first.WaitForEnd());
    CHECK_FALSE(first.done());
    CHECK(waiting.WaitForTokens(1));
  }
  CHECK(running(0));
}

// Guards against fences that the stand-in doesn't check when it should.
TEST_CASE("engine stand-in checks or ignores the fence") {
  Process checks({BinaryPath("backend_standin")});
  Process ignores({BinaryPath("backend_standin"), "--ignore-fence"});
  std::string unload = R"({"kind":"unload","fence":1})";
  Load(checks.address(), 2);
  Load(ignores.address(), 2);
  CHECK(Fetch(checks.address(), "POST", "/v1/orders", unload).status == 409);
  CHECK(Fetch(ignores.address(), "POST", "/v1/orders", unload).status == 200);
}

// Guards against frame faults that don't change the stream.
TEST_CASE("engine stand-in disturbs frames on request") {
  Process backend({BinaryPath("backend_standin")});
  std::string address = backend.address();
  Load(address, 1);
  SetFaults(address, {{"duplicate", 1}, {"crossed", 2}, {"late", 1}});
  EventStream stream(address, kChat, ChatBody("chat", "x", 4, true),
                     AttemptHeaders("a1"));
  REQUIRE(stream.WaitForEnd());
  CHECK(stream.tokens() == 4 + 1 + 2 + 1);
  CHECK(stream.raw().find("id: a1-other:1\n") != std::string::npos);
}

// Guards against crash, freeze and silence being the same to a caller.
TEST_CASE("backend stand-in freezes, falls silent and crashes") {
  Process backend({BinaryPath("backend_standin"), "--crash-marker", "BOOM"});
  std::string address = backend.address();
  Load(address, 1);
  auto health = [&] {
    return Fetch(address, "GET", "/v1/health", "", {},
                 std::chrono::milliseconds(300))
        .status;
  };
  SetFaults(address, {{"freeze", true}});
  CHECK(health() == 0);
  SetFaults(address, {{"freeze", false}});
  CHECK(health() == 200);
  EventStream stream(address, kChat, ChatBody("chat", "x", 1'000'000, true),
                     AttemptHeaders("a1"));
  REQUIRE(stream.WaitForTokens(1));
  SetFaults(address, {{"silence", true}});
  CHECK(health() == 200);
  CHECK_FALSE(stream.ended());
  Fetch(address, "POST", kChat, ChatBody("chat", "BOOM", 4, false),
        AttemptHeaders("a2"));
  CHECK(backend.WaitForExit() == 70);
}

// Guards against a plain stand-in that forgets a run, with which a second run
// of a non-idempotent call would go unseen.
TEST_CASE("plain stand-in records every run") {
  Process backend({BinaryPath("backend_standin"), "--kind", "plain"});
  std::string address = backend.address();
  Headers headers = {{"Idempotency-Key", "k1"}, {"X-Attempt-Id", "a1"}};
  CHECK(Fetch(address, "POST", "/v1/orders", "{}", headers).status == 200);
  SetFaults(address, {{"break", 1}});
  CHECK(Fetch(address, "POST", "/v1/orders", "{}", headers).status == 0);
  Json runs = Runs(address);
  REQUIRE(runs.size() == 2);
  CHECK(runs[1]["key"] == "k1");
  backend.Signal(SIGTERM);
  CHECK(backend.WaitForExit() == 0);
}

// Guards against a link that closes connections when it should only lose bytes.
TEST_CASE("link is cut, restored and silenced") {
  Process backend({BinaryPath("backend_standin")});
  Link link(backend.address());
  auto health = [&] {
    return Fetch(link.address(), "GET", "/v1/health", "", {},
                 std::chrono::milliseconds(300))
        .status;
  };
  CHECK(health() == 200);
  link.Cut(false, true);
  CHECK(health() == 0);
  link.Cut(false, false);
  CHECK(health() == 200);
  Load(backend.address(), 1);
  EventStream stream(link.address(), kChat,
                     ChatBody("chat", "x", 1'000'000, true),
                     AttemptHeaders("a1"));
  REQUIRE(stream.WaitForTokens(1));
  link.SilencePresent();
  CHECK(health() == 200);
  CHECK_FALSE(stream.ended());
  link.ClosePresent();
  CHECK(stream.WaitForEnd());
}

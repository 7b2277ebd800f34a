// Tests of the adapter with texts in the platform's format, and of its object
// store with a scripted server.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/config.h"
#include "fmt/format.h"
#include "platform/platform.h"
#include "testing/net_test_support.h"

namespace clementine::platform {
namespace {

using nettest::HttpAnswer;
using nettest::RawConnection;
using nettest::RunUntil;
using nettest::ScriptedServer;
using Json = nlohmann::json;

const char kConfiguration[] = R"({"version":7,"routes":[
  {"name":"r1","hostname":"Shop.example","path_prefix":"/a/",
   "route_type":"streaming","timeout_ms":8000,"target_latency_ms":300,
   "priority":1,"max_attempts":2,"public":false,"stream_resume":true,
   "target_gap_ms":200,"traffic_split":[{"service":"s1","weight":90},
   {"service":"s2","weight":10}]},
  {"name":"r2","hostname":"shop.example","path_prefix":"/b/",
   "route_type":"non_idempotent","timeout_ms":800,"service":"s2",
   "max_attempts":1,"public":true}],
  "services":[{"name":"s1","runtime":{"slots":26,"loads_per_s":4.5,
   "loads_at_once":6,"model_list":[{"name":"m0","size":4,"work_share":0.57,
   "pace":1.0,"load_time_s":16.0,"warmup_s":1.6}]}},{"name":"s2"}],
  "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]})";

const char kEntry[] = R"({"address":"10.3.64.29:8240","born":1781437347003,
  "domain":"d0","group":{"name":"m0.7","epoch":9,"rank":1,"state":"ready"},
  "phase":"combined","sequence":31,"service":"s1","slots":26,
  "staged_models":["m0"],"state":"ready","zone":"attica-c"})";

struct StoreFixture {
  explicit StoreFixture(ScriptedServer::Script script)
      : server(&io, std::move(script)),
        store(&io, server.address, milliseconds(500)) {}

  ObjectReply Put(const PutObject& put) {
    std::optional<ObjectReply> reply;
    store.Put(put, [&](const ObjectReply& answer) { reply = answer; });
    REQUIRE(RunUntil(&io, [&] { return reply.has_value(); }));
    return *reply;
  }

  ObjectBatch List() {
    std::optional<ObjectBatch> result;
    store.List("servers", false,
               [&](const ObjectBatch& batch) { result = batch; });
    REQUIRE(RunUntil(&io, [&] { return result.has_value(); }));
    return *result;
  }

  nettest::asio::io_context io;
  ScriptedServer server;
  ObjectStore store;
};

std::string Object(const std::string& name, int revision) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(revision) + R"(},"spec":"v","status":null})";
}

}  // namespace

// Guards against fields of a configuration that are decoded incorrectly.
TEST_CASE("adapter decodes a configuration") {
  FleetConfiguration fleet = DecodeConfiguration(kConfiguration);
  CHECK(fleet.version == 7);
  REQUIRE(fleet.routes.size() == 2);
  const RouteRule& stream = fleet.routes[0];
  CHECK(stream.host == "shop.example");
  CHECK(stream.kind == RouteKind::kStream);
  CHECK(stream.timeout == milliseconds(8'000));
  CHECK(stream.target_gap == milliseconds(200));
  CHECK(stream.resumable);
  REQUIRE(stream.shares.size() == 2);
  CHECK(stream.shares[0].weight == 90.0);
  CHECK(fleet.routes[1].kind == RouteKind::kNonIdempotent);
  CHECK(fleet.routes[1].is_public);
  CHECK_FALSE(fleet.services.at("s2").engine);
  const EngineSpec& engine = *fleet.services.at("s1").engine;
  CHECK(engine.max_running == 26);
  CHECK(engine.models[0].hosts_per_group == 4);
  CHECK(engine.models[0].load_time == milliseconds(16'000));
  CHECK(engine.models[0].start_time == milliseconds(1'600));
  CHECK(fleet.organisations[0].keys.size() == 2);
  CHECK(fleet.organisations[0].priority == 1);
}

// Guards against adopting part of a configuration: any invalid part rejects it.
TEST_CASE("adapter rejects a configuration with any invalid part") {
  for (const char* broken :
       {"", "[]", "{}", R"({"version":"7"})", R"({"version":7,"routes":{}})"}) {
    CHECK_THROWS_AS(DecodeConfiguration(broken), std::runtime_error);
  }
  Json json = ParseJson(kConfiguration);
  json["routes"][0]["route_type"] = "sometimes";
  CHECK_THROWS_AS(DecodeConfiguration(JsonText(json)), std::runtime_error);
}

// Guards against reading the number of an entry's renewals as the number of
// orders, and against using invalid entries from other writers.
TEST_CASE("adapter decodes entries and reports of backend servers") {
  std::optional<BackendServer> server = DecodeServer("i-1", kEntry);
  REQUIRE(server);
  CHECK(server->id == "i-1");
  CHECK(server->orders == 0);
  CHECK(server->incarnation == 1781437347003);
  CHECK(server->fabric_domain == "d0");
  CHECK(server->member.rank == 1);
  CHECK(server->member.state == GroupMemberState::kReady);
  CHECK(server->staged == std::vector<std::string>{"m0"});
  std::optional<BackendServer> report = DecodeReport(
      R"({"sequence":3,"busy":true,"born":5,"group":null,"staged_models":[]})");
  REQUIRE(report);
  CHECK(report->orders == 3);
  CHECK(report->busy);
  for (const char* broken : {"", "null", "[1]", "{\"service\":1}"}) {
    CHECK_FALSE(DecodeServer("i-1", broken));
    CHECK_FALSE(DecodeReport(broken));
  }
  Json json = ParseJson(kEntry);
  json["state"] = "resting";
  CHECK_FALSE(DecodeServer("i-1", JsonText(json)));
}

// Guards against a crash or a partly decoded server when an entry holds
// arbitrary bytes.
TEST_CASE("adapter decodes or rejects an entry with arbitrary byte changes") {
  CHECK(rc::check([] {
    std::string text = kEntry;
    auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
    }
    std::optional<BackendServer> server = DecodeServer("i-1", text);
    // RC_ASSERT evaluates both operands of ||.
    bool valid = !server || server->id == "i-1";
    RC_ASSERT(valid);
    DecodeReport(text);
    try {
      DecodeConfiguration(text);
      RC_FAIL("an entry was decoded as a configuration");
    } catch (const std::runtime_error&) {
      RC_SUCCEED("rejected");
    }
  }));
}

// Guards against forwarding a caller's key, or an organisation that the caller
// claims, to a backend server.
TEST_CASE("adapter sets its own headers and forwards the others") {
  HttpHeaders caller = {{"Host", "shop.example"},
                        {"X-Clementinelb-Attempt-Id", "a1"},
                        {"X-Clementinelb-Key", "secret"},
                        {"x-clementinelb-tenant", "other"},
                        {"X-Clementinelb-Deadline-Ms", "8000"},
                        {"X-Clementinelb-Token-Count", "1460, 80"},
                        {"X-Clementinelb-Model", "m0"},
                        {"Last-Event-Id", "12"},
                        {"Connection", "close, X-Hop"},
                        {"X-Hop", "1"},
                        {"Content-Length", "3"}};
  CallerHeaders read = ReadCallerHeaders(caller);
  CHECK(read.request_id == "a1");
  CHECK(read.key == "secret");
  CHECK(read.timeout == milliseconds(8'000));
  CHECK(read.prompt_tokens == 1460);
  CHECK(read.max_output_tokens == 80);
  ForwardInfo info;
  info.host = "i-1";
  info.organisation = "t1";
  info.remaining = milliseconds(700);
  HttpHeaders sent = ForwardHeaders(caller, info);
  CHECK(FindHeader(sent, "X-Clementinelb-Key").empty());
  CHECK(FindHeader(sent, "X-Clementinelb-Tenant") == "t1");
  CHECK(FindHeader(sent, "X-Clementinelb-Deadline-Ms") == "700");
  CHECK(FindHeader(sent, "X-Clementinelb-Expected-Instance") == "i-1");
  CHECK(FindHeader(sent, "X-Clementinelb-Model") == "m0");
  CHECK(FindHeader(sent, "Last-Event-Id") == "12");
  CHECK(FindHeader(sent, "X-Hop").empty());
  CHECK(FindHeader(sent, "Content-Length").empty());
  info.priority = 3;
  CHECK(FindHeader(ForwardHeaders(caller, info),
                   "X-Clementinelb-Request-Priority") == "3");
  info.resume_after = "17";
  CHECK(FindHeader(ForwardHeaders(caller, info), "Last-Event-Id") == "17");
}

// Guards against callers that move ahead of others at the backend server.
TEST_CASE("adapter never forwards a caller's own priority") {
  HttpHeaders caller = {{"x-clementinelb-request-priority", "0"}};
  HttpHeaders sent = ForwardHeaders(caller, ForwardInfo{});
  CHECK(FindHeader(sent, "X-Clementinelb-Request-Priority").empty());
}

// Guards against an entry that is lost because of its cold time, and against a
// server that stays limited because of an invalid one.
TEST_CASE("adapter decodes how long a server stays cold") {
  auto cold = [](const Json& value) {
    Json json = Json::parse(kEntry);
    json["cold_remaining_ms"] = value;
    std::optional<BackendServer> server = DecodeServer("i-1", JsonText(json));
    REQUIRE(server);
    return server->cold_time;
  };
  CHECK(cold(2'900) == milliseconds(2'900));
  CHECK(cold(0) == milliseconds(0));
  CHECK(cold(nullptr) == milliseconds(0));
  CHECK(cold(-5) == milliseconds(0));
  CHECK(cold(1e300) == milliseconds(0));
  CHECK(cold("soon") == milliseconds(0));
}

// Guards against blaming crashes on a part that no other request can share, and
// against parts that can't be blamed because of their position or length.
TEST_CASE("adapter reads the shared parts of a prompt") {
  auto read = [](const std::string& value) {
    return ReadSharedParts({{"x-clementinelb-prompt-prefix", value}});
  };
  using Parts = std::vector<std::string>;
  CHECK(read("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
        Parts{"5c1e07a2", "91bd3f06"});
  CHECK(read("e4402b7d:250").empty());
  CHECK(read("").empty());
  CHECK(read(" a:1 , b , ,:7,own:3") == Parts{"a", "b"});
  const std::string long_id(100, 'f');
  CHECK(read(long_id + ":1,b:2,own:3") == Parts{long_id, "b"});
  std::string many;
  Parts all;
  for (int i = 0; i < 1'600; ++i) {
    all.push_back(std::to_string(10'000 + i));
    many += all.back() + ":60,";
  }
  CHECK(read(many + "own:3") == all);
}

// Guards against accepting an answer to another request or one without a
// signature, and against reading an answer as a refusal incorrectly.
TEST_CASE("adapter classifies the heads of answers") {
  HttpHeaders good = {{"X-Clementinelb-Attempt-Id", "a1"},
                      {"X-Clementinelb-Response-Signature", "s"}};
  CHECK(ClassifyAnswer("a1", 200, good, false) == AnswerHead::kAnswer);
  CHECK(ClassifyAnswer("a2", 200, good, false) == AnswerHead::kForeign);
  CHECK(ClassifyAnswer("a1", 200, {}, false) == AnswerHead::kForeign);
  CHECK(ClassifyAnswer("a1", 500, {}, false) == AnswerHead::kAnswer);
  CHECK(ClassifyAnswer("a1", 503, {}, false) == AnswerHead::kAnswer);
  CHECK(ClassifyAnswer("a1", 421, {}, false) == AnswerHead::kNotRun);
  CHECK(ClassifyAnswer("a1", 503, {{"X-Clementinelb-Not-Executed", "1"}},
                       false) == AnswerHead::kNotRun);
  // On a reused connection, an answer has to carry the id of its request.
  CHECK(ClassifyAnswer("a1", 200, good, true) == AnswerHead::kAnswer);
  CHECK(ClassifyAnswer("a1", 503, {{"X-Clementinelb-Not-Executed", "1"}},
                       true) == AnswerHead::kForeign);
  CHECK(ClassifyAnswer("a1", 500, {}, true) == AnswerHead::kForeign);
}

// Guards against missing the leaving header on some statuses, and against
// attributing the header of another server to the called one.
TEST_CASE("adapter finds the leaving header on any status but 421") {
  for (int status : {200, 404, 500, 503}) {
    CHECK(platform::HasLeavingHeader(status, {{"server-leaving", "1"}}));
    CHECK_FALSE(platform::HasLeavingHeader(status, {{"Server-Leaving", "0"}}));
    CHECK_FALSE(platform::HasLeavingHeader(status, {{"Server", "x"}}));
  }
  // 421 is the answer of another server that now uses the address.
  CHECK_FALSE(platform::HasLeavingHeader(421, {{"Server-Leaving", "1"}}));
}

// Guards against reporting an order as refused although it may be carried out.
TEST_CASE("adapter encodes orders and decodes their answers") {
  GroupOrder join;
  join.group = "m0.7";
  join.epoch = 7;
  join.model = "m0";
  join.members = {"a", "b"};
  join.expected_orders = 3;
  BackendCall call = MakeOrderCall("a", "10.0.0.1:1", join);
  Json body = ParseJson(*call.body);
  CHECK(body["operation"] == "join");
  CHECK(body["expected"] == 3);
  CHECK(body["members"].size() == 2);
  CHECK_FALSE(call.idempotent);
  GroupOrder stage;
  stage.kind = GroupOrder::Kind::kStage;
  stage.model = "m0";
  body = ParseJson(*MakeOrderCall("a", "", stage).body);
  CHECK_FALSE(body.contains("group"));
  CHECK_FALSE(body.contains("expected"));
  GroupOrder leave;
  leave.kind = GroupOrder::Kind::kLeave;
  leave.group = "m0.7";
  leave.epoch = 7;
  body = ParseJson(*MakeOrderCall("a", "", leave).body);
  CHECK(body["operation"] == "leave");
  CHECK(body["group"] == "m0.7");
  CHECK(body["epoch"] == 7);
  CHECK_FALSE(body.contains("members"));
  BackendEnd end;
  end.result = AttemptResult::kTimedOut;
  CHECK(DecodeOrderAnswer(end) == OrderResult::kUnknown);
  end.result = AttemptResult::kComplete;
  end.status = 202;
  CHECK(DecodeOrderAnswer(end) == OrderResult::kAccepted);
  end.status = 409;
  CHECK(DecodeOrderAnswer(end) == OrderResult::kRejected);
  end.status = 503;
  CHECK(DecodeOrderAnswer(end) == OrderResult::kBusy);
  end.status = 500;
  CHECK(DecodeOrderAnswer(end) == OrderResult::kUnknown);
}

// Guards against reading only the first page of a list.
TEST_CASE("object store reads all pages of a list") {
  StoreFixture fixture([](RawConnection& raw, const std::string& request) {
    bool first = request.find("after=b") == std::string::npos;
    raw.Send(HttpAnswer(
        200, first ? R"({"entries":[)" + Object("a", 1) + "," + Object("b", 2) +
                         R"(],"has_more":true,"at":9})"
                   : R"({"entries":[)" + Object("c", 3) +
                         R"(,{"broken":1}],"has_more":false,"at":12})"));
  });
  ObjectBatch batch = fixture.List();
  CHECK(batch.status == ObjectBatch::Status::kOk);
  CHECK(batch.objects.size() == 3);
  // The watch starts at the revision of the first page.
  CHECK(batch.revision == 9);
}

// Guards against reporting a write as refused although it may take effect, and
// the reverse.
TEST_CASE("object store distinguishes refused writes from unknown ones") {
  std::string answer;
  StoreFixture fixture([&](RawConnection& raw, const std::string&) {
    if (!answer.empty()) raw.Send(answer);
  });
  PutObject put{4, "k/n", "v", 0};
  answer = HttpAnswer(201, Object("n", 5));
  ObjectReply reply = fixture.Put(put);
  CHECK(reply.status == ObjectStatus::kOk);
  CHECK(reply.version == 5);
  CHECK(reply.value == "v");
  CHECK(fixture.server.requests[0].starts_with("POST /objects/k "));
  answer = HttpAnswer(409, Object("n", 6));
  put.if_version = 5;
  reply = fixture.Put(put);
  CHECK(reply.status == ObjectStatus::kConflict);
  CHECK(reply.version == 6);
  CHECK(fixture.server.requests[1].starts_with("PUT /objects/k/n "));
  answer = HttpAnswer(429, "");
  CHECK(fixture.Put(put).status == ObjectStatus::kUnavailable);
  answer = HttpAnswer(503, "");
  CHECK(fixture.Put(put).status == ObjectStatus::kUnavailable);
  answer.clear();
  CHECK(fixture.Put(put).status == ObjectStatus::kUnknown);
}

// Guards against an invalid entry from another writer that crashes every daemon
// that reads the list, or makes the daemon lose the other entries.
TEST_CASE("an invalid entry of a list or a watch does not hide the others") {
  auto nested = [](int depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  const std::vector<std::string> invalid = {
      nested(100'000),
      R"({"service":)" + nested(5'000) + "}",
      R"({"slots":1e999,"sequence":-1e999999})",
      R"({"slots":)" + std::string(400, '9') + "}",
      "\"\xff\xfe\"",
      "null",
      "[1,2]"};
  for (const std::string& entry : invalid) {
    CAPTURE(entry.substr(0, 40));
    auto object = [](const std::string& name, const std::string& spec) {
      return fmt::format(
          R"({{"metadata":{{"name":"{}","revision":5}},"spec":{}}})", name,
          spec);
    };
    std::string list = R"({"entries":[)" + object("bad", entry) + "," +
                       object("good", kEntry) + R"(],"has_more":false,"at":7})";
    std::string events = R"({"events":[{"object":)" + object("bad", entry) +
                         R"(,"deleted":false},{"object":)" +
                         object("good", kEntry) +
                         R"(,"deleted":false},7,{"object":{}}],"at":7})";
    StoreFixture fixture([&](RawConnection& raw, const std::string& request) {
      bool watch = request.find("watch=") != std::string::npos;
      raw.Send(HttpAnswer(200, watch ? events : list));
    });
    for (bool watch : {false, true}) {
      CAPTURE(watch);
      std::optional<ObjectBatch> batch;
      auto done = [&](const ObjectBatch& read) { batch = read; };
      if (watch) {
        fixture.store.Watch("servers", 1, milliseconds(0), done);
      } else {
        fixture.store.List("servers", false, done);
      }
      REQUIRE(RunUntil(&fixture.io, [&] { return batch.has_value(); }));
      REQUIRE(batch->status == ObjectBatch::Status::kOk);
      CHECK(batch->revision == 7);
      int usable = 0;
      for (const StoredObject& read : batch->objects) {
        auto server = DecodeServer(read.name, read.content);
        usable += server ? 1 : 0;
        CHECK(server.has_value() == (read.name == "good"));
      }
      CHECK(usable == 1);
    }
  }
}

// Guards against accepting impossible servers, and against integer overflow.
TEST_CASE("adapter rejects entries and reports with values out of range") {
  auto with = [](const std::string& key, const Json& value) {
    Json entry = ParseJson(kEntry);
    if (key.starts_with("group.")) {
      entry["group"][key.substr(6)] = value;
    } else {
      entry[key] = value;
    }
    return JsonText(entry);
  };
  CHECK(DecodeServer("a", with("slots", 26)));
  const std::vector<std::pair<std::string, Json>> invalid = {
      {"address", "10.3.64.29:99999"},
      {"address", "10.3.64.29:0"},
      {"address", "10.3.64.29"},
      {"address", "somewhere:80"},
      {"slots", -5},
      {"slots", 1e30},
      {"slots", 2.5},
      {"slots", 18446744073709551615ULL},
      {"born", -1},
      {"born", 1e300},
      {"born", "today"},
      {"group.epoch", -1},
      {"group.epoch", 18446744073709551615ULL},
      {"group.rank", -1},
      {"group.rank", 4294967296LL}};
  for (const auto& entry : invalid) {
    CAPTURE(entry.first);
    CAPTURE(JsonText(entry.second));
    CHECK_FALSE(DecodeServer("a", with(entry.first, entry.second)));
  }
  CHECK_FALSE(DecodeReport(R"({"sequence":-1})"));
  CHECK_FALSE(DecodeReport(R"({"sequence":1e999})"));
  CHECK_FALSE(DecodeReport(std::string(100'000, '[')));
  CHECK(DecodeReport(R"({"sequence":3})"));
}

// Guards against keeping the JSON quotes of a stored text. They became part of
// the last field of a daemon's object: its demand was dropped and its address
// was invalid.
TEST_CASE("own values are decoded to the text that was written") {
  CHECK(DecodeOwnValue(R"("1/2/3 m=1,2,3 dc 10.0.0.1:7500")") ==
        "1/2/3 m=1,2,3 dc 10.0.0.1:7500");
  CHECK(DecodeOwnValue(R"({"not":"ours"})").empty());
}

// Guards against names of the platform's wire format in other folders.
TEST_CASE("only the adapter contains names of the platform's wire format") {
  namespace fs = std::filesystem;
  const char* const names[] = {
      "Clementinelb-",  "traffic_split",    "staged_models", "fencing_token",
      "cold_remaining", "session_affinity", "path_prefix\"", "model_list",
      "close_mode",     "allow_stale"};
  for (const char* folder : {"config", "core", "ctl", "daemon", "net"}) {
    for (const auto& entry :
         fs::directory_iterator(fs::path(CLEMENTINE_SOURCE_DIR) / folder)) {
      std::ifstream file(entry.path());
      std::ostringstream text;
      text << file.rdbuf();
      for (const char* name : names) {
        CAPTURE(entry.path().string());
        CAPTURE(std::string(name));
        CHECK(text.str().find(name) == std::string::npos);
      }
    }
  }
}

}  // namespace clementine::platform

// Processes that are killed or frozen, and links that are cut, for each
// invariant of docs/design.md. Freezing a process keeps its connections open,
// as a paused machine does; a cut link drops bytes without an error.

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

#include "config/config.h"
#include "fmt/format.h"
#include "testing/process_site.h"

using clementine::testing::Answer;
using clementine::testing::ChatBody;
using clementine::testing::EventStream;
using clementine::testing::ExpectedText;
using clementine::testing::Fetch;
using clementine::testing::kCaller;
using clementine::testing::kChat;
using clementine::testing::kLongWait;
using clementine::testing::kOneGroup;
using clementine::testing::kOrders;
using clementine::testing::SetFaults;
using clementine::testing::Site;
using clementine::testing::WaitFor;
using clementine::testing::WithKey;
using Json = nlohmann::json;

namespace {

const char* const kOutcome = "X-Clementine-Outcome";

Answer Chat(Site* site, int daemon, const std::string& prompt) {
  return Fetch(site->address(daemon), "POST", kChat,
               ChatBody("chat", prompt, 2, false), kCaller);
}

Answer Order(Site* site, int daemon, const std::string& key) {
  return Fetch(site->address(daemon), "POST", kOrders, R"({"kit":1})",
               WithKey(key));
}

/// Sends requests through both daemons. @return How many were answered.
int ChatThroughBoth(Site* site, int count) {
  int answered = 0;
  for (int i = 0; i < count; ++i) {
    answered += Chat(site, i % 2, fmt::format("request {}", i)).status == 200;
  }
  return answered;
}

/// Hosts of the placement that are listed more than once.
std::vector<std::string> DoubleHosts(const Json& placement) {
  std::vector<std::string> hosts;
  for (const auto& [name, group] : placement.at("groups").items()) {
    for (const Json& host : group.at("hosts")) hosts.push_back(host);
  }
  std::sort(hosts.begin(), hosts.end());
  std::vector<std::string> twice;
  for (std::size_t i = 1; i < hosts.size(); ++i) {
    if (hosts[i] == hosts[i - 1]) twice.push_back(hosts[i]);
  }
  return twice;
}

/// Every version of the placement that was ever stored.
Json PlacementHistory(Site* site) {
  return site->Platform("GET", "/v1/history?key=placement/dc1")
      .Json()["versions"];
}

/// Index of the daemon that holds the placement lease; -1 when none does.
int Holder(Site* site) {
  Json lease = site->Object("lease/dc1");
  if (!lease.is_object()) return -1;
  return lease["holder"] == "d1" ? 0 : lease["holder"] == "d2" ? 1 : -1;
}

/// Kills a host, freezes the lease holder while it replaces the host, kills
/// another host, which the other daemon replaces, and resumes the first daemon.
void CheckPausedHolder(const std::vector<std::string>& engine_options) {
  Site site({.engine_options = engine_options,
             .file = kOneGroup,
             .engines = 4,
             .domain_hosts = 4,
             .open_groups = 2,
             .timeouts = "presence_timeout = 1s\nlease_duration = 1500ms\n"
                         "longest_order = 400ms\n"});
  REQUIRE(WaitFor(kLongWait, [&] { return Holder(&site) >= 0; }));
  int first = Holder(&site);
  int second = 1 - first;
  std::vector<std::string> hosts = site.GroupHosts("chat/0");
  std::size_t versions = PlacementHistory(&site).size();
  site.backend(hosts[1]).Signal(SIGKILL);
  REQUIRE(WaitFor(kLongWait,
                  [&] { return PlacementHistory(&site).size() > versions; }));
  site.daemon(first).Signal(SIGSTOP);
  REQUIRE(WaitFor(kLongWait, [&] { return Holder(&site) == second; }));
  REQUIRE(WaitFor(kLongWait,
                  [&] { return site.Metric(second, "open_groups") == 2; }));
  site.backend(hosts[0]).Signal(SIGKILL);
  bool replaced = WaitFor(kLongWait, [&] {
    auto now = site.GroupHosts("chat/0");
    return std::find(now.begin(), now.end(), hosts[0]) == now.end() &&
           site.Metric(second, "open_groups") == 2;
  });
  INFO(site.daemon(second).Log());
  CHECK(replaced);
  site.daemon(first).Signal(SIGCONT);
  CHECK(site.WaitForOpenGroups(2));
  CHECK(WaitFor(kLongWait, [&] {
    Json status = Fetch(site.address(first), "GET", "/status").Json();
    Json lease = site.Object("lease/dc1");
    return status.is_object() && status["lease"]["holder"] == lease["holder"];
  }));
  for (int i : {0, 1}) {
    CHECK(WaitFor(kLongWait,
                  [&] { return Chat(&site, i, "after").status == 200; }));
  }
  for (const Json& version : PlacementHistory(&site)) {
    Json placement = clementine::ParseJson(version["value"].get<std::string>());
    INFO(clementine::JsonText(placement));
    CHECK(DoubleHosts(placement).empty());
  }
  for (int i = 1; i <= 4; ++i) {
    std::string host = fmt::format("e{}", i);
    if (host == hosts[0] || host == hosts[1]) continue;
    std::uint64_t highest = 0;
    CHECK_FALSE(site.AcceptedOrders(host).empty());
    for (const Json& order : site.AcceptedOrders(host)) {
      auto fence = order["fence"].get<std::uint64_t>();
      INFO(host << " " << clementine::JsonText(order));
      CHECK(fence >= highest);
      highest = std::max(highest, fence);
    }
  }
}

}  // namespace

// Guards against a group that answers while one of its hosts is frozen (I1).
TEST_CASE("a frozen follower closes its group on both daemons") {
  Site site({.timeouts = "presence_timeout = 2s\n"});
  std::vector<std::string> hosts = site.GroupHosts("chat/0");
  site.backend(hosts[1]).Signal(SIGSTOP);
  REQUIRE(site.WaitForOpenGroups(2));
  std::size_t before = site.Runs(hosts[0]).size();
  CHECK(ChatThroughBoth(&site, 12) == 12);
  CHECK(site.Runs(hosts[0]).size() == before);
  site.backend(hosts[1]).Signal(SIGCONT);
  REQUIRE(site.WaitForOpenGroups(3));
}

// Guards against a group that answers before its lost host is replaced, and
// against runs under the epoch of the old host list (I1).
TEST_CASE("a killed follower closes its group until it is replaced") {
  Site site({.timeouts = "presence_timeout = 1s\n"});
  std::vector<std::string> hosts = site.GroupHosts("chat/0");
  Json placement = site.Object("placement/dc1");
  std::string domain = placement["groups"]["chat/0"]["fabric_domain"];
  int epoch = placement["groups"]["chat/0"]["epoch"];
  site.backend(hosts[1]).Signal(SIGKILL);
  REQUIRE(site.WaitForOpenGroups(2));
  std::size_t before = site.Runs(hosts[0]).size();
  CHECK(ChatThroughBoth(&site, 12) == 12);
  CHECK(site.Runs(hosts[0]).size() == before);
  site.StartEngine("e5", domain);
  bool replaced = site.WaitForOpenGroups(3);
  INFO(site.daemon(0).Log());
  REQUIRE(replaced);
  CHECK(ChatThroughBoth(&site, 12) == 12);
  Json runs = site.Runs(hosts[0]);
  for (std::size_t i = before; i < runs.size(); ++i) {
    CHECK(runs[i]["epoch"] > epoch);
  }
}

// Guards against a resumed lease holder that still places hosts or sends orders
// (I2), with engines that reject stale orders.
TEST_CASE("a paused lease holder changes nothing when it resumes") {
  CheckPausedHolder({});
}

// Guards against the same fault with engines that don't check the fence, where
// only the lease's remaining time keeps a late order from being sent.
TEST_CASE("a paused lease holder is harmless for engines without fences") {
  CheckPausedHolder({"--ignore-fence"});
}

// Guards against an order that is reported as not run but runs (I4), and
// against one that runs without a claim (I5).
TEST_CASE("an order during an outage of the platform isn't run") {
  Site site({.file = kOneGroup, .engines = 2, .open_groups = 2});
  site.SetPlatformFaults({{"down", true}});
  for (int i : {0, 1}) {
    Answer refused = Order(&site, i, "during-outage");
    CHECK(refused.status == 503);
    CHECK(refused.Header(kOutcome) == "not-run");
    CHECK_FALSE(refused.Header("Retry-After").empty());
  }
  CHECK(site.Runs("p1").empty());
  site.SetPlatformFaults({{"down", false}});
  CHECK(WaitFor(kLongWait, [&] {
    return Order(&site, 0, "during-outage").status == 200;
  }));
  CHECK(site.Runs("p1").size() == 1);
}

// Guards against a claim that was stored without an answer being taken for
// another daemon's, or being made a second time (I5).
TEST_CASE("an order whose claim loses its answer runs once") {
  Site site({.file = kOneGroup, .engines = 2, .open_groups = 2});
  site.SetPlatformFaults({{"lose_answers", 1}, {"lose_prefix", "claim/"}});
  Answer order = Order(&site, 0, "lost");
  INFO(order.body);
  CHECK(order.status == 200);
  CHECK(order.Header(kOutcome) == "complete");
  CHECK(site.Runs("p1").size() == 1);
  for (int i : {0, 1}) {
    CHECK(WaitFor(kLongWait,
                  [&] { return Order(&site, i, "lost").status == 200; }));
  }
  CHECK(site.Runs("p1").size() == 1);
}

// Guards against two daemons that both dispatch an order of one key (I5).
TEST_CASE("ten parallel resends through both daemons run once") {
  Site site({.plain_options = {"--run-ms", "300"},
             .file = kOneGroup,
             .engines = 2,
             .open_groups = 2});
  std::vector<Answer> answers(10);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back([&site, &answers, i] {
      answers[i] = Order(&site, static_cast<int>(i % 2), "same");
    });
  }
  for (std::thread& caller : callers) caller.join();
  CHECK(site.Runs("p1").size() == 1);
  int complete = 0;
  for (const Answer& answer : answers) {
    INFO(answer.status << " " << answer.body);
    // One of them runs, so none may be reported as not run.
    CHECK(answer.Header(kOutcome) != "not-run");
    complete += answer.Header(kOutcome) == "complete";
  }
  CHECK(complete >= 1);
  CHECK(WaitFor(kLongWait,
                [&] { return Order(&site, 1, "same").status == 200; }));
  CHECK(site.Runs("p1").size() == 1);
}

// Guards against a retry or a "not run" for an order whose answer was lost
// after it had run (I4, I5).
TEST_CASE("an order whose service breaks after it ran stays unknown") {
  Site site({.file = kOneGroup, .engines = 2, .open_groups = 2});
  SetFaults(site.backend("p1").address(), {{"break", 1}});
  CHECK(Order(&site, 0, "broken").Header(kOutcome) == "unknown");
  for (int i : {0, 1}) {
    CHECK(Order(&site, i, "broken").Header(kOutcome) == "unknown");
  }
  CHECK(site.Runs("p1").size() == 1);
}

// Guards against "not run" for an order that has run, when its service is
// closed at the time of the resend (I4).
TEST_CASE("a resend hears an order's outcome while its service is frozen") {
  Site site({.file = kOneGroup,
             .engines = 2,
             .open_groups = 2,
             .timeouts = "presence_timeout = 1s\n"});
  SetFaults(site.backend("p1").address(), {{"break", 1}});
  CHECK(Order(&site, 0, "broken").Header(kOutcome) == "unknown");
  site.backend("p1").Signal(SIGSTOP);
  REQUIRE(site.WaitForOpenGroups(1));
  for (int i : {0, 1}) {
    Answer resend = Order(&site, i, "broken");
    INFO(resend.status << " " << resend.body);
    CHECK(resend.Header(kOutcome) == "unknown");
    CHECK(Order(&site, i, "new").Header(kOutcome) == "not-run");
  }
  site.backend("p1").Signal(SIGCONT);
  REQUIRE(site.WaitForOpenGroups(2));
  CHECK(site.Runs("p1").size() == 1);
}

// Guards against new work for a host that only the platform's list reports as
// leaving (I6). Engines don't repeat their registration, so the row that the
// test writes stays. The bound of 3 s is the invariant's own.
TEST_CASE("a host that the list reports as leaving gets no new work") {
  Site site({.engine_options = {"--heartbeat-ms", "600000"},
             .platform_options = {"--host-ttl-ms", "600000"}});
  Json rows = site.Platform("GET", "/v1/hosts").Json();
  std::string leader = site.GroupHosts("chat/0")[0];
  CHECK(ChatThroughBoth(&site, 8) == 8);
  REQUIRE_FALSE(site.Runs(leader).empty());
  for (Json row : rows) {
    if (row["host"] != leader) continue;
    row["state"] = "leaving";
    CHECK(
        site.Platform("POST", "/v1/hosts", clementine::JsonText(row)).status ==
        200);
  }
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
  while (std::chrono::steady_clock::now() < end) {
    CHECK(ChatThroughBoth(&site, 2) == 2);
  }
  std::size_t before = site.Runs(leader).size();
  CHECK(ChatThroughBoth(&site, 20) == 20);
  CHECK(site.Runs(leader).size() == before);
}

// Guards against a stop that hangs or cuts a stream because the lease can't be
// released (I7).
TEST_CASE("a daemon stops gracefully while the platform is down") {
  Site site({.engine_options = {"--token-ms", "20"},
             .file = kOneGroup,
             .engines = 2,
             .open_groups = 2});
  REQUIRE(WaitFor(kLongWait, [&] { return Holder(&site) >= 0; }));
  int holder = Holder(&site);
  std::string body = ChatBody("chat", "until the end", 60, true);
  EventStream stream(site.address(holder), kChat, body, kCaller);
  REQUIRE(stream.WaitForTokens(5));
  site.SetPlatformFaults({{"down", true}});
  site.daemon(holder).Signal(SIGTERM);
  REQUIRE(stream.WaitForEnd());
  CHECK(stream.done());
  CHECK(stream.text() == ExpectedText(body));
  CHECK(site.daemon(holder).WaitForExit() == 0);
  CHECK(Chat(&site, 1 - holder, "other").status == 200);
}

// Guards against two applies that are both accepted, or mixed (I8). Each call
// to the platform is slow, so that both read the same head; --expect makes the
// verdict the same if they don't overlap.
TEST_CASE("one of two conflicting applies is accepted") {
  Site site({.file = kOneGroup, .engines = 2, .open_groups = 2});
  site.SetPlatformFaults({{"slow_ms", 100}});
  std::vector<std::pair<int, std::string>> results(2);
  std::vector<std::thread> operators;
  for (std::size_t i = 0; i < results.size(); ++i) {
    operators.emplace_back([&site, &results, i] {
      results[i] = site.Apply(
          fmt::format("{}[route /v1/by-{}]\nservice = orders\n", kOneGroup, i),
          {"--wait", "--expect", "1", "--author",
           fmt::format("operator{}", i)});
    });
  }
  for (std::thread& each : operators) each.join();
  INFO(results[0].second << results[1].second);
  std::size_t winner = results[0].first == 0 ? 0 : 1;
  CHECK(results[winner].first == 0);
  CHECK(results[1 - winner].first == 3);
  CHECK(results[1 - winner].second.find(fmt::format("operator{}", winner)) !=
        std::string::npos);
  for (int i : {0, 1}) {
    CHECK(site.Generation(i) == 2);
    auto get = [&](std::size_t route) {
      return Fetch(site.address(i), "GET", fmt::format("/v1/by-{}/x", route),
                   "", kCaller)
          .status;
    };
    CHECK(get(winner) == 200);
    CHECK(get(1 - winner) == 404);
  }
}

// Guards against a daemon that can't start without the platform, or starts with
// an empty configuration although its neighbour has one (I8).
TEST_CASE("a daemon that starts during an outage asks its neighbour") {
  Site site({.file = kOneGroup, .engines = 2, .open_groups = 2});
  site.SetPlatformFaults({{"down", true}});
  site.RestartDaemon(1);
  bool serves = WaitFor(
      kLongWait, [&] { return Chat(&site, 1, "restarted").status == 200; });
  INFO(site.daemon(1).Log());
  CHECK(serves);
  CHECK(site.Generation(1) == 1);
}

// Guards against a daemon behind a cut link that keeps an old configuration,
// and against a generation that falls when the link is back (I8). The bound of
// 9 s is the invariant's own.
TEST_CASE("a daemon without the platform learns changes from its neighbour") {
  Site site(
      {.file = kOneGroup, .engines = 2, .open_groups = 2, .linked_daemon = 1});
  std::atomic<bool> stop{false};
  std::vector<int> seen;
  std::thread sampler([&] {
    while (!stop) {
      int generation = site.Generation(1);
      if (seen.empty() || seen.back() != generation) seen.push_back(generation);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
  site.platform_link().Cut(true, true);
  std::string text = kOneGroup;
  for (int generation : {2, 3}) {
    text += fmt::format("[route /v1/r{}]\nservice = orders\n", generation);
    auto applied = site.Apply(text, {});
    INFO(applied.second);
    CHECK(applied.first == 0);
    CHECK(WaitFor(std::chrono::seconds(9),
                  [&] { return site.Generation(1) == generation; }));
  }
  site.platform_link().Cut(false, false);
  auto applied = site.Apply(text + "[route /v1/r4]\nservice = orders\n");
  INFO(applied.second);
  CHECK(applied.first == 0);
  bool last = WaitFor(kLongWait, [&] { return site.Generation(1) == 4; });
  stop = true;
  sampler.join();
  CHECK(last);
  CHECK(std::is_sorted(seen.begin(), seen.end()));
}

// Guards against requests that fail, or groups that stay closed, because kept
// connections to the engines transfer nothing anymore while new ones work.
TEST_CASE("requests succeed after present connections fall silent") {
  Site site({.timeouts = "first_token_timeout = 1s\n"});
  CHECK(ChatThroughBoth(&site, 8) == 8);
  double connects = site.Metric(0, "backend_connects_total");
  site.SetEngineFaults({{"silence", true}});
  CHECK(ChatThroughBoth(&site, 8) == 8);
  CHECK(site.Metric(0, "backend_connects_total") > connects);
  CHECK(site.WaitForOpenGroups(3));
}

// Compares a configuration assembled from its parts with one decoded as a
// whole.

#include <doctest/doctest.h>

#include <random>

#include "config/config.h"
#include "core/route_table.h"
#include "daemon/change_history.h"
#include "daemon/change_relay.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "platform/platform.h"

namespace clementine {
namespace {

using Json = nlohmann::json;
using platform::ConfigurationParts;
using platform::StoredObject;

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

Json Route(int number, int timeout) {
  return {{"name", fmt::format("r-{:05}", number)},
          {"hostname", fmt::format("h{}.example", number % 7)},
          {"path_prefix", fmt::format("/p{}/", number)},
          {"route_type", "streaming"},
          {"timeout_ms", timeout},
          {"service", "engine"}};
}

Json Stored(int routes) {
  Json list = Json::array();
  for (int i = 0; i < routes; ++i) list.push_back(Route(i, 6'000));
  return {{"version", 1},
          {"routes", list},
          {"services", {{{"name", "engine"}, {"max_connections", 9}}}},
          {"tenants", {{{"name", "t"}, {"api_keys", {"k1", "k2"}}}}}};
}

platform::ObjectBatch Batch(const Json& stored, std::uint64_t revision) {
  platform::ObjectBatch batch;
  batch.status = platform::ObjectBatch::Status::kOk;
  batch.revision = revision;
  batch.objects = platform::SplitConfiguration(stored, revision);
  return batch;
}

/// Text by which these tests compare configurations.
std::string Text(const FleetConfiguration& configuration) {
  std::map<std::string, std::string> routes;
  for (const RouteRule& route : configuration.routes) {
    routes[route.name] =
        fmt::format("{}{} {} {}", route.host, route.path_prefix,
                    route.timeout.count(), route.shares.front().service);
  }
  std::string text = std::to_string(configuration.version);
  for (const auto& [name, rest] : routes) {
    text += fmt::format("|{} {}", name, rest);
  }
  for (const auto& [name, service] : configuration.services) {
    text += fmt::format("|{} {}", name, service.max_connections);
  }
  for (const FleetOrganisation& organisation : configuration.organisations) {
    text += fmt::format("|{} {}", organisation.name,
                        fmt::join(organisation.keys, ","));
  }
  return text;
}

void ChangeAtRandom(std::mt19937_64* random, int* next, Json* stored) {
  Json& routes = (*stored)["routes"];
  std::size_t at = (*random)() % routes.size();
  switch ((*random)() % 4) {
    case 0:
      routes.push_back(Route((*next)++, 5'000));
      break;
    case 1:
      if (routes.size() > 1) routes.erase(at);
      break;
    case 2:
      routes[at]["timeout_ms"] = 1'000 + (*random)() % 5'000;
      break;
    default:
      (*stored)["tenants"][0]["api_keys"] = {fmt::format("k{}", (*random)())};
  }
}

}  // namespace

// Guards against a part that is lost, kept after its removal or combined with
// another version, regardless of which revisions a follower skips.
TEST_CASE("a configuration assembled from parts equals the stored one") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    Json stored = Stored(20);
    int next = 20;
    ChangeHistory source;
    source.Replace(Batch(stored, 1), kNow);
    ConfigurationParts follower;
    ChangeDelta first = source.DeltaAfter(0);
    follower.Take(first.whole, first.objects);
    std::uint64_t known = 1;
    for (std::uint64_t revision = 2; revision < 40; ++revision) {
      stored["version"] = revision;
      ChangeAtRandom(&random, &next, &stored);
      source.Replace(Batch(stored, revision), kNow);
      if (random() % 3 == 0) continue;
      ChangeDelta delta = source.DeltaAfter(known);
      known = delta.revision;
      follower.Take(delta.whole, delta.objects);
      auto assembled = follower.Assemble();
      REQUIRE(assembled);
      CHECK(Text(*assembled) ==
            Text(platform::DecodeConfiguration(JsonText(stored))));
    }
  }
}

// Guards against parts of two versions that are combined into one
// configuration.
TEST_CASE("a configuration with parts of different versions isn't used") {
  Json stored = Stored(3);
  ConfigurationParts parts;
  parts.Take(true, Batch(stored, 1).objects);
  REQUIRE(parts.Assemble());
  stored["version"] = 2;
  stored["routes"][1]["timeout_ms"] = 7;
  std::vector<StoredObject> changed = Batch(stored, 2).objects;
  parts.Take(false, {changed.back()});  // Only the head.
  CHECK_FALSE(parts.Assemble());
  parts.Take(false, changed);
  REQUIRE(parts.Assemble());
  CHECK(parts.Assemble()->version == 2);
  parts.Take(false, {{changed[0].name, 3, "", true}});
  CHECK_FALSE(parts.Assemble());
}

// Guards against a configuration that is used without a part that cannot be
// decoded, and against one that is lost because it cannot be split into parts.
TEST_CASE("a configuration with an invalid part is rejected completely") {
  Json stored = Stored(3);
  stored["routes"][1]["route_type"] = "unheard-of";
  ConfigurationParts parts;
  parts.Take(true, Batch(stored, 1).objects);
  CHECK_THROWS_WITH_AS(parts.Assemble(),
                       doctest::Contains("unknown kind of route"),
                       std::runtime_error);
  for (const Json& odd :
       {Json::array(), Json{{"version", 1}}, Json{{"routes", 5}},
        Json{{"version", 1}, {"services", 1}, {"routes", {{{"n", 1}}}}}}) {
    ConfigurationParts whole;
    whole.Take(true, Batch(odd, 1).objects);
    CHECK_THROWS_AS(whole.Assemble(), std::runtime_error);
  }
  // Two routes with the same name are both kept, as when decoding the whole.
  Json twice = Stored(2);
  twice["routes"][1]["name"] = twice["routes"][0]["name"];
  ConfigurationParts both;
  both.Take(true, Batch(twice, 1).objects);
  REQUIRE(both.Assemble());
  CHECK(both.Assemble()->routes.size() == 2);
}

// Guards against changes that take effect late because the update for one route
// contains all routes. With 1,970 routes, such an update took 24 KB and 14 ms
// of processor time.
TEST_CASE("an update for a changed route doesn't contain other routes") {
  std::size_t small = 0;
  for (int routes : {130, 1'970}) {
    Json stored = Stored(routes);
    ChangeHistory source;
    source.Replace(Batch(stored, 1), kNow);
    stored["version"] = 2;
    stored["routes"][routes / 2]["timeout_ms"] = 7;
    source.Replace(Batch(stored, 2), kNow);
    ChangeUpdate update;
    update.kind = ChangeKind::kConfiguration;
    update.delta = source.DeltaAfter(1);
    CHECK_FALSE(update.delta.whole);
    CHECK(update.delta.objects.size() == 2);  // The route and the head.
    std::size_t bytes = EncodeChangeBody({update}).size();
    if (small == 0) small = bytes;
    CHECK(bytes <= small + 16);
    CHECK(bytes < 1'024);
  }
}

}  // namespace clementine

// Processor time and bytes that one change of one route costs, by the step that
// pays for it, as the configuration grows. Single thread; run it on an idle
// core, and divide by a daemon's share of a core.

#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>

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

constexpr int kRounds = 40;

/// A configuration as operators store it.
Json StoredConfiguration(int routes, int version) {
  Json list = Json::array();
  for (int i = 0; i < routes; ++i) {
    bool changed = i == routes / 2;
    list.push_back({{"name", fmt::format("r-{:07x}", i * 2'654'435)},
                    {"hostname", fmt::format("ficu{}.example", i % 7)},
                    {"path_prefix", fmt::format("/pufi{}/", i)},
                    {"route_type", "streaming"},
                    {"timeout_ms", changed ? 6'000 + version : 6'000},
                    {"target_latency_ms", 250},
                    {"priority", 1},
                    {"service", "huvo11a"},
                    {"max_attempts", 2},
                    {"public", false},
                    {"session_affinity", true},
                    {"stream_resume", true},
                    {"target_gap_ms", 200}});
  }
  Json tenants = Json::array();
  for (int i = 0; i < 40; ++i) {
    tenants.push_back({{"name", fmt::format("tenant{}", i)},
                       {"api_keys", {fmt::format("key{:017}", i)}}});
  }
  return {{"version", version},
          {"routes", list},
          {"services", {{{"name", "huvo11a"}}}},
          {"tenants", tenants}};
}

double ProcessorMs(const std::function<void()>& work) {
  auto now = [] {
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 +
           static_cast<double>(time.tv_nsec) / 1e6;
  };
  double start = now();
  for (int i = 0; i < kRounds; ++i) work();
  return (now() - start) / kRounds;
}

void Measure(int routes) {
  std::string answer =
      JsonText({{"at", 8},
                {"events",
                 {{{"deleted", false},
                   {"object",
                    {{"metadata", {{"name", "main"}, {"revision", 8}}},
                     {"spec", StoredConfiguration(routes, 8)}}}}}}});
  std::string content = JsonText(StoredConfiguration(routes, 8));
  double read = ProcessorMs([&] {
    Json json = ParseJson(answer);
    std::string spec =
        JsonText(json.at("events").at(0).at("object").at("spec"));
    if (spec != content) std::abort();
  });
  auto batch = [routes](int version) {
    platform::ObjectBatch parts;
    parts.revision = static_cast<std::uint64_t>(version);
    parts.objects = platform::SplitConfiguration(
        StoredConfiguration(routes, version), parts.revision);
    return parts;
  };
  platform::ObjectBatch old_parts = batch(7);
  platform::ObjectBatch new_parts = batch(8);
  ChangeHistory source;
  source.Replace(old_parts, TimePoint());
  source.Replace(new_parts, TimePoint());
  ChangeUpdate update;
  update.kind = ChangeKind::kConfiguration;
  std::string body;
  double encode = ProcessorMs([&] {
    update.delta = source.DeltaAfter(7);
    body = EncodeChangeBody({update});
  });
  double decode = ProcessorMs([&] {
    ChangeFrameReader reader;
    reader.Append(EncodeChangeFrame(milliseconds(1), body));
    if (!reader.Next()) std::abort();
  });
  platform::ConfigurationParts follower;
  follower.Take(true, old_parts.objects);
  FleetConfiguration configuration;
  double parse = ProcessorMs([&] {
    follower.Take(false, update.delta.objects);
    configuration = *follower.Assemble();
  });
  double table = ProcessorMs([&] { RouteTable built(configuration); });
  double path =
      ProcessorMs([&] { (void)ToRequestPathConfiguration(configuration); });
  std::printf("%7d %9zu %8zu %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f\n", routes,
              content.size(), body.size(), read, encode, decode, parse, table,
              path);
}

}  // namespace
}  // namespace clementine

int main() {
  std::printf(
      " routes   content    frame  read_ms  encode   decode    parse    table "
      "    path\n");
  for (int routes : {130, 500, 1'970, 4'000}) clementine::Measure(routes);
  return 0;
}

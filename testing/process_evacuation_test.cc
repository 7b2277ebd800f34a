// Evacuation of a data centre with several daemons and the platform's stand-in.

#include <doctest/doctest.h>

#include "testing/process_fleet.h"

namespace clementine {
namespace {

using testing::Answer;
using testing::FleetOptions;
using testing::FleetSite;

constexpr char kLeft[] = "evacuation_left{data_centre=\"dc1\"}";

}  // namespace

// Guards against requests to an evacuated data centre from a daemon that knew
// it all along, from one that starts meanwhile, and while the store is down.
// All servers are there, so callers have to get a refusal that says "not run".
TEST_CASE(
    "no request reaches an evacuated data centre until it is taken back") {
  FleetOptions options;
  options.daemons = 2;
  options.servers = 3;
  options.evacuation_notice = std::chrono::milliseconds(4'000);
  FleetSite site(options);
  const std::string body = R"({"work_ms":1})";
  CHECK(site.Send(0, body).status == 200);
  CHECK(site.Metric(0, kLeft) == -1);
  auto check_refused = [&](int daemon) {
    int before = site.Runs(body);
    Answer answer = site.Send(daemon, body);
    CHECK(answer.status == 503);
    CHECK(answer.Header("Retry-After") != "");
    CHECK(site.Runs(body) == before);
  };
  site.SetEvacuated(true);
  for (int daemon = 0; daemon < 2; ++daemon) {
    REQUIRE(site.WaitForLog(daemon, {"event=evacuation_left", "dc1"}));
    CHECK(site.Metric(daemon, kLeft) == 1);
    check_refused(daemon);
  }
  site.Restart(1);
  check_refused(1);
  site.SetStore("down");
  for (int daemon = 0; daemon < 2; ++daemon) check_refused(daemon);
  site.SetStore("up");
  site.SetEvacuated(false);
  for (int daemon = 0; daemon < 2; ++daemon) {
    REQUIRE(site.WaitForLog(daemon, {"event=evacuation_ended", "dc1"}));
    CHECK(site.Metric(daemon, kLeft) == 0);
    CHECK(site.Send(daemon, body).status == 200);
  }
}

}  // namespace clementine

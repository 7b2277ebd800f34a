// Requests that end the servers that run them, before several daemons on the
// users' platform.

#include <doctest/doctest.h>

#include <thread>

#include "testing/process_fleet.h"

namespace clementine {
namespace {

using testing::FleetOptions;
using testing::FleetSite;
using testing::WaitFor;

constexpr char kCulprit[] = R"({"crash":true})";
/// Within which a crash is known to all daemons (BUDGET, contact_ms).
constexpr std::chrono::seconds kNotice{3};

/// Sends the culprit to the first daemons, once each.
void EndServers(FleetSite* site, int count) {
  for (int i = 0; i < count; ++i) site->Send(i, kCulprit);
  REQUIRE(site->Ended() == count);
  REQUIRE(site->Runs(kCulprit) == count);
}

}  // namespace

// Guards against a request that ends three servers at each daemon, since none
// of them knows what it did at the others (BUDGET).
TEST_CASE("a request that ended three servers runs at no daemon any more") {
  FleetSite site;
  EndServers(&site, 3);
  std::this_thread::sleep_for(kNotice);
  for (int round = 0; round < 2; ++round) {
    for (int daemon = 0; daemon < 4; ++daemon) {
      CHECK(site.Send(daemon, kCulprit).status == 503);
    }
  }
  CHECK(site.Runs(kCulprit) == 3);
  // Another request of the same caller isn't suspected.
  CHECK(site.Send(3, R"({"work_ms":1})").status == 200);
}

// Guards against crashes that are forgotten with the process that saw them, and
// against a daemon that is added and knows none (BUDGET).
TEST_CASE("crashes stay known to daemons that start after them") {
  FleetSite site;
  EndServers(&site, 3);
  std::this_thread::sleep_for(kNotice);
  for (int daemon = 0; daemon < 4; ++daemon) site.Restart(daemon);
  int added = site.Add();
  std::this_thread::sleep_for(kNotice);
  for (int daemon = 0; daemon <= added; ++daemon) {
    CHECK(site.Send(daemon, kCulprit).status == 503);
  }
  CHECK(site.Runs(kCulprit) == 3);
}

}  // namespace clementine

// Restore drills: the store comes back from a copy that is some seconds old.

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include "testing/process_fleet.h"

namespace clementine {
namespace {

using nlohmann::json;
using testing::FleetSite;
using testing::kLongWait;
using testing::WaitFor;

int LeaseHolders(FleetSite* site, int daemons) {
  int holders = 0;
  for (int i = 0; i < daemons; ++i) {
    holders += site->Metric(i, "holds_lease") > 0 ? 1 : 0;
  }
  return holders;
}

bool AllHave(FleetSite* site, int daemons, const char* metric, double value) {
  for (int i = 0; i < daemons; ++i) {
    if (site->Metric(i, metric) != value) return false;
  }
  return true;
}

}  // namespace

// Guards against daemons that ignore the lower revisions of a restored store, a
// configuration that goes back, two holders of the lease, and requests refused
// because the copy lacks servers.
TEST_CASE("daemons follow a store that was restored, also twice") {
  testing::FleetOptions options;
  options.daemons = 3;
  options.era = 1;
  FleetSite site(options);
  REQUIRE(WaitFor(kLongWait, [&] { return LeaseHolders(&site, 3) == 1; }));
  site.Drill({{"do", "copy"}});
  site.Drill({{"do", "configure"}, {"version", 2}});
  REQUIRE(
      WaitFor(kLongWait, [&] { return AllHave(&site, 3, "generation", 2); }));
  // Renewals of the lease and of the daemons' objects raise the revision.
  std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
  for (int era : {2, 3}) {
    CAPTURE(era);
    site.Drill({{"do", "restore"}});
    for (int request = 0; request < 12; ++request) {
      CHECK(site.Send(request % 3, "{}").status == 200);
      for (int i = 0; i < 3; ++i) CHECK(site.Metric(i, "generation") >= 2);
      CHECK(LeaseHolders(&site, 3) <= 1);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(WaitFor(kLongWait,
                  [&] { return AllHave(&site, 3, "store_era", era); }));
  }
  site.Drill({{"do", "configure"}, {"version", 3}});
  CHECK(WaitFor(kLongWait, [&] { return AllHave(&site, 3, "generation", 3); }));
  CHECK(WaitFor(kLongWait, [&] { return LeaseHolders(&site, 3) == 1; }));
  CHECK(site.WaitForLog(0, {"event=store_restored", "era=3"}));
}

}  // namespace clementine

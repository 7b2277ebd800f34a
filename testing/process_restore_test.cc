// Restore drills: the store comes back from a copy that is some seconds old.

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include "testing/process_fleet.h"
#include "testing/process_site.h"

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

void Drill(testing::Site* site, const char* what) {
  REQUIRE(site->Platform("POST", "/drill",
                         std::string(R"({"do":")") + what + R"("})")
              .status == 200);
}

}  // namespace

// Guards against an order that runs twice because the restored store lacks its
// claim: repeated at the daemon that ran it, and at one that doesn't know it.
TEST_CASE("an order runs once although its claim was lost in a restore") {
  using testing::Fetch;
  using testing::kOrders;
  using testing::WithKey;
  testing::Site site({.platform_options = {"--era", "1"}});
  // A daemon that has just started grants no claim, because it doesn't know
  // when the store was restored.
  REQUIRE(WaitFor(2 * kLongWait, [&] {
    return Fetch(site.address(1), "POST", kOrders, "{}", WithKey("first"))
               .status == 200;
  }));
  REQUIRE(WaitFor(2 * kLongWait, [&] {
    return Fetch(site.address(0), "POST", kOrders, "{}", WithKey("second"))
               .status == 200;
  }));
  std::size_t before = site.Runs("p1").size();
  Drill(&site, "copy");
  testing::Answer order =
      Fetch(site.address(0), "POST", kOrders, "{}", WithKey("lost"));
  REQUIRE(order.status == 200);
  CHECK(site.Runs("p1").size() == before + 1);
  Drill(&site, "restore");
  // This daemon hasn't seen the claim. Its answer is that of the first run, or
  // that the outcome is unknown.
  testing::Answer other =
      Fetch(site.address(1), "POST", kOrders, "{}", WithKey("lost"));
  bool replayed = other.status == 200 && other.body == order.body;
  CHECK((replayed || other.Header("X-Clementine-Outcome") == "unknown"));
  testing::Answer same =
      Fetch(site.address(0), "POST", kOrders, "{}", WithKey("lost"));
  CHECK(same.status == 200);
  CHECK(same.body == order.body);
  CHECK(WaitFor(kLongWait, [&] {
    return Fetch(site.address(1), "POST", kOrders, "{}", WithKey("lost"))
               .body == order.body;
  }));
  CHECK(site.Runs("p1").size() == before + 1);
  CHECK(site.Metric(0, "store_era") == 2);
  CHECK(site.Metric(1, "store_era") == 2);
  // Other orders run again after the time for which claims are unverified.
  CHECK(WaitFor(2 * kLongWait, [&] {
    return Fetch(site.address(1), "POST", kOrders, "{}", WithKey("new"))
               .status == 200;
  }));
}

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

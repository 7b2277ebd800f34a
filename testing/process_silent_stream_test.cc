// Streams that fall silent for a moment, before a daemon and servers as
// separate processes.

#include <doctest/doctest.h>

#include <string>

#include "fmt/format.h"
#include "testing/process_fleet.h"

namespace clementine {
namespace {

using testing::Answer;
using testing::FleetSite;

int CountEvents(const std::string& body) {
  int count = 0;
  for (std::size_t at = body.find("data: x"); at != std::string::npos;
       at = body.find("data: x", at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

// Guards against a stream that is cut off because it fell silent for a moment
// and the server that should have continued it rejected it (LOST).
TEST_CASE("a silent stream goes on unless another server continues it") {
  for (const std::string later : {"rejected", "silent", "whole"}) {
    CAPTURE(later);
    FleetSite site({.daemons = 1, .servers = 4});
    for (int pause_ms : {900, 1'500}) {
      CAPTURE(pause_ms);
      std::string body =
          fmt::format(R"({{"pause_ms": {}, "later": "{}"}})", pause_ms, later);
      Answer answer = site.Send(0, body, "/resume/x");
      CHECK(answer.status == 200);
      CHECK(CountEvents(answer.body) == 20);
      CHECK(site.Runs(body) == 2);
    }
  }
}

}  // namespace clementine

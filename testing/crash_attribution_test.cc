#include "core/crash_attribution.h"

#include <doctest/doctest.h>

namespace clementine {
namespace {

using Keys = std::vector<std::string>;

std::vector<Keys> Attribute(std::vector<CrashEvidence> evidence) {
  std::vector<Keys> causes;
  for (const CrashCause& cause : AttributeCrashes(std::move(evidence))) {
    causes.push_back(cause.keys);
  }
  return causes;
}

}  // namespace

// Guards against blaming a sound part that was in flight at some of the crashes
// of a deadly one (LOST).
TEST_CASE("crashes of one cause are no evidence against others") {
  CHECK(Attribute({{"deadly", {"1", "2", "3", "4"}, 3},
                   {"sound", {"4", "2", "1"}, 3}}) ==
        std::vector<Keys>{{"deadly"}});
  // With three crashes of its own, it is a second cause.
  CHECK(Attribute({{"second", {"2", "5", "6", "7"}, 3},
                   {"deadly", {"1", "2", "3", "4", "8"}, 3}}) ==
        std::vector<Keys>{{"deadly"}, {"second"}});
}

// Guards against blaming the first part of a prompt, which sound requests
// share, for the part that always came with it (LOST).
TEST_CASE("keys with the same crashes are blamed only together") {
  CHECK(Attribute(
            {{"first", {"1", "2", "3"}, 3}, {"deadly", {"3", "2", "1"}, 3}}) ==
        std::vector<Keys>{{"deadly", "first"}});
  // A crash under another first part tells them apart.
  CHECK(Attribute({{"first", {"1", "2", "3"}, 3},
                   {"deadly", {"3", "2", "1", "4"}, 3}}) ==
        std::vector<Keys>{{"deadly"}});
}

// Guards against blame without evidence, and against a result that depends on
// the order in which daemons learned of crashes.
TEST_CASE("causes need their limit of crashes in any order") {
  CHECK(Attribute({}).empty());
  CHECK(Attribute({{"a", {}, 0}, {"b", {"1", "2"}, 3}}).empty());
  CHECK(Attribute({{"request", {"1", "2"}, 2}, {"part", {"1", "2"}, 3}}) ==
        std::vector<Keys>{{"part", "request"}});
  std::vector<Keys> parts_first = {{"part"}};
  CHECK(Attribute({{"a-request", {"1", "2", "3"}, 3, false},
                   {"part", {"1", "2", "4"}, 3, true}}) == parts_first);
  CHECK(Attribute({{"part", {"1", "2", "4"}, 3, true},
                   {"a-request", {"1", "2", "3"}, 3, false}}) == parts_first);
}

}  // namespace clementine

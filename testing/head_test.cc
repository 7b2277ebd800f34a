#include <doctest/doctest.h>

#include <stdexcept>

#include "config/config.h"

using clementine::ConfigHead;
using clementine::SectionChange;

// Guards against a head that changes meaning on its way through the platform.
TEST_CASE("head survives encoding") {
  ConfigHead head{7, "apply-1", "nikos", {{"model chat", "aa"}}};
  ConfigHead decoded = clementine::DecodeHead(clementine::EncodeHead(head));
  CHECK(decoded.generation == 7);
  CHECK(decoded.apply_id == "apply-1");
  CHECK(decoded.author == "nikos");
  CHECK(decoded.sections == head.sections);
}

// Guards against a damaged object being taken for an empty configuration.
TEST_CASE("damaged head is an error") {
  CHECK_THROWS_AS(clementine::DecodeHead("{\"generation\":"),
                  std::runtime_error);
  CHECK_THROWS_AS(clementine::DecodeHead("{\"generation\":-1}"),
                  std::runtime_error);
  CHECK_THROWS_AS(clementine::DecodeHead("[]"), std::runtime_error);
}

// Guards against a losing operator being told of the wrong differences.
TEST_CASE("diff names each section that differs") {
  ConfigHead from{1, "a", "", {{"x", "1"}, {"y", "1"}}};
  ConfigHead to{2, "b", "", {{"y", "2"}, {"z", "1"}}};
  auto changes = clementine::DiffHeads(from, to);
  REQUIRE(changes.size() == 3);
  CHECK(changes[0].kind == SectionChange::Kind::kRemoved);
  CHECK(changes[1].kind == SectionChange::Kind::kChanged);
  CHECK(changes[2].kind == SectionChange::Kind::kAdded);
  CHECK(clementine::HeadDigest(from) != clementine::HeadDigest(to));
}

#include <doctest/doctest.h>

#include <stdexcept>

#include "config/config.h"

using clementine::ConfigHead;
using clementine::SectionChange;

// Guards against loss or change of data when a head is stored and read again.
TEST_CASE("a decoded head equals the encoded one") {
  ConfigHead head{7, "apply-1", "nikos", {{"model chat", "aa"}}};
  ConfigHead decoded = clementine::DecodeHead(clementine::EncodeHead(head));
  CHECK(decoded.generation == 7);
  CHECK(decoded.apply_id == "apply-1");
  CHECK(decoded.author == "nikos");
  CHECK(decoded.sections == head.sections);
}

// Guards against a damaged object that is read as an empty configuration.
TEST_CASE("decoding a damaged head is an error") {
  CHECK_THROWS_AS(clementine::DecodeHead("{\"generation\":"),
                  std::runtime_error);
  CHECK_THROWS_AS(clementine::DecodeHead("{\"generation\":-1}"),
                  std::runtime_error);
  CHECK_THROWS_AS(clementine::DecodeHead("[]"), std::runtime_error);
}

// Guards against wrong differences in the report to an operator whose apply
// lost against a concurrent one.
TEST_CASE("the difference of two heads lists each section that differs") {
  ConfigHead from{1, "a", "", {{"x", "1"}, {"y", "1"}}};
  ConfigHead to{2, "b", "", {{"y", "2"}, {"z", "1"}}};
  auto changes = clementine::DiffHeads(from, to);
  REQUIRE(changes.size() == 3);
  CHECK(changes[0].kind == SectionChange::Kind::kRemoved);
  CHECK(changes[1].kind == SectionChange::Kind::kChanged);
  CHECK(changes[2].kind == SectionChange::Kind::kAdded);
  CHECK(clementine::HeadDigest(from) != clementine::HeadDigest(to));
}

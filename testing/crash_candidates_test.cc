#include "core/crash_candidates.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

#include "core/quarantine.h"
#include "core/recent_parts.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr milliseconds kDuration{600'000};
constexpr TimePoint kStart = TimePoint() + std::chrono::hours(1);

std::vector<std::uint64_t> RandomParts(std::uint64_t seed, std::size_t count) {
  std::mt19937_64 random(seed);
  std::vector<std::uint64_t> parts(count);
  std::generate(parts.begin(), parts.end(), std::ref(random));
  std::sort(parts.begin(), parts.end());
  return parts;
}

}  // namespace

// Guards against parts that a filter loses, and against sizes that follow the
// number of parts without a limit.
TEST_CASE("a part filter contains its parts and few others") {
  for (std::size_t count : {1U, 17U, 1'600U, 8'000U, 40'000U}) {
    CAPTURE(count);
    std::vector<std::uint64_t> parts = RandomParts(1, count);
    std::string text = PartFilter(parts).Encode();
    CHECK(text.size() <= PartFilter::kMaxBytes / 3 * 4 + 4);
    CHECK(text.find_first_of("/!\n ") == std::string::npos);
    std::optional<PartFilter> filter = PartFilter::Decode(text);
    REQUIRE(filter);
    CHECK(*filter == PartFilter(parts));
    CHECK(std::all_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
      return filter->MayContain(part);
    }));
    std::vector<std::uint64_t> others = RandomParts(2, 10'000);
    auto wrong = std::count_if(
        others.begin(), others.end(),
        [&](std::uint64_t part) { return filter->MayContain(part); });
    if (count <= 4'096) CHECK(wrong < 50);
  }
}

// Guards against text of peers that is taken for a filter.
TEST_CASE("malformed part filters are rejected") {
  const std::string good = PartFilter(RandomParts(1, 100)).Encode();
  CHECK(PartFilter::Decode(good));
  CHECK_FALSE(PartFilter::Decode(""));
  CHECK_FALSE(PartFilter::Decode("AAAA"));
  CHECK_FALSE(PartFilter::Decode(good.substr(1)));
  CHECK_FALSE(PartFilter::Decode(good + "AAAA"));
  CHECK_FALSE(PartFilter::Decode("*" + good.substr(1)));
  CHECK_FALSE(PartFilter::Decode(std::string(1'000'000, 'A')));
}

// Guards against a common part that is not found, and against marks for parts
// that were in flight at one crash only.
TEST_CASE("parts that several crashes have in common are marked first") {
  CrashCandidates one(kDuration);
  CrashCandidates two(kDuration);
  std::vector<std::uint64_t> at_one = RandomParts(1, 1'600);
  std::vector<std::uint64_t> at_two = RandomParts(2, 1'600);
  at_one.push_back(42);
  at_two.push_back(42);
  one.AddParts("g@1#1", at_one, kStart);
  CHECK(one.SuspectMarks().empty());
  CHECK_FALSE(two.AddReported("g@1#1", PartFilter(at_one), kStart));
  two.AddParts("h@1#1", at_two, kStart);
  auto marks = two.SuspectMarks();
  CHECK(marks.size() <= CrashCandidates::kMaxMarkedParts);
  CHECK(std::any_of(marks.begin(), marks.end(), [](const auto& mark) {
    return mark.part == 42 && mark.crash == "h@1#1";
  }));
  CHECK(one.AddReported("h@1#1", PartFilter(at_two), kStart));
  CHECK_FALSE(one.AddReported("h@1#1", PartFilter(at_two), kStart));
  // The part that was at three crashes comes before those at two.
  one.AddReported("i@1#1", std::uint64_t{42}, kStart);
  REQUIRE_FALSE(one.SuspectMarks().empty());
  CHECK(one.SuspectMarks().front().part == 42);
  one.Remove(42);
  auto left = one.SuspectMarks();
  CHECK(std::none_of(left.begin(), left.end(),
                     [](const auto& mark) { return mark.part == 42; }));
}

// Guards against memory that grows with crashes and parts.
TEST_CASE("the tables of candidates are bounded and expire") {
  CrashCandidates candidates(kDuration);
  for (std::uint64_t i = 0; i < 200; ++i) {
    candidates.AddParts(fmt::format("own{}@1#1", i), RandomParts(i, 8'000),
                        kStart + milliseconds(i));
    candidates.AddReported(fmt::format("peer{}@1#1", i),
                           PartFilter(RandomParts(i + 1'000, 8'000)),
                           kStart + milliseconds(i));
    CHECK(candidates.size() <= 32'768);
    CHECK(candidates.filter_bytes() <= 1'048'576);
  }
  CHECK(candidates.size() >= 8'000);
  candidates.Expire(kStart + kDuration + milliseconds(200));
  CHECK(candidates.size() == 0);
  CHECK(candidates.filter_bytes() == 0);
}

// Guards against a sound part that loses its acquittal because prompts with
// many other parts were acquitted after it.
TEST_CASE("parts that are acquitted often stay acquitted") {
  RecentParts recent(milliseconds(10'000));
  TimePoint now = kStart;
  for (std::uint64_t i = 0; i < 200; ++i) {
    now += milliseconds(10);
    for (std::uint64_t part : RandomParts(i, 1'600)) recent.Add(part, now);
    for (std::uint64_t part : RandomParts(1'000, 100)) recent.Add(part, now);
  }
  for (std::uint64_t part : RandomParts(1'000, 100)) {
    CHECK(recent.Contains(part, now + milliseconds(10'000)));
    CHECK_FALSE(recent.Contains(part, now + milliseconds(10'001)));
  }
}

// Guards against a part behind others that crashes can't be blamed on (BUDGET),
// wherever it stands in a prompt of 1,600 parts and whoever sees the crashes.
TEST_CASE("a part of a long prompt is blamed after three crashes") {
  for (std::size_t position : {0U, 17U, 1'599U}) {
    CAPTURE(position);
    std::vector<Quarantine> daemons;
    for (int i = 0; i < 4; ++i) daemons.emplace_back(3, kDuration);
    auto with_parts = [&](int number) {
      Request request;
      request.model = "m";
      request.content_digest = std::to_string(number);
      for (int i = 0; i < 1'600; ++i) {
        request.shared_parts.push_back(fmt::format("{}-{}", number, i));
      }
      request.shared_parts[position] = "deadly";
      return Quarantine::Keys(request);
    };
    TimePoint now = kStart;
    std::function<void(std::size_t, std::vector<ShareQuarantine>)> share =
        [&](std::size_t from, const std::vector<ShareQuarantine>& marks) {
          for (const ShareQuarantine& mark : marks) {
            for (std::size_t to = 0; to < daemons.size(); ++to) {
              if (to == from) continue;
              share(to, daemons[to].OnPeerNotice({mark.digest, mark.remaining},
                                                 now));
            }
          }
        };
    for (std::size_t i = 0; i < 3; ++i) {
      now += milliseconds(1'000);
      CrashKeys keys = with_parts(static_cast<int>(i));
      CHECK(daemons[i].FindBlamed(keys, now).empty());
      std::string group = fmt::format("g{}@1", i);
      share(i, daemons[i].OnServerCrash(keys, group, now, now));
    }
    for (Quarantine& daemon : daemons) {
      CHECK(daemon.FindBlamed(with_parts(9), now).size() == 1);
    }
  }
}

// Guards against a part that is only known from long prompts or only from short
// ones, so that its crashes don't add up.
TEST_CASE("crashes of short and long prompts with a part add up") {
  Quarantine quarantine(3, kDuration);
  auto with_parts = [](int number, int others) {
    Request request;
    request.model = "m";
    request.content_digest = std::to_string(number);
    request.shared_parts = {"deadly"};
    for (int i = 0; i < others; ++i) {
      request.shared_parts.push_back(fmt::format("{}-{}", number, i));
    }
    return Quarantine::Keys(request);
  };
  TimePoint now = kStart;
  const CrashKeys deadly = with_parts(9, 0);
  for (int i = 0; i < 3; ++i) {
    now += milliseconds(1'000);
    CHECK(quarantine.FindBlamed(deadly, now).empty());
    std::string group = fmt::format("g{}@1", i);
    quarantine.OnServerCrash(with_parts(i, i == 1 ? 2 : 100), group, now, now);
    CHECK(quarantine.Count(KeyOfPart(deadly.parts->front()), now) ==
          (i == 0 ? 0 : i + 1));
  }
  CHECK(quarantine.FindBlamed(deadly, now).size() == 1);
}

}  // namespace clementine

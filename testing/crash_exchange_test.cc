// Daemons that share crash marks through a platform with faults, on a virtual
// clock.

#include "core/crash_exchange.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <set>

#include "core/quarantine.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using Verdict = Quarantine::Verdict;

constexpr milliseconds kLife{600'000};
constexpr milliseconds kStep{50};
/// Between a write and its arrival at a daemon that reads the platform.
constexpr milliseconds kDelivery{200};
/// Within which a third crash has to be known (BUDGET).
constexpr milliseconds kNotice{3'000};
constexpr int kCrashesToQuarantine = 3;

/// Daemons before one platform.
struct World {
  struct Daemon {
    explicit Daemon(const std::string& node)
        : name(node), quarantine(kCrashesToQuarantine, kLife), exchange(node) {}
    std::string name;
    Quarantine quarantine;
    CrashExchange exchange;
    bool reaches_platform = true;
    std::uint64_t read = 0;  ///< Revision.
    bool listed = false;
  };

  explicit World(int count) {
    for (int i = 0; i < count; ++i) Add();
  }

  Daemon& Add() {
    daemons.push_back(
        std::make_unique<Daemon>(fmt::format("d{}", daemons.size())));
    return *daemons.back();
  }

  /// A process of the same name takes the place of a daemon.
  void Restart(int index) {
    auto& daemon = daemons[static_cast<std::size_t>(index)];
    daemon = std::make_unique<Daemon>(daemon->name);
  }

  Daemon& operator[](int index) {
    return *daemons[static_cast<std::size_t>(index)];
  }

  void Crash(int index, const std::string& digest, const std::string& group) {
    Daemon& daemon = (*this)[index];
    auto share = daemon.quarantine.OnServerCrash(digest, group, now, now);
    if (share) daemon.exchange.Share(*share, now, wall);
  }

  /// The first daemons see a crash each, as many as quarantine a digest.
  void CrashAtThree(const std::string& digest) {
    for (int i = 0; i < kCrashesToQuarantine; ++i) {
      Crash(i, digest, fmt::format("chat/{}@1", i));
    }
  }

  void Complete(int index, const std::string& digest) {
    Daemon& daemon = (*this)[index];
    for (const auto& share : daemon.quarantine.OnRequestCompleted(digest, now)) {
      daemon.exchange.Share(share, now, wall);
    }
  }

  void Run(milliseconds time) {
    for (TimePoint end = now + time; now < end; now += kStep, wall += kStep) {
      for (const auto& daemon : daemons) Step(daemon.get());
    }
  }

  void Step(Daemon* daemon) {
    if (daemon->reaches_platform && !down) Read(daemon);
    bool cleans = daemon == daemons.front().get();
    for (const auto& action : daemon->exchange.Advance(now, wall, cleans)) {
      if (const auto* put = std::get_if<PutObject>(&action)) {
        ++writes;
        Reply(daemon, Write(daemon, *put));
      } else if (const auto* del = std::get_if<DeleteObject>(&action)) {
        ++writes;
        Remove(*del);
      } else {
        ++tellings;
        Tell(*daemon, std::get<CrashExchange::TellDaemons>(action).text);
      }
    }
  }

  void Tell(const Daemon& from, const std::string& text) {
    if (cut_from_each_other) return;
    for (const auto& other : daemons) {
      if (other.get() == &from) continue;
      Learn(other.get(), CrashExchange::Told(text, wall));
    }
  }

  void Learn(Daemon* daemon, const std::vector<QuarantineLearned>& learned) {
    for (const auto& entry : learned) {
      for (const auto& share : daemon->quarantine.OnPeerNotice(entry, now)) {
        daemon->exchange.Share(share, now, wall);
      }
    }
  }

  ObjectReply Write(Daemon* daemon, const PutObject& put) {
    if (down || !daemon->reaches_platform) {
      return {put.call, ObjectStatus::kUnavailable, 0, ""};
    }
    auto found = objects.find(daemon->name);
    bool exists = found != objects.end() && !found->second.object.deleted;
    if (!exists && put.if_version != 0) {
      return {put.call, ObjectStatus::kNotFound, 0, ""};
    }
    CHECK(put.key == fmt::format("{}/{}", CrashExchange::kKind, daemon->name));
    most_bytes = std::max(most_bytes, put.value.size());
    objects[daemon->name] = {{daemon->name, ++revision, put.value, false}, now};
    return {put.call, ObjectStatus::kOk, revision, put.value};
  }

  void Remove(const DeleteObject& del) {
    for (auto& [name, stored] : objects) {
      bool named = del.key == fmt::format("{}/{}", CrashExchange::kKind, name);
      if (!named || stored.object.revision != del.if_version) continue;
      stored = {{name, ++revision, "", true}, now};
    }
  }

  void Reply(Daemon* daemon, const ObjectReply& reply) {
    if (lose_replies) return;
    daemon->exchange.Replied(reply, now);
  }

  void Read(Daemon* daemon) {
    std::vector<CrashExchange::Object> changed;
    std::uint64_t read = daemon->read;
    for (const auto& [name, stored] : objects) {
      if (now - stored.written < kDelivery) continue;
      if (stored.object.revision <= daemon->read) continue;
      read = std::max(read, stored.object.revision);
      if (daemon->listed || !stored.object.deleted) {
        changed.push_back(stored.object);
      }
    }
    daemon->read = read;
    if (daemon->listed && changed.empty()) return;
    daemon->listed = true;
    Learn(daemon, daemon->exchange.Objects(changed, wall));
  }

  /// Daemons that refuse a digest.
  int Refusing(const std::string& digest) {
    int count = 0;
    for (const auto& daemon : daemons) {
      bool refuses =
          daemon->quarantine.Classify(digest, now) == Verdict::kQuarantined;
      count += refuses ? 1 : 0;
    }
    return count;
  }

  struct Stored {
    CrashExchange::Object object;
    TimePoint written;
  };
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::map<std::string, Stored> objects;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  WallTime wall = WallTime() + std::chrono::hours(24 * 365 * 30);
  std::uint64_t revision = 10;
  bool down = false;
  bool lose_replies = false;
  bool cut_from_each_other = false;
  int writes = 0;
  int tellings = 0;
  std::size_t most_bytes = 0;
};

}  // namespace

// Guards against a request that ends three servers at each of many daemons.
TEST_CASE("three crashes seen by three daemons are known to all in time") {
  World world(40);
  world.Run(milliseconds(500));
  world.CrashAtThree("d");
  world.Run(kNotice);
  CHECK(world.Refusing("d") == 40);
  CHECK(world.tellings == 0);
}

// Guards against marks that are told by one way only: with the platform away
// the daemons tell each other, and cut from each other they use the platform.
TEST_CASE("either way to other daemons is enough to tell of crashes") {
  for (bool platform_down : {true, false}) {
    CAPTURE(platform_down);
    World world(40);
    world.Run(milliseconds(500));
    world.down = platform_down;
    world.cut_from_each_other = !platform_down;
    world.CrashAtThree("d");
    world.Run(kNotice);
    CHECK(world.Refusing("d") == 40);
    // What was only told is written as soon as that's possible.
    world.down = false;
    world.Run(kNotice);
    world.Add();
    world.Run(kNotice);
    CHECK(world.Refusing("d") == 41);
  }
}

// Guards against marks of a daemon that is cut off from the platform alone.
TEST_CASE("a daemon that the platform rejects tells the others directly") {
  World world(6);
  world.Run(milliseconds(500));
  world[0].reaches_platform = false;
  world.CrashAtThree("d");
  world.Run(kNotice);
  for (int i = 1; i < 6; ++i) {
    CHECK(world[i].quarantine.Classify("d", world.now) == Verdict::kQuarantined);
  }
}

// Guards against crashes that are forgotten with the process that saw them, by
// its successor's first write or at daemons that start later.
TEST_CASE("crashes outlive the daemons that saw them") {
  World world(4);
  world.Run(milliseconds(500));
  world.CrashAtThree("d");
  world.Run(kNotice);
  for (int i = 0; i < 4; ++i) world.Restart(i);
  world.Run(kNotice);
  for (int i = 0; i < 4; ++i) world.Crash(i, "other", "chat/9@1");
  world.Run(kNotice);
  world.Add();
  world.Run(kNotice);
  CHECK(world.Refusing("d") == 5);
  CHECK(world.Refusing("other") == 0);
}

// Guards against replies that are lost: the platform has the marks, and the
// daemon repeats them without end.
TEST_CASE("lost replies of the platform cost a bounded number of calls") {
  World world(1);
  world.Run(milliseconds(500));
  world.lose_replies = true;
  world.Crash(0, "d", "chat/0@1");
  world.Run(std::chrono::minutes(1));
  CHECK(world.writes <= 51);
  CHECK(world.tellings <= 7);
}

// Guards against a write for each request that was in flight at a crash, and
// for each of them that completes.
TEST_CASE("what a server had in flight costs few writes and bounded space") {
  World world(22);
  world.Run(milliseconds(500));
  for (int daemon = 0; daemon < 22; ++daemon) {
    for (int i = 0; i < 15; ++i) {
      world.Crash(daemon, fmt::format("{}-{}", daemon, i), "chat/0@1");
    }
  }
  world.Run(milliseconds(1'000));
  CHECK(world.writes <= 22);
  for (int daemon = 0; daemon < 22; ++daemon) {
    for (int i = 0; i < 15; ++i) {
      world.Complete(daemon, fmt::format("{}-{}", daemon, i));
    }
    world.Run(kStep);
  }
  world.Run(milliseconds(5'000));
  CHECK(world.writes <= 3 * 22);
  for (int i = 0; i < 1'000; ++i) {
    world.Crash(0, fmt::format("storm-{}", i), "chat/1@1");
  }
  world.Run(milliseconds(1'000));
  CHECK(world[0].exchange.size() <= CrashExchange::kMostMarks);
  CHECK(world.most_bytes < 16'384);
}

// Guards against a mark that is written after the request has completed.
TEST_CASE("a mark that is refuted at once is never written") {
  World world(2);
  world.Run(milliseconds(500));
  world.Crash(0, "d", "chat/0@1");
  world.Complete(0, "d");
  world.Run(milliseconds(5'000));
  CHECK(world.writes == 0);
  CHECK(world.tellings == 0);
}

// Guards against an innocent request that one daemon acquits and others keep
// refusing.
TEST_CASE("an acquittal lifts a quarantine at all daemons") {
  World world(6);
  world.Run(milliseconds(500));
  world.CrashAtThree("d");
  world.Run(kNotice);
  REQUIRE(world.Refusing("d") == 6);
  // An attempt that had begun before runs to its end.
  world.Complete(5, "d");
  world.Run(milliseconds(4'000));
  CHECK(world.Refusing("d") == 0);
}

// Guards against objects that stay for ever, and old or repeated texts that
// quarantine again.
TEST_CASE("marks that expired are removed and count nowhere") {
  World world(4);
  world.Run(milliseconds(500));
  world.CrashAtThree("d");
  world.Run(kNotice);
  std::string replayed = world.objects.at("d1").object.value;
  CHECK_FALSE(CrashExchange::Told(replayed, world.wall).empty());
  world.Run(kLife + std::chrono::minutes(2));
  CHECK(world.Refusing("d") == 0);
  CHECK(CrashExchange::Told(replayed, world.wall).empty());
  for (const auto& [name, stored] : world.objects) CHECK(stored.object.deleted);
  // The owner of a removed object writes again.
  world.Crash(1, "d", "chat/5@1");
  world.Run(kNotice);
  CHECK_FALSE(world.objects.at("d1").object.deleted);
}

// Guards against an entry of another writer that ends a daemon, fills its
// memory or quarantines what it likes for ever.
TEST_CASE("malformed marks are left out and others are read") {
  WallTime wall = WallTime(std::chrono::seconds(1'000));
  std::string text =
      "1500 d/chat/0@1#1\n\nno number\n1500\n1500 \n99999999999999 e/x\n"
      "-5 f/x\n900 old/x\n1600 g/y\n1600 " +
      std::string(10'000, 'x') + "\n";
  std::vector<QuarantineLearned> learned = CrashExchange::Told(text, wall);
  REQUIRE(learned.size() == 2);
  CHECK(learned[0].digest == "d/chat/0@1#1");
  CHECK(learned[0].remaining == std::chrono::seconds(500));
  CHECK(learned[1].digest == "g/y");
  std::string many;
  for (int i = 0; i < 100'000; ++i) many += fmt::format("4000000000 {}/x\n", i);
  CHECK(CrashExchange::Told(many, wall).size() == CrashExchange::kMostMarks);
  // However far its expiry, a mark is remembered for the usual time.
  Quarantine quarantine(1, kLife);
  quarantine.OnPeerNotice(CrashExchange::Told(many, wall)[0], TimePoint());
  CHECK(quarantine.RemainingTime("0", TimePoint()) == kLife);
}

}  // namespace clementine

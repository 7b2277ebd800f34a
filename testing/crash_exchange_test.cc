// Simulates daemons that share crash marks through a faulty platform on a
// virtual clock.

#include "core/crash_exchange.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <set>

#include "core/quarantine.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using DigestState = Quarantine::State;

constexpr milliseconds kLife{600'000};
constexpr milliseconds kStep{50};
/// Delay between a write and its delivery to daemons that read the platform.
constexpr milliseconds kDelivery{200};
/// Maximum time until all daemons know of a third crash.
constexpr milliseconds kMaxNoticeDelay{3'000};
constexpr int kCrashesToQuarantine = 3;

/// Daemons that share one platform.
struct World {
  struct Daemon {
    explicit Daemon(const std::string& node)
        : name(node), quarantine(kCrashesToQuarantine, kLife), exchange(node) {}
    std::string name;
    Quarantine quarantine;
    CrashExchange exchange;
    bool reaches_platform = true;
    std::uint64_t read = 0;  ///< Last revision read.
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

  /// Replaces a daemon by a new process of the same name.
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
    if (share) daemon.exchange.ShareMark(*share, now, wall);
  }

  /// Each of the first daemons observes one crash of the digest, as many as
  /// cause its quarantine.
  void CrashAtThreeDaemons(const std::string& digest) {
    for (int i = 0; i < kCrashesToQuarantine; ++i) {
      Crash(i, digest, fmt::format("chat/{}@1", i));
    }
  }

  void Complete(int index, const std::string& digest) {
    Daemon& daemon = (*this)[index];
    for (const auto& share :
         daemon.quarantine.OnRequestCompleted(digest, now)) {
      daemon.exchange.ShareMark(share, now, wall);
    }
  }

  void Run(milliseconds time) {
    for (TimePoint end = now + time; now < end; now += kStep, wall += kStep) {
      for (const auto& daemon : daemons) Step(daemon.get());
    }
  }

  void Step(Daemon* daemon) {
    if (daemon->reaches_platform && !down) Read(daemon);
    bool removes_expired = daemon == daemons.front().get();
    for (const auto& action :
         daemon->exchange.Advance(now, wall, removes_expired)) {
      if (const auto* put = std::get_if<PutObject>(&action)) {
        ++writes;
        Reply(daemon, Write(daemon, *put));
      } else if (const auto* del = std::get_if<DeleteObject>(&action)) {
        ++writes;
        Remove(*del);
      } else {
        ++notices;
        NotifyOthers(*daemon,
                     std::get<CrashExchange::NotifyDaemons>(action).text);
      }
    }
  }

  void NotifyOthers(const Daemon& from, const std::string& text) {
    if (daemons_partitioned) return;
    for (const auto& other : daemons) {
      if (other.get() == &from) continue;
      Learn(other.get(), CrashExchange::DecodePeerNotice(text, wall));
    }
  }

  void Learn(Daemon* daemon, const std::vector<QuarantineLearned>& learned) {
    for (const auto& entry : learned) {
      for (const auto& share : daemon->quarantine.OnPeerNotice(entry, now)) {
        daemon->exchange.ShareMark(share, now, wall);
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
    max_bytes = std::max(max_bytes, put.value.size());
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
    daemon->exchange.OnReply(reply, now);
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
    Learn(daemon, daemon->exchange.OnObjects(changed, wall));
  }

  /// Number of daemons that refuse a digest.
  int CountRefusing(const std::string& digest) {
    int count = 0;
    for (const auto& daemon : daemons) {
      bool refuses =
          daemon->quarantine.Classify(digest, now) == DigestState::kQuarantined;
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
  bool daemons_partitioned = false;
  int writes = 0;
  int notices = 0;
  std::size_t max_bytes = 0;
};

}  // namespace

// Guards against a request that crashes three servers per daemon.
TEST_CASE("three crashes observed by three daemons reach all daemons in time") {
  World world(40);
  world.Run(milliseconds(500));
  world.CrashAtThreeDaemons("d");
  world.Run(kMaxNoticeDelay);
  CHECK(world.CountRefusing("d") == 40);
  CHECK(world.notices == 0);
}

// Guards against marks that use a single channel: daemons notify each other
// while the platform is unavailable, and use the platform while they are
// partitioned from each other.
TEST_CASE(
    "either the platform or direct notices suffice to share crash marks") {
  for (bool platform_down : {true, false}) {
    CAPTURE(platform_down);
    World world(40);
    world.Run(milliseconds(500));
    world.down = platform_down;
    world.daemons_partitioned = !platform_down;
    world.CrashAtThreeDaemons("d");
    world.Run(kMaxNoticeDelay);
    CHECK(world.CountRefusing("d") == 40);
    // Marks that were only sent directly are written when the platform is
    // available again.
    world.down = false;
    world.Run(kMaxNoticeDelay);
    world.Add();
    world.Run(kMaxNoticeDelay);
    CHECK(world.CountRefusing("d") == 41);
  }
}

// Guards against losing the marks of a daemon that alone is partitioned from
// the platform.
TEST_CASE("a daemon that the platform rejects notifies the others directly") {
  World world(6);
  world.Run(milliseconds(500));
  world[0].reaches_platform = false;
  world.CrashAtThreeDaemons("d");
  world.Run(kMaxNoticeDelay);
  for (int i = 1; i < 6; ++i) {
    CHECK(world[i].quarantine.Classify("d", world.now) ==
          DigestState::kQuarantined);
  }
}

// Guards against losing marks when the daemon that made them ends, by the first
// write of its successor, or for daemons that start later.
TEST_CASE("crash marks outlive the daemons that made them") {
  World world(4);
  world.Run(milliseconds(500));
  world.CrashAtThreeDaemons("d");
  world.Run(kMaxNoticeDelay);
  for (int i = 0; i < 4; ++i) world.Restart(i);
  world.Run(kMaxNoticeDelay);
  for (int i = 0; i < 4; ++i) world.Crash(i, "other", "chat/9@1");
  world.Run(kMaxNoticeDelay);
  world.Add();
  world.Run(kMaxNoticeDelay);
  CHECK(world.CountRefusing("d") == 5);
  CHECK(world.CountRefusing("other") == 0);
}

// Guards against endless repetition of writes whose replies are lost although
// the platform stored the marks.
TEST_CASE("lost platform replies cause a bounded number of calls") {
  World world(1);
  world.Run(milliseconds(500));
  world.lose_replies = true;
  world.Crash(0, "d", "chat/0@1");
  world.Run(std::chrono::minutes(1));
  CHECK(world.writes <= 51);
  CHECK(world.notices <= 7);
}

// Guards against one write per request that was in flight at a crash, and per
// request that completes afterwards.
TEST_CASE("marks of a server's requests need few writes and bounded space") {
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
  CHECK(world[0].exchange.size() <= CrashExchange::kMaxMarks);
  CHECK(world.max_bytes < 16'384);
}

// Guards against writes of each daemon at each crash when prompts share parts:
// daemons that saw answers to a part acquit it, but one acquittal is enough.
TEST_CASE("shared parts need few writes at 73 and 195 daemons") {
  for (int daemons : {73, 195}) {
    CAPTURE(daemons);
    World world(daemons);
    world.Run(milliseconds(500));
    // All daemons have seen answers to the parts, except those with requests
    // in flight at the server.
    for (int daemon = 26; daemon < daemons; ++daemon) {
      for (int part = 0; part < 4; ++part) {
        world[daemon].quarantine.OnRequestCompleted(fmt::format("p{}", part),
                                                    world.now);
      }
    }
    for (int daemon = 0; daemon < 26; ++daemon) {
      world.Crash(daemon, fmt::format("digest-{}", daemon), "chat/0@1");
      for (int part = 0; part < 4; ++part) {
        world.Crash(daemon, fmt::format("p{}", part), "chat/0@1");
      }
    }
    world.Run(milliseconds(5'000));
    MESSAGE(daemons << " daemons: " << world.writes << " writes");
    CHECK(world.writes <= 26 + daemons / 4);
    CHECK(world.notices == 0);
    for (int daemon = 0; daemon < daemons; ++daemon) {
      CHECK(world[daemon].quarantine.Count("p0", world.now) == 0);
    }
  }
}

// Guards against evicting the marks of what crashes servers for those of
// requests that were in flight with it.
TEST_CASE("marks of a key with many crashes are kept") {
  World world(2);
  world.Run(milliseconds(500));
  for (int i = 0; i < 3; ++i) {
    world.Crash(0, "culprit", fmt::format("chat/{}@1", i));
  }
  world.Run(milliseconds(1'000));
  for (int i = 0; i < 1'000; ++i) {
    world.Crash(0, fmt::format("bystander-{}", i), "chat/9@1");
  }
  world.Run(milliseconds(1'000));
  world.Add();
  world.Run(milliseconds(1'000));
  CHECK(world.CountRefusing("culprit") == 3);
}

// Guards against writing a mark after its request has completed.
TEST_CASE("a mark that is acquitted at once is never written") {
  World world(2);
  world.Run(milliseconds(500));
  world.Crash(0, "d", "chat/0@1");
  world.Complete(0, "d");
  world.Run(milliseconds(5'000));
  CHECK(world.writes == 0);
  CHECK(world.notices == 0);
}

// Guards against a request that one daemon acquits and other daemons continue
// to refuse.
TEST_CASE("an acquittal lifts a quarantine at all daemons") {
  World world(6);
  world.Run(milliseconds(500));
  world.CrashAtThreeDaemons("d");
  world.Run(kMaxNoticeDelay);
  REQUIRE(world.CountRefusing("d") == 6);
  // An attempt that started before the quarantine completes.
  world.Complete(5, "d");
  world.Run(milliseconds(4'000));
  CHECK(world.CountRefusing("d") == 0);
}

// Guards against objects that are never removed, and against outdated or
// repeated texts that cause a quarantine again.
TEST_CASE("expired marks are removed and have no effect") {
  World world(4);
  world.Run(milliseconds(500));
  world.CrashAtThreeDaemons("d");
  world.Run(kMaxNoticeDelay);
  std::string replayed = world.objects.at("d1").object.value;
  CHECK_FALSE(CrashExchange::DecodePeerNotice(replayed, world.wall).empty());
  world.Run(kLife + std::chrono::minutes(2));
  CHECK(world.CountRefusing("d") == 0);
  CHECK(CrashExchange::DecodePeerNotice(replayed, world.wall).empty());
  for (const auto& [name, stored] : world.objects) CHECK(stored.object.deleted);
  // The owner of a removed object can write it again.
  world.Crash(1, "d", "chat/5@1");
  world.Run(kMaxNoticeDelay);
  CHECK_FALSE(world.objects.at("d1").object.deleted);
}

// Guards against entries of another writer that crash a daemon, exhaust its
// memory or cause a permanent quarantine.
TEST_CASE("malformed marks are skipped and valid ones are read") {
  WallTime wall = WallTime(std::chrono::seconds(1'000));
  std::string text =
      "1500 d/chat/0@1#1\n\nno number\n1500\n1500 \n99999999999999 e/x\n"
      "-5 f/x\n900 old/x\n1600 g/y\n1600 " +
      std::string(10'000, 'x') + "\n";
  std::vector<QuarantineLearned> learned =
      CrashExchange::DecodePeerNotice(text, wall);
  REQUIRE(learned.size() == 2);
  CHECK(learned[0].digest == "d/chat/0@1#1");
  CHECK(learned[0].remaining == std::chrono::seconds(500));
  CHECK(learned[1].digest == "g/y");
  std::string many;
  for (int i = 0; i < 100'000; ++i) many += fmt::format("4000000000 {}/x\n", i);
  CHECK(CrashExchange::DecodePeerNotice(many, wall).size() ==
        CrashExchange::kMaxMarks);
  // A mark is kept for the default lifetime, however late it expires.
  Quarantine quarantine(1, kLife);
  quarantine.OnPeerNotice(CrashExchange::DecodePeerNotice(many, wall)[0],
                          TimePoint());
  CHECK(quarantine.RemainingTime("0", TimePoint()) == kLife);
}

}  // namespace clementine

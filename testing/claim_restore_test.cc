// Claims through restores of the store. Two daemons with the production ledger;
// a restore, the repeats of a request and kills at any step.

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/claim_ledger.h"
#include "core/store_era.h"

namespace clementine {
namespace {

using std::chrono::seconds;

constexpr milliseconds kStep{500};
constexpr char kKey[] = "k";

/// Objects with a version per key, as the platform of interface `chat`.
struct Objects {
  struct Object {
    std::uint64_t version = 0;
    std::string value;
  };
  std::map<std::string, Object> objects;

  ObjectReply Handle(const RequestAction& action) {
    if (const auto* get = std::get_if<GetObject>(&action)) {
      const Object& object = objects[get->key];
      return {get->call,
              object.version > 0 ? ObjectStatus::kOk : ObjectStatus::kNotFound,
              object.version, object.value};
    }
    const auto& put = std::get<PutObject>(action);
    Object& object = objects[put.key];
    if (object.version != put.if_version) {
      return {put.call, ObjectStatus::kConflict, object.version, object.value};
    }
    object = {object.version + 1, put.value};
    return {put.call, ObjectStatus::kOk, object.version, ""};
  }
};

struct Daemon {
  std::unique_ptr<ClaimLedger> ledger;
  std::uint64_t incarnation = 0;
  std::uint64_t era = 0;
  ClaimLedger::Actions actions;
  /// Requests that run, and the step at which they end.
  std::map<RequestId, int> running;
};

/// Two daemons; the same request is sent at some steps.
class World {
 public:
  World() {
    for (Daemon& daemon : m_daemons) Start(&daemon);
    // The daemons have run for longer than the time after a start in which
    // they grant no claim.
    m_now += 2 * kUnverifiedClaimDuration;
  }

  void Send(std::size_t index) {
    Daemon& daemon = m_daemons[index];
    Request request;
    request.id = ++m_requests;
    request.organisation = "ash";
    request.idempotency_key = kKey;
    request.content_digest = "c";
    daemon.ledger->Claim(request, m_now + seconds(10), m_now, &daemon.actions);
  }

  void Kill(std::size_t index) {
    m_daemons[index].actions.clear();
    m_daemons[index].running.clear();
    Start(&m_daemons[index]);
  }

  void Copy() { m_copy = m_store; }
  void Restore() {
    m_store = m_copy;
    ++m_era;
  }

  /// @param lagging Daemon that is cut off in this step; -1: none.
  void Step(int lagging) {
    ++m_step;
    m_now += kStep;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      Daemon& daemon = m_daemons[i];
      daemon.ledger->Advance(m_now, &daemon.actions);
      if (static_cast<int>(i) != lagging) {
        // Daemons also learn the era from watches and from each other.
        ObserveEra(&daemon);
        HandleCalls(&daemon);
      }
      std::erase_if(daemon.running, [&](const auto& entry) {
        if (entry.second > m_step) return false;
        daemon.ledger->Settle(entry.first, ClaimState::kDone, 200, "done",
                              m_now, &daemon.actions);
        return true;
      });
    }
  }

  int runs() const { return m_runs; }
  int replays() const { return m_replays; }
  int unknown() const { return m_unknown; }

 private:
  void Start(Daemon* daemon) {
    ClaimLedger::Options options;
    options.node = daemon == m_daemons.data() ? "a" : "b";
    options.incarnation = ++daemon->incarnation;
    daemon->ledger = std::make_unique<ClaimLedger>(options);
    daemon->era = 0;
    daemon->ledger->SetWallClock(
        std::chrono::system_clock::time_point(
            std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch())),
        m_now);
    ObserveEra(daemon);
  }

  /// As RequestPath: the first era counts as a restore.
  void ObserveEra(Daemon* daemon) {
    if (daemon->era == m_era) return;
    daemon->era = m_era;
    daemon->ledger->OnStoreRestored(m_now, &daemon->actions);
  }

  void HandleCalls(Daemon* daemon) {
    for (int rounds = 0; rounds < 20 && !daemon->actions.empty(); ++rounds) {
      ClaimLedger::Actions actions = std::move(daemon->actions);
      daemon->actions.clear();
      for (const RequestAction& action : actions) {
        bool call = std::holds_alternative<GetObject>(action) ||
                    std::holds_alternative<PutObject>(action);
        if (!call) continue;
        ObjectReply reply = m_store.Handle(action);
        // The answer states the era, so that it is seen first.
        ObserveEra(daemon);
        std::optional<ClaimLedger::Result> result =
            daemon->ledger->OnReply(reply, m_now, &daemon->actions);
        if (result) OnResult(daemon, *result);
      }
    }
  }

  void OnResult(Daemon* daemon, const ClaimLedger::Result& result) {
    if (result.acquired) {
      ++m_runs;
      daemon->running[result.request] = m_step + 2;
    } else if (result.replay) {
      ++m_replays;
    } else if (result.refuse.outcome == Outcome::kUnknown) {
      ++m_unknown;
    }
  }

  std::array<Daemon, 2> m_daemons;
  Objects m_store;
  Objects m_copy;
  std::uint64_t m_era = 1;
  int m_step = 0;
  TimePoint m_now = TimePoint{} + seconds(1'000);
  RequestId m_requests = 0;
  int m_runs = 0;
  int m_replays = 0;
  int m_unknown = 0;
};

}  // namespace

// Guards against an order that runs twice because its claim was lost with the
// restore, for each order of copy, restores and repeats, while one daemon sees
// the restore later than the other. The daemon that ran it stays alive.
TEST_CASE("a claim that a restore lost never runs again") {
  int runs = 0;
  int replays = 0;
  for (int copy = 0; copy < 5; ++copy) {
    for (int restore = copy; restore < 9; ++restore) {
      for (int second = restore; second < 12; ++second) {
        for (int repeat = 1; repeat < 16; ++repeat) {
          for (int lag = 0; lag < 4; ++lag) {
            World world;
            world.Send(0);
            for (int step = 0; step < 60; ++step) {
              if (step == copy) world.Copy();
              if (step == restore) world.Restore();
              if (step == second && second > restore) world.Restore();
              if (step == repeat) world.Send(1);
              if (step == repeat + 1) world.Send(0);
              if (step == 45) world.Send(1);
              bool lagging = step >= restore && step < restore + 4 * lag;
              world.Step(lagging ? 0 : -1);
            }
            ++runs;
            replays += world.replays();
            if (world.runs() > 1) {
              CAPTURE(copy);
              CAPTURE(restore);
              CAPTURE(second);
              CAPTURE(repeat);
              CAPTURE(lag);
              CHECK(world.runs() == 1);
            }
          }
        }
      }
    }
  }
  CHECK(runs > 5'000);
  // The last repeat is answered from the claim that was written again.
  CHECK(replays > runs / 2);
}

// Guards against a daemon that starts during a drill and grants a key whose
// claim the restored store lacks.
TEST_CASE("a daemon that starts after a restore grants no unverified claim") {
  for (int kill = 2; kill < 12; ++kill) {
    CAPTURE(kill);
    World world;
    world.Copy();
    world.Send(0);
    for (int step = 0; step < 60; ++step) {
      if (step == 4) world.Restore();
      if (step == kill) world.Kill(1);
      if (step == kill + 1) world.Send(1);
      if (step == 50) world.Send(1);
      world.Step(-1);
    }
    CHECK(world.runs() == 1);
    CHECK(world.replays() >= 1);
  }
}

// Guards against keys that stay refused after the time in which claims can't be
// verified, and against a refusal that says that the request did not run.
TEST_CASE("an unknown key is refused with outcome unknown, then runs") {
  World world;
  world.Copy();
  world.Restore();
  world.Send(1);
  for (int step = 0; step < 30; ++step) world.Step(-1);
  CHECK(world.runs() == 0);
  CHECK(world.unknown() == 1);
  world.Send(1);
  world.Step(-1);
  CHECK(world.runs() == 1);
}

}  // namespace clementine

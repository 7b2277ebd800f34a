// Exhaustive exploration of the lease while the store is restored: three
// daemons run the production code against a small store. The store is restored
// at any step from a copy of any of several ages, once or twice, with each
// fault at any step. A planned stop of the holder and a restart are part of
// each run.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/lease.h"

namespace clementine {
namespace {

using std::chrono::seconds;

constexpr milliseconds kStep{100};
constexpr milliseconds kLeaseDuration{2'000};
constexpr milliseconds kMaxOrder{500};
constexpr milliseconds kCallTimeout{1'200};
constexpr int kSteps = 160;
constexpr int kStopStep = 40;  ///< The holder releases the lease.

struct StoredLease {
  std::uint64_t revision = 0;  ///< 0 if absent.
  std::string value;
};

struct Message {
  std::size_t daemon = 0;
  std::uint64_t incarnation = 0;
  int arrives = 0;  ///< Step at which the store handles it.
  ControlAction call;
};

struct Daemon {
  std::uint64_t incarnation = 1;
  Jitter jitter{1};
  PlatformCalls calls;
  std::unique_ptr<Lease> lease;
  std::optional<std::uint64_t> era;
  bool alive = true;
  bool cut = false;  ///< Partitioned from the store.
  bool stopping = false;
  int starts_at = 0;
};

enum class Fault { kNone, kKillHolder, kCutHolder, kDelayWrites, kLoseReplies };
constexpr int kFaults = 5;

struct Scenario {
  int restore_at = 0;
  int copy_age = 0;      ///< Steps.
  int outage = 0;        ///< Steps before the restore without answers.
  int second_after = 0;  ///< Steps; 0: no second restore.
  Fault fault = Fault::kNone;
  int fault_at = 0;
  bool ignore_era = false;  ///< The daemons don't see eras.
};

class World {
 public:
  explicit World(const Scenario& scenario) : m_scenario(scenario) {
    for (std::size_t i = 0; i < m_daemons.size(); ++i) Start(i);
  }

  /// @return The first violation, or an empty string.
  std::string Run() {
    for (m_step = 0; m_step < kSteps; ++m_step) {
      m_copies.push_back(m_object);
      ApplyScenario();
      HandleMessages();
      for (std::size_t i = 0; i < m_daemons.size(); ++i) Advance(i);
      CheckInvariants();
      if (!m_violation.empty()) return m_violation;
    }
    return m_planned_at_end ? "" : "no planner at the end";
  }

 private:
  TimePoint Now() const {
    return TimePoint{} + seconds(1'000) + m_step * kStep;
  }

  void Start(std::size_t index) {
    Daemon& daemon = m_daemons[index];
    daemon.jitter = Jitter(index + 7);
    daemon.calls = PlatformCalls();
    daemon.lease = std::make_unique<Lease>(
        Lease::Options{"node" + std::to_string(index), daemon.incarnation,
                       "lease", kLeaseDuration, kMaxOrder, Mutation::kNone,
                       daemon.incarnation == 1},
        &daemon.calls, &daemon.jitter);
    daemon.lease->OnPlacementAbsent();
    daemon.era.reset();
    daemon.stopping = false;
    daemon.alive = true;
  }

  int Holder() const {
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      if (m_daemons[i].alive && m_daemons[i].lease->IsHolder()) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  void Kill(std::size_t index) {
    m_daemons[index].alive = false;
    ++m_daemons[index].incarnation;
    m_daemons[index].starts_at = m_step + 8;
  }

  void Restore() {
    std::size_t from = m_copies.size() - 1 -
                       std::min(m_copies.size() - 1,
                                static_cast<std::size_t>(m_scenario.copy_age));
    m_object = m_copies[from];
    // Revisions are given out again.
    m_revision = std::max<std::uint64_t>(m_object.revision, 1);
    ++m_era;
  }

  void ApplyScenario() {
    int second = m_scenario.restore_at + m_scenario.second_after;
    m_away = (m_step >= m_scenario.restore_at - m_scenario.outage &&
              m_step < m_scenario.restore_at);
    if (m_step == m_scenario.restore_at ||
        (m_scenario.second_after > 0 && m_step == second)) {
      Restore();
    }
    int holder = Holder();
    if (m_step == kStopStep && holder >= 0) {
      m_daemons[static_cast<std::size_t>(holder)].stopping = true;
    }
    if (m_step == kStopStep + 6) {
      for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].stopping) Kill(i);
      }
    }
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      if (!m_daemons[i].alive && m_step >= m_daemons[i].starts_at) Start(i);
    }
    m_delay = m_scenario.fault == Fault::kDelayWrites &&
              m_step >= m_scenario.fault_at && m_step < m_scenario.fault_at + 6;
    m_lose = m_scenario.fault == Fault::kLoseReplies &&
             m_step >= m_scenario.fault_at && m_step < m_scenario.fault_at + 6;
    if (m_step == m_scenario.fault_at && holder >= 0) {
      auto index = static_cast<std::size_t>(holder);
      if (m_scenario.fault == Fault::kKillHolder) Kill(index);
      if (m_scenario.fault == Fault::kCutHolder) m_daemons[index].cut = true;
    }
    if (m_step == m_scenario.fault_at + 35) {
      for (Daemon& daemon : m_daemons) daemon.cut = false;
    }
  }

  ObjectReply Handle(const ControlAction& call) {
    ObjectReply reply;
    reply.era = m_era;
    reply.version = m_object.revision;
    reply.value = m_object.value;
    if (const auto* get = std::get_if<GetObject>(&call)) {
      reply.call = get->call;
      reply.status =
          m_object.revision == 0 ? ObjectStatus::kNotFound : ObjectStatus::kOk;
      return reply;
    }
    const auto& put = std::get<PutObject>(call);
    reply.call = put.call;
    if (put.if_version != m_object.revision) {
      reply.status = ObjectStatus::kConflict;
      return reply;
    }
    m_object = {++m_revision, put.value};
    reply.status = ObjectStatus::kOk;
    reply.version = m_object.revision;
    return reply;
  }

  void HandleMessages() {
    std::vector<Message> due;
    std::erase_if(m_messages, [&](const Message& message) {
      if (message.arrives > m_step) return false;
      due.push_back(message);
      return true;
    });
    for (const Message& message : due) {
      Daemon& daemon = m_daemons[message.daemon];
      if (m_away) continue;
      ObjectReply reply = Handle(message.call);
      bool same = daemon.alive && daemon.incarnation == message.incarnation;
      if (same && !daemon.cut && !m_lose) Deliver(&daemon, reply);
    }
  }

  /// As FleetControl::On(ObjectReply).
  void Deliver(Daemon* daemon, ObjectReply reply) {
    std::vector<ControlAction> out;
    if (!m_scenario.ignore_era) {
      if (!daemon->era) {
        daemon->era = *reply.era;
        daemon->lease->SetStoreEra(*reply.era);
      } else if (*reply.era > *daemon->era) {
        daemon->era = *reply.era;
        daemon->lease->OnStoreRestored(*reply.era, Now(), &out);
      } else if (*reply.era < *daemon->era) {
        reply.status = ObjectStatus::kUnknown;
      }
    }
    std::optional<PendingCall> call = daemon->calls.Take(reply.call);
    if (call) daemon->lease->OnReply(*call, reply, Now(), &out);
  }

  void Advance(std::size_t index) {
    Daemon& daemon = m_daemons[index];
    if (!daemon.alive) return;
    std::vector<ControlAction> out;
    for (const auto& [id, call] :
         daemon.calls.TakeCallsSentBefore(Now() - kCallTimeout)) {
      ObjectReply lost;
      lost.call = id;
      daemon.lease->OnReply(call, lost, Now(), &out);
    }
    if (daemon.stopping) daemon.lease->Release(true, Now(), &out);
    daemon.lease->Advance(true, Now(), &out);
    for (ControlAction& action : out) {
      bool put = std::holds_alternative<PutObject>(action);
      if (!put && !std::holds_alternative<GetObject>(action)) continue;
      if (daemon.cut) continue;
      int delay = put && m_delay ? 20 : 1;
      m_messages.push_back(
          {index, daemon.incarnation, m_step + delay, std::move(action)});
    }
  }

  void CheckInvariants() {
    m_planned_at_end = false;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      const Daemon& daemon = m_daemons[i];
      if (!daemon.alive || !daemon.lease->CanSendOrders(Now())) continue;
      m_planned_at_end = true;
      // A process never uses an epoch twice, also if it is granted the same
      // fence again (see GroupPlanner::Reset).
      std::string process =
          std::to_string(i) + "/" + std::to_string(daemon.incarnation);
      bool overlaps = !m_planner.empty() && m_planner != process &&
                      Now() - m_planned_at < kMaxOrder;
      if (overlaps) {
        Report("orders of " + process + " overlap with those of " + m_planner);
      }
      std::uint64_t fence = daemon.lease->fence();
      auto used =
          std::find_if(m_fences.begin(), m_fences.end(),
                       [&](const auto& entry) { return entry.first == fence; });
      if (used == m_fences.end()) {
        m_fences.emplace_back(fence, process);
      } else if (used->second != process) {
        Report("fence " + std::to_string(fence) + " of " + process +
               " was used by " + used->second);
      }
      m_planner = process;
      m_planned_at = Now();
    }
  }

  void Report(const std::string& what) {
    if (m_violation.empty()) {
      m_violation = what + " at step " + std::to_string(m_step);
    }
  }

  Scenario m_scenario;
  std::array<Daemon, 3> m_daemons;
  StoredLease m_object;
  std::vector<StoredLease> m_copies;  ///< One for each step.
  std::uint64_t m_revision = 0;
  std::uint64_t m_era = 1;
  std::vector<Message> m_messages;
  int m_step = 0;
  bool m_away = false;
  bool m_delay = false;
  bool m_lose = false;
  bool m_planned_at_end = false;
  std::string m_planner;  ///< Last process that could send orders.
  TimePoint m_planned_at;
  std::vector<std::pair<std::uint64_t, std::string>> m_fences;
  std::string m_violation;
};

/// Calls `check` for each scenario.
template <typename Check>
void ForEachScenario(Check check) {
  Scenario scenario;
  for (scenario.restore_at = 10; scenario.restore_at < 90;
       scenario.restore_at += 3) {
    for (int age : {5, 20, 45, 80}) {
      scenario.copy_age = age;
      for (int outage : {0, 4, 30}) {
        scenario.outage = outage;
        for (int second : {0, 4, 17}) {
          scenario.second_after = second;
          for (int fault = 0; fault < kFaults; ++fault) {
            scenario.fault = static_cast<Fault>(fault);
            for (int offset : {-12, -4, -1, 1, 6}) {
              scenario.fault_at = scenario.restore_at + offset;
              if (fault == 0 && offset != 1) continue;
              check(scenario);
            }
          }
        }
      }
    }
  }
}

}  // namespace

// Guards against two planners whose orders overlap, and against planners that
// name groups alike, after any restore.
TEST_CASE("no restore of the store yields two planners") {
  int runs = 0;
  int violations = 0;
  ForEachScenario([&](const Scenario& scenario) {
    ++runs;
    std::string violation = World(scenario).Run();
    if (violation.empty() || ++violations > 3) return;
    CAPTURE(scenario.restore_at);
    CAPTURE(scenario.copy_age);
    CAPTURE(scenario.outage);
    CAPTURE(scenario.second_after);
    CAPTURE(static_cast<int>(scenario.fault));
    CAPTURE(scenario.fault_at);
    CHECK(violation == "");
  });
  CHECK(violations == 0);
  CHECK(runs > 10'000);
}

TEST_CASE("the exploration of restores detects daemons that ignore eras") {
  // Guards against an exploration that cannot detect violations.
  int violations = 0;
  ForEachScenario([&](const Scenario& scenario) {
    if (violations > 0) return;
    Scenario ignoring = scenario;
    ignoring.ignore_era = true;
    if (!World(ignoring).Run().empty()) ++violations;
  });
  CHECK(violations > 0);
}

}  // namespace clementine

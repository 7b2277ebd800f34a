// Daemons that follow each other and a platform, on a virtual clock, with
// faults of each. For tests of the change follower.
#ifndef TESTING_CHANGE_WORLD_H_
#define TESTING_CHANGE_WORLD_H_

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/change_follower.h"
#include "daemon/change_history.h"

namespace clementine::testing {

/// What is wrong with a daemon.
enum class DaemonFault {
  kNone,
  kDead,       ///< Connections to it are refused.
  kSilent,     ///< It stands still; connections to it hang.
  kCut,        ///< Its calls to the platform get no answer.
  kRefused,    ///< The platform turns it away.
  kSlow,       ///< What it sends takes a quarter of a second.
  kRestarted,  ///< It starts again, knowing nothing.
};

/// Daemons a0 to a3, b0, b1, c0 and c1 in three data centres; those named with
/// 0 read the platform. Two kinds of objects change all the time.
class ChangeWorld {
 public:
  static constexpr milliseconds kStep{10};

  /// @param ghosts Whether lists of sources begin with daemons that are gone.
  ChangeWorld(milliseconds bound, bool ghosts, std::uint64_t seed);

  void SetFault(const std::string& daemon, DaemonFault fault);
  void SetStoreSlow() { m_store_latency = milliseconds(200); }
  void SetStoreLosesAnswers() { m_lost_answers = 0.3; }

  void Run(milliseconds time);

  /// Longest time for which a sound daemon lacked a change, while running.
  milliseconds worst() const { return m_worst; }
  std::string worst_daemon() const { return m_worst_daemon; }
  int platform_calls() const { return m_calls; }
  /// Times that a daemon took itself for current and lacked a change.
  int overclaims() const { return m_overclaims; }

 private:
  struct Call {
    ChangeKind kind = ChangeKind::kServers;
    bool list = false;
    bool ask = false;
    std::uint64_t since = 0;
    TimePoint sent;
    milliseconds wait{0};
    bool lost = false;
    std::optional<TimePoint> answered;  ///< When its answer was made.
    platform::ObjectBatch batch;
  };
  struct Line {
    TimePoint at;
    std::string from;
    std::uint64_t stream = 0;
    ChangeKind kind = ChangeKind::kServers;
    ChangeDelta delta;
    TimePoint as_of;
  };
  struct Subscriber {
    std::string name;
    std::uint64_t stream = 0;
    std::array<std::uint64_t, kChangeKinds> known{};
    TimePoint sent;
  };
  struct Daemon {
    std::string name;
    DaemonFault fault = DaemonFault::kNone;
    std::unique_ptr<ChangeFollower> follower;
    bool reads = false;
    std::array<ChangeHistory, kChangeKinds> histories;
    std::array<std::uint64_t, kChangeKinds> revisions{};
    std::array<std::uint64_t, kChangeKinds> versions{};
    std::array<bool, kChangeKinds> listed{};
    std::array<TimePoint, kChangeKinds> next_watch{};
    std::array<bool, kChangeKinds> watching{};
    std::list<Call> calls;
    std::list<Line> inbox;
    std::map<std::string, std::uint64_t> streams;  ///< By source.
    std::list<Subscriber> subscribers;
  };

  void Start(Daemon* daemon);
  void Change();
  void Step();
  void StepDaemon(Daemon* daemon);
  void Read(Daemon* daemon, std::size_t kind);
  void StepCalls(Daemon* daemon);
  void Answer(Daemon* daemon, const Call& call, bool failed);
  void Take(Daemon* daemon);
  void Learn(Daemon* daemon, std::size_t kind, bool whole,
             const platform::ObjectBatch& batch, TimePoint as_of);
  void Send(Daemon* source, Subscriber* to, std::size_t kind);
  void Subscribe(Daemon* daemon, const std::string& peer);
  void Check(const Daemon& daemon);
  static bool Runs(const Daemon& daemon) {
    return daemon.fault != DaemonFault::kDead &&
           daemon.fault != DaemonFault::kSilent;
  }

  milliseconds m_bound;
  std::mt19937_64 m_random;
  std::map<std::string, Daemon> m_daemons;
  std::map<std::string, ChangeRoles> m_roles;
  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  std::uint64_t m_revision = 1;
  /// When each version of a kind was made, by version, and its revision.
  std::array<std::vector<std::pair<TimePoint, std::uint64_t>>, kChangeKinds>
      m_made;
  TimePoint m_next_change;
  milliseconds m_store_latency{4};
  double m_lost_answers = 0.0;
  std::uint64_t m_last_stream = 0;
  int m_calls = 0;
  int m_overclaims = 0;
  milliseconds m_worst{0};
  std::string m_worst_daemon;
};

}  // namespace clementine::testing

#endif  // TESTING_CHANGE_WORLD_H_

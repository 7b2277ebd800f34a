// Simulation of daemons that follow each other and a platform, on a virtual
// clock, with faults of daemons and of the platform. For tests of the change
// follower.
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

/// Fault of a daemon.
enum class DaemonFault {
  kNone,
  kDead,          ///< Connections to it are refused.
  kUnresponsive,  ///< It does not run; connections to it hang.
  kPartitioned,   ///< Its calls to the platform get no answer.
  kRefused,       ///< The platform refuses its calls.
  kSlow,          ///< Its messages arrive after 250 ms.
  kRestarted,     ///< It restarts without state.
};

enum class FleetSize {
  /// Daemons a0 to a3, b0, b1, c0 and c1 in three data centres. Those whose
  /// name ends in 0 read the platform.
  kLarge,
  /// Daemons a0 to a2, b0, b1 and c0, all of which read the platform with long
  /// watches. c0 is alone in its data centre and knows two of the others.
  kSmall,
};

/// Objects of all kinds change continuously.
class ChangeWorld {
 public:
  static constexpr milliseconds kStep{10};

  /// @param dead_peers Whether lists of peers begin with daemons that no
  ///     longer exist.
  ChangeWorld(milliseconds bound, bool dead_peers, std::uint64_t seed,
              FleetSize size = FleetSize::kLarge);

  void SetFault(const std::string& daemon, DaemonFault fault);
  void SetPlatformSlow() { m_platform_latency = milliseconds(200); }
  void SetPlatformLosesAnswers() { m_lost_answer_fraction = 0.3; }

  void Run(milliseconds time);

  /// Maximum time for which a daemon without a fault lacked a change.
  milliseconds max_staleness() const { return m_max_staleness; }
  std::string stalest_daemon() const { return m_stalest_daemon; }
  /// The same for daemons without another fault than that the platform doesn't
  /// answer them.
  milliseconds max_rejected_staleness() const {
    return m_max_rejected_staleness;
  }
  int platform_calls() const { return m_calls; }
  /// Number of times that a daemon claimed to be current but lacked a change.
  int false_current_claims() const { return m_false_current_claims; }

 private:
  struct Call {
    ChangeKind kind = ChangeKind::kServers;
    bool list = false;
    bool query = false;
    std::uint64_t since = 0;
    TimePoint sent;
    milliseconds wait{0};
    bool lost = false;
    std::optional<TimePoint> answered;  ///< Time at which its answer was made.
    platform::ObjectBatch batch;
  };
  struct Message {
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
    std::list<Message> inbox;
    std::map<std::string, std::uint64_t> streams;  ///< By source.
    std::list<Subscriber> subscribers;
  };

  void StartDaemon(Daemon* daemon);
  void MakeChange();
  void Step();
  void StepDaemon(Daemon* daemon);
  void Watch(Daemon* daemon, std::size_t kind);
  void StepCalls(Daemon* daemon);
  void Answer(Daemon* daemon, const Call& call, bool failed);
  void ReceiveUpdates(Daemon* daemon);
  void ApplyUpdate(Daemon* daemon, std::size_t kind, bool whole,
                   const platform::ObjectBatch& batch, TimePoint as_of);
  void Send(Daemon* source, Subscriber* to, std::size_t kind);
  void Subscribe(Daemon* daemon, const std::string& peer);
  void MeasureStaleness(const Daemon& daemon);
  static bool IsRunning(const Daemon& daemon) {
    return daemon.fault != DaemonFault::kDead &&
           daemon.fault != DaemonFault::kUnresponsive;
  }

  milliseconds m_bound;
  std::mt19937_64 m_random;
  std::map<std::string, Daemon> m_daemons;
  std::map<std::string, ChangeRoles> m_roles;
  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  std::uint64_t m_revision = 1;
  /// Time and revision of each version of a kind, by version.
  std::array<std::vector<std::pair<TimePoint, std::uint64_t>>, kChangeKinds>
      m_versions;
  TimePoint m_next_change;
  milliseconds m_platform_latency{4};
  double m_lost_answer_fraction = 0.0;
  std::uint64_t m_last_stream = 0;
  int m_calls = 0;
  int m_false_current_claims = 0;
  milliseconds m_own_watch_duration{0};
  milliseconds m_max_staleness{0};
  milliseconds m_max_rejected_staleness{0};
  std::string m_stalest_daemon;
};

}  // namespace clementine::testing

#endif  // TESTING_CHANGE_WORLD_H_

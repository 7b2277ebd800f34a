// Status documents of a daemon and of its data centre; see docs/placement.md.
#ifndef CORE_STATUS_H_
#define CORE_STATUS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/group_state.h"
#include "core/placement_control.h"
#include "core/platform_calls.h"
#include "core/presence.h"

namespace clementine {

/// Entry of a daemon in the status document.
struct NodeStatus {
  std::string node;
  std::uint64_t generation = 0;
  bool live = true;
};

/// Inputs of a status document.
struct StatusSources {
  std::string data_centre;
  std::vector<NodeStatus> nodes;
  const Configuration* configuration = nullptr;
  const Presence* presence = nullptr;
  const PlacementControl* placement = nullptr;
  const PlatformCalls* calls = nullptr;
  std::vector<std::string> waiting_for;
};

/// Accumulates group downtime and stranded accelerator time, and writes object
/// status/<data centre>.
class Status {
 public:
  using Actions = std::vector<ControlAction>;

  Status(std::string key, milliseconds interval, PlatformCalls* calls,
         Jitter* jitter)
      : m_key(std::move(key)),
        m_interval(interval),
        m_calls(calls),
        m_jitter(jitter) {}

  /// Adds the time since the last call to the downtime of each group that is
  /// neither open nor draining, and of each missing replica, and to the
  /// stranded accelerator time.
  void UpdateMeasurements(const StatusSources& sources, TimePoint now);
  std::string Json(const StatusSources& sources) const;
  /// Writes the object when the interval has passed. Only the lease holder
  /// calls this.
  void Advance(const StatusSources& sources, TimePoint now, Actions* out);
  /// The store was restored from a copy: the version is read again.
  void OnStoreRestored() { m_must_read = true; }
  void OnReply(const PendingCall& call, const ObjectReply& reply,
               TimePoint now);

 private:
  struct GroupStatus {
    std::string group;
    std::string model;
    std::string state;  ///< As in charts/group.chart.
    std::vector<std::string> hosts;
    std::uint64_t epoch = 0;
    bool open = false;
  };

  std::vector<GroupStatus> CollectGroups(const StatusSources& sources) const;

  std::string m_key;
  milliseconds m_interval;
  PlatformCalls* m_calls;
  Jitter* m_jitter;
  GroupStates m_states;
  TimePoint m_measured_at;
  std::map<std::string, milliseconds> m_downtime;  ///< By group.
  int m_stranded_accelerators = 0;
  double m_stranded_seconds = 0.0;
  bool m_pending = false;
  bool m_must_read = true;
  std::uint64_t m_version = 0;
  TimePoint m_next_call_at;
  Backoff m_backoff{milliseconds(1'000), milliseconds(30'000)};
};

}  // namespace clementine

#endif  // CORE_STATUS_H_

// Failure history of hosts: which hosts have failed, are flapping, or are in a
// fabric domain that became unreachable.
#ifndef CORE_HOST_HISTORY_H_
#define CORE_HOST_HISTORY_H_

#include <map>
#include <set>
#include <string>

#include "core/core.h"
#include "core/presence.h"

namespace clementine {

/// Derives host failures, hold-downs and dark domains from presence. A fabric
/// domain is dark (unreachable as a whole) while more than half of its hosts,
/// and at least kMinDarkHosts, are unreachable.
class HostHistory {
 public:
  using Actions = std::vector<ControlAction>;

  explicit HostHistory(milliseconds presence_timeout)
      : m_failure_timeout(2 * presence_timeout) {}

  void Update(const Presence& presence, TimePoint now, Actions* out);

  /// Whether the host has been unreachable for twice the presence timeout,
  /// which is longer than one or two lost probes explain.
  bool IsFailed(const std::string& host) const;
  /// Whether the host returned from a failure and must not be assigned before
  /// its hold-down ends.
  bool IsHeldDown(const std::string& host, TimePoint now) const;
  /// Dark domains whose groups aren't moved yet.
  const std::set<std::string>& held_domains() const { return m_held_domains; }
  /// Whether most hosts are unreachable, which more likely means that this
  /// daemon is partitioned.
  bool isolated() const { return m_isolated; }

 private:
  struct History {
    bool failed = false;
    int failures = 0;
    TimePoint up_since;
    TimePoint held_until;
  };
  struct Domain {
    int hosts = 0;
    int unreachable = 0;
  };

  void UpdateHost(const std::string& host, const HostPresence& record,
                  bool reachable_now, TimePoint now, Actions* out);
  void UpdateDomains(const std::map<std::string, Domain>& domains,
                     TimePoint now, Actions* out);

  milliseconds m_failure_timeout;
  std::map<std::string, History> m_hosts;
  std::map<std::string, TimePoint> m_dark_since;
  std::set<std::string> m_held_domains;
  bool m_isolated = false;
};

}  // namespace clementine

#endif  // CORE_HOST_HISTORY_H_

// Failures of hosts over time: who is failed, flapping or in a dark domain.
#ifndef CORE_HOST_HISTORY_H_
#define CORE_HOST_HISTORY_H_

#include <map>
#include <set>
#include <string>

#include "core/core.h"
#include "core/presence.h"

namespace clementine {

/// Turns presence over time into failures, hold-downs and dark domains.
class HostHistory {
 public:
  using Actions = std::vector<ControlAction>;

  explicit HostHistory(milliseconds presence_timeout)
      : m_fail_after(2 * presence_timeout) {}

  void Update(const Presence& presence, TimePoint now, Actions* out);

  /// Unreachable for longer than a lost probe or two explain.
  bool Failed(const std::string& host) const;
  /// Failed repeatedly; not to be assigned before its hold-down ends.
  bool Held(const std::string& host, TimePoint now) const;
  /// Domains that went dark a short time ago.
  const std::set<std::string>& held_domains() const { return m_held_domains; }
  /// Most hosts are unreachable: more likely this node is cut off.
  bool isolated() const { return m_isolated; }

 private:
  struct History {
    bool failed = false;
    int strikes = 0;
    TimePoint up_since;
    TimePoint held_until;
  };
  struct Domain {
    int hosts = 0;
    int unreachable = 0;
  };

  void UpdateHost(const std::string& host, const HostRecord& record, bool fresh,
                  TimePoint now, Actions* out);
  void UpdateDomains(const std::map<std::string, Domain>& domains,
                     TimePoint now, Actions* out);

  milliseconds m_fail_after;
  std::map<std::string, History> m_hosts;
  std::map<std::string, TimePoint> m_dark_since;
  std::set<std::string> m_held_domains;
  bool m_isolated = false;
};

}  // namespace clementine

#endif  // CORE_HOST_HISTORY_H_

// Chooses from whom a daemon reads changes of the platform's objects. In a
// large fleet a few daemons of each data centre watch the platform and pass
// changes on to the others, so that calls to the platform don't grow with the
// fleet.
#ifndef CORE_WATCH_SOURCE_H_
#define CORE_WATCH_SOURCE_H_

#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Invariant: a peer that failed isn't chosen again for some time, and without
/// a sound peer the platform is.
class WatchSource {
 public:
  /// @param node Name of this daemon; spreads the daemons over the peers.
  explicit WatchSource(std::string node) : m_node(std::move(node)) {}

  /// Sets the addresses of daemons that pass changes on. Empty: this daemon
  /// watches the platform itself.
  void SetPeers(const std::vector<std::string>& addresses);

  /// @return The address of a peer; empty for the platform.
  std::string Choose(TimePoint now) const;

  /// A peer didn't answer, or couldn't tell what changed.
  void Failed(const std::string& address, TimePoint now);

 private:
  std::string m_node;
  std::vector<std::string> m_peers;  ///< The preferred one first.
  std::map<std::string, TimePoint> m_avoid_until;
};

}  // namespace clementine

#endif  // CORE_WATCH_SOURCE_H_

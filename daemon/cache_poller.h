// Fetches cache events of the groups that this daemon sends requests to.
#ifndef DAEMON_CACHE_POLLER_H_
#define DAEMON_CACHE_POLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "net/net.h"

namespace clementine {

/// Numbers blocks for the request path: each added or removed block takes one
/// number, and a gap in the engine's numbering becomes a gap in ours.
class CachePoller {
 public:
  /// @param backends Outlives the poller.
  CachePoller(BackendClient* backends, std::function<void(RequestEvent)> feed);
  ~CachePoller();
  CachePoller(const CachePoller&) = delete;
  CachePoller& operator=(const CachePoller&) = delete;

  void SetGroups(const std::vector<GroupView>& groups);
  /// Notes that a request was sent to a group.
  void Used(const std::string& group, TimePoint now);
  /// Asks the groups in use whose last answer is old enough.
  void Poll(TimePoint now);

 private:
  struct Group {
    std::string address;
    std::uint64_t epoch = 0;
    std::uint64_t engine_sequence = 0;  ///< Last event read.
    std::uint64_t sequence = 0;         ///< Last number that we gave.
    TimePoint used;
    TimePoint polled;
    bool waiting = false;
  };

  void Ask(const std::string& name, Group* group);
  void Apply(const std::string& name, Group* group, const std::string& body);

  BackendClient* m_backends;
  std::function<void(RequestEvent)> m_feed;
  std::map<std::string, Group> m_groups;
  /// Tells late callbacks that the poller is gone.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace clementine

#endif  // DAEMON_CACHE_POLLER_H_

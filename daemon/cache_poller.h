// Polls the cache events of the groups that this daemon sends requests to.
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

/// Feeds CacheEvents to the request path. The engine numbers events; the poller
/// numbers blocks: each added or removed block takes one sequence number, and a
/// gap in the engine's numbers becomes a gap in the poller's.
class CachePoller {
 public:
  /// @param backends Outlives the poller.
  CachePoller(BackendClient* backends, std::function<void(RequestEvent)> feed);
  ~CachePoller();
  CachePoller(const CachePoller&) = delete;
  CachePoller& operator=(const CachePoller&) = delete;

  void SetGroups(const std::vector<GroupView>& groups);
  /// Records that a request was sent to a group.
  void OnRequestSent(const std::string& group, TimePoint now);
  /// Requests the cache events of groups in use, of each at most once per
  /// second and with one request at a time.
  void Poll(TimePoint now);

 private:
  struct Group {
    std::string address;
    std::uint64_t epoch = 0;
    std::uint64_t engine_sequence = 0;  ///< Of the last event read.
    std::uint64_t sequence = 0;         ///< Last number assigned.
    TimePoint last_used;
    TimePoint last_polled;
    bool poll_pending = false;
  };

  void RequestEvents(const std::string& name, Group* group);
  void ApplyEvents(const std::string& name, Group* group,
                   const std::string& body);

  BackendClient* m_backends;
  std::function<void(RequestEvent)> m_feed;
  std::map<std::string, Group> m_groups;
  /// False after destruction; callbacks check it before using the poller.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace clementine

#endif  // DAEMON_CACHE_POLLER_H_

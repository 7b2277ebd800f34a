// Tracks backend servers that requested a backoff by Retry-After.
#ifndef CORE_SERVER_BACKOFF_H_
#define CORE_SERVER_BACKOFF_H_

#include <map>
#include <optional>
#include <string>

#include "core/core.h"
#include "core/jitter.h"

namespace clementine {

/// Circuit breaker for each backend server. A server that requests a backoff
/// gets no requests until the backoff ends. Then it gets one request at a time
/// until it accepts one.
/// Invariant: no request is allowed during a requested backoff of up to
/// kMaxBackoff.
class ServerBackoff {
 public:
  /// Bound on a backoff. A wrong Retry-After must not take a server out of
  /// service permanently.
  static constexpr milliseconds kMaxBackoff{60'000};

  /// kHalfOpen: the backoff has ended, but no request was accepted since.
  enum class State { kAvailable, kHalfOpen, kBackingOff };

  explicit ServerBackoff(std::uint64_t seed) : m_jitter(seed) {}

  /// Called when a server answers with a backoff.
  void OnBackoffRequested(const std::string& host, milliseconds wait,
                          TimePoint now);
  /// Called when a server accepts a request.
  /// @return Whether its state changed.
  bool OnRequestAccepted(const std::string& host);
  /// Ends backoffs that have expired.
  /// @return Whether the state of any server changed.
  bool Advance(TimePoint now);

  State StateOf(const std::string& host) const;
  /// @return End of a server's backoff, or nullopt if it isn't backing off.
  std::optional<TimePoint> BackoffUntil(const std::string& host) const;

  /// Drops servers that are no longer known and whose backoff has ended.
  template <typename Known>
  void RetainServers(const Known& known) {
    std::erase_if(m_servers, [&](const auto& entry) {
      return entry.second.expired && !known(entry.first);
    });
  }

 private:
  /// Bound on the random delay added to a backoff. Daemons that received
  /// backoffs at the same time then don't send their next requests at the same
  /// time.
  static constexpr milliseconds kMaxJitter{500};

  struct Server {
    TimePoint backoff_until;
    bool expired = false;
  };

  Jitter m_jitter;
  std::map<std::string, Server> m_servers;
};

}  // namespace clementine

#endif  // CORE_SERVER_BACKOFF_H_

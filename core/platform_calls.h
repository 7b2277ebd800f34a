// Assigns ids to the calls to the platform's object API, counts them and limits
// their rate.
#ifndef CORE_PLATFORM_CALLS_H_
#define CORE_PLATFORM_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/jitter.h"

namespace clementine {

/// Time within which a configuration has to be in force at all daemons
/// (docs/CAPACITY.md).
inline constexpr milliseconds kConfigurationBound{9'000};
/// Maximum pause between failed calls that read the configuration. It leaves
/// the larger part of the bound for the call itself and for the other daemons.
inline constexpr milliseconds kMaxConfigurationRetry = kConfigurationBound / 4;

/// Component that issued a call and gets its reply.
enum class CallOwner { kLease, kPlacement, kConfig, kStatus };

/// A call whose reply is outstanding.
struct PendingCall {
  CallOwner owner = CallOwner::kLease;
  std::string key;
  bool write = false;
  TimePoint sent;
};

/// Exponential backoff with jitter for the calls of one component.
class Backoff {
 public:
  explicit Backoff(milliseconds initial_delay = milliseconds(200),
                   milliseconds max_delay = milliseconds(10'000))
      : m_initial_delay(initial_delay), m_max_delay(max_delay) {}

  void OnSuccess() { m_failures = 0; }
  /// @return The earliest time of the next attempt. Jitter keeps daemons that
  ///         failed together from retrying together.
  TimePoint OnFailure(TimePoint now, Jitter* jitter);
  int failures() const { return m_failures; }

 private:
  milliseconds m_initial_delay;
  milliseconds m_max_delay;
  int m_failures = 0;
};

/// Owns the call ids, the rate limit and the call counts.
/// Invariant: calls other than lease calls don't exceed the rate limit.
class PlatformCalls {
 public:
  using Actions = std::vector<ControlAction>;

  CallId NextId() { return ++m_last_id; }

  /// The calls below return 0 or false and issue nothing if the rate limit is
  /// reached. Lease calls are never limited, because their own interval bounds
  /// their rate.
  CallId Get(CallOwner owner, const std::string& key, TimePoint now,
             Actions* out);
  CallId Put(CallOwner owner, const std::string& key, std::string value,
             std::uint64_t if_version, TimePoint now, Actions* out);
  bool List(TimePoint now, Actions* out);
  bool StartWatch(const std::string& prefix, std::uint64_t since,
                  milliseconds timeout, TimePoint now, Actions* out);

  /// Removes and returns the pending call that a reply belongs to, if any.
  std::optional<PendingCall> Take(CallId call);

  /// Removes and returns the pending calls that were sent before `deadline`.
  /// Their outcome is unknown.
  std::vector<std::pair<CallId, PendingCall>> TakeCallsSentBefore(
      TimePoint deadline);

  /// Number of calls issued by kind: get, put, list, watch.
  const std::map<std::string, std::uint64_t>& counts() const {
    return m_counts;
  }

 private:
  bool TrySpendToken(CallOwner owner, TimePoint now);

  CallId m_last_id = 0;
  std::map<CallId, PendingCall> m_pending;
  std::map<std::string, std::uint64_t> m_counts;
  double m_tokens = 40.0;
  TimePoint m_refilled;
};

}  // namespace clementine

#endif  // CORE_PLATFORM_CALLS_H_

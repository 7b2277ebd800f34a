// Numbers, counts and paces the calls to the platform's object API.
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

/// Job that a reply is handed to.
enum class CallOwner { kLease, kPlacement, kConfig, kStatus };

/// A call without a reply so far.
struct PendingCall {
  CallOwner owner = CallOwner::kLease;
  std::string key;
  bool write = false;
  TimePoint sent;
};

/// Outcome of calls of one job: how long to wait before the next one.
class Backoff {
 public:
  explicit Backoff(milliseconds first = milliseconds(200),
                   milliseconds longest = milliseconds(10'000))
      : m_first(first), m_longest(longest) {}

  void Succeeded() { m_failures = 0; }
  /// @return The earliest time of the next try, with full jitter so that
  ///         daemons that failed together don't return together.
  TimePoint Failed(TimePoint now, Jitter* jitter);
  int failures() const { return m_failures; }

 private:
  milliseconds m_first;
  milliseconds m_longest;
  int m_failures = 0;
};

/// Owns call ids, the budget of calls and their counts.
/// Invariant: calls other than lease calls don't exceed the budget.
class PlatformCalls {
 public:
  using Actions = std::vector<ControlAction>;

  CallId NextId() { return ++m_last_id; }

  /// Each returns 0 and issues nothing when the budget is exhausted; calls of
  /// the lease are never held back, since their own period bounds them.
  CallId Get(CallOwner owner, const std::string& key, TimePoint now,
             Actions* out);
  CallId Put(CallOwner owner, const std::string& key, std::string value,
             std::uint64_t if_version, TimePoint now, Actions* out);
  bool List(TimePoint now, Actions* out);
  bool StartWatch(const std::string& prefix, std::uint64_t since,
                  milliseconds timeout, TimePoint now, Actions* out);

  /// Takes the pending call that a reply belongs to, if it's known.
  std::optional<PendingCall> Take(CallId call);

  /// Calls without a reply since before `deadline`; they are removed. Their
  /// outcome is unknown.
  std::vector<std::pair<CallId, PendingCall>> TakeOlderThan(TimePoint deadline);

  /// Calls issued so far by kind: get, put, list, watch.
  const std::map<std::string, std::uint64_t>& counts() const {
    return m_counts;
  }

 private:
  bool Spend(CallOwner owner, TimePoint now);

  CallId m_last_id = 0;
  std::map<CallId, PendingCall> m_pending;
  std::map<std::string, std::uint64_t> m_counts;
  double m_tokens = 40.0;
  TimePoint m_refilled;
};

}  // namespace clementine

#endif  // CORE_PLATFORM_CALLS_H_

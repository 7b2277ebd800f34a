// Reads and conditionally rewrites object placement/<data centre>.
#ifndef CORE_PLACEMENT_STORE_H_
#define CORE_PLACEMENT_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/mutation.h"
#include "core/placement_object.h"
#include "core/platform_calls.h"

namespace clementine {

/// Invariant: if IsClaimed(fence) is true, the stored object equals
/// placement(), was written with that fence, and no outstanding write of this
/// daemon can still change it.
class PlacementStore {
 public:
  using Actions = std::vector<ControlAction>;

  PlacementStore(std::string key, std::string writer, PlatformCalls* calls,
                 Jitter* jitter, Mutation mutation)
      : m_key(std::move(key)),
        m_writer(std::move(writer)),
        m_calls(calls),
        m_jitter(jitter),
        m_mutation(mutation) {}

  /// Content of the object, received from a watch or from another daemon.
  void OnObserved(std::uint64_t version, const std::string& value,
                  Actions* out);
  void OnAbsenceObserved() { m_absent = !m_known; }
  void OnReply(const PendingCall& call, const ObjectReply& reply, TimePoint now,
               Actions* out);
  /// The store was restored from a copy. The known placement stays in force and
  /// is written again by the next lease holder. Objects whose fence was granted
  /// before the era are ignored, except for their version.
  /// @param first_fence See FirstFenceOfEra.
  void OnStoreRestored(std::uint64_t first_fence);
  /// A new fence was granted. The object is read and claimed again.
  void OnNewFence() {
    m_must_read = m_must_claim = true;
    m_claimed = false;
  }
  /// Reads the object after writes with unknown outcome, and rewrites it with
  /// `fence` if its fence is lower. Only the lease holder calls this.
  void Advance(std::uint64_t fence, TimePoint now, Actions* out);
  /// Requires IsClaimed(fence).
  void Write(Placement next, std::uint64_t fence, TimePoint now, Actions* out);

  bool IsClaimed(std::uint64_t fence) const;
  /// Whether the stored fence forbids writes with `fence`: it is higher, or it
  /// is equal and was written by another daemon.
  bool IsFenceTooLow(std::uint64_t fence) const;
  /// Whether a valid stored object, or its absence, has been read.
  bool known() const { return m_known; }
  /// Whether the absence of the object was observed, and known() is false.
  bool absent() const { return m_absent && !m_known; }
  const Placement& placement() const { return m_placement; }
  std::uint64_t version() const { return m_version; }
  /// Number of changes of placement().
  std::uint64_t changes() const { return m_changes; }
  const std::string& waiting_for() const { return m_waiting_for; }

 private:
  void Adopt(std::uint64_t version, const std::string& value, Actions* out);
  void Put(Placement next, TimePoint now, Actions* out);

  std::string m_key;
  std::string m_writer;
  PlatformCalls* m_calls;
  Jitter* m_jitter;
  Mutation m_mutation;
  bool m_known = false;
  bool m_damaged = false;
  bool m_absent = false;
  std::uint64_t m_version = 0;      ///< 0 when absent.
  std::uint64_t m_first_fence = 0;  ///< Of the era; 0 before a restore.
  Placement m_placement;
  std::uint64_t m_changes = 0;

  bool m_pending = false;
  bool m_must_read = true;  ///< The stored object is unknown.
  /// The object must be rewritten: a new fence was granted, or an earlier write
  /// may still take effect.
  bool m_must_claim = true;
  bool m_claimed = false;  ///< A write with the current fence succeeded.
  Placement m_written;     ///< Content of the pending write.
  std::uint64_t m_writes = 0;
  TimePoint m_next_call_at;
  Backoff m_backoff{milliseconds(200), milliseconds(3'000)};
  std::string m_waiting_for;
};

}  // namespace clementine

#endif  // CORE_PLACEMENT_STORE_H_

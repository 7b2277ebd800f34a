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

/// Invariant: Claimed(fence) means that the stored object is placement(), was
/// written with that fence, and that no write of ours can still change it.
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

  /// Content of the object from a watch or from another daemon.
  void Observed(std::uint64_t version, const std::string& value, Actions* out);
  void ObservedAbsent() { m_absent = !m_known; }
  void Replied(const PendingCall& call, const ObjectReply& reply, TimePoint now,
               Actions* out);
  /// A new fence was granted: the object is read and claimed again.
  void NewFence() {
    m_must_read = m_must_claim = true;
    m_claimed = false;
  }
  /// Resolves unknown outcomes and rewrites the object with `fence` when it
  /// carries a lower one. Only the lease holder calls this.
  void Advance(std::uint64_t fence, TimePoint now, Actions* out);
  /// Requires Claimed(fence).
  void Write(Placement next, std::uint64_t fence, TimePoint now, Actions* out);

  bool Claimed(std::uint64_t fence) const;
  /// Whether the stored fence isn't below `fence` though it isn't ours.
  bool FenceTooLow(std::uint64_t fence) const;
  bool known() const { return m_known; }
  /// Never stored, as far as is known.
  bool absent() const { return m_absent && !m_known; }
  const Placement& placement() const { return m_placement; }
  std::uint64_t version() const { return m_version; }
  /// Rises whenever placement() changes.
  std::uint64_t changes() const { return m_changes; }
  const std::string& waiting_for() const { return m_waiting; }

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
  std::uint64_t m_version = 0;  ///< 0 when absent.
  Placement m_placement;
  std::uint64_t m_changes = 0;

  bool m_pending = false;
  bool m_must_read = true;   ///< The stored object isn't known.
  bool m_must_claim = true;  ///< An earlier write could still take effect.
  bool m_claimed = false;    ///< A write with the current fence succeeded.
  Placement m_written;       ///< Content of the pending write.
  std::uint64_t m_writes = 0;
  TimePoint m_next;
  Backoff m_backoff{milliseconds(200), milliseconds(3'000)};
  std::string m_waiting;
};

}  // namespace clementine

#endif  // CORE_PLACEMENT_STORE_H_

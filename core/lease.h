// The lease that entitles one daemon to change the placement.
#ifndef CORE_LEASE_H_
#define CORE_LEASE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "core/mutation.h"
#include "core/platform_calls.h"
#include "statechart/statechart.h"

namespace clementine {

/// Content of object lease/<data centre>.
struct LeaseRecord {
  std::string holder;  ///< Empty when released.
  std::uint64_t incarnation = 0;
  std::uint64_t term = 0;  ///< Increments with each takeover.
  /// Fencing token of orders and placements. Increments with each takeover, and
  /// is also raised above the fence of the stored placement (see RaiseFence).
  std::uint64_t fence = 0;
  /// Number of the write within the incarnation of its writer; counts
  /// takeovers, renewals and releases.
  std::uint64_t renewal = 0;
};

std::string EncodeLease(const LeaseRecord& record);  ///< JSON.
/// @throws std::runtime_error if the text is not a valid lease.
LeaseRecord DecodeLease(const std::string& json);

/// Acquires, renews and releases the lease of this daemon. Clocks of different
/// hosts are never compared: the holder measures the duration of the lease from
/// the time at which it sent its last granted renewal, a candidate measures it
/// from the time at which it first received the stored version. Invariant:
/// IsValid() is true at no more than one daemon at a time.
class Lease {
 public:
  using Actions = std::vector<ControlAction>;

  struct Options {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string key;
    milliseconds duration{10'000};
    /// An order has ended this long after it was sent. Setting longest_order.
    milliseconds max_order_duration{5'000};
    Mutation mutation = Mutation::kNone;
    /// No daemon has run before; an absent lease was never held.
    bool first_start = false;
  };

  Lease(Options options, PlatformCalls* calls, Jitter* jitter);

  /// Handles the reply to a platform call with owner CallOwner::kLease.
  void OnReply(const PendingCall& call, const ObjectReply& reply, TimePoint now,
               Actions* out);
  /// Sends the read, renewal or takeover write that is due, if any.
  /// @param may_compete Whether this daemon is a candidate.
  void Advance(bool may_compete, TimePoint now, Actions* out);

  /// Reports the fence of the stored placement. The lease is rewritten with a
  /// higher fence if its own is not higher, which is the case after an operator
  /// deleted the lease object.
  void RaiseFence(std::uint64_t placement_fence);
  /// Sets the era of the store. Fences of an era are above those of all earlier
  /// eras.
  void SetStoreEra(std::uint64_t era);
  /// The store was restored from a copy: the lease is not held until a write
  /// that is sent after this call was granted. No earlier version, write or
  /// read is used. The holder may take the lease at once while its earlier
  /// grant is unexpired, because no other daemon can hold it in that time.
  void OnStoreRestored(std::uint64_t era, TimePoint now, Actions* out);
  /// Reports a fence that some daemon was granted. The next takeover uses a
  /// higher one. In contrast to RaiseFence, a lease that is held is kept.
  void NoteFence(std::uint64_t fence);
  /// Gives daemons that are not the preferred candidates longer delays.
  /// @param takeover_delay Added to the wait before taking an expired lease.
  /// @param read_delay     Upper bound of the delay added between two reads
  ///                       while another daemon holds the lease.
  void SetCandidateDelays(milliseconds takeover_delay,
                          milliseconds read_delay) {
    m_takeover_delay = takeover_delay;
    m_extra_read_delay = read_delay;
  }
  /// Reports that the platform has no placement object: no daemon has acted
  /// under a lease yet.
  void OnPlacementAbsent() { m_placement_absent = true; }
  /// Stops renewing, and releases the lease once `orders_ended` is true.
  void Release(bool orders_ended, TimePoint now, Actions* out);

  /// Whether this daemon holds an unexpired lease, granted by a write that was
  /// sent after the last pause of this process.
  bool IsValid(TimePoint now) const;
  /// Whether an order sent now ends before the lease expires.
  bool CanSendOrders(TimePoint now) const;
  /// Whether the lease as last read names this daemon.
  bool IsHolder() const { return m_is_holder; }
  const std::string& state() const { return m_machine.state(); }
  std::uint64_t fence() const { return m_record.fence; }
  /// Number of times that this daemon has acquired the lease. Unchanged when
  /// the lease expired and was renewed without another holder in between.
  std::uint64_t tenure() const { return m_tenure; }
  /// Holder as last read from the platform.
  const std::string& known_holder() const { return m_stored.holder; }
  std::uint64_t known_fence() const { return m_stored.fence; }
  std::string waiting_for() const { return m_waiting_for; }

 private:
  struct Write {
    LeaseRecord record;
    TimePoint sent_at;
  };

  bool IsUnexpiredAt(TimePoint time) const;
  /// Whether the stored lease may be a copy that lacks a later grant.
  bool MayBeOldCopy() const;
  TimePoint TakeoverTime() const;
  void SendRead(TimePoint now, Actions* out);
  void Put(LeaseRecord record, TimePoint now, Actions* out);
  void OnVersionRead(const ObjectReply& reply, TimePoint now, Actions* out);
  void OnGranted(const LeaseRecord& record, TimePoint sent_at, TimePoint now,
                 Actions* out);
  void Apply(const char* event, Actions* out);
  void AdvanceHolder(TimePoint now, Actions* out);
  void AdvanceCandidate(TimePoint now, Actions* out);
  const Write* FindWrite(const LeaseRecord& record) const;

  Options m_options;
  PlatformCalls* m_calls;
  Jitter* m_jitter;
  ChartMachine m_machine;    ///< charts/lease.chart
  bool m_is_holder = false;  ///< This daemon wrote the stored record.

  bool m_pending = false;    ///< A call of this lease has no reply yet.
  bool m_must_read = true;   ///< The stored lease is unknown.
  TimePoint m_next_call_at;  ///< Earliest time of the next call.
  Backoff m_backoff{milliseconds(200), milliseconds(3'000)};
  std::string m_waiting_for = "lease not read";

  std::uint64_t m_version = 0;  ///< Last known version; 0 when absent.
  LeaseRecord m_stored;         ///< Content of that version.
  bool m_stored_known = false;
  TimePoint m_version_seen_at;    ///< When that version was first received.
  TimePoint m_last_read_sent_at;  ///< Send time of the last successful read.
  /// Random delay that keeps candidates from writing at the same time.
  milliseconds m_takeover_jitter{0};
  milliseconds m_takeover_delay{0};
  milliseconds m_extra_read_delay{0};

  LeaseRecord m_record;         ///< As last granted to this daemon.
  TimePoint m_granted_sent_at;  ///< Send time of the last granted write.
  std::uint64_t m_renewal = 0;
  /// Recent writes. One that was reported as failed may still be applied.
  std::deque<Write> m_writes;
  std::uint64_t m_min_fence = 0;
  std::uint64_t m_noted_fence = 0;  ///< Highest one that was seen.
  std::uint64_t m_store_era = 0;
  bool m_restored = false;  ///< The store was restored since the start.
  /// End of the grant that this daemon had when the store was restored.
  TimePoint m_retake_until;
  std::uint64_t m_tenure = 0;
  /// Another record was stored after this daemon's last granted one.
  bool m_superseded = true;
  bool m_placement_absent = false;
  TimePoint m_last_advance_at;
  /// End of the last pause of this process. Writes sent before it do not make
  /// the lease valid, since another daemon may have taken it meanwhile.
  TimePoint m_resumed_at;
};

}  // namespace clementine

#endif  // CORE_LEASE_H_

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
  std::uint64_t term = 0;     ///< Rises with each change of holder.
  std::uint64_t fence = 0;    ///< Fencing token of orders and placements.
  std::uint64_t renewal = 0;  ///< Number of the write within the incarnation.
};

std::string EncodeLease(const LeaseRecord& record);  ///< JSON.
/// @throws std::runtime_error when the text isn't a valid lease.
LeaseRecord DecodeLease(const std::string& json);

/// Holder and candidate sides of the lease. No clock of another host is used:
/// a holder counts from before it sent the renewal, a candidate counts from
/// when it first received the version that it waits on. Invariant: at most one
/// daemon's Proven() is true at a time.
class Lease {
 public:
  using Actions = std::vector<ControlAction>;

  struct Options {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string key;
    milliseconds duration{10'000};
    milliseconds longest_order{5'000};
    Mutation mutation = Mutation::kNone;
  };

  Lease(Options options, PlatformCalls* calls, Jitter* jitter);

  /// Reply to a call of this job.
  void Replied(const PendingCall& call, const ObjectReply& reply, TimePoint now,
               Actions* out);
  /// Reads, renews, takes over or releases as due.
  /// @param may_compete Whether this daemon is a candidate.
  void Advance(bool may_compete, TimePoint now, Actions* out);

  /// Highest fence seen in the placement object. The lease is rewritten with a
  /// higher one if needed, which happens after an operator deleted the lease.
  void RaiseFence(std::uint64_t placement_fence);
  /// @param wait  Extra time before this candidate takes a lapsed lease.
  /// @param pause Extra time between two reads while another daemon holds it.
  void SetReserve(milliseconds wait, milliseconds pause) {
    m_reserve_wait = wait;
    m_read_pause = pause;
  }
  /// There is no placement object, so no daemon has used a lease yet.
  void PlacementAbsent() { m_placement_absent = true; }
  /// Stops renewing and releases when `orders_settled`.
  void Release(bool orders_settled, TimePoint now, Actions* out);

  /// Whether this daemon holds the lease, by a renewal sent after any pause.
  bool Proven(TimePoint now) const;
  /// Whether an order sent now ends before the lease does.
  bool CanOrder(TimePoint now) const;
  /// Whether the lease as last read names this daemon.
  bool Holding() const { return m_own; }
  const std::string& state() const { return m_machine.state(); }
  std::uint64_t fence() const { return m_record.fence; }
  /// Rises each time this daemon takes the lease. Unchanged by a lapse in which
  /// nobody else was granted it; 0 before the first time.
  std::uint64_t tenure() const { return m_tenure; }
  /// Holder as last read from the platform.
  const std::string& known_holder() const { return m_seen.holder; }
  std::uint64_t known_fence() const { return m_seen.fence; }
  std::string waiting_for() const { return m_waiting; }

 private:
  struct Write {
    LeaseRecord record;
    TimePoint sent;
  };

  bool ValidAt(TimePoint time) const;
  TimePoint TakeoverTime() const;
  void Read(TimePoint now, Actions* out);
  void Put(LeaseRecord record, TimePoint now, Actions* out);
  void SawVersion(const ObjectReply& reply, TimePoint now, Actions* out);
  void Granted(const LeaseRecord& record, TimePoint sent, TimePoint now,
               Actions* out);
  void Apply(const char* event, Actions* out);
  void AdvanceHolder(TimePoint now, Actions* out);
  void AdvanceCandidate(TimePoint now, Actions* out);
  const Write* FindWrite(const LeaseRecord& record) const;

  Options m_options;
  PlatformCalls* m_calls;
  Jitter* m_jitter;
  ChartMachine m_machine;  ///< charts/lease.chart
  bool m_own = false;      ///< The stored record is one of our writes.

  bool m_pending = false;   ///< A call of this job has no reply yet.
  bool m_must_read = true;  ///< The stored lease isn't known.
  TimePoint m_next;         ///< Earliest time of the next call.
  Backoff m_backoff{milliseconds(200), milliseconds(3'000)};
  std::string m_waiting = "lease not read";

  std::uint64_t m_version = 0;  ///< Version last seen; 0 when absent.
  LeaseRecord m_seen;           ///< Content of that version.
  bool m_seen_any = false;
  TimePoint m_first_seen;    ///< When that version was first received.
  TimePoint m_last_read;     ///< Sending time of the last good read.
  milliseconds m_spread{0};  ///< Keeps candidates from writing together.
  milliseconds m_reserve_wait{0};
  milliseconds m_read_pause{0};

  LeaseRecord m_record;  ///< As granted to this daemon.
  TimePoint m_granted;   ///< Sending time of the last granted write.
  std::uint64_t m_renewal = 0;
  std::deque<Write> m_writes;  ///< Recent writes; a late one can be granted.
  std::uint64_t m_least_fence = 0;
  std::uint64_t m_tenure = 0;
  bool m_superseded = true;  ///< The stored record was not ours since.
  bool m_placement_absent = false;
  TimePoint m_last_now;
  TimePoint m_prove_from;  ///< A renewal sent before this proves nothing.
};

}  // namespace clementine

#endif  // CORE_LEASE_H_

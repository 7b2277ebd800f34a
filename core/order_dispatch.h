// Sends the orders that make the engines match the stored placement.
#ifndef CORE_ORDER_DISPATCH_H_
#define CORE_ORDER_DISPATCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/placement_object.h"
#include "core/platform_calls.h"
#include "core/presence.h"

namespace clementine {

/// Compares the health of hosts with the stored placement and orders the
/// differences. Invariant: a host has at most one outstanding order. An order
/// is outstanding until the host has accepted it, it is known not to have been
/// sent, or the maximum order duration has passed. A refused order remains
/// outstanding until then.
class OrderDispatch {
 public:
  using Actions = std::vector<ControlAction>;

  OrderDispatch(milliseconds max_order_duration, PlatformCalls* calls,
                Jitter* jitter)
      : m_max_order_duration(max_order_duration),
        m_calls(calls),
        m_jitter(jitter) {}

  /// This daemon was granted the lease. All orders of earlier lease holders
  /// have ended before `now`.
  void OnLeaseGranted(TimePoint now) { m_earlier_orders_ended_at = now; }

  /// Sends the orders that are due. Requires Lease::CanSendOrders and a claimed
  /// placement (see PlacementStore).
  /// @param max_loading Maximum number of groups that load at a time.
  void Advance(const Placement& stored, const Presence& presence,
               std::uint64_t fence, int max_loading, TimePoint now,
               Actions* out);
  /// @return Whether the host received and refused its outstanding order, for
  ///     any reason.
  bool OnOrderAnswered(const OrderAnswered& answer, TimePoint now,
                       Actions* out);

  bool HasNoOutstandingOrders(TimePoint now) const;
  /// Whether the health of the host shows that it is in no group, and no
  /// outstanding order can change that.
  bool IsConfirmedIdle(const HostPresence& host, const Presence& presence,
                       TimePoint now) const;

 private:
  struct HostOrders {
    CallId call = 0;  ///< 0 when no order is outstanding.
    TimePoint sent_at;
    /// Health that was queried earlier may not show the effect of the order.
    TimePoint settled_at;
    TimePoint next_at;
    Backoff backoff{milliseconds(500), milliseconds(30'000)};
  };

  bool IsOutstanding(const HostOrders& orders, TimePoint now) const;
  void Send(const HostPresence& host, HostOrder order, TimePoint now,
            Actions* out);
  bool IsDue(const HostPresence& host, const Presence& presence,
             TimePoint now) const;
  void Unload(const HostPresence& host, std::uint64_t fence, TimePoint now,
              Actions* out);
  void OrderMember(const std::string& name, const PlacedGroup& group, int rank,
                   const HostPresence& host, std::uint64_t fence, TimePoint now,
                   Actions* out);

  milliseconds m_max_order_duration;
  PlatformCalls* m_calls;
  Jitter* m_jitter;
  TimePoint m_earlier_orders_ended_at;
  std::map<std::string, HostOrders> m_orders;
};

}  // namespace clementine

#endif  // CORE_ORDER_DISPATCH_H_

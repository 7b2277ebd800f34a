// Orders that bring engines to the stored placement.
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

/// Compares health with the stored placement and orders what differs.
/// Invariant: a host has at most one unsettled order. An order is settled once
/// the host answered it, or once it's older than the longest order.
class OrderDispatch {
 public:
  using Actions = std::vector<ControlAction>;

  OrderDispatch(milliseconds longest_order, PlatformCalls* calls,
                Jitter* jitter)
      : m_longest_order(longest_order), m_calls(calls), m_jitter(jitter) {}

  /// All orders of earlier holders have ended by `now`.
  void LeaseGranted(TimePoint now) { m_settled_floor = now; }

  /// Sends due orders. Only called with lease time to spare and with the
  /// stored placement claimed.
  /// @param max_loading Groups that may load at a time.
  void Advance(const Placement& stored, const Presence& presence,
               std::uint64_t fence, int max_loading, TimePoint now,
               Actions* out);
  /// @return Whether the host knows a newer fence than ours.
  bool Answered(const OrderAnswered& answer, TimePoint now, Actions* out);

  bool AllSettled(TimePoint now) const;
  /// Whether health shows that the host is in no group, and no order that is
  /// still under way can change that.
  bool ConfirmedIdle(const HostRecord& host, const Presence& presence,
                     TimePoint now) const;

 private:
  struct HostOrders {
    CallId call = 0;  ///< 0 when nothing is unsettled.
    TimePoint sent;
    TimePoint settled;  ///< Health asked earlier says nothing about it.
    TimePoint next;
    Backoff backoff{milliseconds(500), milliseconds(30'000)};
  };

  bool Unsettled(const HostOrders& orders, TimePoint now) const;
  void Send(const HostRecord& host, HostOrder order, TimePoint now,
            Actions* out);
  bool Due(const HostRecord& host, const Presence& presence,
           TimePoint now) const;
  void Unload(const HostRecord& host, std::uint64_t fence, TimePoint now,
              Actions* out);
  void OrderMember(const std::string& name, const PlacedGroup& group, int rank,
                   const HostRecord& host, std::uint64_t fence, TimePoint now,
                   Actions* out);

  milliseconds m_longest_order;
  PlatformCalls* m_calls;
  Jitter* m_jitter;
  TimePoint m_settled_floor;
  std::map<std::string, HostOrders> m_orders;
};

}  // namespace clementine

#endif  // CORE_ORDER_DISPATCH_H_

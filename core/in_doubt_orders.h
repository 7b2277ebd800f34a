// Orders that backend servers may still carry out.
//
// A backend server may carry out an order whose answer is missing long after
// it was sent, and after newer orders. Every decision of the group planner that
// depends on what a host cannot do any more asks this class.
#ifndef CORE_IN_DOUBT_ORDERS_H_
#define CORE_IN_DOUBT_ORDERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/fleet.h"

namespace clementine {

/// An order is in doubt from when it is sent until one of these is known:
/// - The server answered it. An accepted open order remains in doubt until the
///   head has had the time to open.
/// - The server has accepted more orders than it expects. A later answer to
///   another order proves nothing else: an order that finds the server already
///   in the ordered state is not counted. If only a report shows this, the
///   order itself may be what was accepted.
/// - Another incarnation of the server runs.
/// - The server reported after the maximum delay, or the maximum delay and the
///   time for which an entry of the list may be outdated have passed.
///
/// Orders of earlier planners are unknown. Any order is therefore in doubt at
/// each host from the start of a term until the maximum delay has passed or the
/// host has accepted an order in this term. If only a report shows this, the
/// host may have accepted an open order.
class InDoubtOrders {
 public:
  using GroupKey = std::pair<std::string, std::uint64_t>;

  /// Maximum delay after which a server may carry out an order that it has
  /// received.
  static constexpr milliseconds kMaxOrderDelay{12'000};
  /// Maximum time until a server has received an order; then the connection is
  /// closed. The default of FleetControlOptions::max_order_duration.
  static constexpr milliseconds kMaxOrderTransit{500};
  /// A report that arrives at least this long after an event was created after
  /// that event. Covers the age that a report may have when the server sends it
  /// and the duration of the query.
  static constexpr milliseconds kMaxReportDelay{1'500};
  /// Maximum time from accepting an open order until the head is open. The head
  /// has counted the order by then, and still reports that it is ready.
  static constexpr milliseconds kMaxOpenDuration{1'000};
  /// Maximum time for which the list shows an outdated entry: the entry of a
  /// server that cannot renew it lapses within this time.
  static constexpr milliseconds kMaxEntryAge{5'000};

  /// Starts a term as the planner. Orders of this process remain in doubt.
  void OnTermStarted(TimePoint now);
  void OnSent(const std::string& host, std::int64_t incarnation,
              const GroupOrder& order, TimePoint now);
  void OnAnswered(const std::string& host, const GroupOrder& order,
                  OrderResult result, TimePoint now);
  /// @param orders Number of orders that the incarnation has accepted.
  void OnReport(const std::string& host, std::int64_t incarnation,
                std::uint64_t orders, TimePoint now);
  /// Removes orders that are no longer in doubt.
  /// @param servers All listed servers.
  void Expire(const std::map<std::string, BackendServer>& servers,
              TimePoint now);

  /// Whether an order of this process to open the group may still be carried
  /// out by its head.
  bool MayOpen(const std::string& head, const GroupKey& group) const;
  /// Whether an order of this process may still make a member of the group join
  /// another group. Hosts reject joins of lower epochs than they have seen.
  bool MayJoinAnother(const std::string& member, const GroupKey& group) const;
  /// Whether an uncounted order of this process may still close the group. An
  /// order that expects a count is rejected once the head has been opened.
  bool MayClose(const std::string& head, const GroupKey& group) const;
  /// Whether an earlier planner's order may still be carried out by the host.
  bool MayCarryOutEarlierOrder(const std::string& host, TimePoint now) const;
  /// Whether the host's report is needed to end the doubt about an order.
  bool NeedsReport(const std::string& host, TimePoint now) const;

 private:
  struct InDoubtOrder {
    GroupOrder order;
    TimePoint sent_at;
    bool ended = false;  ///< The connection was closed without an answer.
    /// When it was first known that an open order, or another that expected the
    /// same count, had been accepted.
    std::optional<TimePoint> counted_at;
  };
  struct Host {
    std::int64_t incarnation = 0;
    std::vector<InDoubtOrder> orders;  ///< Oldest first.
    /// Count at the start of the term, as far as reports show it.
    std::optional<std::uint64_t> initial_count;
    /// When it was first known that the host has accepted an order in this
    /// term. It then rejects the orders of earlier planners, which expect a
    /// lower count.
    std::optional<TimePoint> accepted_at;
    /// Whether that was an order of this planner, or the time has passed in
    /// which a head opens.
    bool fenced = false;
  };

  /// Returns the host's state; discards that of an earlier incarnation. Null if
  /// the incarnation is not the current one.
  Host* FindHost(const std::string& host, std::int64_t incarnation);
  /// Returns the time from which a report that arrives ends the doubt.
  static TimePoint DecidingReportAt(const InDoubtOrder& sent);
  /// Removes the orders that expect a lower count; marks open orders instead.
  static void RemoveCounted(Host* host, std::uint64_t count, TimePoint now);

  /// Whether an order in doubt at the host satisfies the predicate.
  bool HasOrder(
      const std::string& host,
      const std::function<bool(const InDoubtOrder&)>& predicate) const;

  std::map<std::string, Host> m_hosts;  ///< By id.
  TimePoint m_term_started_at;
};

}  // namespace clementine

#endif  // CORE_IN_DOUBT_ORDERS_H_

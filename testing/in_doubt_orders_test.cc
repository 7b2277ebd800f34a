#include "core/in_doubt_orders.h"

#include <doctest/doctest.h>

namespace clementine {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr std::int64_t kIncarnation = 7;
const InDoubtOrders::GroupKey kGroup{"large.1", 1};

GroupOrder MakeOrder(GroupOrder::Kind kind, const std::string& group,
                     std::optional<std::uint64_t> expected) {
  GroupOrder order;
  order.kind = kind;
  order.group = group;
  order.epoch = 1;
  order.expected_orders = expected;
  return order;
}

GroupOrder Open(std::uint64_t expected) {
  return MakeOrder(GroupOrder::Kind::kOpen, kGroup.first, expected);
}

GroupOrder JoinOther(std::uint64_t expected) {
  GroupOrder join = MakeOrder(GroupOrder::Kind::kJoin, "large.2", expected);
  join.epoch = 2;
  return join;
}

/// Returns a term in which an open order to "head" and a join order to "member"
/// that expect two orders have no answer.
InDoubtOrders UnansweredOrders() {
  InDoubtOrders orders;
  orders.OnTermStarted(kStart - std::chrono::minutes(1));
  orders.OnSent("head", kIncarnation, Open(2), kStart);
  orders.OnSent("member", kIncarnation, JoinOther(2), kStart);
  orders.OnAnswered("head", Open(2), OrderResult::kUnknown, kStart);
  orders.OnAnswered("member", JoinOther(2), OrderResult::kUnknown, kStart);
  return orders;
}

BackendServer Listed(const std::string& id, std::int64_t incarnation) {
  BackendServer server;
  server.id = id;
  server.incarnation = incarnation;
  return server;
}

}  // namespace

// Guards against an order that is forgotten because a newer order changed
// nothing, and against one that is forgotten while its host isn't listed.
TEST_CASE("an unanswered order stays in doubt until the count has passed it") {
  InDoubtOrders orders = UnansweredOrders();
  GroupOrder repeat =
      MakeOrder(GroupOrder::Kind::kJoin, kGroup.first, std::uint64_t{2});
  orders.OnSent("member", kIncarnation, repeat, kStart + milliseconds(1'500));
  orders.OnAnswered("member", repeat, OrderResult::kNoOp, kStart);
  GroupOrder close = MakeOrder(GroupOrder::Kind::kClose, kGroup.first, {});
  orders.OnSent("head", kIncarnation, close, kStart + milliseconds(1'500));
  orders.OnAnswered("head", close, OrderResult::kNoOp, kStart);
  orders.OnReport("head", kIncarnation, 2, kStart + milliseconds(3'000));
  orders.Expire({}, kStart + milliseconds(12'000));
  CHECK(orders.MayOpen("head", kGroup));
  CHECK(orders.MayJoinAnother("member", kGroup));
  orders.OnReport("head", kIncarnation, 3, kStart + milliseconds(10'000));
  orders.OnReport("member", kIncarnation, 3, kStart + milliseconds(10'000));
  CHECK(orders.MayOpen("head", kGroup));
  orders.OnReport("head", kIncarnation, 3, kStart + milliseconds(12'500));
  CHECK_FALSE(orders.MayOpen("head", kGroup));
  CHECK_FALSE(orders.MayJoinAnother("member", kGroup));
}

// Guards against hosts that are withheld although their order cannot be carried
// out any more.
TEST_CASE("an accepted order ends the doubt about earlier ones") {
  for (bool counted : {true, false}) {
    CAPTURE(counted);
    InDoubtOrders orders = UnansweredOrders();
    GroupOrder close =
        MakeOrder(GroupOrder::Kind::kClose, kGroup.first,
                  counted ? std::optional<std::uint64_t>(2) : std::nullopt);
    orders.OnSent("head", kIncarnation, close, kStart + milliseconds(1'500));
    CHECK(orders.MayOpen("head", kGroup));
    orders.OnAnswered("head", close, OrderResult::kAccepted, kStart);
    CHECK_FALSE(orders.MayOpen("head", kGroup));
    CHECK(orders.MayJoinAnother("member", kGroup));
  }
}

// Guards against releasing a head that reports its open order as accepted, and
// reports that it is ready until it has opened.
TEST_CASE(
    "an accepted open stays in doubt until the head has had time to open") {
  constexpr milliseconds kDecidingDelay =
      InDoubtOrders::kMaxOpenDuration + InDoubtOrders::kMaxReportDelay;
  for (bool answered : {true, false}) {
    CAPTURE(answered);
    InDoubtOrders orders;
    orders.OnSent("head", kIncarnation, Open(2), kStart);
    if (answered) {
      orders.OnAnswered("head", Open(2), OrderResult::kAccepted, kStart);
    } else {
      orders.OnReport("head", kIncarnation, 3, kStart);
    }
    orders.OnReport("head", kIncarnation, 3,
                    kStart + kDecidingDelay - milliseconds(1));
    CHECK(orders.MayOpen("head", kGroup));
    CHECK_FALSE(orders.NeedsReport("head", kStart));
    CHECK(orders.NeedsReport("head", kStart + kDecidingDelay));
    orders.OnReport("head", kIncarnation, 3, kStart + kDecidingDelay);
    CHECK_FALSE(orders.MayOpen("head", kGroup));
  }
}

// Guards against counting a refused copy of an order as the end of an earlier
// copy without an answer.
TEST_CASE("the answer to one copy leaves an earlier copy in doubt") {
  for (OrderResult result : {OrderResult::kRejected, OrderResult::kBusy,
                             OrderResult::kUnreachable, OrderResult::kNoOp}) {
    InDoubtOrders orders = UnansweredOrders();
    orders.OnSent("head", kIncarnation, Open(2), kStart + milliseconds(1'500));
    orders.OnAnswered("head", Open(2), result, kStart);
    CHECK(orders.MayOpen("head", kGroup));
  }
}

// Guards against an order that is carried out at the maximum delay, while the
// list still shows the state before it.
TEST_CASE("an order stays in doubt until a report or the list shows its end") {
  constexpr milliseconds kLast =
      InDoubtOrders::kMaxOrderTransit + InDoubtOrders::kMaxOrderDelay;
  InDoubtOrders orders = UnansweredOrders();
  // The report may have been made before the order's last moment.
  orders.OnReport("head", kIncarnation, 2, kStart + kLast);
  CHECK(orders.MayOpen("head", kGroup));
  TimePoint after = kStart + kLast + InDoubtOrders::kMaxReportDelay;
  CHECK_FALSE(orders.NeedsReport("head", after - milliseconds(1)));
  CHECK(orders.NeedsReport("head", after));
  orders.OnReport("head", kIncarnation, 2, after);
  CHECK_FALSE(orders.MayOpen("head", kGroup));
  orders.Expire({}, kStart + kLast + InDoubtOrders::kMaxEntryAge);
  CHECK(orders.MayJoinAnother("member", kGroup));
  orders.Expire({},
                kStart + kLast + InDoubtOrders::kMaxEntryAge + milliseconds(1));
  CHECK_FALSE(orders.MayJoinAnother("member", kGroup));
}

// Guards against a host that is withheld for the orders to a process that has
// ended, and against a late report of that process.
TEST_CASE("orders to an earlier incarnation are not in doubt") {
  InDoubtOrders orders = UnansweredOrders();
  orders.Expire({{"head", Listed("head", kIncarnation)}}, kStart);
  CHECK(orders.MayOpen("head", kGroup));
  orders.Expire({{"head", Listed("head", kIncarnation + 1)}}, kStart);
  CHECK_FALSE(orders.MayOpen("head", kGroup));
  orders.OnSent("member", kIncarnation + 1, JoinOther(0), kStart);
  orders.OnReport("member", kIncarnation, 9, kStart);
  CHECK(orders.MayJoinAnother("member", kGroup));
}

// Guards against breaking up a group whose members reject the late order.
TEST_CASE("late joins of lower epochs take no member out of a group") {
  InDoubtOrders orders = UnansweredOrders();
  CHECK(orders.MayJoinAnother("member", kGroup));
  CHECK_FALSE(orders.MayJoinAnother("member", {"large.2", 2}));
  CHECK_FALSE(orders.MayJoinAnother("member", {"large.3", 3}));
}

// Guards against closes that reach a head after it was opened again.
TEST_CASE("only uncounted orders may close a group after it was opened") {
  for (bool counted : {true, false}) {
    for (GroupOrder::Kind kind :
         {GroupOrder::Kind::kClose, GroupOrder::Kind::kLeave}) {
      CAPTURE(counted);
      GroupOrder order =
          MakeOrder(kind, kGroup.first,
                    counted ? std::optional<std::uint64_t>(2) : std::nullopt);
      InDoubtOrders orders;
      orders.OnSent("head", kIncarnation, order, kStart);
      orders.OnAnswered("head", order, OrderResult::kUnknown, kStart);
      CHECK(orders.MayClose("head", kGroup) != counted);
      CHECK_FALSE(orders.MayClose("head", {"large.1", 2}));
    }
  }
}

// Guards against trusting a host that may still carry out an order of an
// earlier planner, and against doing so for longer than necessary.
TEST_CASE("orders of an earlier planner are in doubt at the start of a term") {
  InDoubtOrders orders = UnansweredOrders();
  CHECK_FALSE(orders.MayCarryOutEarlierOrder("head", kStart));
  orders.OnTermStarted(kStart);
  CHECK(orders.MayOpen("head", kGroup));
  for (const char* host : {"head", "member", "other"}) {
    CHECK(orders.MayCarryOutEarlierOrder(host, kStart + milliseconds(12'000)));
    CHECK_FALSE(
        orders.MayCarryOutEarlierOrder(host, kStart + milliseconds(14'100)));
  }
  // Reports of the first moments may be older than the term.
  orders.OnReport("other", kIncarnation, 4, kStart + milliseconds(100));
  orders.OnReport("other", kIncarnation, 5, kStart + milliseconds(1'400));
  CHECK(orders.MayCarryOutEarlierOrder("other", kStart + milliseconds(2'000)));
  // The order that this report shows may open the host.
  TimePoint counted = kStart + milliseconds(2'000);
  TimePoint opened = counted + InDoubtOrders::kMaxOpenDuration +
                     InDoubtOrders::kMaxReportDelay;
  orders.OnReport("other", kIncarnation, 6, counted);
  orders.OnReport("other", kIncarnation, 6, opened - milliseconds(1));
  CHECK(orders.MayCarryOutEarlierOrder("other", opened));
  orders.OnReport("other", kIncarnation, 6, opened);
  CHECK_FALSE(orders.MayCarryOutEarlierOrder("other", opened));
  // An accepted order of this term.
  orders.OnSent("member", kIncarnation, JoinOther(3), kStart);
  orders.OnAnswered("member", JoinOther(3), OrderResult::kAccepted, kStart);
  CHECK_FALSE(
      orders.MayCarryOutEarlierOrder("member", kStart + milliseconds(100)));
}

}  // namespace clementine

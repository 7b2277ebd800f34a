// Names of the fleet's values, as they are logged.

#include "core/fleet.h"

namespace clementine {

const char* MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kNone:
      return "none";
    case MemberState::kJoining:
      return "joining";
    case MemberState::kReady:
      return "ready";
    case MemberState::kOpen:
      return "open";
    case MemberState::kClosing:
      return "closing";
    case MemberState::kBroken:
      return "broken";
  }
  return "none";
}

const char* GroupOrderName(GroupOrder::Kind kind) {
  switch (kind) {
    case GroupOrder::Kind::kJoin:
      return "join";
    case GroupOrder::Kind::kOpen:
      return "open";
    case GroupOrder::Kind::kClose:
      return "close";
    case GroupOrder::Kind::kStage:
      return "stage";
  }
  return "join";
}

const char* OrderResultName(OrderResult result) {
  switch (result) {
    case OrderResult::kAccepted:
      return "accepted";
    case OrderResult::kRejected:
      return "rejected";
    case OrderResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace clementine

// Names of the fleet's enumeration values in log lines, and lookups in the
// configuration.

#include "core/fleet.h"

namespace clementine {

const EngineSpec* FindEngine(const FleetConfiguration& configuration,
                             const std::string& service) {
  auto found = configuration.services.find(service);
  return found == configuration.services.end() || !found->second.engine
             ? nullptr
             : &*found->second.engine;
}

const EngineModel* FindModel(const EngineSpec& engine,
                             const std::string& name) {
  for (const EngineModel& model : engine.models) {
    if (model.name == name) return &model;
  }
  return nullptr;
}

const char* GroupMemberStateName(GroupMemberState state) {
  switch (state) {
    case GroupMemberState::kNone:
      return "none";
    case GroupMemberState::kJoining:
      return "joining";
    case GroupMemberState::kReady:
      return "ready";
    case GroupMemberState::kOpen:
      return "open";
    case GroupMemberState::kClosing:
      return "closing";
    case GroupMemberState::kBroken:
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
    case GroupOrder::Kind::kLeave:
      return "leave";
    case GroupOrder::Kind::kStage:
      return "stage";
  }
  return "join";
}

const char* OrderResultName(OrderResult result) {
  switch (result) {
    case OrderResult::kAccepted:
      return "accepted";
    case OrderResult::kNoOp:
      return "holds";
    case OrderResult::kRejected:
      return "rejected";
    case OrderResult::kBusy:
      return "busy";
    case OrderResult::kUnreachable:
      return "unreachable";
    case OrderResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool ProvesNotCarriedOut(OrderResult result) {
  return result == OrderResult::kRejected || result == OrderResult::kBusy;
}

}  // namespace clementine

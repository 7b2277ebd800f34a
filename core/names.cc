// Names of enumerators, as used in log lines, HTTP headers and the status
// document.

#include "core/core.h"

namespace clementine {

const char* RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kUnknownModel:
      return "unknown_model";
    case RefusalReason::kUnknownOrganisation:
      return "unknown_organisation";
    case RefusalReason::kNoGroup:
      return "no_group";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kQuarantined:
      return "quarantined";
    case RefusalReason::kKeyRequired:
      return "key_required";
    case RefusalReason::kKeyReused:
      return "key_reused";
    case RefusalReason::kStillRunning:
      return "still_running";
    case RefusalReason::kPlatformDown:
      return "platform_down";
    case RefusalReason::kRetriesExhausted:
      return "retries_exhausted";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "unknown";
}

const char* AttemptResultName(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNotSent:
      return "not_sent";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kWrongEpoch:
      return "wrong_epoch";
    case AttemptResult::kComplete:
      return "complete";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kTimedOut:
      return "timed_out";
    case AttemptResult::kCrashed:
      return "crashed";
    case AttemptResult::kError:
      return "error";
  }
  return "unknown";
}

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return "complete";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace clementine

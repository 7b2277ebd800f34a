// Every answer says in its outcome whether the request was run: not run,
// complete or unknown.

#include "daemon/answers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/config.h"

namespace clementine {

HttpHeaders OutcomeHeaders(Outcome outcome, const std::string& content_type) {
  return {{"Content-Type", content_type},
          {"X-Clementine-Outcome", OutcomeName(outcome)}};
}

std::string ErrorJson(const std::string& type, const std::string& message,
                      Outcome outcome) {
  return JsonText({{"error", {{"type", type}, {"message", message}}},
                   {"outcome", OutcomeName(outcome)}});
}

void AnswerError(HttpExchange* exchange, int status, const std::string& type,
                 const std::string& message, Outcome outcome,
                 milliseconds retry_after) {
  HttpHeaders headers = OutcomeHeaders(outcome, "application/json");
  if (outcome == Outcome::kNotRun) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    headers.emplace_back("Retry-After",
                         std::to_string(std::max<std::int64_t>(1, seconds)));
  }
  exchange->Answer(status, headers, ErrorJson(type, message, outcome));
}

std::string ErrorEvent(const std::string& type, const std::string& message,
                       Outcome outcome) {
  return "event: error\ndata: " + ErrorJson(type, message, outcome) + "\n\n";
}

std::string RefusalMessage(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kUnknownModel:
      return "the model isn't configured";
    case RefusalReason::kUnknownOrganisation:
      return "the organisation isn't configured";
    case RefusalReason::kNoGroup:
      return "no serving group can take the request";
    case RefusalReason::kOverloaded:
      return "the request can't finish in time";
    case RefusalReason::kQuarantined:
      return "the request crashed backend servers repeatedly";
    case RefusalReason::kKeyRequired:
      return "the route requires an idempotency key";
    case RefusalReason::kKeyReused:
      return "the idempotency key was used with other content";
    case RefusalReason::kStillRunning:
      return "the first call with this idempotency key is still running";
    case RefusalReason::kPlatformDown:
      return "the call can't be recorded at the moment";
    case RefusalReason::kRetriesExhausted:
      return "the attempts failed";
    case RefusalReason::kDeadline:
      return "the deadline has passed";
    case RefusalReason::kDraining:
      return "the daemon is stopping";
    case RefusalReason::kOutcomeUnknown:
      return "the call may have run and must not be repeated";
  }
  return "the request was refused";
}

}  // namespace clementine

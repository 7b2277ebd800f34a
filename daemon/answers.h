// Answers that the daemon generates itself.
#ifndef DAEMON_ANSWERS_H_
#define DAEMON_ANSWERS_H_

#include <string>

#include "core/core.h"
#include "net/net.h"

namespace clementine {

/// Returns the headers that every answer to a caller has.
HttpHeaders OutcomeHeaders(Outcome outcome, const std::string& content_type);

/// Returns `{"error":{"type":..., "message":...},"outcome":...}`.
std::string ErrorJson(const std::string& type, const std::string& message,
                      Outcome outcome);

/// Answers with an error. A request that was not run may be repeated, so its
/// answer has a Retry-After of at least 1 s.
void AnswerError(HttpExchange* exchange, int status, const std::string& type,
                 const std::string& message, Outcome outcome,
                 milliseconds retry_after);

/// Returns the final event of a stream that did not complete.
std::string ErrorEvent(const std::string& type, const std::string& message,
                       Outcome outcome);

/// Returns the error message for callers.
std::string RefusalMessage(RefusalReason reason);

}  // namespace clementine

#endif  // DAEMON_ANSWERS_H_

// Answers that the daemon itself writes to callers.
#ifndef DAEMON_ANSWERS_H_
#define DAEMON_ANSWERS_H_

#include <string>

#include "core/core.h"
#include "net/net.h"

namespace clementine {

/// Headers of every answer to a caller.
HttpHeaders OutcomeHeaders(Outcome outcome, const std::string& content_type);

/// `{"error":{"type":..., "message":...},"outcome":...}`.
std::string ErrorJson(const std::string& type, const std::string& message,
                      Outcome outcome);

/// Answers with an error; a request that was not run gets Retry-After where a
/// repetition can succeed.
void AnswerError(HttpExchange* exchange, int status, const std::string& type,
                 const std::string& message, Outcome outcome,
                 milliseconds retry_after);

/// Last event of a stream that didn't complete.
std::string ErrorEvent(const std::string& type, const std::string& message,
                       Outcome outcome);

/// Sentence for callers.
std::string RefusalMessage(RefusalReason reason);

}  // namespace clementine

#endif  // DAEMON_ANSWERS_H_

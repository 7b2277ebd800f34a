// Names of the HTTP statuses that this project tells apart.
#ifndef NET_HTTP_STATUS_H_
#define NET_HTTP_STATUS_H_

namespace clementine::http_status {

inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kAccepted = 202;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

/// Interim answers that may come before a final one. More are a fault of the
/// server: a request gets a few at most (100, 102, 103).
inline constexpr int kMaxInterimAnswers = 8;

/// @return Whether an answer with this status is followed by another one to the
///     same request. 101 isn't: it ends HTTP on the connection, and the daemon
///     never asks for that.
constexpr bool IsInterim(int status) {
  return status / 100 == 1 && status != kSwitchingProtocols;
}

/// @return Whether this is the status of a final answer, 200 to 599.
constexpr bool IsFinal(int status) { return status >= 200 && status <= 599; }

}  // namespace clementine::http_status

#endif  // NET_HTTP_STATUS_H_

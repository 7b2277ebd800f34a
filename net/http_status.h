// Names of the HTTP statuses that this project tells apart.
#ifndef NET_HTTP_STATUS_H_
#define NET_HTTP_STATUS_H_

namespace clementine::http_status {

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

}  // namespace clementine::http_status

#endif  // NET_HTTP_STATUS_H_

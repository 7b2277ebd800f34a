// Turns a caller's HTTP request into a typed request, or says what is wrong.
#ifndef DAEMON_REQUEST_READER_H_
#define DAEMON_REQUEST_READER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "net/net.h"

namespace clementine {

/// A request as read, with what is sent on to a backend server.
struct ReadRequest {
  Request request;
  bool streamed = false;  ///< The caller asked for server-sent events.
  std::string method;
  std::string target;   ///< Path and query, for plain services.
  HttpHeaders headers;  ///< Sent on, for plain services.
  std::shared_ptr<const std::string> body;
};

/// Why a request is rejected before any decision; it was not run.
struct RequestFault {
  int status = 400;
  std::string type;
  std::string message;
};

struct ReadResult {
  std::optional<ReadRequest> request;
  RequestFault fault;  ///< Set when there is no request.
};

/// Finds the organisation of a bearer token. All tokens are compared, so that
/// the time doesn't tell which one is close.
/// @return Empty when the header is missing or no token matches.
std::string FindOrganisation(const Settings& settings,
                             std::string_view authorization);

/// Finds the route with the longest path that is a prefix of `path` and ends at
/// a slash or at the end; null when there is none.
const RouteSpec* FindRoute(const Configuration& configuration,
                           const std::string& path);

/// Hashes of the full 256-byte blocks of a prompt. Each is seeded with the one
/// before, so equal hashes mean equal prefixes.
std::vector<std::uint64_t> PrefixBlocks(std::string_view prompt);

/// Reads a request, including its authentication.
/// @param now Start of the request's deadline.
ReadResult ReadCallerRequest(const Settings& settings,
                             const Configuration& configuration,
                             const HttpRequest& http, TimePoint now);

}  // namespace clementine

#endif  // DAEMON_REQUEST_READER_H_

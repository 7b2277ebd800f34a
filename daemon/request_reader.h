// Parses a caller's HTTP request into a Request, or reports why it is rejected.
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

/// A parsed request, with the parts that are forwarded to a backend server.
struct ReadRequest {
  Request request;
  bool streamed = false;  ///< The caller requested server-sent events.
  std::string method;
  std::string target;   ///< Path and query, for plain services.
  HttpHeaders headers;  ///< Forwarded, for plain services.
  std::shared_ptr<const std::string> body;
};

/// Why a request is rejected before it reaches the request path. A rejected
/// request was not run.
struct RequestError {
  int status = 400;
  std::string type;
  std::string message;
};

struct ReadResult {
  std::optional<ReadRequest> request;
  RequestError error;  ///< Set if there is no request.
};

/// Finds the organisation of a bearer token. The token is compared with all
/// configured tokens, so that the duration does not reveal a partial match.
/// @return Empty if the header is missing or no token matches.
std::string FindOrganisation(const Settings& settings,
                             std::string_view authorization);

/// Finds the route with the longest path that is a prefix of `path` and ends at
/// a slash or at the end of `path`.
/// @return Null if no route matches.
const RouteSpec* FindRoute(const Configuration& configuration,
                           const std::string& path);

/// Returns hashes of the complete 256-byte blocks of a prompt, up to 1024
/// blocks. Each hash is seeded with the previous one, so equal hashes imply
/// equal prefixes.
std::vector<std::uint64_t> PrefixBlocks(std::string_view prompt);

/// Parses and authenticates a request.
/// @param now Start of the request's deadline.
ReadResult ReadCallerRequest(const Settings& settings,
                             const Configuration& configuration,
                             const HttpRequest& http, TimePoint now);

}  // namespace clementine

#endif  // DAEMON_REQUEST_READER_H_

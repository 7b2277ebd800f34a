// Headers that concern one connection must not be passed on: those that HTTP
// names, and those that the Connection header names. An expectation (Expect)
// isn't passed on either: the daemon has answered it itself and has read the
// whole body before it forwards a request.

#include <algorithm>
#include <array>

#include "net/header_name.h"
#include "net/net.h"

namespace clementine {
namespace {

constexpr std::array<std::string_view, 10> kHopByHop = {"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Connection",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade",
                                                        "Content-Length",
                                                        "Expect"};

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// Whether `name` is an element of the comma-separated `list`.
bool IsListed(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    std::size_t comma = std::min(list.find(','), list.size());
    if (SameHeaderName(Trim(list.substr(0, comma)), name)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  std::string_view connection = FindHeader(headers, "Connection");
  HttpHeaders kept;
  for (const auto& header : headers) {
    bool hop = std::any_of(kHopByHop.begin(), kHopByHop.end(),
                           [&header](std::string_view hop_name) {
                             return SameHeaderName(hop_name, header.first);
                           });
    if (!hop && !IsListed(connection, header.first)) kept.push_back(header);
  }
  return kept;
}

}  // namespace clementine

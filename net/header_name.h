// Comparison of HTTP header names.
#ifndef NET_HEADER_NAME_H_
#define NET_HEADER_NAME_H_

#include <boost/beast/core/string.hpp>
#include <string_view>

namespace clementine {

/// Whether two header names are the same without regard to case.
inline bool SameHeaderName(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

}  // namespace clementine

#endif  // NET_HEADER_NAME_H_

// Asio, Beast and nng I/O layer around the pure library.
#ifndef NET_NET_H_
#define NET_NET_H_

#include <string>
#include <utility>
#include <vector>

namespace clementine {

/// Writes one key=value line to standard error. Values that contain spaces,
/// quotes or control characters are quoted and escaped.
/// @param event  Name of the event, written as event=NAME.
/// @param fields Keys and values in the order in which they are written.
void LogEvent(const std::string& event,
              const std::vector<std::pair<std::string, std::string>>& fields);

}  // namespace clementine

#endif  // NET_NET_H_

// Keeps requests from backend servers that asked for none for a while.
#ifndef CORE_SERVER_BACKOFF_H_
#define CORE_SERVER_BACKOFF_H_

#include <map>
#include <optional>
#include <string>

#include "core/core.h"
#include "core/jitter.h"

namespace clementine {

/// Remembers by server until when it wants no request. When that time is over,
/// one request at a time may find out whether it takes requests again.
/// Invariant: between a refusal and the end of the time that it named, no
/// request is allowed, unless the time is longer than kLongest.
class ServerBackoff {
 public:
  /// A server that names a longer time is asked again after this one: no caller
  /// waits so long, and a wrong value mustn't take it away for good.
  static constexpr milliseconds kLongest{60'000};

  enum class Verdict { kFree, kOneAtATime, kNone };

  explicit ServerBackoff(std::uint64_t seed) : m_jitter(seed) {}

  /// A server turned a request away and named a time.
  void Asked(const std::string& host, milliseconds wait, TimePoint now);
  /// A server took a request.
  /// @return Whether its verdict changed.
  bool Took(const std::string& host);
  /// @return Whether a server's time is over since the last call.
  bool Advance(TimePoint now);

  Verdict Judge(const std::string& host) const;
  /// End of a server's time; nothing when it's over.
  std::optional<TimePoint> Until(const std::string& host) const;

  /// Forgets servers that aren't known any more and whose time is over.
  template <typename Known>
  void Keep(const Known& known) {
    std::erase_if(m_servers, [&](const auto& entry) {
      return entry.second.over && !known(entry.first);
    });
  }

 private:
  /// Daemons ask again this far apart, as they were refused together.
  static constexpr milliseconds kSpread{500};

  struct Server {
    TimePoint until;
    bool over = false;
  };

  Jitter m_jitter;
  std::map<std::string, Server> m_servers;
};

}  // namespace clementine

#endif  // CORE_SERVER_BACKOFF_H_

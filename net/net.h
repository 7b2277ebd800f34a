// Asio, Beast and nng I/O layer around the pure library.
#ifndef NET_NET_H_
#define NET_NET_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Writes one key=value line to standard error. Values that contain spaces,
/// quotes or control characters are quoted and escaped.
/// @param event  Name of the event, written as event=NAME.
/// @param fields Keys and values in the order in which they are written.
void LogEvent(const std::string& event,
              const std::vector<std::pair<std::string, std::string>>& fields);

/// Client of the platform's object API and host list. All calls are
/// asynchronous; callbacks run on the io_context, exactly once each, and also
/// when the platform is unreachable; none runs after the client's destruction.
/// Counts its calls for /metrics.
class PlatformClient {
 public:
  using ObjectCallback = std::function<void(ObjectReply)>;

  /// @param io      Must outlive the client.
  /// @param address IP:port of the platform's API.
  /// @param token   Bearer token; never logged.
  /// @param timeout Longest wait for an answer; a watch adds its own time.
  /// @throws std::runtime_error when the address isn't IP:port.
  PlatformClient(boost::asio::io_context* io, std::string address,
                 std::string token,
                 std::chrono::milliseconds timeout = std::chrono::seconds(2));
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  void Get(const GetObject& get, ObjectCallback done);
  /// A lost answer is kUnknown; kUnavailable only if nothing was sent.
  void Put(const PutObject& put, ObjectCallback done);
  void Delete(const DeleteObject& del, ObjectCallback done);

  /// Lists objects whose key starts with a prefix; empty result on failure.
  void List(const std::string& prefix,
            std::function<void(std::optional<ObjectsChanged>)> done);

  /// Waits for changes after revision `watch.since`, at most `watch.timeout`.
  /// With `since` 0 all current objects are returned at once.
  void WatchObjects(const Watch& watch,
                    std::function<void(std::optional<ObjectsChanged>)> done);

  void ListHosts(
      std::function<void(std::optional<std::vector<HostInfo>>)> done);

  /// Calls made so far, all kinds, failed ones included.
  std::uint64_t calls() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace clementine

#endif  // NET_NET_H_

// Reads the platform's registry and configuration, and keeps them current.
#ifndef DAEMON_FLEET_FEED_H_
#define DAEMON_FLEET_FEED_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/fleet_control.h"
#include "core/jitter.h"
#include "platform/platform.h"

namespace clementine {

/// Two loops, for backend servers and for the configuration: list, then watch
/// from the list's revision; list again when that history is gone. What was
/// read last stays in use while the platform is away.
class FleetFeed {
 public:
  struct Hooks {
    std::function<void(FleetEvent)> feed;
    /// A newer configuration than before, complete and understood.
    std::function<void(FleetConfiguration)> configured;
  };

  /// @param store Outlives the feed.
  /// @param leaving_notice As in the settings; bounds how old the list may be.
  FleetFeed(boost::asio::io_context* io, platform::ObjectStore* store,
            std::uint64_t seed, milliseconds leaving_notice, Hooks hooks);
  ~FleetFeed();
  FleetFeed(const FleetFeed&) = delete;
  FleetFeed& operator=(const FleetFeed&) = delete;

  void Start();

  /// Whether changes of servers are read as soon as they come, as the planner
  /// needs them. Each answer is a priced call, so other daemons let changes of
  /// some hundred milliseconds come together.
  void SetPrompt(bool prompt) { m_prompt = prompt; }

 private:
  /// One kind of objects that is listed and watched.
  struct Loop {
    explicit Loop(boost::asio::io_context* io) : timer(*io) {}

    std::string kind;
    boost::asio::steady_timer timer;
    std::uint64_t revision = 0;
    bool listed = false;
    bool reachable = true;  ///< By the last answer; for the log.
    int failures = 0;
    std::function<void(const platform::ObjectBatch&)> listed_all;
    std::function<void(const platform::ObjectBatch&)> changed;
    std::function<void()> failed;
  };

  void Next(Loop* loop);
  void OnBatch(Loop* loop, bool list, const platform::ObjectBatch& batch);
  void Later(Loop* loop, milliseconds delay);
  void TakeConfiguration(const platform::StoredObject& object);

  platform::ObjectStore* m_store;
  Hooks m_hooks;
  Jitter m_jitter;
  Loop m_servers;
  Loop m_configuration;
  std::uint64_t m_version = 0;  ///< Of the configuration in force.
  milliseconds m_leaving_notice;
  bool m_prompt = true;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace clementine

#endif  // DAEMON_FLEET_FEED_H_

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
#include "core/watch_source.h"
#include "daemon/change_relay.h"
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
    std::function<TimePoint()> now;
  };
  /// How this daemon takes part in spreading changes.
  struct Role {
    /// Reads changes of servers as soon as they come, as the planner needs
    /// them. Each answer is a priced call, so other daemons let changes of some
    /// hundred milliseconds come together.
    bool prompt = true;
    /// Others are told by this one, so it must notice a silent platform soon.
    bool source = false;
    /// Daemons that tell this one; empty: it watches the platform.
    std::vector<std::string> peers;
  };

  /// @param store Outlives the feed.
  /// @param relay Is told what this daemon reads from the platform.
  /// @param leaving_notice As in the settings; bounds how old the list may be.
  FleetFeed(boost::asio::io_context* io, platform::ObjectStore* store,
            ChangeRelay* relay, const std::string& node, std::uint64_t seed,
            milliseconds leaving_notice, Hooks hooks);
  ~FleetFeed();
  FleetFeed(const FleetFeed&) = delete;
  FleetFeed& operator=(const FleetFeed&) = delete;

  void Start();

  void SetRole(const Role& role);

 private:
  /// One kind of objects that is listed and watched.
  struct Loop {
    explicit Loop(boost::asio::io_context* io) : timer(*io) {}

    std::string kind;
    boost::asio::steady_timer timer;
    std::uint64_t revision = 0;
    bool listed = false;
    std::string source;     ///< Peer of the last answer; empty: the platform.
    bool reachable = true;  ///< By the last answer; for the log.
    int failures = 0;
    std::function<void(const platform::ObjectBatch&)> listed_all;
    std::function<void(const platform::ObjectBatch&)> changed;
    std::function<void()> failed;
  };

  void Next(Loop* loop);
  void WatchPlatform(Loop* loop);
  void OnPlatform(Loop* loop, bool list, const platform::ObjectBatch& batch);
  void OnPeer(Loop* loop, const std::string& peer,
              const platform::ObjectBatch& batch);
  void NoteSource(Loop* loop, const std::string& source);
  void OnBatch(Loop* loop, bool list, const platform::ObjectBatch& batch);
  void Later(Loop* loop, milliseconds delay);
  void TakeConfiguration(const platform::StoredObject& object);

  platform::ObjectStore* m_store;
  ChangeRelay* m_relay;
  ChangeClient m_peers;
  WatchSource m_source;
  Hooks m_hooks;
  Jitter m_jitter;
  Loop m_servers;
  Loop m_configuration;
  std::uint64_t m_version = 0;  ///< Of the configuration in force.
  milliseconds m_leaving_notice;
  Role m_role;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace clementine

#endif  // DAEMON_FLEET_FEED_H_

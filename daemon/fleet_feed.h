// Reads the platform's registry and configuration, and keeps them current.
#ifndef DAEMON_FLEET_FEED_H_
#define DAEMON_FLEET_FEED_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/change_follower.h"
#include "core/crash_exchange.h"
#include "core/fleet_control.h"
#include "core/jitter.h"
#include "daemon/change_client.h"
#include "daemon/change_relay.h"
#include "platform/platform.h"

namespace clementine {

/// Carries out what ChangeFollower decides, for backend servers, for the
/// configuration and for crash marks: list once, then watch or subscribe to
/// other daemons. What was read last stays in use while nothing newer can be
/// had.
class FleetFeed {
 public:
  struct Hooks {
    std::function<void(FleetEvent)> feed;
    /// A newer configuration than before, complete and understood.
    std::function<void(FleetConfiguration)> configured;
    /// Objects that hold the marks of daemons, all or those that changed.
    std::function<void(std::vector<CrashExchange::Object>)> crashes;
    std::function<TimePoint()> now;
  };
  /// How this daemon takes part in spreading changes.
  struct Role {
    ChangeRoles roles;
    /// Reads changes of servers as soon as they come. Each answer is a priced
    /// call, so daemons on whom no other relies let changes come together.
    bool prompt = true;

    friend bool operator==(const Role&, const Role&) = default;
  };

  /// @param store Outlives the feed.
  /// @param relay Is told all that this daemon learns.
  /// @param bound Time within which changes have to be in force.
  /// @param keys Shared with the other daemons.
  FleetFeed(boost::asio::io_context* io, platform::ObjectStore* store,
            ChangeRelay* relay, std::uint64_t seed, milliseconds bound,
            Hooks hooks, ChangeKeys keys = {});
  ~FleetFeed();
  FleetFeed(const FleetFeed&) = delete;
  FleetFeed& operator=(const FleetFeed&) = delete;

  void Start();

  void SetRole(const Role& role);

  /// Does what has become due; called every few tens of milliseconds.
  void Tick();

  /// How old the time is up to which all changes are known; nothing before the
  /// first lists.
  std::optional<milliseconds> Age() const;
  /// Sources that were left, by reason.
  const std::map<std::string, std::uint64_t>& sources_left() const {
    return m_sources_left;
  }

 private:
  /// One kind of objects.
  struct Loop {
    explicit Loop(boost::asio::io_context* io) : timer(*io) {}

    ChangeKind kind = ChangeKind::kServers;
    const char* objects = "";  ///< The platform's name of the kind.
    boost::asio::steady_timer timer;
    std::uint64_t revision = 0;
    bool listed = false;        ///< Something is known.
    bool history_gone = false;  ///< Changes can't be had from the platform.
    bool running = false;       ///< A list, a watch or a pause is under way.
    bool reachable = true;      ///< By the platform's last answer; for the log.
    bool outdated = false;      ///< Told to the hooks as unreachable.
    int failures = 0;           ///< Of the platform, since its last answer.
    TimePoint failed_since;
    std::function<void(const platform::ObjectBatch&)> listed_all;
    std::function<void(const platform::ObjectBatch&)> changed;
  };

  Loop& LoopOf(ChangeKind kind);
  /// What listed_all and changed do, by kind.
  void SetHandlers();
  /// Lists, or watches for changes when these can be had.
  /// @param answered Gets the answer after it was taken.
  void Read(
      Loop* loop, milliseconds wait,
      std::function<void(platform::ObjectBatch::Status, bool empty)> answered);
  /// What an answer tells.
  /// @param wait How long the platform may have held it.
  void Take(Loop* loop, bool list, TimePoint sent, milliseconds wait,
            const platform::ObjectBatch& batch);
  void Next(Loop* loop);
  void Ask(Loop* loop);
  void OnPeer(const std::string& peer, const ChangeUpdate& update,
              TimePoint as_of);
  void OnPeerLost(const std::string& peer, const std::string& detail);
  void Learn(Loop* loop, bool whole, const platform::ObjectBatch& batch,
             TimePoint as_of, const std::string& source);
  void Failed(Loop* loop);
  void NoteReachable(Loop* loop, bool reached);
  void NoteOutdated();
  void Later(Loop* loop, milliseconds delay);
  milliseconds WatchWait(ChangeKind kind) const;
  milliseconds Pause(const Loop& loop, bool empty) const;
  void TakeConfiguration(bool whole, const platform::ObjectBatch& batch);
  void TakeCrashes(const platform::ObjectBatch& batch);
  void RepairConfiguration();

  platform::ObjectStore* m_store;
  ChangeRelay* m_relay;
  milliseconds m_bound;
  Hooks m_hooks;
  ChangeFollower m_follower;
  ChangeClient m_peers;
  Jitter m_jitter;
  Loop m_servers;
  Loop m_configuration;
  Loop m_crashes;
  platform::ConfigurationParts m_parts;
  bool m_incomplete = false;  ///< Its parts are of several versions.
  TimePoint m_next_repair;
  std::uint64_t m_version = 0;  ///< Of the configuration in force.
  Role m_role;
  std::map<std::string, std::uint64_t> m_sources_left;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace clementine

#endif  // DAEMON_FLEET_FEED_H_

// Reads the platform's backend servers, configuration and crash marks, and
// keeps them current.
#ifndef DAEMON_FLEET_FEED_H_
#define DAEMON_FLEET_FEED_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/change_follower.h"
#include "core/crash_exchange.h"
#include "core/fleet_control.h"
#include "core/jitter.h"
#include "core/store_era.h"
#include "daemon/change_client.h"
#include "daemon/change_relay.h"
#include "platform/platform.h"

namespace clementine {

/// Executes the actions of ChangeFollower for backend servers, the
/// configuration and crash marks: lists each kind once, then watches the
/// platform or subscribes to other daemons. The last known state stays in use
/// while no newer state is available.
class FleetFeed {
 public:
  struct Hooks {
    std::function<void(FleetEvent)> feed;
    /// Receives each newer configuration that is complete and valid.
    std::function<void(FleetConfiguration)> on_configuration;
    /// Receives the objects that hold the crash marks of daemons: all objects,
    /// or those that changed.
    std::function<void(std::vector<CrashExchange::Object>)> on_crash_marks;
    std::function<TimePoint()> now;
  };
  /// Role of this daemon in distributing changes.
  struct Role {
    ChangeRoles roles;
    /// Reads changes of servers without waiting for further ones. Each answer
    /// of the platform is a call that is charged for; daemons on which no other
    /// daemon depends therefore read several changes together.
    bool prompt = true;

    friend bool operator==(const Role&, const Role&) = default;
  };

  struct Bounds {
    milliseconds change{0};  ///< Within which changes have to take effect.
    bool follow_evacuations = false;
    /// Bytes of unfinished frames from other daemons.
    std::size_t max_frame_bytes = ChangeClient::kMaxHeldBytes;
  };

  /// @param store Must outlive the feed.
  /// @param relay Receives all changes that this daemon learns.
  /// @param keys Shared with the other daemons.
  FleetFeed(boost::asio::io_context* io, platform::ObjectStore* store,
            ChangeRelay* relay, std::uint64_t seed, Bounds bounds, Hooks hooks,
            ChangeKeys keys = {});
  ~FleetFeed();
  FleetFeed(const FleetFeed&) = delete;
  FleetFeed& operator=(const FleetFeed&) = delete;

  void Start();

  void SetRole(const Role& role);

  /// An answer to another component stated the era of the store. On a higher
  /// era than known, all kinds are listed again.
  void OnEraSeen(std::uint64_t era) { ObserveEra(era); }

  /// Executes the actions that are due. Called every few tens of milliseconds.
  void Tick();

  /// Age of the time up to which all changes are known; empty before the first
  /// lists.
  std::optional<milliseconds> Age() const;
  /// Number of subscriptions that have ended, by reason.
  const std::map<std::string, std::uint64_t>& dropped_sources() const {
    return m_dropped_sources;
  }

 private:
  /// State of reading one kind of objects.
  struct KindState {
    explicit KindState(boost::asio::io_context* io) : timer(*io) {}

    ChangeKind kind = ChangeKind::kServers;
    const char* object_kind = "";  ///< The platform's name of the kind.
    boost::asio::steady_timer timer;
    std::uint64_t era = 0;  ///< In which `revision` counts.
    std::uint64_t revision = 0;
    bool listed = false;        ///< A list has been received.
    bool history_gone = false;  ///< The platform no longer has the changes
                                ///< after `revision`; a list is needed.
    bool running = false;       ///< A list, a watch or a pause is in progress.
    bool reachable = true;      ///< The platform's last answer was not a
                                ///< failure; for the log.
    bool outdated = false;      ///< Reported as ServerListUnavailable.
    int failures = 0;           ///< Consecutive, since the platform's last
                                ///< answer.
    TimePoint failed_since;
    std::function<void(const platform::ObjectBatch&)> on_list;
    std::function<void(const platform::ObjectBatch&)> on_changes;
  };

  KindState& StateOf(ChangeKind kind);
  std::vector<KindState*> FollowedKinds();
  /// Sets the handlers of each kind.
  void SetHandlers();
  /// Watches for changes, or lists all objects if the changes are not
  /// available.
  /// @param on_answer Called after the answer was processed.
  void ReadPlatform(
      KindState* state, milliseconds wait,
      std::function<void(platform::ObjectBatch::Status, bool empty)> on_answer);
  /// Processes an answer of the platform.
  /// @param list The answer is to a list, not to a watch.
  /// @param wait Maximum time for which the platform held the request.
  /// @return kHistoryGone if a list is needed; kFailed if the answer has no
  ///     effect.
  platform::ObjectBatch::Status OnPlatformAnswer(
      KindState* state, bool list, TimePoint sent, milliseconds wait,
      const platform::ObjectBatch& batch);
  /// Records the era of an answer or of a peer's update.
  /// @return Whether its content may be used; false if its era is older.
  bool ObserveEra(std::optional<std::uint64_t> era);
  void OnStoreRestored();
  /// Lists the kinds whose state is of an earlier era.
  void ListAfterRestore();
  /// Era of a peer's update. Peers of earlier versions state none; after a
  /// restore, their revisions count as those of the first era.
  std::uint64_t EraOf(const ChangeDelta& delta) const;
  void ContinueReading(KindState* state);
  void Poll(KindState* state);
  void OnPeerUpdate(const std::string& peer, const ChangeUpdate& update,
                    TimePoint as_of);
  void OnPeerEnded(const std::string& peer, const std::string& detail);
  void ApplyUpdate(KindState* state, bool whole,
                   const platform::ObjectBatch& batch, TimePoint as_of,
                   const std::string& source);
  void OnPlatformFailure(KindState* state);
  void SetReachable(KindState* state, bool reached);
  void ReportOutdated();
  /// Logs the ages of all kinds and the state of all sources while the data is
  /// so old that the platform is queried for it.
  void LogOldChanges();
  void ScheduleRead(KindState* state, milliseconds delay);
  milliseconds WatchDuration(ChangeKind kind) const;
  milliseconds ReadPause(const KindState& state, bool empty) const;
  void ApplyConfiguration(bool whole, const platform::ObjectBatch& batch);
  void ApplyCrashMarks(const platform::ObjectBatch& batch);
  void ApplyEvacuations(bool whole, const platform::ObjectBatch& batch);
  /// Ends the time for which evacuations that a restored store lacks are held.
  void EndHeldEvacuations();
  void PublishEvacuations();
  void RereadIncompleteConfiguration();

  platform::ObjectStore* m_store;
  ChangeRelay* m_relay;
  milliseconds m_bound;
  bool m_follow_evacuations;
  Hooks m_hooks;
  ChangeFollower m_follower;
  ChangeClient m_peers;
  Jitter m_jitter;
  KindState m_servers;
  KindState m_configuration;
  KindState m_crashes;
  KindState m_evacuations;
  bool m_evacuations_known = false;                ///< Reported at least once.
  std::set<std::string> m_evacuated_data_centres;  ///< As stored.
  /// Known before the store was restored, until `m_hold_until`: the operator
  /// may still be writing them again.
  std::set<std::string> m_held_evacuations;
  TimePoint m_hold_until;
  StoreEra m_era;
  bool m_restored = false;     ///< Since the start of this daemon.
  TimePoint m_next_relist_at;  ///< See ListAfterRestore.
  platform::ConfigurationParts m_parts;
  bool m_configuration_incomplete = false;  ///< Parts of several
                                            ///< versions.
  TimePoint m_next_repair_at;
  std::uint64_t m_version = 0;  ///< Of the configuration in force.
  Role m_role;
  std::map<std::string, std::uint64_t> m_dropped_sources;
  bool m_changes_old = false;  ///< See LogOldChanges.
  TimePoint m_next_old_log_at;
  milliseconds m_max_age{0};  ///< While m_changes_old.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace clementine

#endif  // DAEMON_FLEET_FEED_H_

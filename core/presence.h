// Tracks the health of each host and decides which groups may get requests.
#ifndef CORE_PRESENCE_H_
#define CORE_PRESENCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/jitter.h"
#include "core/mutation.h"
#include "core/peer_message.h"
#include "core/placement_object.h"

namespace clementine {

/// What this daemon knows about one host.
struct HostPresence {
  HostInfo info;
  bool listed = false;  ///< Contained in the platform's last host list.
  std::optional<HostHealth> health;
  TimePoint probed_at;  ///< When the probe that returned `health` was sent.
  TimePoint first_seen;
  /// When the last answered probe was sent; `first_seen` without an answer.
  TimePoint last_answered_probe_at;
  TimePoint health_valid_from;  ///< Health from probes sent earlier is ignored.
  bool leaving = false;  ///< By host list, health, response header or a peer.
  TimePoint leaving_since;
  int failures = 0;  ///< Failed probes since the last answered one.
  /// Verdicts of other live daemons, keyed by reporter.
  std::map<std::string, PresenceUpdate> verdicts;
  /// Those of `verdicts` whose reporter is assigned to probe this host; see
  /// Presence::RefreshAssignments.
  std::vector<const PresenceUpdate*> counted_verdicts;
  /// Result of Presence::probes_host: this daemon probes the host whatever
  /// verdicts it has received.
  bool must_probe = true;
  /// Result of Presence::spreads_verdict: other daemons use this daemon's
  /// verdict.
  bool shares_verdict = false;
  // Probing by this daemon.
  bool probing = false;         ///< A probe has no reply yet.
  bool probe_outdated = false;  ///< The host was suspected during a probe.
  TimePoint probe_sent;
  TimePoint next_probe;
};

/// Owns the host records and decides which group views are open, that is, may
/// get requests.
/// Invariant: the published view of a group is open only if the placement known
/// to this daemon lists the group as serving or draining and each of its hosts
/// confirms the group. A host that this daemon probes confirms it if the host's
/// latest health is younger than the presence timeout, comes from a probe that
/// was sent after any suspicion, and names the group, its epoch and its hosts.
/// The age of health counts from the sending of the probe. For any other host,
/// all counted verdicts of other daemons must name the group and its epoch; a
/// verdict has no maximum age, but is dropped when its reporter is no longer
/// live. The view of a plain host is open only while the host is reachable.
class Presence {
 public:
  using Actions = std::vector<ControlAction>;

  struct Options {
    std::string data_centre;
    milliseconds probe_interval{1'000};
    milliseconds presence_timeout{3'000};
    /// Deliberate fault that tests inject; kNone in production.
    Mutation mutation = Mutation::kNone;
  };

  Presence(Options options, Jitter* jitter)
      : m_options(std::move(options)), m_jitter(jitter) {}

  void SetHosts(const std::vector<HostInfo>& hosts, TimePoint now,
                Actions* out);
  void SetPlacement(const Placement& placement) {
    m_placement = placement;
    m_dirty = true;
  }
  void SetConfiguration(std::shared_ptr<const Configuration> configuration) {
    m_dirty |= m_configuration != configuration;
    m_configuration = std::move(configuration);
  }

  void OnProbeAnswered(const HostHealth& health, TimePoint now, Actions* out);
  void OnProbeFailed(const std::string& host, TimePoint now);
  void OnHostSuspected(const std::string& host, bool leaving, TimePoint now,
                       Actions* out);
  /// Records the verdict of another live daemon.
  void OnPeerVerdict(const PresenceUpdate& verdict, TimePoint now,
                     Actions* out);
  /// Drops verdicts of daemons that aren't in `live`.
  void SetReporters(const std::vector<std::string>& live);
  /// Evaluates the hooks below again. Must be called when their results can
  /// have changed.
  void RefreshAssignments();
  /// Whether verdicts can have changed since the last call of Verdicts, apart
  /// from health that became too old.
  bool verdicts_changed() const { return m_verdicts_changed; }
  /// Returns this daemon's verdicts about the hosts that it is assigned to
  /// probe and about those that the host list marks as leaving.
  std::vector<PresenceUpdate> Verdicts(TimePoint now);

  /// Sends due probes and publishes changed views.
  void Advance(TimePoint now, Actions* out);

  const std::map<std::string, HostPresence>& hosts() const { return m_hosts; }
  const HostPresence* Find(const std::string& host) const;
  const std::vector<GroupView>& views() const { return m_views; }
  /// Whether a host list has arrived from the platform.
  bool listed() const { return m_listed; }
  bool HasFreshHealth(const HostPresence& host, TimePoint now) const;
  /// Whether the host answers the probes of this daemon, or those of other
  /// daemons where this daemon doesn't probe it.
  bool IsReachable(const HostPresence& host, TimePoint now) const;

  /// Whether this daemon must probe a host: it is assigned to the host or holds
  /// the lease. Empty means every host. Any other host is probed while no
  /// verdict of another daemon counts, and after a suspicion until it has
  /// answered; see ShouldProbe.
  std::function<bool(const std::string& host)> probes_host;
  /// Whether other daemons use this daemon's verdict, because it is assigned to
  /// probe the host; empty means that they do.
  std::function<bool(const std::string& host)> spreads_verdict;
  /// Whether another daemon is assigned to probe a host; empty means that all
  /// verdicts count. A daemon that is no longer assigned doesn't update its
  /// verdict.
  std::function<bool(const std::string& reporter, const std::string& host)>
      is_reporter;

 private:
  void Probe(HostPresence* record, TimePoint now, Actions* out);
  void MarkLeaving(HostPresence* record, const char* signal, TimePoint now,
                   Actions* out);
  void ApplyHealth(HostPresence* record, const HostHealth& health,
                   TimePoint probed_at, TimePoint now, Actions* out);
  GroupView ViewOfGroup(const std::string& name, const PlacedGroup& group,
                        TimePoint now) const;
  GroupView ViewOfPlainHost(const std::string& service,
                            const HostPresence& record, TimePoint now) const;
  bool ConfirmsGroup(const std::string& name, const PlacedGroup& group,
                     const HostPresence& record, TimePoint now) const;
  void SendProbes(TimePoint now, Actions* out);
  void RefreshAssignment(HostPresence* record);
  /// Whether this daemon probes the host at present and therefore relies on its
  /// own health data instead of verdicts of other daemons.
  static bool ShouldProbe(const HostPresence& record);
  static bool ConfirmedByOthers(const std::string& name,
                                const PlacedGroup& group,
                                const HostPresence& record);
  static const std::vector<std::string>* LoadedAdapters(
      const HostPresence& record);
  void Publish(std::vector<GroupView> views, Actions* out);

  Options m_options;
  Jitter* m_jitter;
  std::map<std::string, HostPresence> m_hosts;
  Placement m_placement;
  std::shared_ptr<const Configuration> m_configuration;
  std::vector<GroupView> m_views;
  bool m_listed = false;  ///< A host list has arrived.
  bool m_dirty = true;    ///< A view can have changed.
  bool m_verdicts_changed = true;
  TimePoint m_last_evaluation;  ///< Last evaluation of all hosts and views.
};

/// @return Whether the health reports that the host serves this group with the
///         same epoch and hosts.
bool HealthMatches(const std::string& name, const PlacedGroup& group,
                   const HostHealth& health);

}  // namespace clementine

#endif  // CORE_PRESENCE_H_

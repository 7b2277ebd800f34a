// What this node knows of each host, and the gates that follow from it.
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

/// Everything known of one host.
struct HostRecord {
  HostInfo info;
  bool listed = false;  ///< In the platform's last host list.
  std::optional<HostHealth> health;
  TimePoint asked;  ///< Sending time of the probe that gave `health`.
  TimePoint first_seen;
  TimePoint last_ok;       ///< `asked` of the last answer, or `first_seen`.
  TimePoint trusted_from;  ///< Health asked before this doesn't count.
  bool leaving = false;    ///< By host list, health, header or a peer.
  TimePoint leaving_since;
  int failures = 0;  ///< Failed probes since the last answer.
  /// Verdicts of other live daemons, by reporter.
  std::map<std::string, PresenceUpdate> verdicts;
  /// Those of `verdicts` that count; see Presence::RefreshDuties.
  std::vector<const PresenceUpdate*> counted;
  bool probed_here = true;   ///< Probing it is this node's duty.
  bool told_others = false;  ///< Others count this node's verdict.
  // Probing by this node.
  bool probing = false;
  bool probe_again = false;  ///< A suspicion arrived during a probe.
  TimePoint probe_sent;
  TimePoint next_probe;
};

/// Owns host records; decides gates.
/// Invariant: a published view is open only if the placement known here lists
/// the group as serving and the latest health of each of its hosts is younger
/// than the presence timeout, was asked after any suspicion, and names the
/// group, its epoch and its hosts. Ages count from the sending of the probe.
class Presence {
 public:
  using Actions = std::vector<ControlAction>;

  struct Options {
    std::string data_centre;
    milliseconds probe_interval{1'000};
    milliseconds presence_timeout{3'000};
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

  void Answered(const HostHealth& health, TimePoint now, Actions* out);
  void Failed(const std::string& host, TimePoint now);
  void Suspected(const std::string& host, bool leaving, TimePoint now,
                 Actions* out);
  /// A verdict of another live daemon.
  void Reported(const PresenceUpdate& verdict, TimePoint now, Actions* out);
  /// Drops verdicts of daemons that are no longer live.
  void SetReporters(const std::vector<std::string>& live);
  /// Asks the hooks below anew; for when their answers can have changed.
  void RefreshDuties();
  /// Whether verdicts can have changed since the last call of Verdicts, other
  /// than by the passing of time.
  bool verdicts_changed() const { return m_verdicts_changed; }
  /// This node's verdicts: about hosts whose probing is its duty, and about
  /// those that the host list calls leaving.
  std::vector<PresenceUpdate> Verdicts(TimePoint now);

  /// Sends due probes and publishes changed views.
  void Advance(TimePoint now, Actions* out);

  const std::map<std::string, HostRecord>& hosts() const { return m_hosts; }
  const HostRecord* Find(const std::string& host) const;
  const std::vector<GroupView>& views() const { return m_views; }
  bool listed() const { return m_listed; }
  bool Fresh(const HostRecord& host, TimePoint now) const;
  /// Whether the host answers, by this node's probes or by those of others.
  bool Reachable(const HostRecord& host, TimePoint now) const;

  /// Whether probing a host is this node's duty; empty means that all are. A
  /// host is also probed without duty while no other daemon vouches for it, and
  /// after a suspicion until it answered.
  std::function<bool(const std::string& host)> probes;
  /// Whether others rely on this node's verdict; empty means that they do.
  std::function<bool(const std::string& host)> spreads;
  /// Whether probing a host is another daemon's duty; empty means that all
  /// verdicts count. A daemon that lost the duty doesn't update its verdict.
  std::function<bool(const std::string& reporter, const std::string& host)>
      reports;

 private:
  void Probe(HostRecord* record, TimePoint now, Actions* out);
  void MarkLeaving(HostRecord* record, const char* signal, TimePoint now,
                   Actions* out);
  void Learn(HostRecord* record, const HostHealth& health, TimePoint asked,
             TimePoint now, Actions* out);
  GroupView ViewOfGroup(const std::string& name, const PlacedGroup& group,
                        TimePoint now) const;
  GroupView ViewOfPlainHost(const std::string& service,
                            const HostRecord& record, TimePoint now) const;
  bool Confirms(const std::string& name, const PlacedGroup& group,
                const HostRecord& record, TimePoint now) const;
  void SendProbes(TimePoint now, Actions* out);
  void RefreshDuty(HostRecord* record);
  static bool ProbesItself(const HostRecord& record);
  static bool ConfirmedByOthers(const std::string& name,
                                const PlacedGroup& group,
                                const HostRecord& record);
  static const std::vector<std::string>* LoadedAdapters(
      const HostRecord& record);
  void Publish(std::vector<GroupView> views, Actions* out);

  Options m_options;
  Jitter* m_jitter;
  std::map<std::string, HostRecord> m_hosts;
  Placement m_placement;
  std::shared_ptr<const Configuration> m_configuration;
  std::vector<GroupView> m_views;
  bool m_listed = false;  ///< A host list has arrived.
  bool m_dirty = true;    ///< A gate can have changed.
  bool m_verdicts_changed = true;
  TimePoint m_last_pass;  ///< Last look at all hosts and gates.
};

/// @return Whether a host's health says that it serves exactly this group.
bool HealthMatches(const std::string& name, const PlacedGroup& group,
                   const HostHealth& health);

}  // namespace clementine

#endif  // CORE_PRESENCE_H_

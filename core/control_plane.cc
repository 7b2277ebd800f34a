// Combines the components of the control plane and passes each event to the
// component that handles it.

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "core/config_watch.h"
#include "core/core.h"
#include "core/jitter.h"
#include "core/peer_exchange.h"
#include "core/placement_control.h"
#include "core/platform_calls.h"
#include "core/presence.h"
#include "core/rendezvous.h"
#include "core/status.h"
#include "core/store_era.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr char kHeadKey[] = "config/head";
constexpr milliseconds kListInterval{2'000};
/// Maximum interval between host lists at a daemon that doesn't watch the
/// platform. Such a daemon learns from other daemons which hosts are leaving.
constexpr milliseconds kSlowListInterval{20'000};
/// Number of daemons of a data centre that watch the platform for the others
/// and compete for the lease. When one fails, another daemon is assigned.
constexpr std::size_t kPlatformDaemons = 2;
/// Number of daemons that probe each host. With at most this many live daemons,
/// each daemon probes every host.
constexpr std::size_t kProbersPerHost = 3;
constexpr milliseconds kWatchTimeout{30'000};
/// A watch is taken for lost if its reply is later than its timeout by more
/// than this.
constexpr milliseconds kWatchGrace{5'000};
/// The same for the watch of the configuration. Both together are less than the
/// bound, so that a watch on a connection that fell silent is replaced in time.
constexpr milliseconds kConfigurationWatchTimeout = kConfigurationBound / 2;
constexpr milliseconds kConfigurationWatchGrace = kConfigurationBound / 4;
constexpr milliseconds kReplyTimeout{10'000};
constexpr milliseconds kStatusMeasureInterval{200};
constexpr milliseconds kPublishInterval{50};
/// Interval at which verdicts are checked for changes caused by the age of
/// health.
constexpr milliseconds kVerdictInterval{200};
/// Daemons order copies of the placement by era and version in one number.
/// Versions count the writes of one object and stay far below 2^40.
constexpr int kVersionBits = 40;
constexpr std::uint64_t kMaxCopyEra = (std::uint64_t{1} << 20) - 1;

/// State of a host list call or a watch, which are repeated.
struct PeriodicCall {
  bool pending = false;
  TimePoint sent;
  TimePoint next;
  std::uint64_t since_revision = 0;  ///< A watch returns later changes.
  /// A watch without changes is answered after this time.
  milliseconds timeout = kWatchTimeout;
  milliseconds grace = kWatchGrace;
  Backoff backoff;
};

MembershipOptions MakeMembershipOptions(const ControlPlaneOptions& options) {
  MembershipOptions membership;
  membership.self = {options.node, options.data_centre, options.peer_address,
                     options.incarnation};
  membership.seeds = options.peer_seeds;
  membership.seed = options.seed;
  membership.ping_interval = options.heartbeat_interval;
  membership.ack_timeout = options.heartbeat_interval * 2 / 5;
  membership.suspect_timeout =
      options.peer_timeout - options.heartbeat_interval;
  return membership;
}

}  // namespace

class ControlPlane::Impl {
 public:
  explicit Impl(ControlPlaneOptions options)
      : m_options(std::move(options)),
        m_jitter(m_options.seed),
        m_config(&m_calls, &m_jitter, m_options.mutation),
        m_presence({m_options.data_centre, m_options.probe_interval,
                    m_options.presence_timeout, m_options.mutation},
                   &m_jitter),
        m_placement(m_options, &m_calls, &m_jitter),
        m_status("status/" + m_options.data_centre, m_options.status_interval,
                 &m_calls, &m_jitter),
        m_peers(MakeMembershipOptions(m_options)),
        m_placement_key("placement/" + m_options.data_centre) {
    PeriodicCall& head_watch = m_watches[kHeadKey];
    head_watch.timeout = kConfigurationWatchTimeout;
    head_watch.grace = kConfigurationWatchGrace;
    head_watch.backoff = Backoff(milliseconds(200), kMaxConfigurationRetry);
    m_watches[m_placement_key];
    m_presence.probes_host = [this](const std::string& host) {
      return ShouldProbeHost(host);
    };
    m_presence.spreads_verdict = [this](const std::string& host) {
      return IsProber(m_options.node, host);
    };
    m_presence.is_reporter = [this](const std::string& node,
                                    const std::string& host) {
      return IsProber(node, host);
    };
    OnLiveDaemonsChanged();
  }

  std::vector<ControlAction> Handle(const ControlEvent& event, TimePoint now) {
    m_now = now;
    m_out.clear();
    std::visit([this](const auto& typed) { On(typed); }, event);
    Advance();
    return std::move(m_out);
  }

  ControlStatus status(TimePoint now) const {
    ControlStatus status;
    status.generation = m_config.generation();
    status.holds_lease = m_placement.lease().IsValid(now);
    status.fence = m_placement.lease().fence();
    status.json = m_status.Json(Sources());
    return status;
  }

 private:
  void On(const HostsListed& event) {
    m_list.pending = false;
    m_list.backoff.OnSuccess();
    milliseconds interval =
        m_watches_platform ? kListInterval : kSlowListInterval;
    m_list.next = m_now + m_jitter.Between(interval / 2, interval);
    m_presence.SetHosts(event.hosts, m_now, &m_out);
  }
  void On(const HostsUnavailable&) {
    m_list.pending = false;
    m_list.next = m_list.backoff.OnFailure(m_now, &m_jitter);
  }
  void On(const ObjectsChanged& event) {
    for (const auto& entry : event.entries) {
      if (entry.key == kHeadKey) {
        m_config.OfferHead(entry.value, m_now, &m_out);
      } else if (entry.key == m_placement_key) {
        m_placement.OnPlacementObserved(entry.version, entry.value, &m_out);
      }
    }
    auto watch = m_watches.find(FindWatchPrefix(event));
    if (watch != m_watches.end()) {
      bool complete =
          watch->second.since_revision == 0 && !event.prefix.empty();
      if (complete && event.entries.empty() &&
          watch->first == m_placement_key) {
        m_placement.OnAbsenceObserved();
      }
      watch->second.pending = false;
      watch->second.since_revision = event.revision;
      watch->second.next = m_now;
      watch->second.backoff.OnSuccess();
    }
  }
  void On(const WatchFailed& event) {
    auto watch = m_watches.find(event.prefix);
    if (watch != m_watches.end()) {
      watch->second.pending = false;
      // A restarted platform can have lost its revisions, so the next watch
      // starts with the current objects.
      watch->second.since_revision = 0;
      watch->second.next = watch->second.backoff.OnFailure(m_now, &m_jitter);
    }
  }
  void On(const ProbeAnswered& event) {
    m_presence.OnProbeAnswered(event.health, m_now, &m_out);
  }
  void On(const ProbeFailed& event) {
    m_presence.OnProbeFailed(event.host, m_now);
  }
  void On(const HostSuspected& event) {
    m_presence.OnHostSuspected(event.host, event.leaving, m_now, &m_out);
  }
  void On(const ObjectReply& reply) {
    std::optional<PendingCall> call = m_calls.Take(reply.call);
    if (call) {
      RouteReply(*call, reply);
    }
  }
  void On(const OrderAnswered& event) {
    m_placement.OnOrderAnswered(event, m_now, &m_out);
  }
  void On(const PeerMessageReceived& event) {
    ApplyPeerResult(m_peers.Receive(event.bytes, m_now));
  }
  void On(const QuarantineFound& event) {
    m_peers.SpreadQuarantine(event, m_now);
  }
  void On(const StoreEraSeen& event) { ObserveEra(event.era); }
  void On(const DrainStarted&) {
    m_placement.Drain();
    ApplyPeerResult(m_peers.Leave(m_now));
  }
  void On(const Tick&) {}

  void ObserveEra(std::uint64_t era) {
    std::uint64_t before = m_store_era.highest();
    StoreEra::Verdict verdict = m_store_era.Observe(era);
    bool restored = verdict == StoreEra::Verdict::kRestored;
    if (!restored && verdict != StoreEra::Verdict::kFirst) return;
    m_peers.SetStoreEra(era);
    m_placement.OnStoreEra(era, restored, m_now, &m_out);
    m_out.push_back(StoreEraSeen{era});
    if (!restored) return;
    m_out.push_back(LogDecision{
        "store_restored",
        {{"era", std::to_string(era)}, {"before", std::to_string(before)}}});
    m_status.OnStoreRestored();
    m_published_placement = ~std::uint64_t{0};
    // The watches in progress began at revisions of an earlier era.
    for (auto& [prefix, watch] : m_watches) {
      watch.pending = false;
      watch.since_revision = 0;
      watch.next = m_now;
    }
  }

  std::uint64_t CopyEra() const {
    return std::min(m_store_era.highest(), kMaxCopyEra);
  }

  void OnPlacementCopy(const PlacementCopy& copy) {
    std::uint64_t era = copy.version >> kVersionBits;
    if (era != CopyEra()) return;
    std::uint64_t version = copy.version - (era << kVersionBits);
    m_placement.OnPlacementObserved(version, copy.value, &m_out);
  }

  /// Applies the result of an exchange with other daemons.
  void ApplyPeerResult(PeerExchangeResult result) {
    if (result.store_era > m_store_era.highest()) ObserveEra(result.store_era);
    for (SendPeer& send : result.send) m_out.push_back(std::move(send));
    for (LogDecision& line : result.log) m_out.push_back(std::move(line));
    if (result.live_changed) {
      OnLiveDaemonsChanged();
      m_out.push_back(DaemonsChanged{static_cast<int>(m_live.size())});
    }
    for (const PresenceUpdate& update : result.presence) {
      m_presence.OnPeerVerdict(update, m_now, &m_out);
    }
    for (QuarantineLearned& entry : result.quarantine) {
      m_out.push_back(std::move(entry));
    }
    if (result.placement) {
      OnPlacementCopy(*result.placement);
    }
    if (result.candidate) {
      m_config.OfferHead(EncodeHead(result.candidate->head), m_now, &m_out);
      for (const auto& [digest, text] : result.candidate->texts) {
        m_config.OfferSection(digest, text, "peer", m_now, &m_out);
      }
    }
  }

  void OnLiveDaemonsChanged() {
    m_live = m_peers.LiveNodes();
    m_probers.clear();
    m_watches_platform =
        IsAssigned(m_options.node, "platform", m_live, kPlatformDaemons);
    m_presence.SetReporters(m_live);
  }

  /// Returns the daemons that are assigned to probe a host.
  const std::vector<std::string>& Probers(const std::string& host) {
    auto [found, added] = m_probers.try_emplace(host);
    if (added) {
      found->second = RankNodes("probe " + host, m_live, kProbersPerHost);
    }
    return found->second;
  }

  bool IsProber(const std::string& node, const std::string& host) {
    const std::vector<std::string>& probers = Probers(host);
    return std::find(probers.begin(), probers.end(), node) != probers.end();
  }

  bool ShouldProbeHost(const std::string& host) {
    // The lease holder probes all hosts, because it places groups only by what
    // the hosts answered to its own probes.
    return m_placement.lease().IsValid(m_now) || IsProber(m_options.node, host);
  }

  /// Publishes local changes to the other daemons.
  void PublishToPeers() {
    if (m_published_generation != m_config.generation()) {
      m_published_generation = m_config.generation();
      ConfigSnapshot current{m_config.head(), {}};
      for (const auto& [name, digest] : current.head.sections) {
        const std::string* text = m_config.FindSection(digest);
        if (text != nullptr) current.texts[digest] = *text;
      }
      m_peers.SetConfiguration(std::move(current));
    }
    if (m_published_placement != m_placement.store().version()) {
      m_published_placement = m_placement.store().version();
      m_peers.SetPlacement({(CopyEra() << kVersionBits) + m_published_placement,
                            EncodePlacement(m_placement.store().placement())});
    }
    if (m_placement.lease().IsValid(m_now)) {
      m_peers.SetCoordinator(m_placement.lease().fence());
    }
    if (m_presence.verdicts_changed() || m_now >= m_next_verdicts) {
      m_next_verdicts = m_now + kVerdictInterval;
      for (PresenceUpdate& verdict : m_presence.Verdicts(m_now)) {
        m_peers.SpreadPresence(std::move(verdict));
      }
    }
    ApplyPeerResult(m_peers.Advance(m_now));
  }

  /// Returns the prefix of the watch that a reply belongs to. The platform
  /// client sets the prefix. For a reply without one, returns the key of the
  /// first entry, because the prefix of each watch is a complete key.
  std::string FindWatchPrefix(const ObjectsChanged& event) const {
    if (!event.prefix.empty() || event.entries.empty()) {
      return event.prefix;
    }
    return event.entries.front().key;
  }

  void RouteReply(const PendingCall& call, const ObjectReply& reply) {
    switch (call.owner) {
      case CallOwner::kLease:
      case CallOwner::kPlacement:
        m_placement.OnReply(call, reply, m_now, &m_out);
        break;
      case CallOwner::kConfig:
        m_config.OnReply(call.key, reply, m_now, &m_out);
        break;
      case CallOwner::kStatus:
        m_status.OnReply(call, reply, m_now);
        break;
    }
  }

  StatusSources Sources() const {
    StatusSources sources;
    sources.data_centre = m_options.data_centre;
    sources.nodes = {{m_options.node, m_config.generation(), true}};
    for (const PeerGeneration& peer : m_peers.Generations()) {
      sources.nodes.push_back({peer.node, peer.generation, true});
    }
    sources.configuration = m_config.configuration().get();
    sources.presence = &m_presence;
    sources.placement = &m_placement;
    sources.calls = &m_calls;
    for (const std::string& digest : m_config.MissingSections()) {
      sources.waiting_for.push_back("configuration section " + digest);
    }
    for (const std::string& reason : {m_placement.lease().waiting_for(),
                                      m_placement.store().waiting_for()}) {
      if (!reason.empty()) {
        sources.waiting_for.push_back(reason);
      }
    }
    return sources;
  }

  void Advance() {
    if (!m_list.pending && m_now >= m_list.next) {
      m_list.pending = m_calls.List(m_now, &m_out);
    }
    for (auto& [prefix, watch] : m_watches) {
      if (watch.pending && m_now - watch.sent > watch.timeout + watch.grace) {
        watch.pending = false;
      }
      if (!watch.pending && m_now >= watch.next && m_watches_platform) {
        watch.pending = m_calls.StartWatch(prefix, watch.since_revision,
                                           watch.timeout, m_now, &m_out);
        watch.sent = m_now;
      }
    }
    for (const auto& [id, call] :
         m_calls.TakeCallsSentBefore(m_now - kReplyTimeout)) {
      RouteReply(call, ObjectReply{});
    }
    m_config.Advance(m_now, &m_out);
    m_presence.SetConfiguration(m_config.configuration());
    m_placement.Advance(m_presence, m_config.configuration().get(),
                        m_watches_platform, m_now, &m_out);
    if (m_placement_changes != m_placement.store().changes()) {
      m_placement_changes = m_placement.store().changes();
      m_presence.SetPlacement(m_placement.store().placement());
    }
    // The lease holder probes all hosts, so assignments change with the lease.
    if (m_held_lease != m_placement.lease().IsValid(m_now)) {
      m_held_lease = !m_held_lease;
      m_presence.RefreshAssignments();
    }
    m_presence.Advance(m_now, &m_out);
    if (m_now >= m_next_publish) {
      m_next_publish = m_now + kPublishInterval;
      PublishToPeers();
    }
    if (m_now >= m_next_measure) {
      m_next_measure = m_now + kStatusMeasureInterval;
      StatusSources sources = Sources();
      m_status.UpdateMeasurements(sources, m_now);
      if (m_placement.lease().IsValid(m_now)) {
        m_status.Advance(sources, m_now, &m_out);
      }
    }
  }

  ControlPlaneOptions m_options;
  Jitter m_jitter;
  PlatformCalls m_calls;
  ConfigWatch m_config;
  Presence m_presence;
  PlacementControl m_placement;
  Status m_status;
  PeerExchange m_peers;
  StoreEra m_store_era;
  std::vector<std::string> m_live;  ///< Live daemons, including this one.
  /// Assigned probers by host, for the daemons in m_live.
  std::map<std::string, std::vector<std::string>> m_probers;
  bool m_watches_platform = true;
  std::uint64_t m_published_generation = 0;
  std::uint64_t m_published_placement = 0;
  TimePoint m_next_publish;
  TimePoint m_next_verdicts;
  /// Whether this daemon held a valid lease at the last event.
  bool m_held_lease = false;
  std::string m_placement_key;
  std::uint64_t m_placement_changes = 0;
  TimePoint m_next_measure;
  PeriodicCall m_list;
  std::map<std::string, PeriodicCall> m_watches;
  TimePoint m_now;
  std::vector<ControlAction> m_out;
};

ControlPlane::ControlPlane(ControlPlaneOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}
ControlPlane::~ControlPlane() = default;

std::vector<ControlAction> ControlPlane::Handle(const ControlEvent& event,
                                                TimePoint now) {
  return m_impl->Handle(event, now);
}

ControlStatus ControlPlane::status(TimePoint now) const {
  return m_impl->status(now);
}

}  // namespace clementine

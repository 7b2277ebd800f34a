// Exchange of state between daemons.
//
// Combines membership, configuration deltas and the updates that are
// piggybacked on their messages. An urgent update (a lost or leaving host, a
// quarantined digest, a new generation) doesn't wait for the next ping: a
// daemon that creates or first receives it sends it to a few random daemons at
// once.
#ifndef CORE_PEER_EXCHANGE_H_
#define CORE_PEER_EXCHANGE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/config_sync.h"
#include "core/core.h"
#include "core/membership.h"
#include "core/peer_message.h"

namespace clementine {

/// A daemon of this data centre and the last generation that it reported.
struct PeerGeneration {
  std::string node;
  std::uint64_t generation = 0;
};

struct PeerExchangeResult {
  std::vector<SendPeer> send;
  std::vector<LogDecision> log;
  bool live_changed = false;
  std::vector<PresenceUpdate> presence;  ///< New verdicts of other daemons.
  std::vector<QuarantineLearned> quarantine;  ///< New entries of other daemons.
  std::optional<ConfigSnapshot> candidate;    ///< A newer configuration.
  std::optional<PlacementCopy> placement;     ///< A newer placement object.
  std::uint64_t store_era = 0;  ///< As the sender states it; 0 if it doesn't.
};

struct PeerExchangeStats {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t damaged = 0;  ///< Received messages that can't be decoded.
};

class PeerExchange {
 public:
  explicit PeerExchange(MembershipOptions options);

  PeerExchangeResult Advance(TimePoint now);

  /// @param bytes An encoded message. One that can't be decoded is counted and
  ///              logged.
  PeerExchangeResult Receive(const std::string& bytes, TimePoint now);

  PeerExchangeResult Leave(TimePoint now);

  /// Queues this daemon's verdict about a host for sending. Sets reporter and
  /// sequence. An unchanged verdict isn't sent again.
  void SpreadPresence(PresenceUpdate update);

  /// Queues a quarantine entry for sending.
  void SpreadQuarantine(const QuarantineFound& entry, TimePoint now);

  /// Sets the configuration in force, which other daemons can then pull.
  void SetConfiguration(ConfigSnapshot current);

  /// Sets the known placement object, which other daemons can then pull.
  void SetPlacement(PlacementCopy placement);
  /// Era that messages state.
  void SetStoreEra(std::uint64_t era) {
    m_store_era = era;
    m_has_urgent_update = true;
  }

  /// Records that this daemon holds the lease with this fencing token.
  void SetCoordinator(std::uint64_t fence);

  /// Names of the live daemons of this data centre, including this one.
  std::vector<std::string> LiveNodes() const { return m_members.LiveNodes(); }

  /// Generations of the other live daemons; 0 if not reported. Each daemon
  /// reports a new generation to the lease holder, so at other daemons they can
  /// be out of date.
  std::vector<PeerGeneration> Generations() const;

  const PeerExchangeStats& stats() const { return m_stats; }

 private:
  /// The latest verdict of a reporter about a host. It is retained after its
  /// last send, until the reporter is no longer live.
  struct KnownVerdict {
    PresenceUpdate update;
    int sends_left = 0;  ///< How often the verdict is still to be sent.
  };
  struct PendingQuarantine {
    TimePoint expires;
    int sends_left = 0;
  };

  int SendsForUpdate() const;
  void DropDeadReporters();
  void UpdatePresenceDigest();
  /// Sends all verdicts and crash marks.
  void SendKnownUpdates(const std::string& address, TimePoint now,
                        PeerExchangeResult* result);
  bool IsPresenceStable(TimePoint now);
  void ComparePresence(const PeerMessage& message, TimePoint now,
                       PeerExchangeResult* result);
  void ReceivePlacement(const PeerMessage& message, TimePoint now,
                        PeerExchangeResult* result);
  /// Records the generation and the lease holder that the header of a message
  /// reports, and the ack to this daemon's own report of its generation.
  void ReceiveHeader(const PeerMessage& message);
  void ReportGeneration(TimePoint now, PeerExchangeResult* result);
  void AddHeaderAndUpdates(PeerMessage* message, TimePoint now);
  void SendMessage(const std::string& address, PeerMessage message,
                   TimePoint now, PeerExchangeResult* result);
  void CollectMembershipResult(MembershipResult members, TimePoint now,
                               PeerExchangeResult* result);
  void ReceivePresence(const PresenceUpdate& update,
                       PeerExchangeResult* result);
  bool AddQuarantine(const std::string& digest, TimePoint expires);
  void ReceiveQuarantine(const QuarantineUpdate& update, TimePoint now,
                         PeerExchangeResult* result);
  void ReceiveConfig(const PeerMessage& message, TimePoint now,
                     PeerExchangeResult* result);
  void SendReply(const PeerMessage& to, PeerMessage message, TimePoint now,
                 PeerExchangeResult* result);

  PeerInfo m_self;
  Membership m_members;
  ConfigSync m_config;
  std::uint64_t m_presence_sequence = 0;
  /// The latest verdict by reporter and host.
  std::map<std::pair<std::string, std::string>, KnownVerdict> m_presence;
  std::map<std::string, PendingQuarantine> m_quarantine;  ///< Keyed by digest.
  std::size_t m_quarantine_bytes = 0;  ///< Size of these keys.
  std::uint64_t m_presence_digest = 0;
  std::uint64_t m_stable_digest = 0;  ///< At the last check.
  TimePoint m_stable_since{};
  std::map<std::string, std::uint64_t> m_generations;  ///< By node.
  PlacementCopy m_placement;
  Coordinator m_coordinator;
  std::uint64_t m_store_era = 0;
  /// The last generation and fence that the lease holder acknowledged, and the
  /// ping whose ack is outstanding.
  std::uint64_t m_reported_generation = 0;
  std::uint64_t m_reported_fence = 0;
  std::uint64_t m_pending_report_sequence = 0;
  std::uint64_t m_pending_report_generation = 0;
  TimePoint m_next_report{};
  TimePoint m_next_presence_sync{};
  bool m_has_urgent_update = false;
  TimePoint m_next_burst{};
  TimePoint m_next_pull{};
  TimePoint m_next_placement_pull{};
  PeerExchangeStats m_stats;
};

}  // namespace clementine

#endif  // CORE_PEER_EXCHANGE_H_

// Everything that a daemon exchanges with other daemons.
//
// Composes membership, configuration deltas and the updates that ride along on
// their messages. An urgent update (a lost or leaving host, a quarantined
// digest, a new generation) is sent to a few random daemons at once, and so on
// by each that learns of it, instead of waiting for the next ping.
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

/// A daemon of this data centre and the generation that it was last seen at.
struct PeerGeneration {
  std::string node;
  std::uint64_t generation = 0;
};

struct PeerExchangeResult {
  std::vector<SendPeer> send;
  std::vector<LogDecision> log;
  bool live_changed = false;
  std::vector<PresenceUpdate> presence;       ///< News from other daemons.
  std::vector<QuarantineLearned> quarantine;  ///< News from other daemons.
  std::optional<ConfigCandidate> candidate;   ///< A newer configuration.
  std::optional<PlacementCopy> placement;     ///< A newer placement object.
};

struct PeerExchangeStats {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t damaged = 0;
};

class PeerExchange {
 public:
  explicit PeerExchange(MembershipOptions options);

  PeerExchangeResult Advance(TimePoint now);

  /// @param bytes A message as received; damaged ones are counted and logged.
  PeerExchangeResult Receive(const std::string& bytes, TimePoint now);

  PeerExchangeResult Leave(TimePoint now);

  /// Spreads this daemon's verdict about a host. Reporter and sequence are set
  /// here. Unchanged verdicts aren't sent again.
  void SpreadPresence(PresenceUpdate update);

  void SpreadQuarantine(const QuarantineFound& entry, TimePoint now);

  /// Records the configuration in force, which others may then pull.
  void SetConfiguration(ConfigCandidate current);

  /// Records the placement object known here, which others may then pull.
  void SetPlacement(PlacementCopy placement);

  /// Records that this daemon holds the lease with this fencing token.
  void SetCoordinator(std::uint64_t fence);

  /// Names of the live daemons of this data centre, this one included.
  std::vector<std::string> LiveNodes() const { return m_members.LiveNodes(); }

  /// Generations of the other live daemons. Each daemon reports a new
  /// generation to the lease holder; elsewhere they can be out of date.
  std::vector<PeerGeneration> Generations() const;

  const PeerExchangeStats& stats() const { return m_stats; }

 private:
  struct PresenceRumour {
    PresenceUpdate update;
    int sends_left = 0;
  };
  struct QuarantineRumour {
    TimePoint expires;
    int sends_left = 0;
  };

  int Sends() const;
  void DropDeadReporters();
  void UpdatePresenceDigest();
  void SendPresence(const std::string& address, TimePoint now,
                    PeerExchangeResult* result);
  bool PresenceSettled(TimePoint now);
  void ComparePresence(const PeerMessage& message, TimePoint now,
                       PeerExchangeResult* result);
  void ReceivePlacement(const PeerMessage& message, TimePoint now,
                        PeerExchangeResult* result);
  void ReceiveCoordinator(const PeerMessage& message);
  void ReportGeneration(TimePoint now, PeerExchangeResult* result);
  void Fill(PeerMessage* message, TimePoint now);
  void SendMessage(const std::string& address, PeerMessage message,
                   TimePoint now, PeerExchangeResult* result);
  void Take(MembershipResult members, TimePoint now,
            PeerExchangeResult* result);
  void ReceivePresence(const PresenceUpdate& update,
                       PeerExchangeResult* result);
  bool AddQuarantine(const std::string& digest, TimePoint expires);
  void ReceiveQuarantine(const QuarantineUpdate& update, TimePoint now,
                         PeerExchangeResult* result);
  void ReceiveConfig(const PeerMessage& message, TimePoint now,
                     PeerExchangeResult* result);
  void Reply(const PeerMessage& to, PeerMessage message, TimePoint now,
             PeerExchangeResult* result);

  PeerInfo m_self;
  Membership m_members;
  ConfigSync m_config;
  std::uint64_t m_presence_sequence = 0;
  /// Keyed by reporter and host; the newest verdict of each.
  std::map<std::pair<std::string, std::string>, PresenceRumour> m_presence;
  std::map<std::string, QuarantineRumour> m_quarantine;  ///< Keyed by digest.
  std::uint64_t m_presence_digest = 0;
  std::uint64_t m_settled_digest = 0;  ///< As of the last comparison.
  TimePoint m_settled_since{};
  std::map<std::string, std::uint64_t> m_generations;  ///< By node.
  PlacementCopy m_placement;
  Coordinator m_coordinator;
  /// What the lease holder acknowledged, and the ping that waits for it.
  std::uint64_t m_reported_generation = 0;
  std::uint64_t m_reported_fence = 0;
  std::uint64_t m_report_sequence = 0;
  std::uint64_t m_report_generation = 0;
  TimePoint m_next_report{};
  TimePoint m_next_presence_sync{};
  bool m_urgent = false;
  TimePoint m_next_burst{};
  TimePoint m_next_pull{};
  TimePoint m_next_placement_pull{};
  PeerExchangeStats m_stats;
};

}  // namespace clementine

#endif  // CORE_PEER_EXCHANGE_H_

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

struct PeerExchangeResult {
  std::vector<SendPeer> send;
  std::vector<LogDecision> log;
  bool live_changed = false;
  std::vector<PresenceUpdate> presence;       ///< News from other daemons.
  std::vector<QuarantineLearned> quarantine;  ///< News from other daemons.
  std::optional<ConfigCandidate> candidate;   ///< A newer configuration.
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

  /// Names of the live daemons of this data centre, this one included.
  std::vector<std::string> LiveNodes() const { return m_members.LiveNodes(); }

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
  bool m_urgent = false;
  TimePoint m_next_burst{};
  TimePoint m_next_pull{};
  PeerExchangeStats m_stats;
};

}  // namespace clementine

#endif  // CORE_PEER_EXCHANGE_H_

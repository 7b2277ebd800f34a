// Membership of daemons by randomised pings (the SWIM method).
//
// In each ping interval a daemon pings one other daemon of its data centre.
// Without an ack within the ack timeout it asks a few other daemons to ping the
// target (an indirect ping), so that a broken link between two daemons isn't
// taken for a failure. Without any ack the target becomes suspect and, after
// the suspect timeout, dead. A suspected daemon refutes the suspicion by
// raising its refutation number. Membership updates are piggybacked on pings
// and acks, so the traffic of a daemon doesn't grow with the number of daemons.
#ifndef CORE_MEMBERSHIP_H_
#define CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/peer_message.h"

namespace clementine {

struct MembershipOptions {
  PeerInfo self;
  std::vector<std::string> seeds;  ///< Peer addresses; may contain the own one.
  std::uint64_t seed = 1;
  milliseconds ping_interval{1'000};
  milliseconds ack_timeout{400};
  milliseconds suspect_timeout{3'000};
  /// Between pings to unknown seeds, dead members and other data centres.
  milliseconds contact_interval{5'000};
  milliseconds sync_interval{2'000};    ///< Between fetches of the full list.
  milliseconds dead_retention{60'000};  ///< Then a dead member is forgotten.
  std::size_t indirect_pings = 2;       ///< Indirect pings for each target.
  std::size_t updates_per_message = 8;
};

struct OutgoingPeerMessage {
  std::string address;
  PeerMessage message;
};

struct MembershipResult {
  std::vector<OutgoingPeerMessage> send;
  std::vector<LogDecision> log;
  bool live_changed = false;  ///< The live daemons of this data centre changed.
};

/// Returns how often a daemon sends an update so that it reaches `members`
/// daemons.
int SendsPerUpdate(std::size_t members);

class Membership {
 public:
  explicit Membership(MembershipOptions options);

  /// Sends due pings and advances timeouts.
  MembershipResult Advance(TimePoint now);

  /// Handles a message of any kind and sends the ack to a ping.
  MembershipResult Receive(const PeerMessage& message, TimePoint now);

  /// Pings `count` random daemons now, to spread urgent updates.
  MembershipResult PingRandom(std::size_t count, TimePoint now);

  /// Pings a daemon now. Sends nothing if the daemon isn't known.
  MembershipResult PingNode(const std::string& node, TimePoint now);

  /// Whether a daemon is known, in any data centre.
  bool IsKnown(const std::string& node) const {
    return m_members.count(node) > 0;
  }
  /// Whether a daemon is known and has not been restarted since.
  bool IsKnownIncarnation(const PeerInfo& peer) const {
    auto found = m_members.find(peer.node);
    return found != m_members.end() &&
           found->second.update.peer.incarnation >= peer.incarnation;
  }

  /// Notifies other daemons that this one stops. From then on it doesn't refute
  /// suspicions.
  MembershipResult Leave(TimePoint now);

  /// Returns the sorted names of the live daemons of this data centre,
  /// including this one.
  std::vector<std::string> LiveNodes() const;

  /// Returns up to `count` random live daemons of this data centre, excluding
  /// this one.
  std::vector<PeerInfo> RandomPeers(std::size_t count);

  /// Returns the address of a known daemon, or an empty string.
  std::string AddressOf(const std::string& node) const;

 private:
  struct Member {
    MemberUpdate update;
    TimePoint changed;
  };
  struct PendingPing {
    std::string node;  ///< Empty if the daemon at the address is unknown.
    TimePoint sent;
    bool indirect_requested = false;  ///< Indirect pings were requested.
    /// Where the ack is forwarded; set if another daemon requested this ping.
    std::string forward_address;
    std::uint64_t forward_sequence = 0;
  };

  void ApplyUpdate(const MemberUpdate& update, TimePoint now,
                   MembershipResult* result);
  bool Overrides(const MemberUpdate& update, const MemberUpdate& known) const;
  void Refute(const MemberUpdate& suspicion);
  void QueueUpdate(const std::string& node);
  void AttachUpdates(PeerMessage* message);
  void Send(PeerMessageKind kind, const std::string& address,
            std::uint64_t sequence, MembershipResult* result);
  void Ping(const std::string& node, const std::string& address, TimePoint now,
            MembershipResult* result);
  void PingNext(TimePoint now, MembershipResult* result);
  void PingReconnectCandidate(TimePoint now, MembershipResult* result);
  void CheckPendingPings(TimePoint now, MembershipResult* result);
  void CheckSuspects(TimePoint now, MembershipResult* result);
  void AddAllMembers(PeerMessage* message) const;
  void CompareDigest(const PeerMessage& message, TimePoint now,
                     MembershipResult* result);
  std::uint64_t LiveDigest() const;
  void ReceiveAck(const PeerMessage& message, MembershipResult* result);
  void ReceivePing(const PeerMessage& message, bool known,
                   MembershipResult* result);
  void SendIndirectPing(const PeerMessage& message, TimePoint now,
                        MembershipResult* result);
  std::vector<std::string> PeerNodes(bool own_data_centre,
                                     MemberState worst_state) const;

  MembershipOptions m_options;
  std::mt19937_64 m_random;
  MemberUpdate m_self;
  bool m_leaving = false;
  std::uint64_t m_sequence = 0;
  std::map<std::string, Member> m_members;  ///< Excludes this daemon.
  std::map<std::string, int> m_sends_left;  ///< Remaining sends by node.
  std::map<std::uint64_t, PendingPing> m_pending;
  /// Nodes still to be pinged in this round.
  std::vector<std::string> m_ping_round;
  TimePoint m_next_ping{};
  TimePoint m_next_contact{};
  TimePoint m_next_sync{};
  /// Digest of the live daemons of this data centre and their incarnations,
  /// including this daemon.
  std::uint64_t m_live_digest = 0;
};

}  // namespace clementine

#endif  // CORE_MEMBERSHIP_H_

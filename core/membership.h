// Membership of daemons by randomised pings (the SWIM method).
//
// Each ping interval a daemon pings one other daemon of its data centre. When
// no ack comes in time, it asks a few others to ping for it, so that a cut
// between two daemons isn't taken for a failure. Without any ack the daemon is
// suspected and, after the suspect timeout, dead. A suspected daemon refutes by
// raising its refutation number. Changes ride along on pings and acks; the
// traffic of a daemon doesn't grow with the fleet.
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
  std::vector<std::string> seeds;  ///< Peer addresses; may contain our own.
  std::uint64_t seed = 1;
  milliseconds ping_interval{1'000};
  milliseconds ack_timeout{400};
  milliseconds suspect_timeout{3'000};
  milliseconds contact_interval{5'000};  ///< To seeds and other data centres.
  milliseconds sync_interval{2'000};     ///< Between fetches of the whole list.
  milliseconds dead_retention{60'000};
  std::size_t ping_requests = 2;
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

/// How often an update is sent so that it reaches `members` daemons.
int SendsToReach(std::size_t members);

class Membership {
 public:
  explicit Membership(MembershipOptions options);

  /// Sends due pings and advances timeouts.
  MembershipResult Advance(TimePoint now);

  /// Handles a message of any kind; pings are answered.
  MembershipResult Receive(const PeerMessage& message, TimePoint now);

  /// Pings `count` random daemons now, to spread urgent updates.
  MembershipResult PingRandom(std::size_t count, TimePoint now);

  /// Pings one known daemon now. Nothing is sent when it isn't known.
  MembershipResult PingNode(const std::string& node, TimePoint now);

  /// Whether a daemon of any data centre is known.
  bool Knows(const std::string& node) const {
    return m_members.count(node) > 0;
  }

  /// Tells others that this daemon stops. It no longer refutes.
  MembershipResult Leave(TimePoint now);

  /// Names of the live daemons of this data centre, this one included, sorted.
  std::vector<std::string> LiveNodes() const;

  /// Up to `count` random live daemons of this data centre.
  std::vector<PeerInfo> RandomPeers(std::size_t count);

  /// Returns the address of a known daemon, or an empty string.
  std::string AddressOf(const std::string& node) const;

 private:
  struct Member {
    MemberUpdate update;
    TimePoint changed;
  };
  struct PendingPing {
    std::string node;  ///< Empty for an address whose daemon isn't known.
    TimePoint sent;
    bool requested = false;  ///< Others were asked to ping.
    /// Set when this ping was sent for another daemon.
    std::string relay_address;
    std::uint64_t relay_sequence = 0;
  };

  void Apply(const MemberUpdate& update, TimePoint now,
             MembershipResult* result);
  bool Overrides(const MemberUpdate& update, const MemberUpdate& known) const;
  void Refute(const MemberUpdate& claim);
  void Announce(const std::string& node);
  void AttachUpdates(PeerMessage* message);
  void Send(PeerMessageKind kind, const std::string& address,
            std::uint64_t sequence, MembershipResult* result);
  void Ping(const std::string& node, const std::string& address, TimePoint now,
            MembershipResult* result);
  void PingNext(TimePoint now, MembershipResult* result);
  void ContactOthers(TimePoint now, MembershipResult* result);
  void CheckPending(TimePoint now, MembershipResult* result);
  void CheckSuspects(TimePoint now, MembershipResult* result);
  void AddAllMembers(PeerMessage* message) const;
  void CompareDigest(const PeerMessage& message, TimePoint now,
                     MembershipResult* result);
  std::uint64_t LiveDigest() const;
  void ReceiveAck(const PeerMessage& message, MembershipResult* result);
  void ReceivePing(const PeerMessage& message, bool known,
                   MembershipResult* result);
  void RelayPing(const PeerMessage& message, TimePoint now,
                 MembershipResult* result);
  std::vector<std::string> Peers(bool own_data_centre, MemberState worst) const;

  MembershipOptions m_options;
  std::mt19937_64 m_random;
  MemberUpdate m_self;
  bool m_leaving = false;
  std::uint64_t m_sequence = 0;
  std::map<std::string, Member> m_members;     ///< Without this daemon.
  std::map<std::string, int> m_announcements;  ///< Sends left for each node.
  std::map<std::uint64_t, PendingPing> m_pending;
  std::vector<std::string> m_round;  ///< Nodes left in this round.
  TimePoint m_next_ping{};
  TimePoint m_next_contact{};
  TimePoint m_next_sync{};
  std::uint64_t m_digest = 0;  ///< Of the live daemons, this one included.
};

}  // namespace clementine

#endif  // CORE_MEMBERSHIP_H_

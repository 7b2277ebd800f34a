// Messages between daemons.
//
// All kinds of message share one type: a header, the sender's configuration
// generation and short lists of piggybacked updates (members, presence,
// quarantine), which then need no messages of their own. The body is CBOR with
// short keys; empty fields are omitted.
#ifndef CORE_PEER_MESSAGE_H_
#define CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Thrown for a message that can't be decoded; what() says why.
class PeerMessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class PeerMessageKind {
  kPing,           ///< Requests an ack; carries updates.
  kAck,            ///< Reply to a ping; carries updates.
  kPingRequest,    ///< Asks the receiver to ping `target` for the sender.
  kConfigPull,     ///< Requests the changes since `pull.generation`.
  kConfigDelta,    ///< Reply to a configuration pull.
  kLeave,          ///< The sender stops; it is removed without suspicion.
  kPresence,       ///< Carries presence updates only.
  kPlacementPull,  ///< Requests the placement object.
  kPlacement,      ///< Reply to a placement pull.
};

enum class MemberState { kAlive, kSuspect, kDead };

/// State of a daemon as seen by another one. A higher (incarnation, refutation)
/// pair overrides a lower one; for equal pairs, the worse state overrides.
struct MemberUpdate {
  PeerInfo peer;
  /// Raised by the daemon itself when it is suspected.
  std::uint32_t refutation = 0;
  MemberState state = MemberState::kAlive;
};

/// One daemon's verdict about one host, from its probes. A higher sequence of
/// the same reporter overrides a lower one.
struct PresenceUpdate {
  std::string reporter;
  std::uint64_t sequence = 0;
  std::string host;
  /// Entry of the host list, for daemons that can't read the list.
  /// `info.leaving` isn't sent; see `leaving`.
  HostInfo info;
  /// Group that the placement object assigns to the host and that the host
  /// serves with the same epoch and hosts; empty if there is none.
  std::string group;
  std::uint64_t epoch = 0;
  std::vector<std::string> adapters;
  bool present = false;  ///< The host answers probes.
  bool leaving = false;
};

/// Holder of the placement lease of a data centre. A higher fence overrides.
struct Coordinator {
  std::string node;
  std::uint64_t fence = 0;
};

/// The placement object as stored in the platform.
struct PlacementCopy {
  std::uint64_t version = 0;
  std::string value;
};

struct QuarantineUpdate {
  std::string digest;  ///< As in ShareQuarantine.
  milliseconds remaining{0};
};

struct ConfigPull {
  std::uint64_t generation = 0;  ///< Generation in force at the sender.
  std::string head_digest;
  /// Digests of the missing section texts, if the sender has the new head.
  std::vector<std::string> sections;
};

/// The changes from generation `base` to `head.generation`. If `base` is 0 the
/// head is complete, else it holds only the sections that differ.
struct ConfigDelta {
  std::uint64_t base = 0;
  ConfigHead head;  ///< `sections` holds only changes unless `base` is 0.
  std::vector<std::string> removed;          ///< Names of removed sections.
  std::string head_digest;                   ///< Digest of the resulting head.
  std::map<std::string, std::string> texts;  ///< Section texts by digest.
};

struct PeerMessage {
  PeerMessageKind kind = PeerMessageKind::kPing;
  PeerInfo sender;
  std::uint64_t sequence = 0;         ///< An ack repeats that of its ping.
  PeerInfo target;                    ///< Daemon to ping, in a ping request.
  std::uint64_t generation = 0;       ///< In force at the sender.
  std::string head_digest;            ///< Of the generation in force.
  std::uint64_t members_digest = 0;   ///< Over the sender's live daemons.
  std::uint64_t presence_digest = 0;  ///< Over the sender's verdicts.
  std::uint64_t placement_version = 0;
  std::uint64_t store_era = 0;  ///< See core/store_era.h; 0 if not stated.
  Coordinator coordinator;
  bool want_members = false;   ///< Requests all members in the ack.
  bool want_presence = false;  ///< Requests all verdicts.
  std::vector<MemberUpdate> members;
  std::vector<PresenceUpdate> presence;
  std::vector<QuarantineUpdate> quarantine;
  ConfigPull pull;
  ConfigDelta delta;
  PlacementCopy placement;
};

/// Maximum size of an encoded message that is accepted, in bytes. It is enough
/// for a head and one section of maximum size: a delta holds at most
/// kMaxDeltaTextBytes of section texts, or one larger text, and the receiver
/// pulls the texts that were omitted. EncodePeerMessage doesn't check the size.
inline constexpr std::size_t kMaxPeerMessageBytes = 2 * kMaxObjectBytes;

std::string EncodePeerMessage(const PeerMessage& message);

/// @throws PeerMessageError if the bytes aren't a message of this version.
PeerMessage DecodePeerMessage(const std::string& bytes);

}  // namespace clementine

#endif  // CORE_PEER_MESSAGE_H_

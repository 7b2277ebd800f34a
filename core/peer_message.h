// Messages between daemons.
//
// One message type carries a header, the sender's configuration generation and
// small lists of updates that ride along (members, presence, quarantine), so
// that spreading them costs no messages of their own. The body is CBOR with
// short keys; empty parts are left out.
#ifndef CORE_PEER_MESSAGE_H_
#define CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/core.h"

namespace clementine {

/// A message that can't be decoded; the message names the fault.
class PeerMessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class PeerMessageKind {
  kPing,           ///< Asks for an ack; carries updates.
  kAck,            ///< Answers a ping; carries updates.
  kPingRequest,    ///< Asks the receiver to ping `target` for the sender.
  kConfigPull,     ///< Asks for what changed since `pull.generation`.
  kConfigDelta,    ///< Answers a pull.
  kLeave,          ///< The sender stops; it is not suspected but removed.
  kPresence,       ///< Carries presence updates only.
  kPlacementPull,  ///< Asks for the placement object.
  kPlacement,      ///< Answers a placement pull.
};

enum class MemberState { kAlive, kSuspect, kDead };

/// What is believed about a daemon. A higher (incarnation, refutation) pair
/// overrides a lower one; at equal pairs the worse state overrides.
struct MemberUpdate {
  PeerInfo peer;
  std::uint32_t refutation =
      0;  ///< Raised by the daemon itself when suspected.
  MemberState state = MemberState::kAlive;
};

/// One daemon's probe verdict about one host. Higher sequences of the same
/// reporter override lower ones.
struct PresenceUpdate {
  std::string reporter;
  std::uint64_t sequence = 0;
  std::string host;
  /// As in the host list, for daemons that can't read it. `info.leaving` isn't
  /// sent; see `leaving`.
  HostInfo info;
  /// What the host serves as it is placed; empty when it serves nothing.
  std::string group;
  std::uint64_t epoch = 0;
  std::vector<std::string> adapters;
  bool present = false;  ///< The host answers.
  bool leaving = false;
};

/// Who holds the placement lease of a data centre; a higher fence overrides.
struct Coordinator {
  std::string node;
  std::uint64_t fence = 0;
};

/// The placement object as it is stored in the platform.
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
  /// Digests whose text the sender lacks, when it already has the new head.
  std::vector<std::string> sections;
};

/// The way from `base` to `head.generation`: the head in full only if `base` is
/// 0, else only the sections that differ.
struct ConfigDelta {
  std::uint64_t base = 0;
  ConfigHead head;  ///< `sections` holds changes only.
  std::vector<std::string> removed;
  std::string head_digest;                   ///< Digest of the resulting head.
  std::map<std::string, std::string> texts;  ///< Digest to section text.
};

struct PeerMessage {
  PeerMessageKind kind = PeerMessageKind::kPing;
  PeerInfo sender;
  std::uint64_t sequence = 0;    ///< An ack repeats the ping's.
  PeerInfo target;               ///< Of a ping request.
  std::uint64_t generation = 0;  ///< In force at the sender.
  std::string head_digest;
  std::uint64_t members_digest = 0;   ///< Over the live daemons at the sender.
  std::uint64_t presence_digest = 0;  ///< Over the verdicts known there.
  std::uint64_t placement_version = 0;
  Coordinator coordinator;
  bool want_members = false;   ///< Asks for all members in the ack.
  bool want_presence = false;  ///< Asks for all verdicts.
  std::vector<MemberUpdate> members;
  std::vector<PresenceUpdate> presence;
  std::vector<QuarantineUpdate> quarantine;
  ConfigPull pull;
  ConfigDelta delta;
  PlacementCopy placement;
};

/// Largest message, in bytes: one section of the largest size and a head. A
/// delta that doesn't fit is sent in parts: the receiver pulls the section
/// texts that are missing.
inline constexpr std::size_t kMaxPeerMessageBytes = 2 * kMaxObjectBytes;

std::string EncodePeerMessage(const PeerMessage& message);

/// @throws PeerMessageError when the bytes aren't a message of this version.
PeerMessage DecodePeerMessage(const std::string& bytes);

}  // namespace clementine

#endif  // CORE_PEER_MESSAGE_H_

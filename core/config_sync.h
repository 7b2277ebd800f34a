// Synchronises the configuration between daemons with deltas.
//
// Each ping and ack contains the generation in force at its sender. A daemon
// that receives a higher generation sends a pull with its own generation and
// gets the sections that differ. The sender of the delta retains its last heads
// to compute the difference; for an older base it sends the complete head, and
// the receiver pulls the texts that it lacks. A generation is adopted only when
// it is complete and each text matches its digest.
#ifndef CORE_CONFIG_SYNC_H_
#define CORE_CONFIG_SYNC_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/core.h"
#include "core/peer_message.h"

namespace clementine {

/// A configuration that is in force or was received: its head and the section
/// texts by digest.
struct ConfigSnapshot {
  ConfigHead head;
  std::map<std::string, std::string> texts;
};

class ConfigSync {
 public:
  /// Sets the configuration in force at this daemon, whatever its source.
  /// Ignores a generation that isn't higher.
  void SetCurrent(ConfigSnapshot current);

  std::uint64_t generation() const { return m_current.head.generation; }
  const std::string& head_digest() const { return m_digest; }

  /// Whether the sender of a message has a newer generation than this daemon.
  bool IsBehind(const PeerMessage& message) const;

  /// Returns the pull to send to a daemon with a newer generation.
  ConfigPull MakePull() const;

  /// Returns the delta that answers a pull, or nothing if the requester's
  /// generation isn't older.
  std::optional<ConfigDelta> AnswerPull(const ConfigPull& pull) const;

  struct DeltaResult {
    /// Complete and newer than the one in force.
    std::optional<ConfigSnapshot> candidate;
    std::optional<ConfigPull> pull;  ///< Requests texts that are still missing.
    std::string error;               ///< Why the delta was dropped.
  };
  DeltaResult ReceiveDelta(const ConfigDelta& delta);

 private:
  ConfigDelta FullHead() const;
  ConfigDelta Difference(const ConfigHead& base) const;
  void AddTexts(const std::map<std::string, std::string>& sections,
                ConfigDelta* delta) const;

  ConfigSnapshot m_current;
  std::string m_digest;
  /// Earlier heads, oldest first; at most kMaxRetainedHeads.
  std::deque<ConfigHead> m_history;
  /// A newer head with texts still missing, and the texts received so far.
  std::optional<ConfigSnapshot> m_incomplete;
};

}  // namespace clementine

#endif  // CORE_CONFIG_SYNC_H_

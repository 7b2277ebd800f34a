// Spreads configuration between daemons as deltas.
//
// Each ping and ack names the generation in force at its sender. A daemon that
// sees a higher one pulls: it says what it has, and gets the sections that
// differ. The source keeps its last heads to know the difference; for an older
// base it sends the whole head and the receiver pulls the texts that it lacks.
// A generation is taken only as a whole, with each text checked by its digest.
#ifndef CORE_CONFIG_SYNC_H_
#define CORE_CONFIG_SYNC_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/core.h"
#include "core/peer_message.h"

namespace clementine {

/// A complete configuration as received; texts by digest.
struct ConfigCandidate {
  ConfigHead head;
  std::map<std::string, std::string> texts;
};

class ConfigSync {
 public:
  /// Records what is in force at this daemon, from whatever source.
  void SetCurrent(ConfigCandidate current);

  std::uint64_t generation() const { return m_current.head.generation; }
  const std::string& head_digest() const { return m_digest; }

  /// Whether the sender of a message has a newer generation than this daemon.
  bool IsBehind(const PeerMessage& message) const;

  /// The pull to send to a daemon that is ahead.
  ConfigPull MakePull() const;

  /// The delta that answers a pull, or nothing when there is nothing newer.
  std::optional<ConfigDelta> AnswerPull(const ConfigPull& pull) const;

  struct DeltaResult {
    std::optional<ConfigCandidate> candidate;  ///< Complete and newer.
    std::optional<ConfigPull> pull;            ///< Texts are still missing.
    std::string error;                         ///< Why the delta was dropped.
  };
  DeltaResult ReceiveDelta(const ConfigDelta& delta);

 private:
  ConfigDelta FullHead() const;
  ConfigDelta Difference(const ConfigHead& base) const;
  void AddTexts(const std::map<std::string, std::string>& sections,
                ConfigDelta* delta) const;

  ConfigCandidate m_current;
  std::string m_digest;
  /// Earlier heads, oldest first; at most kHistory.
  std::deque<ConfigHead> m_history;
  /// A newer head whose texts aren't all here yet, and those received.
  std::optional<ConfigCandidate> m_partial;
};

}  // namespace clementine

#endif  // CORE_CONFIG_SYNC_H_

// Detects groups and streams that stopped sending data.
#ifndef CORE_SILENCE_WATCH_H_
#define CORE_SILENCE_WATCH_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Tracks the response streams of attempts and of the groups that serve them.
///
/// The head of a group that has lost a member keeps accepting requests but
/// sends no data. A group that has just opened sends no data at first either:
/// all queued requests reach it at once, and the requests of this daemon may be
/// read last. Therefore a group that has sent events to this daemon counts as
/// unresponsive after 500 ms without data, any other group after 1400 ms.
class SilenceWatch {
 public:
  struct Findings {
    std::vector<AttemptId> stalled;  ///< To be retried at another group.
    /// Epochs of the groups that may have lost a member, by group name.
    std::map<std::string, std::uint64_t> unresponsive;
  };

  void OnAttemptStarted(AttemptId attempt, const std::string& group,
                        std::uint64_t epoch, TimePoint now);
  /// The group sent a response to the attempt.
  /// @param has_event Whether data of the attempt's event stream has arrived.
  void OnResponseData(AttemptId attempt, bool has_event, TimePoint now);
  void OnAttemptEnded(AttemptId attempt);
  /// The daemon itself did not run for the last `duration`. Data that arrived
  /// in this time was not read, so it does not count towards the timeouts.
  void OnDaemonPaused(milliseconds duration) { m_paused += duration; }
  /// Removes groups that are not in `names` and have no running attempts.
  void RetainGroups(const std::set<std::string>& names);

  /// Whether the group has responded to any attempt since the last event of
  /// this attempt, or since its start if it has had no event.
  bool HasGroupRespondedSince(AttemptId attempt) const;

  /// Returns stalled attempts and unresponsive groups. An attempt that remains
  /// stalled is reported again every 250 ms.
  Findings Check(TimePoint now);

 private:
  struct Group {
    std::uint64_t epoch = 0;
    TimePoint last_response_at;
    bool has_sent_events = false;  ///< In the current epoch.
    int running_attempts = 0;
  };
  struct Stream {
    std::map<std::string, Group>::iterator group;
    bool has_events = false;
    TimePoint last_event_at;  ///< Start of the attempt before the first event.
    TimePoint next_check_at;
  };

  /// Subtracts the pauses of the daemon. All stored times are converted by it.
  TimePoint WithoutPauses(TimePoint now) const { return now - m_paused; }

  milliseconds m_paused{0};
  std::map<std::string, Group> m_groups;
  std::unordered_map<AttemptId, Stream> m_streams;
};

}  // namespace clementine

#endif  // CORE_SILENCE_WATCH_H_

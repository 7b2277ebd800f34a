// Tells groups that went silent from groups that are busy, by their streams.
#ifndef CORE_SILENCE_WATCH_H_
#define CORE_SILENCE_WATCH_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Watches the streams that run at groups.
///
/// A head that counts on a lost member goes on accepting requests and sends
/// nothing. A group that has just opened also sends nothing at first: requests
/// that waited for it come all at once, and this daemon's may be read last. So
/// silence is a sign after a short time once a group has sent events, and only
/// after a long one before.
class SilenceWatch {
 public:
  struct Found {
    std::vector<AttemptId> stalled;  ///< To be given to another group.
    /// Groups that may have lost a member, and their epochs.
    std::map<std::string, std::uint64_t> silent;
  };

  void Started(AttemptId attempt, const std::string& group, std::uint64_t epoch,
               TimePoint now);
  /// The group answered; bytes of the attempt's stream have arrived if `event`.
  void Heard(AttemptId attempt, bool event, TimePoint now);
  void Ended(AttemptId attempt);
  /// The daemon itself did nothing for so long until now. What groups sent then
  /// wasn't read, so it doesn't count as their silence.
  void Missed(milliseconds time) { m_missed += time; }
  /// Forgets groups that aren't in use any more.
  void KeepGroups(const std::set<std::string>& names);

  /// Whether the attempt's group was heard after the attempt itself.
  bool GroupGoesOn(AttemptId attempt) const;

  /// Reports each attempt again after an interval, while it stays silent.
  Found Check(TimePoint now);

 private:
  struct Group {
    std::uint64_t epoch = 0;
    TimePoint heard;
    bool flows = false;  ///< Has sent an event.
    int running = 0;
  };
  struct Stream {
    std::map<std::string, Group>::iterator group;
    bool begun = false;
    TimePoint last;  ///< Its last event, or its start.
    TimePoint next_check;
  };

  /// Time without what the daemon missed; all times below are such.
  TimePoint Watched(TimePoint now) const { return now - m_missed; }

  milliseconds m_missed{0};
  std::map<std::string, Group> m_groups;
  std::unordered_map<AttemptId, Stream> m_streams;
};

}  // namespace clementine

#endif  // CORE_SILENCE_WATCH_H_

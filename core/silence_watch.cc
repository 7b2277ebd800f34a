#include "core/silence_watch.h"

#include <algorithm>

namespace clementine {
namespace {

/// Callers give up on a stream that is silent for two seconds, so an attempt
/// that is silent for a part of it is given to another group.
constexpr milliseconds kFirstEventTimeout{1'400};
constexpr milliseconds kEventGapTimeout{800};
/// A group in use sends events at least ten times as often as this.
constexpr milliseconds kGroupSilence{500};
/// How often a stalled attempt is offered to other groups.
constexpr milliseconds kStallInterval{250};

}  // namespace

void SilenceWatch::Started(AttemptId attempt, const std::string& group,
                           std::uint64_t epoch, TimePoint time) {
  TimePoint now = Watched(time);
  auto [found, added] = m_groups.try_emplace(group);
  Group& known = found->second;
  if (added || known.epoch != epoch) {
    known.epoch = epoch;
    known.flows = false;
  }
  if (known.running++ == 0) known.heard = now;
  m_streams[attempt] = {found, false, now, TimePoint()};
}

void SilenceWatch::Heard(AttemptId attempt, bool event, TimePoint time) {
  TimePoint now = Watched(time);
  auto found = m_streams.find(attempt);
  if (found == m_streams.end()) return;
  Stream& stream = found->second;
  Group& group = stream.group->second;
  group.heard = now;
  if (event) {
    group.flows = true;
    stream.begun = true;
    stream.last = now;
  }
}

void SilenceWatch::Ended(AttemptId attempt) {
  auto found = m_streams.find(attempt);
  if (found == m_streams.end()) return;
  --found->second.group->second.running;
  m_streams.erase(found);
}

void SilenceWatch::KeepGroups(const std::set<std::string>& names) {
  std::erase_if(m_groups, [&](const auto& entry) {
    return entry.second.running == 0 && names.count(entry.first) == 0;
  });
}

bool SilenceWatch::GroupGoesOn(AttemptId attempt) const {
  auto found = m_streams.find(attempt);
  return found != m_streams.end() &&
         found->second.group->second.heard > found->second.last;
}

SilenceWatch::Found SilenceWatch::Check(TimePoint time) {
  TimePoint now = Watched(time);
  Found found;
  for (auto& [attempt, stream] : m_streams) {
    if (now < stream.next_check) continue;
    const auto& [name, group] = *stream.group;
    bool group_silent = now - std::max(group.heard, stream.last) >
                        (group.flows ? kGroupSilence : kFirstEventTimeout);
    bool silent = now - stream.last >
                  (stream.begun ? kEventGapTimeout : kFirstEventTimeout);
    if (!silent && !group_silent) continue;
    stream.next_check = now + kStallInterval;
    found.stalled.push_back(attempt);
    if (group_silent) found.silent[name] = group.epoch;
  }
  std::sort(found.stalled.begin(), found.stalled.end());
  return found;
}

}  // namespace clementine

#include "core/silence_watch.h"

#include <algorithm>

namespace clementine {
namespace {

/// Callers abort a stream after 2 s without data. An attempt without data is
/// moved to another group early enough for that group to respond in time.
/// Time from the start of an attempt to its first event.
constexpr milliseconds kFirstEventTimeout{1'400};
/// Time between two events of an attempt.
constexpr milliseconds kEventGapTimeout{800};
/// Time without data after which a group that has sent events counts as
/// unresponsive. At least 10 times the longest interval between events of a
/// group that serves requests.
constexpr milliseconds kGroupResponseTimeout{500};
/// Interval at which a stalled attempt is offered to other groups again.
constexpr milliseconds kStallReportInterval{250};

}  // namespace

void SilenceWatch::OnAttemptStarted(AttemptId attempt, const std::string& group,
                                    std::uint64_t epoch, TimePoint time) {
  TimePoint now = WithoutPauses(time);
  auto [found, added] = m_groups.try_emplace(group);
  Group& known = found->second;
  if (added || known.epoch != epoch) {
    known.epoch = epoch;
    known.has_sent_events = false;
  }
  if (known.running_attempts++ == 0) known.last_response_at = now;
  m_streams[attempt] = {found, false, now, TimePoint()};
}

void SilenceWatch::OnResponseData(AttemptId attempt, bool has_event,
                                  TimePoint time) {
  TimePoint now = WithoutPauses(time);
  auto found = m_streams.find(attempt);
  if (found == m_streams.end()) return;
  Stream& stream = found->second;
  Group& group = stream.group->second;
  group.last_response_at = now;
  if (has_event) {
    group.has_sent_events = true;
    stream.has_events = true;
    stream.last_event_at = now;
  }
}

void SilenceWatch::OnAttemptEnded(AttemptId attempt) {
  auto found = m_streams.find(attempt);
  if (found == m_streams.end()) return;
  --found->second.group->second.running_attempts;
  m_streams.erase(found);
}

void SilenceWatch::RetainGroups(const std::set<std::string>& names) {
  std::erase_if(m_groups, [&](const auto& entry) {
    return entry.second.running_attempts == 0 && names.count(entry.first) == 0;
  });
}

bool SilenceWatch::HasGroupRespondedSince(AttemptId attempt) const {
  auto found = m_streams.find(attempt);
  return found != m_streams.end() &&
         found->second.group->second.last_response_at >
             found->second.last_event_at;
}

SilenceWatch::Findings SilenceWatch::Check(TimePoint time) {
  TimePoint now = WithoutPauses(time);
  Findings findings;
  for (auto& [attempt, stream] : m_streams) {
    if (now < stream.next_check_at) continue;
    const auto& [name, group] = *stream.group;
    bool group_unresponsive =
        now - std::max(group.last_response_at, stream.last_event_at) >
        (group.has_sent_events ? kGroupResponseTimeout : kFirstEventTimeout);
    bool stream_unresponsive =
        now - stream.last_event_at >
        (stream.has_events ? kEventGapTimeout : kFirstEventTimeout);
    if (!stream_unresponsive && !group_unresponsive) continue;
    stream.next_check_at = now + kStallReportInterval;
    findings.stalled.push_back(attempt);
    if (group_unresponsive) findings.unresponsive[name] = group.epoch;
  }
  std::sort(findings.stalled.begin(), findings.stalled.end());
  return findings;
}

}  // namespace clementine

#include "core/evacuation.h"

#include <algorithm>

namespace clementine {

milliseconds Evacuation::DepartureDelay(milliseconds notice,
                                        milliseconds change_bound,
                                        milliseconds margin) {
  return std::max(milliseconds(0), notice - change_bound - margin);
}

bool Evacuation::IsAgeUnknown(TimePoint now) const {
  bool recovering = m_sources_answered_at != TimePoint() &&
                    now - m_sources_answered_at < kRecoveryTime;
  return !m_known || m_sources_lost || recovering;
}

void Evacuation::OnSourcesAnswered(TimePoint now) {
  if (m_sources_lost) m_sources_answered_at = now;
  m_sources_lost = false;
}

std::vector<Evacuation::Change> Evacuation::OnChanged(
    const std::set<std::string>& data_centres, TimePoint now) {
  std::vector<Change> changes;
  for (const std::string& name : data_centres) {
    if (m_active.count(name) > 0) continue;
    TimePoint leave_at = IsAgeUnknown(now) ? now : now + m_departure_delay;
    m_active[name] = {leave_at, now + kUnknownGrace, false, false};
    m_ended.erase(name);
    changes.push_back({name, Step::kStarted});
  }
  std::erase_if(m_active, [&](const auto& entry) {
    if (data_centres.count(entry.first) > 0) return false;
    m_ended[entry.first] = now;
    changes.push_back({entry.first, Step::kEnded});
    return true;
  });
  m_known = true;
  return changes;
}

std::vector<Evacuation::Change> Evacuation::Advance(const IsKnown& is_known,
                                                    TimePoint now) {
  std::vector<Change> changes;
  for (auto& [name, entry] : m_active) {
    if (!entry.left && now >= entry.leave_at) {
      entry.left = true;
      changes.push_back({name, Step::kLeft});
    }
    if (now < entry.check_at) continue;
    entry.check_at = now + kUnknownGrace;
    bool was_unknown = std::exchange(entry.unknown, !is_known(name));
    if (entry.unknown && !was_unknown) {
      changes.push_back({name, Step::kUnknown});
    }
  }
  std::erase_if(m_ended, [&](const auto& entry) {
    return now - entry.second > kEndedRetention;
  });
  return changes;
}

Evacuation::Phase Evacuation::PhaseOf(const std::string& data_centre) const {
  auto found = m_active.find(data_centre);
  if (found == m_active.end()) return Phase::kNone;
  return found->second.left ? Phase::kLeft : Phase::kPreferOthers;
}

std::set<std::string> Evacuation::data_centres() const {
  std::set<std::string> names;
  for (const auto& [name, entry] : m_active) names.insert(name);
  return names;
}

std::map<std::string, Evacuation::Phase> Evacuation::known_data_centres()
    const {
  std::map<std::string, Phase> phases;
  for (const auto& [name, entry] : m_active) {
    if (!entry.unknown) phases[name] = PhaseOf(name);
  }
  for (const auto& [name, ended_at] : m_ended) phases[name] = Phase::kNone;
  return phases;
}

std::optional<TimePoint> Evacuation::EndedAt(
    const std::string& data_centre) const {
  auto found = m_ended.find(data_centre);
  if (found == m_ended.end()) return std::nullopt;
  return found->second;
}

bool Evacuation::HasEndedWithin(milliseconds time, TimePoint now) const {
  return std::any_of(m_ended.begin(), m_ended.end(), [&](const auto& entry) {
    return now - entry.second < time;
  });
}

}  // namespace clementine

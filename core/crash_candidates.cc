#include "core/crash_candidates.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "fmt/format.h"

namespace clementine {
namespace {

/// Bounds the memory of the table: about 1.5 MB.
constexpr std::size_t kMaxParts = 32'768;
/// Bounds the memory of the filters. A crash with requests of 26 daemons that
/// have 1,600 parts each needs 106 KB.
constexpr std::size_t kMaxFilterBytes = 1'048'576;
/// A part that was in flight at one crash only says nothing.
constexpr int kMinCrashes = 2;

}  // namespace

std::string CrashCandidates::CrashName(const std::string& group,
                                       TimePoint started) const {
  int number = 1;
  for (const Crash& crash : m_crashes) {
    if (!crash.name.starts_with(group + '#')) continue;
    if (crash.recorded_at >= started) return crash.name;
    ++number;
  }
  return fmt::format("{}#{}", group, number);
}

void CrashCandidates::AddParts(const std::string& crash,
                               const std::vector<std::uint64_t>& parts,
                               TimePoint now) {
  const std::size_t index = FindOrAddCrash(crash, now);
  while (m_parts.size() + parts.size() > kMaxParts && EvictOldest(index)) {
  }
  for (std::uint64_t part : parts) {
    if (m_parts.size() >= kMaxParts) break;
    Candidate& candidate = m_parts[part];
    candidate.observed |= CrashSet{1} << index;
    for (std::size_t other = 0; other < m_crashes.size(); ++other) {
      const std::vector<PartFilter>& filters = m_crashes[other].filters;
      bool reported = std::any_of(
          filters.begin(), filters.end(),
          [part](const PartFilter& filter) { return filter.MayContain(part); });
      if (reported) candidate.reported |= CrashSet{1} << other;
    }
  }
}

bool CrashCandidates::AddReported(const std::string& crash, PartFilter filter,
                                  TimePoint now) {
  const std::size_t index = FindOrAddCrash(crash, now);
  // The marks of a daemon are read again after each of its writes.
  const std::vector<PartFilter>& known = m_crashes[index].filters;
  if (std::find(known.begin(), known.end(), filter) != known.end()) {
    return false;
  }
  while (m_filter_bytes + filter.size_bytes() > kMaxFilterBytes &&
         EvictOldest(index)) {
  }
  if (m_filter_bytes + filter.size_bytes() > kMaxFilterBytes) return false;
  const CrashSet bit = CrashSet{1} << index;
  bool changed = false;
  for (auto& [part, candidate] : m_parts) {
    if ((candidate.reported & bit) != 0 || !filter.MayContain(part)) continue;
    candidate.reported |= bit;
    changed = true;
  }
  m_filter_bytes += filter.size_bytes();
  m_crashes[index].filters.push_back(std::move(filter));
  return changed;
}

bool CrashCandidates::AddReported(const std::string& crash, std::uint64_t part,
                                  TimePoint now) {
  if (m_parts.count(part) == 0) return false;
  const CrashSet bit = CrashSet{1} << FindOrAddCrash(crash, now);
  // Adding the crash may have evicted the last one of the part.
  auto found = m_parts.find(part);
  if (found == m_parts.end() || (found->second.reported & bit) != 0) {
    return false;
  }
  found->second.reported |= bit;
  return true;
}

std::vector<CrashCandidates::Mark> CrashCandidates::SuspectMarks() const {
  struct Suspect {
    int crashes;
    std::uint64_t part;
    CrashSet observed;
  };
  std::vector<Suspect> suspects;
  for (const auto& [part, candidate] : m_parts) {
    int crashes = std::popcount(candidate.observed | candidate.reported);
    if (crashes >= kMinCrashes) {
      suspects.push_back({crashes, part, candidate.observed});
    }
  }
  auto last = suspects.begin() + static_cast<std::ptrdiff_t>(std::min(
                                     kMaxMarkedParts, suspects.size()));
  std::partial_sort(suspects.begin(), last, suspects.end(),
                    [](const Suspect& a, const Suspect& b) {
                      return a.crashes != b.crashes ? a.crashes > b.crashes
                                                    : a.part < b.part;
                    });
  std::vector<Mark> marks;
  for (auto suspect = suspects.begin(); suspect != last; ++suspect) {
    for (std::size_t crash = 0; crash < m_crashes.size(); ++crash) {
      if (((suspect->observed >> crash) & 1U) == 0) continue;
      marks.push_back({suspect->part, m_crashes[crash].name});
    }
  }
  return marks;
}

void CrashCandidates::Expire(TimePoint now) {
  for (std::size_t i = 0; i < m_crashes.size(); ++i) {
    bool expired = !m_crashes[i].name.empty() &&
                   now - m_crashes[i].recorded_at >= m_duration;
    if (expired) Forget(i);
  }
}

std::size_t CrashCandidates::FindOrAddCrash(const std::string& name,
                                            TimePoint now) {
  std::size_t unused = m_crashes.size();
  for (std::size_t i = 0; i < m_crashes.size(); ++i) {
    if (m_crashes[i].name == name) return i;
    if (m_crashes[i].name.empty()) unused = i;
  }
  if (unused == m_crashes.size() && unused < kMaxCrashes) {
    m_crashes.emplace_back();
  } else if (unused == m_crashes.size()) {
    EvictOldest(unused);
    return FindOrAddCrash(name, now);
  }
  m_crashes[unused].name = name;
  m_crashes[unused].recorded_at = now;
  return unused;
}

bool CrashCandidates::EvictOldest(std::size_t kept) {
  std::size_t oldest = m_crashes.size();
  for (std::size_t i = 0; i < m_crashes.size(); ++i) {
    if (i == kept || m_crashes[i].name.empty()) continue;
    bool older = oldest == m_crashes.size() ||
                 m_crashes[i].recorded_at < m_crashes[oldest].recorded_at;
    if (older) oldest = i;
  }
  if (oldest == m_crashes.size()) return false;
  Forget(oldest);
  return true;
}

void CrashCandidates::Forget(std::size_t crash) {
  for (const PartFilter& filter : m_crashes[crash].filters) {
    m_filter_bytes -= filter.size_bytes();
  }
  m_crashes[crash] = {};
  const CrashSet others = ~(CrashSet{1} << crash);
  for (auto& [part, candidate] : m_parts) {
    candidate.observed &= others;
    candidate.reported &= others;
  }
  std::erase_if(m_parts,
                [](const auto& entry) { return entry.second.observed == 0; });
}

}  // namespace clementine

// Crashes have names, so that daemons that observed the same crash count it
// once, and daemons that observed different crashes can add them up. If an
// attempt that was started after the first crash of a replica was recorded ends
// in another crash in the same epoch, that crash gets the next number.

#include "core/quarantine.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// Bounds the memory of the table. An entry with one crash takes about 200
/// bytes.
constexpr std::size_t kMaxEntries = 4096;
/// Separates the digest from the name of the crash in a crash mark.
constexpr char kCrashSeparator = '/';
/// Separates the digest from the name of the crash in an acquittal.
constexpr char kAcquittalSeparator = '!';
/// Includes the crashes of which the digest is acquitted.
constexpr std::size_t kMaxCrashesPerDigest = 16;
/// Longer than it takes for a crash to become known to all daemons.
constexpr milliseconds kCompletionWindow{10'000};
constexpr std::size_t kMaxCompletions = 4096;
constexpr char kUnnamedCrashPrefix[] = "unnamed#";

std::size_t FindSeparator(const std::string& name) {
  return name.find_first_of({kCrashSeparator, kAcquittalSeparator});
}

}  // namespace

bool IsAcquittal(const std::string& name) {
  std::size_t separator = FindSeparator(name);
  return separator != std::string::npos &&
         name[separator] == kAcquittalSeparator;
}

std::string AcquittedMark(const std::string& acquittal) {
  std::string mark = acquittal;
  mark[FindSeparator(mark)] = kCrashSeparator;
  return mark;
}

std::string Quarantine::Digest(const Request& request) {
  return TextDigest(request.organisation + '\n' + request.content_digest);
}

Quarantine::DigestState Quarantine::Classify(const std::string& digest,
                                             TimePoint now) const {
  auto count = static_cast<std::size_t>(Count(digest, now));
  if (count == 0) return DigestState::kClear;
  return count >= m_crash_limit ? DigestState::kQuarantined
                                : DigestState::kSuspect;
}

int Quarantine::Count(const std::string& digest, TimePoint now) const {
  const Entry* entry = Find(digest, now);
  return entry == nullptr ? 0 : static_cast<int>(CountUnacquitted(*entry));
}

milliseconds Quarantine::RemainingTime(const std::string& digest,
                                       TimePoint now) const {
  const Entry* entry = Find(digest, now);
  if (entry == nullptr) return milliseconds(0);
  return std::chrono::ceil<milliseconds>(entry->expires_at - now);
}

std::optional<ShareQuarantine> Quarantine::OnServerCrash(
    const std::string& digest, const std::string& group, TimePoint started,
    TimePoint now) {
  int number = 1;
  if (const Entry* entry = Find(digest, now)) {
    for (const Crash& crash : entry->crashes) {
      if (crash.name.compare(0, group.size() + 1, group + '#') == 0) {
        if (crash.recorded_at >= started) {
          return std::nullopt;
        }
        ++number;
      }
    }
  }
  if (HasRecentlyCompleted(digest, now)) return std::nullopt;
  std::string name = group + '#' + std::to_string(number);
  Add(digest, name, /*acquitted=*/false, now + m_duration, now);
  return ShareQuarantine{digest + kCrashSeparator + name, m_duration};
}

std::vector<ShareQuarantine> Quarantine::OnPeerNotice(
    const QuarantineLearned& notice, TimePoint now) {
  if (notice.remaining <= milliseconds(0)) {
    return {};
  }
  TimePoint expires_at = now + std::min(notice.remaining, m_duration);
  std::size_t end = FindSeparator(notice.digest);
  if (end != std::string::npos) {
    Add(notice.digest.substr(0, end), notice.digest.substr(end + 1),
        IsAcquittal(notice.digest), expires_at, now);
    std::string digest = notice.digest.substr(0, end);
    return HasRecentlyCompleted(digest, now) ? Acquit(digest, now)
                                             : std::vector<ShareQuarantine>();
  }
  // A notice that names no crash quarantines its digest immediately: it counts
  // as the maximum number of crashes.
  for (std::size_t i = 0; i < m_crash_limit; ++i) {
    Add(notice.digest, kUnnamedCrashPrefix + std::to_string(i),
        /*acquitted=*/false, expires_at, now);
  }
  return {};
}

std::vector<ShareQuarantine> Quarantine::OnRequestCompleted(
    const std::string& digest, TimePoint now) {
  m_completed[digest] = now;
  m_completed_order.emplace_back(now, digest);
  while (m_completed_order.size() > kMaxCompletions ||
         now - m_completed_order.front().first > kCompletionWindow) {
    auto oldest = m_completed.find(m_completed_order.front().second);
    bool last = oldest != m_completed.end() &&
                oldest->second == m_completed_order.front().first;
    if (last) m_completed.erase(oldest);
    m_completed_order.pop_front();
  }
  return Acquit(digest, now);
}

bool Quarantine::HasRecentlyCompleted(const std::string& digest,
                                      TimePoint now) const {
  auto found = m_completed.find(digest);
  return found != m_completed.end() && now - found->second <= kCompletionWindow;
}

std::vector<ShareQuarantine> Quarantine::Acquit(const std::string& digest,
                                                TimePoint now) {
  std::vector<ShareQuarantine> shares;
  Entry* entry = Find(digest, now);
  if (entry == nullptr) return shares;
  auto remaining = std::chrono::ceil<milliseconds>(entry->expires_at - now);
  for (Crash& crash : entry->crashes) {
    // The crashes of a digest that was shared without a name are unknown, so a
    // completion cannot acquit it of them.
    if (crash.acquitted || crash.name.starts_with(kUnnamedCrashPrefix)) {
      continue;
    }
    crash.acquitted = true;
    shares.push_back({digest + kAcquittalSeparator + crash.name, remaining});
  }
  return shares;
}

std::size_t Quarantine::CountUnacquitted(const Entry& entry) {
  return static_cast<std::size_t>(
      std::count_if(entry.crashes.begin(), entry.crashes.end(),
                    [](const Crash& crash) { return !crash.acquitted; }));
}

void Quarantine::Expire(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
}

const Quarantine::Entry* Quarantine::Find(const std::string& digest,
                                          TimePoint now) const {
  auto found = m_entries.find(digest);
  if (found == m_entries.end() || found->second.expires_at <= now) {
    return nullptr;
  }
  return &found->second;
}

Quarantine::Entry* Quarantine::Find(const std::string& digest, TimePoint now) {
  return const_cast<Entry*>(std::as_const(*this).Find(digest, now));
}

void Quarantine::Add(const std::string& digest, std::string crash,
                     bool acquitted, TimePoint expires_at, TimePoint now) {
  Entry* entry = Find(digest, now);
  if (entry == nullptr) {
    m_entries.erase(digest);
    EvictIfFull();
    entry = &m_entries[digest];
  }
  entry->expires_at = std::max(entry->expires_at, expires_at);
  std::vector<Crash>& crashes = entry->crashes;
  auto known =
      std::find_if(crashes.begin(), crashes.end(),
                   [&](const Crash& other) { return other.name == crash; });
  if (known != crashes.end()) {
    known->acquitted = known->acquitted || acquitted;
    return;
  }
  if (!acquitted && CountUnacquitted(*entry) >= m_crash_limit) return;
  if (crashes.size() >= kMaxCrashesPerDigest) {
    crashes.erase(std::find_if(crashes.begin(), crashes.end(),
                               [](const Crash& old) { return old.acquitted; }));
  }
  crashes.push_back({std::move(crash), now, acquitted});
  m_times_quarantined +=
      !acquitted && CountUnacquitted(*entry) == m_crash_limit ? 1 : 0;
}

void Quarantine::EvictIfFull() {
  if (m_entries.size() < kMaxEntries) {
    return;
  }
  // Evicts a suspect rather than a quarantined digest, and among equals the one
  // that expires first.
  auto victim = std::min_element(
      m_entries.begin(), m_entries.end(), [&](const auto& a, const auto& b) {
        bool a_quarantined = CountUnacquitted(a.second) >= m_crash_limit;
        bool b_quarantined = CountUnacquitted(b.second) >= m_crash_limit;
        return a_quarantined != b_quarantined
                   ? b_quarantined
                   : a.second.expires_at < b.second.expires_at;
      });
  m_entries.erase(victim);
}

}  // namespace clementine

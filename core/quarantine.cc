// Crashes are named, not only counted: two daemons that saw the same crash
// count it once, and two that each saw one crash know of two as soon as they
// heard of each other. A replica that crashes twice in the same epoch gets a
// second number, because the attempt started after the first crash was known.

#include "core/quarantine.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

// About 200 bytes an entry.
constexpr std::size_t kMaxEntries = 4096;
/// Between a digest and the name of its crash.
constexpr char kSeparator = '/';
/// The same of an acquittal.
constexpr char kAcquittalSeparator = '!';
/// Crashes of a digest that are remembered, with those it's acquitted of.
constexpr std::size_t kMostCrashes = 16;
/// Longer than a crash takes to become known at all daemons.
constexpr milliseconds kCompletedTime{10'000};
constexpr std::size_t kMostCompleted = 4096;
constexpr char kUnnamed[] = "unnamed#";

std::size_t FindSeparator(const std::string& name) {
  return name.find_first_of({kSeparator, kAcquittalSeparator});
}

}  // namespace

bool IsAcquittal(const std::string& name) {
  std::size_t separator = FindSeparator(name);
  return separator != std::string::npos &&
         name[separator] == kAcquittalSeparator;
}

std::string AcquittedMark(const std::string& acquittal) {
  std::string mark = acquittal;
  mark[FindSeparator(mark)] = kSeparator;
  return mark;
}

std::string Quarantine::Digest(const Request& request) {
  return TextDigest(request.organisation + '\n' + request.content_digest);
}

Quarantine::Verdict Quarantine::Judge(const std::string& digest,
                                      TimePoint now) const {
  auto count = static_cast<std::size_t>(Count(digest, now));
  if (count == 0) return Verdict::kClear;
  return count >= m_crashes ? Verdict::kQuarantined : Verdict::kSuspect;
}

int Quarantine::Count(const std::string& digest, TimePoint now) const {
  const Entry* entry = Find(digest, now);
  return entry == nullptr ? 0 : static_cast<int>(Open(*entry));
}

milliseconds Quarantine::Remaining(const std::string& digest,
                                   TimePoint now) const {
  const Entry* entry = Find(digest, now);
  if (entry == nullptr) return milliseconds(0);
  return std::chrono::ceil<milliseconds>(entry->expires - now);
}

std::optional<ShareQuarantine> Quarantine::Crashed(const std::string& digest,
                                                   const std::string& group,
                                                   TimePoint started,
                                                   TimePoint now) {
  int number = 1;
  if (const Entry* entry = Find(digest, now)) {
    for (const Crash& crash : entry->crashes) {
      if (crash.name.compare(0, group.size() + 1, group + '#') == 0) {
        if (crash.seen >= started) {
          return std::nullopt;
        }
        ++number;
      }
    }
  }
  if (JustCompleted(digest, now)) return std::nullopt;
  std::string name = group + '#' + std::to_string(number);
  Add(digest, name, /*acquitted=*/false, now + m_duration, now);
  return ShareQuarantine{digest + kSeparator + name, m_duration};
}

std::vector<ShareQuarantine> Quarantine::Learned(
    const QuarantineLearned& learned, TimePoint now) {
  if (learned.remaining <= milliseconds(0)) {
    return {};
  }
  TimePoint expires = now + std::min(learned.remaining, m_duration);
  std::size_t end = FindSeparator(learned.digest);
  if (end != std::string::npos) {
    Add(learned.digest.substr(0, end), learned.digest.substr(end + 1),
        IsAcquittal(learned.digest), expires, now);
    std::string digest = learned.digest.substr(0, end);
    return JustCompleted(digest, now) ? Acquit(digest, now)
                                      : std::vector<ShareQuarantine>();
  }
  // Without the name of a crash the digest is quarantined outright.
  for (std::size_t i = 0; i < m_crashes; ++i) {
    Add(learned.digest, kUnnamed + std::to_string(i), /*acquitted=*/false,
        expires, now);
  }
  return {};
}

std::vector<ShareQuarantine> Quarantine::Completed(const std::string& digest,
                                                   TimePoint now) {
  m_completed[digest] = now;
  m_completed_order.emplace_back(now, digest);
  while (m_completed_order.size() > kMostCompleted ||
         now - m_completed_order.front().first > kCompletedTime) {
    auto oldest = m_completed.find(m_completed_order.front().second);
    bool last = oldest != m_completed.end() &&
                oldest->second == m_completed_order.front().first;
    if (last) m_completed.erase(oldest);
    m_completed_order.pop_front();
  }
  return Acquit(digest, now);
}

bool Quarantine::JustCompleted(const std::string& digest, TimePoint now) const {
  auto found = m_completed.find(digest);
  return found != m_completed.end() && now - found->second <= kCompletedTime;
}

std::vector<ShareQuarantine> Quarantine::Acquit(const std::string& digest,
                                                TimePoint now) {
  std::vector<ShareQuarantine> shares;
  Entry* entry = Find(digest, now);
  if (entry == nullptr) return shares;
  auto remaining = std::chrono::ceil<milliseconds>(entry->expires - now);
  for (Crash& crash : entry->crashes) {
    // Nobody knows which crashes stand behind a digest without names.
    if (crash.acquitted || crash.name.starts_with(kUnnamed)) continue;
    crash.acquitted = true;
    shares.push_back({digest + kAcquittalSeparator + crash.name, remaining});
  }
  return shares;
}

std::size_t Quarantine::Open(const Entry& entry) {
  return static_cast<std::size_t>(
      std::count_if(entry.crashes.begin(), entry.crashes.end(),
                    [](const Crash& crash) { return !crash.acquitted; }));
}

void Quarantine::Expire(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.expires <= now;
  });
}

const Quarantine::Entry* Quarantine::Find(const std::string& digest,
                                          TimePoint now) const {
  auto found = m_entries.find(digest);
  if (found == m_entries.end() || found->second.expires <= now) {
    return nullptr;
  }
  return &found->second;
}

Quarantine::Entry* Quarantine::Find(const std::string& digest, TimePoint now) {
  return const_cast<Entry*>(std::as_const(*this).Find(digest, now));
}

void Quarantine::Add(const std::string& digest, std::string crash,
                     bool acquitted, TimePoint expires, TimePoint now) {
  Entry* entry = Find(digest, now);
  if (entry == nullptr) {
    m_entries.erase(digest);
    MakeRoom();
    entry = &m_entries[digest];
  }
  entry->expires = std::max(entry->expires, expires);
  std::vector<Crash>& crashes = entry->crashes;
  auto known =
      std::find_if(crashes.begin(), crashes.end(),
                   [&](const Crash& other) { return other.name == crash; });
  if (known != crashes.end()) {
    known->acquitted = known->acquitted || acquitted;
    return;
  }
  if (!acquitted && Open(*entry) >= m_crashes) return;
  if (crashes.size() >= kMostCrashes) {
    crashes.erase(std::find_if(crashes.begin(), crashes.end(),
                               [](const Crash& old) { return old.acquitted; }));
  }
  crashes.push_back({std::move(crash), now, acquitted});
  m_total += !acquitted && Open(*entry) == m_crashes ? 1 : 0;
}

void Quarantine::MakeRoom() {
  if (m_entries.size() < kMaxEntries) {
    return;
  }
  // Suspects go before quarantined digests, then the one that expires first.
  auto worst = std::min_element(
      m_entries.begin(), m_entries.end(), [&](const auto& a, const auto& b) {
        bool a_full = Open(a.second) >= m_crashes;
        bool b_full = Open(b.second) >= m_crashes;
        return a_full != b_full ? b_full : a.second.expires < b.second.expires;
      });
  m_entries.erase(worst);
}

}  // namespace clementine

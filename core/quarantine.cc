// Crashes are named, not only counted: two daemons that saw the same crash
// count it once, and two that each saw one crash know of two as soon as they
// heard of each other. A replica that crashes twice in the same epoch gets a
// second number, because the attempt started after the first crash was known.

#include "core/quarantine.h"

#include <algorithm>

namespace clementine {

namespace {

// About 200 bytes an entry.
constexpr std::size_t kMaxEntries = 4096;
constexpr char kSeparator = '/';

}  // namespace

std::string Quarantine::Digest(const Request& request) {
  return TextDigest(request.organisation + '\n' + request.content_digest);
}

Quarantine::Verdict Quarantine::Judge(const std::string& digest,
                                      TimePoint now) const {
  auto found = m_entries.find(digest);
  if (found == m_entries.end() || found->second.expires <= now) {
    return Verdict::kClear;
  }
  return found->second.crashes.size() >= m_crashes ? Verdict::kQuarantined
                                                   : Verdict::kSuspect;
}

int Quarantine::Count(const std::string& digest, TimePoint now) const {
  auto found = m_entries.find(digest);
  bool known = found != m_entries.end() && found->second.expires > now;
  return known ? static_cast<int>(found->second.crashes.size()) : 0;
}

milliseconds Quarantine::Remaining(const std::string& digest,
                                   TimePoint now) const {
  auto found = m_entries.find(digest);
  if (found == m_entries.end() || found->second.expires <= now) {
    return milliseconds(0);
  }
  return std::chrono::ceil<milliseconds>(found->second.expires - now);
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
  std::string name = group + '#' + std::to_string(number);
  Add(digest, name, now + m_duration, now);
  return ShareQuarantine{digest + kSeparator + name, m_duration};
}

void Quarantine::Learned(const QuarantineLearned& learned, TimePoint now) {
  if (learned.remaining <= milliseconds(0)) {
    return;
  }
  TimePoint expires = now + std::min(learned.remaining, m_duration);
  std::size_t end = learned.digest.find(kSeparator);
  if (end != std::string::npos) {
    Add(learned.digest.substr(0, end), learned.digest.substr(end + 1), expires,
        now);
    return;
  }
  // Without the name of a crash the digest is quarantined outright.
  for (std::size_t i = 0; i < m_crashes; ++i) {
    Add(learned.digest, "unnamed#" + std::to_string(i), expires, now);
  }
}

void Quarantine::Cleared(const std::string& digest) {
  auto found = m_entries.find(digest);
  if (found != m_entries.end() && found->second.crashes.size() < m_crashes) {
    m_entries.erase(found);
  }
}

void Quarantine::Expire(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.expires <= now;
  });
}

Quarantine::Entry* Quarantine::Find(const std::string& digest, TimePoint now) {
  auto found = m_entries.find(digest);
  if (found == m_entries.end() || found->second.expires <= now) {
    return nullptr;
  }
  return &found->second;
}

void Quarantine::Add(const std::string& digest, std::string crash,
                     TimePoint expires, TimePoint now) {
  Entry* entry = Find(digest, now);
  if (entry == nullptr) {
    m_entries.erase(digest);
    MakeRoom();
    entry = &m_entries[digest];
  }
  entry->expires = std::max(entry->expires, expires);
  bool known =
      std::any_of(entry->crashes.begin(), entry->crashes.end(),
                  [&](const Crash& other) { return other.name == crash; });
  if (known || entry->crashes.size() >= m_crashes) {
    return;
  }
  entry->crashes.push_back({std::move(crash), now});
  m_total += entry->crashes.size() >= m_crashes ? 1 : 0;
}

void Quarantine::MakeRoom() {
  if (m_entries.size() < kMaxEntries) {
    return;
  }
  // Suspects go before quarantined digests, then the one that expires first.
  auto worst = std::min_element(
      m_entries.begin(), m_entries.end(), [&](const auto& a, const auto& b) {
        bool a_full = a.second.crashes.size() >= m_crashes;
        bool b_full = b.second.crashes.size() >= m_crashes;
        return a_full != b_full ? b_full : a.second.expires < b.second.expires;
      });
  m_entries.erase(worst);
}

}  // namespace clementine

// Crashes have names, so that daemons that observed the same crash count it
// once, and daemons that observed different crashes can add them up. If an
// attempt that was started after the first crash of a replica was recorded ends
// in another crash in the same epoch, that crash gets the next number.

#include "core/quarantine.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <iterator>
#include <string_view>
#include <utility>

#include "core/crash_attribution.h"
#include "core/exponential_backoff.h"
#include "fmt/format.h"

namespace clementine {

namespace {

/// Bounds the memory of the table. An entry with one crash takes about 200
/// bytes.
constexpr std::size_t kMaxEntries = 4096;
/// Separates the digest from the name of the crash in a crash mark.
constexpr char kCrashSeparator = '/';
/// Separates the digest from the name of the crash in an acquittal.
constexpr char kAcquittalSeparator = '!';
/// Includes the crashes of which the key is acquitted.
constexpr std::size_t kMaxCrashesPerKey = 24;
/// More than the limit, so that the cause of crashes can be told from keys that
/// were in flight at some of them.
constexpr std::size_t kMaxUnacquitted = 16;
/// Digests of requests begin with a hexadecimal digit.
constexpr char kPartPrefix = 'p';
constexpr std::size_t kPartKeyChars = 17;
/// Begins the key of a mark that names parts by a filter.
constexpr char kFilterPrefix = 's';
/// A fault that is mended is usually mended within minutes.
constexpr milliseconds kFirstTrialDelay{60'000};
/// Twice the time in which the result of a trial reaches all daemons.
constexpr milliseconds kTrialSlot{2'000};
/// A trial whose result is not known after this time did not run.
constexpr milliseconds kTrialTimeout{30'000};
constexpr std::size_t kMaxCompletions = 8192;
constexpr std::size_t kMaxLoggedBytes = 600;
constexpr char kUnnamedCrashPrefix[] = "unnamed#";

std::size_t FindSeparator(const std::string& name) {
  return name.find_first_of({kCrashSeparator, kAcquittalSeparator});
}

void AppendMarks(std::vector<ShareQuarantine> more,
                 std::vector<ShareQuarantine>* marks) {
  marks->insert(marks->end(), std::make_move_iterator(more.begin()),
                std::make_move_iterator(more.end()));
}

std::optional<std::uint64_t> PartOfKey(std::string_view key) {
  if (key.size() != kPartKeyChars || key.front() != kPartPrefix) {
    return std::nullopt;
  }
  std::uint64_t part = 0;
  const char* end = key.data() + key.size();
  auto [stop, error] = std::from_chars(key.data() + 1, end, part, 16);
  if (error != std::errc() || stop != end) return std::nullopt;
  return part;
}

}  // namespace

bool CrashKeys::Contains(const std::string& key) const {
  if (key == digest) return true;
  std::optional<std::uint64_t> part = PartOfKey(key);
  return part && has_parts() &&
         std::binary_search(parts->begin(), parts->end(), *part);
}

bool IsPartFilter(std::string_view name) {
  return name.starts_with(kFilterPrefix);
}

std::string FormatParts(const std::vector<std::string>& parts) {
  std::string text;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (text.size() > kMaxLoggedBytes) {
      return text + fmt::format(",+{}", parts.size() - i);
    }
    text += (text.empty() ? "" : ",") + parts[i];
  }
  return text.empty() ? "-" : text;
}

std::string KeyOfPart(std::uint64_t part) {
  return fmt::format("{}{:016x}", kPartPrefix, part);
}

bool IsAcquittal(const std::string& name) {
  std::size_t separator = FindSeparator(name);
  return separator != std::string::npos &&
         name[separator] == kAcquittalSeparator;
}

std::string KeyOfMark(const std::string& name) {
  return name.substr(0, FindSeparator(name));
}

std::string AcquittedMark(const std::string& acquittal) {
  std::string mark = acquittal;
  mark[FindSeparator(mark)] = kCrashSeparator;
  return mark;
}

std::string Quarantine::Digest(const Request& request) {
  return TextDigest(request.organisation + '\n' + request.content_digest);
}

CrashKeys Quarantine::Keys(const Request& request) {
  CrashKeys keys;
  keys.digest = Digest(request);
  if (request.shared_parts.empty()) return keys;
  const std::string& target =
      request.model.empty() ? request.service : request.model;
  std::vector<std::uint64_t> parts;
  parts.reserve(request.shared_parts.size());
  std::string text = target + '\n';
  const std::size_t prefix = text.size();
  for (const std::string& part : request.shared_parts) {
    text.resize(prefix);
    text += part;
    parts.push_back(TextHash(text));
  }
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  keys.parts =
      std::make_shared<const std::vector<std::uint64_t>>(std::move(parts));
  return keys;
}

std::size_t Quarantine::LimitOf(const std::string& key) const {
  bool part = key.starts_with(kPartPrefix);
  return part ? std::max(m_crash_limit, kMinPartCrashes) : m_crash_limit;
}

Quarantine::State Quarantine::Classify(const CrashKeys& keys,
                                       TimePoint now) const {
  if (!CausesOf(keys, now).empty()) return State::kQuarantined;
  return Count(keys.digest, now) == 0 ? State::kClear : State::kSuspect;
}

int Quarantine::Count(const std::string& key, TimePoint now) const {
  const Entry* entry = Find(key, now);
  return entry == nullptr ? 0 : static_cast<int>(CountUnacquitted(*entry));
}

BlamedKeys Quarantine::FindBlamed(const CrashKeys& keys, TimePoint now) const {
  BlamedKeys blamed;
  for (const Cause* cause : CausesOf(keys, now)) {
    blamed.insert(blamed.end(), cause->keys.begin(), cause->keys.end());
  }
  return blamed;
}

milliseconds Quarantine::RemainingTime(const CrashKeys& keys,
                                       TimePoint now) const {
  milliseconds remaining{0};
  for (const Cause* cause : CausesOf(keys, now)) {
    remaining = std::max(
        remaining, std::chrono::ceil<milliseconds>(cause->expires_at - now));
  }
  return remaining;
}

// ---------------------------------------------------------------------------
// Causes and their trials.

void Quarantine::UpdateCauses(TimePoint now) const {
  if (!m_causes_outdated && now < m_causes_expire_at) return;
  m_causes_outdated = false;
  m_causes_expire_at = TimePoint::max();
  std::vector<CrashEvidence> evidence;
  for (const auto& [key, entry] : m_entries) {
    if (entry.expires_at <= now) continue;
    std::size_t limit = LimitOf(key);
    if (CountUnacquitted(entry) < limit) continue;
    m_causes_expire_at = std::min(m_causes_expire_at, entry.expires_at);
    // With as many crashes, a part explains those of several requests.
    CrashEvidence found{key, {}, limit, key.starts_with(kPartPrefix)};
    for (const Crash& crash : entry.crashes) {
      if (crash.acquitted) continue;
      bool named = !crash.name.starts_with(kUnnamedCrashPrefix);
      found.crashes.push_back(named ? crash.name : key + crash.name);
    }
    evidence.push_back(std::move(found));
  }
  std::vector<Cause> causes;
  for (CrashCause& cause : AttributeCrashes(std::move(evidence))) {
    causes.push_back(
        MakeCause(std::move(cause.keys), cause.crashes.size(), now));
  }
  bool changed = causes.size() != m_causes.size();
  m_causes_by_digest.clear();
  m_causes_by_parts.clear();
  for (std::size_t i = 0; i < causes.size(); ++i) {
    bool known = std::any_of(
        m_causes.begin(), m_causes.end(),
        [&](const Cause& old) { return old.keys == causes[i].keys; });
    changed = changed || !known;
    m_times_quarantined += known ? 0 : 1;
    const std::string& first = causes[i].keys.front();
    if (first.starts_with(kPartPrefix)) {
      m_causes_by_parts.push_back(i);
    } else {
      m_causes_by_digest[first].push_back(i);
    }
  }
  m_cause_changes += changed ? 1 : 0;
  m_causes = std::move(causes);
}

Quarantine::Cause Quarantine::MakeCause(BlamedKeys keys,
                                        std::size_t crash_count,
                                        TimePoint now) const {
  Cause cause;
  cause.crash_count = crash_count;
  cause.expires_at = TimePoint::max();
  for (const std::string& key : keys) {
    const Entry& entry = *Find(key, now);
    cause.expires_at = std::min(cause.expires_at, entry.expires_at);
    int failed_trials = 0;
    TimePoint last;
    for (const Crash& crash : entry.crashes) {
      if (crash.acquitted) continue;
      bool late =
          last != TimePoint() && crash.recorded_at - last >= kTrialTimeout;
      failed_trials += late ? 1 : 0;
      last = crash.recorded_at;
    }
    cause.last_crash = std::max(cause.last_crash, last);
    cause.failed_trials = std::max(cause.failed_trials, failed_trials);
  }
  cause.keys = std::move(keys);
  return cause;
}

std::vector<const Quarantine::Cause*> Quarantine::CausesOf(
    const CrashKeys& keys, TimePoint now) const {
  UpdateCauses(now);
  std::vector<const Cause*> found;
  auto add_if_blamed = [&](std::size_t index) {
    const Cause& cause = m_causes[index];
    bool all =
        std::all_of(cause.keys.begin(), cause.keys.end(),
                    [&](const std::string& key) { return keys.Contains(key); });
    if (all) found.push_back(&cause);
  };
  auto indexes = m_causes_by_digest.find(keys.digest);
  if (indexes != m_causes_by_digest.end()) {
    std::for_each(indexes->second.begin(), indexes->second.end(),
                  add_if_blamed);
  }
  if (keys.has_parts()) {
    std::for_each(m_causes_by_parts.begin(), m_causes_by_parts.end(),
                  add_if_blamed);
  }
  return found;
}

std::uint64_t Quarantine::cause_changes(TimePoint now) const {
  UpdateCauses(now);
  return m_cause_changes;
}

std::uint64_t Quarantine::times_quarantined(TimePoint now) const {
  UpdateCauses(now);
  return m_times_quarantined;
}

bool Quarantine::IsTrialDue(const Cause& cause, TimePoint now) const {
  milliseconds delay =
      ExponentialBackoff(std::min(kFirstTrialDelay, m_duration / 2),
                         m_duration / 2, cause.failed_trials);
  TimePoint first = cause.last_crash + delay;
  if (now < first) return false;
  std::size_t hash = std::hash<std::string>()(
      fmt::format("{}{}{}", m_seed, cause.keys.front(), cause.crash_count));
  auto own_slot = static_cast<int>(hash % static_cast<unsigned>(m_daemons));
  return (now - first) / kTrialSlot % m_daemons == own_slot;
}

bool Quarantine::StartTrial(const CrashKeys& keys, TimePoint now) {
  std::vector<const Cause*> causes = CausesOf(keys, now);
  auto due = [&](const Cause* cause) {
    auto last = m_trials.find(fmt::format("{}", fmt::join(cause->keys, "+")));
    return IsTrialDue(*cause, now) &&
           (last == m_trials.end() || now - last->second >= kTrialTimeout);
  };
  if (!std::all_of(causes.begin(), causes.end(), due)) return false;
  std::erase_if(m_trials, [&](const auto& trial) {
    return now - trial.second >= kTrialTimeout;
  });
  for (const Cause* cause : causes) {
    m_trials[fmt::format("{}", fmt::join(cause->keys, "+"))] = now;
  }
  return true;
}

// ---------------------------------------------------------------------------
// Crashes and acquittals.

std::vector<ShareQuarantine> Quarantine::OnServerCrash(const CrashKeys& keys,
                                                       const std::string& group,
                                                       TimePoint started,
                                                       TimePoint now) {
  std::vector<ShareQuarantine> marks;
  auto mark = [&](const std::string& key) {
    auto made = OnServerCrash(key, group, started, now);
    if (made) marks.push_back(std::move(*made));
  };
  mark(keys.digest);
  if (!keys.has_parts()) return marks;
  const bool known = marks.empty();
  std::vector<std::uint64_t> parts;
  std::copy_if(keys.parts->begin(), keys.parts->end(),
               std::back_inserter(parts), [&](std::uint64_t part) {
                 return !m_acquitted_parts.Contains(part, now);
               });
  if (parts.size() <= CrashCandidates::kMaxMarkedParts) {
    for (std::uint64_t part : parts) {
      const std::size_t before = marks.size();
      mark(KeyOfPart(part));
      if (marks.size() == before) continue;
      // Prompts with more parts that were in flight at other crashes.
      const std::string& name = marks.back().digest;
      m_candidates.AddReported(name.substr(FindSeparator(name) + 1), part, now);
    }
    AppendMarks(MarkSuspectParts(now), &marks);
    return marks;
  }
  if (known) return marks;
  std::string crash = m_candidates.CrashName(group, started);
  marks.push_back(
      {kFilterPrefix + PartFilter(parts).Encode() + kCrashSeparator + crash,
       m_duration});
  m_candidates.AddParts(crash, parts, now);
  for (const auto& [key, entry] : m_entries) {
    std::optional<std::uint64_t> part = PartOfKey(key);
    if (!part || entry.expires_at <= now) continue;
    for (const Crash& other : entry.crashes) {
      if (!other.acquitted) m_candidates.AddReported(other.name, *part, now);
    }
  }
  AppendMarks(MarkSuspectParts(now), &marks);
  return marks;
}

std::vector<ShareQuarantine> Quarantine::MarkSuspectParts(TimePoint now) {
  std::vector<ShareQuarantine> marks;
  for (const CrashCandidates::Mark& suspect : m_candidates.SuspectMarks()) {
    std::string key = KeyOfPart(suspect.part);
    if (const Entry* entry = Find(key, now)) {
      bool marked = std::any_of(
          entry->crashes.begin(), entry->crashes.end(),
          [&](const Crash& crash) { return crash.name == suspect.crash; });
      if (marked) continue;
    }
    Add(key, suspect.crash, /*acquitted=*/false, now + m_duration, now);
    marks.push_back({key + kCrashSeparator + suspect.crash, m_duration});
  }
  return marks;
}

std::optional<ShareQuarantine> Quarantine::OnServerCrash(
    const std::string& key, const std::string& group, TimePoint started,
    TimePoint now) {
  int number = 1;
  if (const Entry* entry = Find(key, now)) {
    for (const Crash& crash : entry->crashes) {
      if (crash.name.compare(0, group.size() + 1, group + '#') == 0) {
        if (crash.recorded_at >= started) {
          return std::nullopt;
        }
        ++number;
      }
    }
  }
  if (HasRecentlyCompleted(key, now)) return std::nullopt;
  std::string name = group + '#' + std::to_string(number);
  Add(key, name, /*acquitted=*/false, now + m_duration, now);
  return ShareQuarantine{key + kCrashSeparator + name, m_duration};
}

std::vector<ShareQuarantine> Quarantine::OnPeerNotice(
    const QuarantineLearned& notice, TimePoint now) {
  if (notice.remaining <= milliseconds(0)) {
    return {};
  }
  TimePoint expires_at = now + std::min(notice.remaining, m_duration);
  std::size_t end = FindSeparator(notice.digest);
  if (end != std::string::npos) {
    std::string key = notice.digest.substr(0, end);
    std::string crash = notice.digest.substr(end + 1);
    if (IsPartFilter(key)) {
      std::optional<PartFilter> filter = PartFilter::Decode(key.substr(1));
      bool suspected =
          filter && m_candidates.AddReported(crash, std::move(*filter), now);
      return suspected ? MarkSuspectParts(now) : std::vector<ShareQuarantine>();
    }
    bool acquits = IsAcquittal(notice.digest);
    Add(key, crash, acquits, expires_at, now);
    std::vector<ShareQuarantine> shares;
    if (HasRecentlyCompleted(key, now)) shares = Acquit(key, now);
    if (std::optional<std::uint64_t> part = PartOfKey(key)) {
      bool sound = acquits || HasRecentlyCompleted(key, now);
      if (sound) m_candidates.Remove(*part);
      if (!sound && m_candidates.AddReported(crash, *part, now)) {
        AppendMarks(MarkSuspectParts(now), &shares);
      }
    }
    return shares;
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
    const std::string& key, TimePoint now) {
  m_completed[key] = now;
  m_completed_order.emplace_back(now, key);
  while (m_completed_order.size() > kMaxCompletions ||
         now - m_completed_order.front().first > kAcquittalWindow) {
    auto oldest = m_completed.find(m_completed_order.front().second);
    bool last = oldest != m_completed.end() &&
                oldest->second == m_completed_order.front().first;
    if (last) m_completed.erase(oldest);
    m_completed_order.pop_front();
  }
  return Acquit(key, now);
}

bool Quarantine::HasRecentlyCompleted(const std::string& key,
                                      TimePoint now) const {
  auto found = m_completed.find(key);
  if (found != m_completed.end() && now - found->second <= kAcquittalWindow) {
    return true;
  }
  std::optional<std::uint64_t> part = PartOfKey(key);
  return part && m_acquitted_parts.Contains(*part, now);
}

std::vector<ShareQuarantine> Quarantine::AcquitParts(const CrashKeys& keys,
                                                     TimePoint now) {
  std::vector<ShareQuarantine> shares;
  if (!keys.has_parts()) return shares;
  for (std::uint64_t part : *keys.parts) {
    m_acquitted_parts.Add(part, now);
    m_candidates.Remove(part);
    if (m_marked_parts.count(part) == 0) continue;
    AppendMarks(Acquit(KeyOfPart(part), now), &shares);
  }
  return shares;
}

std::vector<ShareQuarantine> Quarantine::Acquit(const std::string& key,
                                                TimePoint now) {
  std::vector<ShareQuarantine> shares;
  Entry* entry = Find(key, now);
  if (entry == nullptr) return shares;
  NoteEvidenceChange(key, *entry);
  auto remaining = std::chrono::ceil<milliseconds>(entry->expires_at - now);
  for (Crash& crash : entry->crashes) {
    // The crashes of a key that was shared without a name are unknown, so a
    // completion cannot acquit it of them.
    if (crash.acquitted || crash.name.starts_with(kUnnamedCrashPrefix)) {
      continue;
    }
    crash.acquitted = true;
    shares.push_back({key + kAcquittalSeparator + crash.name, remaining});
  }
  return shares;
}

// Keys below their limit are no causes. Most marks are of such keys, and many
// arrive at once.
void Quarantine::NoteEvidenceChange(const std::string& key,
                                    const Entry& entry) {
  if (CountUnacquitted(entry) >= LimitOf(key)) m_causes_outdated = true;
}

std::size_t Quarantine::CountUnacquitted(const Entry& entry) {
  return static_cast<std::size_t>(
      std::count_if(entry.crashes.begin(), entry.crashes.end(),
                    [](const Crash& crash) { return !crash.acquitted; }));
}

void Quarantine::Expire(TimePoint now) {
  m_candidates.Expire(now);
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
  std::erase_if(m_marked_parts, [this](std::uint64_t part) {
    return m_entries.count(KeyOfPart(part)) == 0;
  });
}

const Quarantine::Entry* Quarantine::Find(const std::string& key,
                                          TimePoint now) const {
  auto found = m_entries.find(key);
  if (found == m_entries.end() || found->second.expires_at <= now) {
    return nullptr;
  }
  return &found->second;
}

Quarantine::Entry* Quarantine::Find(const std::string& key, TimePoint now) {
  return const_cast<Entry*>(std::as_const(*this).Find(key, now));
}

void Quarantine::Add(const std::string& key, std::string crash, bool acquitted,
                     TimePoint expires_at, TimePoint now) {
  Entry* entry = Find(key, now);
  if (entry == nullptr) {
    m_entries.erase(key);
    EvictIfFull();
    entry = &m_entries[key];
    std::optional<std::uint64_t> part = PartOfKey(key);
    if (part) m_marked_parts.insert(*part);
  }
  entry->expires_at = std::max(entry->expires_at, expires_at);
  std::vector<Crash>& crashes = entry->crashes;
  auto known =
      std::find_if(crashes.begin(), crashes.end(),
                   [&](const Crash& other) { return other.name == crash; });
  if (known != crashes.end()) {
    NoteEvidenceChange(key, *entry);
    known->acquitted = known->acquitted || acquitted;
    return;
  }
  if (!acquitted && CountUnacquitted(*entry) >= kMaxUnacquitted) {
    // The latest crash has to be known for the time of the next trial.
    crashes.erase(
        std::find_if(crashes.begin(), crashes.end(),
                     [](const Crash& old) { return !old.acquitted; }));
  }
  if (crashes.size() >= kMaxCrashesPerKey) {
    crashes.erase(std::find_if(crashes.begin(), crashes.end(),
                               [](const Crash& old) { return old.acquitted; }));
  }
  crashes.push_back({std::move(crash), now, acquitted});
  NoteEvidenceChange(key, *entry);
}

void Quarantine::EvictIfFull() {
  if (m_entries.size() < kMaxEntries) {
    return;
  }
  // Evicts a key with few crashes rather than one that reaches its limit, and
  // among equals the one that expires first.
  auto victim = std::min_element(
      m_entries.begin(), m_entries.end(), [&](const auto& a, const auto& b) {
        bool a_quarantined = CountUnacquitted(a.second) >= LimitOf(a.first);
        bool b_quarantined = CountUnacquitted(b.second) >= LimitOf(b.first);
        return a_quarantined != b_quarantined
                   ? b_quarantined
                   : a.second.expires_at < b.second.expires_at;
      });
  m_entries.erase(victim);
  m_causes_outdated = true;
}

}  // namespace clementine

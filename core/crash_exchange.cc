// A server that crashes causes marks for all of its requests at once, and most
// of these requests soon complete on another server. Marks that are made within
// a short window are written together, which limits the writes per daemon and
// crash to a few.

#include "core/crash_exchange.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <iterator>
#include <string_view>

#include "core/exponential_backoff.h"
#include "core/quarantine.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using std::chrono::seconds;

/// Connections to one server break within tens of milliseconds of each other.
constexpr milliseconds kBatchWindow{150};
/// Acquittals are less urgent than marks: the mark of a request that has
/// completed does no harm unless the request is in flight at two more crashes
/// before the acquittal arrives and is quarantined for that reason. Many
/// daemons may have seen a part that one daemon's mark names.
constexpr milliseconds kMinAcquittalDelay{1'000};
constexpr milliseconds kMaxAcquittalDelay{2'500};
constexpr milliseconds kWriteInterval{500};
/// A write without a reply is repeated after this time. If the first write is
/// carried out late, it only stores marks that are already known.
constexpr milliseconds kReplyTimeout{1'200};
/// The platform answers within milliseconds. Marks have to reach all daemons
/// within 3 s; therefore other daemons are notified directly after this time
/// without an answer.
constexpr milliseconds kNotifyDelay{400};
/// Notices are repeated for daemons that start in the meantime. The interval
/// doubles each time.
constexpr milliseconds kMinNotifyInterval{1'000};
constexpr milliseconds kMaxNotifyInterval{30'000};
/// Expired objects are kept for this time, because clocks may differ.
constexpr seconds kExpiredObjectRetention{60};
constexpr milliseconds kRemovalInterval{1'000};
/// Maximum length of a mark's name, which holds a digest, a group name and
/// numbers. A filter of parts may be longer.
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxFilterNameBytes =
    kMaxNameBytes + PartFilter::kMaxBytes / 3 * 4 + 4;

std::size_t MaxNameBytes(std::string_view name) {
  return IsPartFilter(name) ? kMaxFilterNameBytes : kMaxNameBytes;
}

/// Call ids of writes and removals. Other components count up from 1.
constexpr CallId kWriteCall = ~CallId{0} - 1;
constexpr CallId kRemovalCall = ~CallId{0} - 2;

std::vector<QuarantineLearned> ToLearned(const std::vector<CrashMark>& marks,
                                         WallTime wall) {
  std::vector<QuarantineLearned> learned;
  for (const CrashMark& mark : marks) {
    if (mark.expires <= wall) continue;
    learned.push_back({mark.name, std::chrono::duration_cast<milliseconds>(
                                      mark.expires - wall)});
  }
  return learned;
}

}  // namespace

const char CrashExchange::kKind[] = "clementine-crashes";

std::string EncodeCrashMarks(const std::vector<CrashMark>& marks) {
  std::string text;
  for (const CrashMark& mark : marks) {
    auto expires = std::chrono::ceil<seconds>(mark.expires.time_since_epoch());
    text += fmt::format("{} {}\n", expires.count(), mark.name);
  }
  return text;
}

std::vector<CrashMark> DecodeCrashMarks(const std::string& text) {
  std::vector<CrashMark> marks;
  std::string_view rest = text;
  while (!rest.empty() && marks.size() < CrashExchange::kMaxMarks) {
    std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    std::uint32_t expires = 0;
    auto [stop, error] =
        std::from_chars(line.data(), line.data() + line.size(), expires);
    line.remove_prefix(static_cast<std::size_t>(stop - line.data()));
    if (error != std::errc() || line.size() < 2 || line.front() != ' ') {
      continue;
    }
    line.remove_prefix(1);
    if (line.size() >= MaxNameBytes(line)) continue;
    marks.push_back({std::string(line), WallTime(seconds(expires))});
  }
  return marks;
}

// ---------------------------------------------------------------------------
// Marks of this daemon and of others.

CrashExchange::CrashExchange(std::string node)
    : m_node(std::move(node)),
      m_acquittal_delay(
          kMinAcquittalDelay +
          milliseconds(std::hash<std::string>()(m_node) %
                       (kMaxAcquittalDelay - kMinAcquittalDelay).count())) {}

void CrashExchange::ShareMark(const ShareQuarantine& share, TimePoint now,
                              WallTime wall) {
  if (share.digest.size() >= MaxNameBytes(share.digest) ||
      share.digest.find('\n') != std::string::npos) {
    return;
  }
  bool acquits = IsAcquittal(share.digest);
  if (acquits) {
    // If the mark was not written yet, neither the mark nor the acquittal needs
    // to be shared.
    if (DropUnsentMark(AcquittedMark(share.digest))) return;
  }
  if (m_marks.count(share.digest) == 0) {
    EvictIfFull(share.digest.size());
    m_mark_bytes += share.digest.size();
  }
  bool idle = !pending();
  m_marks[share.digest] = {wall + share.remaining, ++m_last_change};
  TimePoint due = now + (acquits ? m_acquittal_delay : kBatchWindow);
  m_write_due_at = idle ? due : std::min(m_write_due_at, due);
  if (m_notify_count > 0 && !acquits) {
    m_notify_count = 0;
    m_notify_at = std::min(m_notify_at, now + kNotifyDelay);
  }
}

std::vector<QuarantineLearned> CrashExchange::OnObjects(
    const std::vector<Object>& objects, WallTime wall) {
  if (!m_own_object_read) m_own.SetExists(false);
  m_own_object_read = true;
  std::vector<QuarantineLearned> learned;
  for (const Object& object : objects) {
    if (object.name == m_node) m_own.SetExists(!object.deleted);
    if (object.deleted) {
      m_objects.erase(object.name);
      continue;
    }
    std::vector<CrashMark> marks = DecodeCrashMarks(object.value);
    StoredObject& stored = m_objects[object.name];
    stored.revision = object.revision;
    stored.expires = WallTime();
    for (const CrashMark& mark : marks) {
      stored.expires = std::max(stored.expires, mark.expires);
      if (object.name != m_node && IsAcquittal(mark.name)) {
        DropUnsentMark(mark.name);
      }
      bool own = object.name == m_node && mark.expires > wall;
      bool fits = m_marks.size() < kMaxMarks &&
                  m_mark_bytes + mark.name.size() <= kMaxMarkBytes;
      if (own && fits &&
          m_marks.emplace(mark.name, Mark{mark.expires, 0}).second) {
        m_mark_bytes += mark.name.size();
      }
    }
    for (QuarantineLearned& entry : ToLearned(marks, wall)) {
      learned.push_back(std::move(entry));
    }
  }
  return learned;
}

std::vector<QuarantineLearned> CrashExchange::DecodePeerNotice(
    const std::string& text, WallTime wall) {
  return ToLearned(DecodeCrashMarks(text), wall);
}

void CrashExchange::Expire(WallTime wall) {
  for (auto mark = m_marks.begin(); mark != m_marks.end();) {
    auto next = std::next(mark);
    if (mark->second.expires <= wall) EraseMark(mark);
    mark = next;
  }
}

bool CrashExchange::DropUnsentMark(const std::string& name) {
  auto mark = m_marks.find(name);
  if (mark == m_marks.end() || mark->second.change <= m_sent_change) {
    return false;
  }
  EraseMark(mark);
  return true;
}

void CrashExchange::EraseMark(std::map<std::string, Mark>::iterator mark) {
  m_mark_bytes -= mark->first.size();
  m_marks.erase(mark);
}

// Evicts a mark of the key with the fewest marks, which is the least likely to
// be the cause of crashes, and among equals the one that expires first.
void CrashExchange::EvictIfFull(std::size_t name_bytes) {
  auto full = [&] {
    return m_marks.size() >= kMaxMarks ||
           m_mark_bytes + name_bytes > kMaxMarkBytes;
  };
  if (!full()) return;
  std::map<std::string, std::size_t> marks_by_key;
  for (const auto& [name, mark] : m_marks) ++marks_by_key[KeyOfMark(name)];
  while (full()) {
    auto victim = std::min_element(
        m_marks.begin(), m_marks.end(), [&](const auto& a, const auto& b) {
          std::size_t a_count = marks_by_key[KeyOfMark(a.first)];
          std::size_t b_count = marks_by_key[KeyOfMark(b.first)];
          return a_count != b_count ? a_count < b_count
                                    : a.second.expires < b.second.expires;
        });
    --marks_by_key[KeyOfMark(victim->first)];
    EraseMark(victim);
  }
}

bool CrashExchange::pending() const {
  if (m_rewrite && !m_marks.empty()) return true;
  return m_last_change != m_written_change &&
         std::any_of(m_marks.begin(), m_marks.end(), [this](const auto& entry) {
           return entry.second.change > m_written_change;
         });
}

std::string CrashExchange::Encode() const {
  std::vector<CrashMark> marks;
  for (const auto& [name, mark] : m_marks) {
    marks.push_back({name, mark.expires});
  }
  return EncodeCrashMarks(marks);
}

// ---------------------------------------------------------------------------
// Writes and direct notices.

std::vector<CrashExchange::Action> CrashExchange::Advance(
    TimePoint now, WallTime wall, bool removes_expired) {
  std::vector<Action> actions;
  Expire(wall);
  if (pending() && now >= m_write_due_at) WriteOrNotify(now, &actions);
  if (removes_expired) RemoveExpiredObject(now, wall, &actions);
  return actions;
}

void CrashExchange::WriteOrNotify(TimePoint now, std::vector<Action>* out) {
  if (m_notify_at == TimePoint()) m_notify_at = now + kNotifyDelay;
  if (now >= m_notify_at) {
    m_notify_at =
        now + ExponentialBackoff(kMinNotifyInterval, kMaxNotifyInterval,
                                 m_notify_count++);
    out->emplace_back(NotifyDaemons{Encode()});
  }
  // A write before the first read would overwrite the marks of an earlier
  // incarnation.
  if (!m_own_object_read) return;
  if (now - m_sent_at < (m_in_flight ? kReplyTimeout : kWriteInterval)) return;
  m_sent_at = now;
  m_sent_change = m_last_change;
  m_rewrite_sent = m_rewrite;
  m_in_flight = true;
  out->emplace_back(PutObject{kWriteCall, fmt::format("{}/{}", kKind, m_node),
                              Encode(), m_own.if_version()});
}

void CrashExchange::OnStoreRestored(TimePoint now) {
  m_rewrite = true;
  m_rewrite_sent = false;
  m_in_flight = false;
  m_own.SetExists(true);
  m_objects.clear();
  m_write_due_at = now + kBatchWindow;
}

void CrashExchange::OnReply(const ObjectReply& reply, TimePoint now) {
  if (reply.call != kWriteCall) return;
  m_in_flight = false;
  if (m_own.OnReply(reply.status)) m_sent_at = TimePoint();
  if (reply.status == ObjectStatus::kOk) {
    m_written_change = m_sent_change;
    if (m_rewrite_sent) m_rewrite = false;
    m_notify_at = TimePoint();
    m_notify_count = 0;
    m_write_due_at = now;
  }
}

void CrashExchange::RemoveExpiredObject(TimePoint now, WallTime wall,
                                        std::vector<Action>* out) {
  if (now < m_next_removal_at) return;
  for (const auto& [name, stored] : m_objects) {
    if (stored.expires + kExpiredObjectRetention > wall) continue;
    m_next_removal_at = now + kRemovalInterval;
    out->emplace_back(DeleteObject{
        kRemovalCall, fmt::format("{}/{}", kKind, name), stored.revision});
    return;
  }
}

}  // namespace clementine

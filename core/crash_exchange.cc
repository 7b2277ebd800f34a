// A server that ends leaves marks of all its requests at once, nearly all of
// them innocent ones that soon complete elsewhere. Writing what came within a
// short time together keeps the writes to some for each daemon and crash.

#include "core/crash_exchange.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "core/doubled_pause.h"
#include "core/quarantine.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using std::chrono::seconds;

/// Connections of one server break within some ten milliseconds.
constexpr milliseconds kGatherTime{150};
/// Nobody is harmed while it isn't known that a suspect is innocent, unless it
/// is suspected twice more meanwhile.
constexpr milliseconds kAcquittalTime{2'000};
constexpr milliseconds kWriteInterval{500};
/// A write without a reply is repeated after this time; one that is carried out
/// late writes what is known anyway.
constexpr milliseconds kReplyTime{1'200};
/// The platform answers within milliseconds. Marks have to be known everywhere
/// within three seconds, so others are told soon when it doesn't.
constexpr milliseconds kTellAfter{400};
/// Repeated for daemons that start meanwhile, doubled each time.
constexpr milliseconds kTellInterval{1'000};
constexpr milliseconds kLongestTellInterval{30'000};
/// Expired objects are kept so long, in case clocks differ.
constexpr seconds kCleanAfter{60};
constexpr milliseconds kCleanInterval{1'000};
/// Longest name of a mark: a digest, the name of a group, numbers.
constexpr std::size_t kMostNameBytes = 256;

/// Marks the replies of writes; calls of other parts count up from 1.
constexpr CallId kWriteCall = ~CallId{0} - 1;
constexpr CallId kCleanCall = ~CallId{0} - 2;

std::vector<QuarantineLearned> Learn(const std::vector<CrashMark>& marks,
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
  while (!rest.empty() && marks.size() < CrashExchange::kMostMarks) {
    std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    std::uint32_t expires = 0;
    auto [stop, error] =
        std::from_chars(line.data(), line.data() + line.size(), expires);
    line.remove_prefix(static_cast<std::size_t>(stop - line.data()));
    if (error != std::errc() || line.size() < 2 || line.front() != ' ' ||
        line.size() > kMostNameBytes) {
      continue;
    }
    line.remove_prefix(1);
    marks.push_back({std::string(line), WallTime(seconds(expires))});
  }
  return marks;
}

// ---------------------------------------------------------------------------
// What is known.

void CrashExchange::Share(const ShareQuarantine& share, TimePoint now,
                          WallTime wall) {
  if (share.digest.size() >= kMostNameBytes ||
      share.digest.find('\n') != std::string::npos) {
    return;
  }
  bool acquits = IsAcquittal(share.digest);
  if (acquits) {
    // Nobody needs either of the two if the mark wasn't written yet.
    auto mark = m_marks.find(AcquittedMark(share.digest));
    if (mark != m_marks.end() && mark->second.change > m_sent) {
      m_marks.erase(mark);
      return;
    }
  }
  MakeRoom();
  bool idle = !pending();
  m_marks[share.digest] = {wall + share.remaining, ++m_changes};
  TimePoint due = now + (acquits ? kAcquittalTime : kGatherTime);
  m_due = idle ? due : std::min(m_due, due);
  if (m_told > 0 && !acquits) {
    m_told = 0;
    m_tell_at = std::min(m_tell_at, now + kTellAfter);
  }
}

std::vector<QuarantineLearned> CrashExchange::Objects(
    const std::vector<Object>& objects, WallTime wall) {
  if (!m_read) m_own.SetExists(false);
  m_read = true;
  std::vector<QuarantineLearned> learned;
  for (const Object& object : objects) {
    if (object.name == m_node) m_own.SetExists(!object.deleted);
    if (object.deleted) {
      m_objects.erase(object.name);
      continue;
    }
    std::vector<CrashMark> marks = DecodeCrashMarks(object.value);
    Other& other = m_objects[object.name];
    other.revision = object.revision;
    other.expires = WallTime();
    for (const CrashMark& mark : marks) {
      other.expires = std::max(other.expires, mark.expires);
      bool own = object.name == m_node && mark.expires > wall;
      if (own && m_marks.size() < kMostMarks) {
        m_marks.emplace(mark.name, Mark{mark.expires, 0});
      }
    }
    for (QuarantineLearned& entry : Learn(marks, wall)) {
      learned.push_back(std::move(entry));
    }
  }
  return learned;
}

std::vector<QuarantineLearned> CrashExchange::Told(const std::string& text,
                                                   WallTime wall) {
  return Learn(DecodeCrashMarks(text), wall);
}

void CrashExchange::Expire(WallTime wall) {
  std::erase_if(m_marks, [wall](const auto& entry) {
    return entry.second.expires <= wall;
  });
}

void CrashExchange::MakeRoom() {
  if (m_marks.size() < kMostMarks) return;
  m_marks.erase(std::min_element(m_marks.begin(), m_marks.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.expires < b.second.expires;
                                 }));
}

bool CrashExchange::pending() const {
  return m_changes != m_written &&
         std::any_of(m_marks.begin(), m_marks.end(), [this](const auto& entry) {
           return entry.second.change > m_written;
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
// Telling it.

std::vector<CrashExchange::Action> CrashExchange::Advance(TimePoint now,
                                                          WallTime wall,
                                                          bool cleans) {
  std::vector<Action> actions;
  Expire(wall);
  if (pending() && now >= m_due) Write(now, &actions);
  if (cleans) Clean(now, wall, &actions);
  return actions;
}

void CrashExchange::Write(TimePoint now, std::vector<Action>* out) {
  if (m_tell_at == TimePoint()) m_tell_at = now + kTellAfter;
  if (now >= m_tell_at) {
    m_tell_at =
        now + ExponentialBackoff(kTellInterval, kLongestTellInterval, m_told++);
    out->emplace_back(TellDaemons{Encode()});
  }
  // Writing before would overwrite what an earlier life wrote.
  if (!m_read) return;
  if (now - m_sent_at < (m_waiting ? kReplyTime : kWriteInterval)) return;
  m_sent_at = now;
  m_sent = m_changes;
  m_waiting = true;
  out->emplace_back(PutObject{kWriteCall, fmt::format("{}/{}", kKind, m_node),
                              Encode(), m_own.if_version()});
}

void CrashExchange::Replied(const ObjectReply& reply, TimePoint now) {
  if (reply.call != kWriteCall) return;
  m_waiting = false;
  if (m_own.Replied(reply.status)) m_sent_at = TimePoint();
  if (reply.status == ObjectStatus::kOk) {
    m_written = m_sent;
    m_tell_at = TimePoint();
    m_told = 0;
    m_due = now;
  }
}

void CrashExchange::Clean(TimePoint now, WallTime wall,
                          std::vector<Action>* out) {
  if (now < m_next_clean) return;
  for (const auto& [name, other] : m_objects) {
    if (other.expires + kCleanAfter > wall) continue;
    m_next_clean = now + kCleanInterval;
    out->emplace_back(DeleteObject{
        kCleanCall, fmt::format("{}/{}", kKind, name), other.revision});
    return;
  }
}

}  // namespace clementine

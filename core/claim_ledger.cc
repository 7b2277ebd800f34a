// One object per organisation and key. The claim is a conditional write that
// names the claim's id; a lost reply is settled by reading the object back and
// comparing the id. The outcome is written over the claim at its version.
//
//   (none) --claim--> running --answer------> done
//                       |------not known----> unknown
//                       '------not run------> released --claim--> running
//
// Only the process that made a claim can know that it wasn't dispatched. It
// releases such a claim by writing `released`, or, when the claim's own write
// may still be on its way, by writing `released` first at the version on which
// that write depends, so that it fails. A claim whose owner is gone stays
// `running`; after the time by which the owner would have recorded the outcome
// it's answered as unknown. It's never run again within the retention period.

#include "core/claim_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "core/doubled_pause.h"
#include "fmt/format.h"

namespace clementine {

namespace {

constexpr int kMaxTries = 4;
constexpr milliseconds kFirstPause{20};
constexpr milliseconds kLongestPause{5'000};
constexpr std::size_t kMaxBody = 16'384;
constexpr std::size_t kMaxEntries = 4096;
constexpr std::size_t kMaxBodyBytes = 4'194'304;
// About 150 bytes each. Claims beyond this are left for a call with the same
// key, which may replace them after the retention period.
constexpr std::size_t kMaxRetired = 16'384;
constexpr int kDeletesPerStep = 4;
constexpr milliseconds kMinRetryAfter{1'000};
constexpr milliseconds kMaxRetryAfter{2'000};
constexpr int kConflictStatus = 409;
constexpr int kGoneStatus = 410;
constexpr int kReusedStatus = 422;
constexpr int kBadGatewayStatus = 502;
constexpr int kUnavailableStatus = 503;

const char* StateName(ClaimState state) {
  switch (state) {
    case ClaimState::kRunning:
      return "running";
    case ClaimState::kDone:
      return "done";
    case ClaimState::kUnknown:
      return "unknown";
    case ClaimState::kReleased:
      return "released";
  }
  return "unknown";
}

std::optional<ClaimState> StateOf(const std::string& name) {
  for (ClaimState state : {ClaimState::kRunning, ClaimState::kDone,
                           ClaimState::kUnknown, ClaimState::kReleased}) {
    if (name == StateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

std::string ToHex(const std::string& bytes) {
  std::string hex;
  for (char c : bytes) {
    hex += fmt::format("{:02x}", static_cast<unsigned char>(c));
  }
  return hex;
}

std::string FromHex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes.push_back(
        static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

}  // namespace

std::string EncodeClaim(const ClaimRecord& record) {
  nlohmann::json json = {{"id", record.id},
                         {"content", record.content},
                         {"state", StateName(record.state)},
                         {"claimed_at", record.claimed_at},
                         {"ends_by", record.ends_by}};
  if (record.state == ClaimState::kDone) {
    json["status"] = record.status;
    json["omitted"] = record.body_omitted;
    json["body"] = record.body;
  }
  try {
    return JsonText(json);
  } catch (const nlohmann::json::type_error&) {
    // JSON strings hold only UTF-8.
    json.erase("body");
    json["body_hex"] = ToHex(record.body);
    return JsonText(json);
  }
}

std::optional<ClaimRecord> DecodeClaim(const std::string& text) {
  try {
    nlohmann::json json = ParseJson(text);
    ClaimRecord record;
    std::optional<ClaimState> state =
        StateOf(json.at("state").get<std::string>());
    if (!state) {
      return std::nullopt;
    }
    record.state = *state;
    record.id = json.at("id").get<std::string>();
    record.content = json.at("content").get<std::string>();
    record.claimed_at = json.at("claimed_at").get<std::int64_t>();
    record.ends_by = json.at("ends_by").get<std::int64_t>();
    if (record.state == ClaimState::kDone) {
      record.status = json.at("status").get<int>();
      record.body_omitted = json.at("omitted").get<bool>();
      record.body = json.contains("body_hex")
                        ? FromHex(json["body_hex"].get<std::string>())
                        : json.at("body").get<std::string>();
    }
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string ClaimKey(const Request& request) {
  return "claim/" + TextDigest(request.organisation) + "/" +
         TextDigest(request.idempotency_key);
}

ClaimLedger::ClaimLedger(Options options)
    : m_options(std::move(options)), m_random(m_options.seed) {}

bool ClaimLedger::HasRoom() const {
  return m_entries.size() < kMaxEntries && m_body_bytes < kMaxBodyBytes;
}

void ClaimLedger::SetWall(std::chrono::system_clock::time_point wall,
                          TimePoint now) {
  m_wall_offset =
      std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()) -
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

std::int64_t ClaimLedger::WallMs(TimePoint now) const {
  if (!m_wall_offset) {
    return 0;
  }
  return (std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) +
          *m_wall_offset)
      .count();
}

bool ClaimLedger::Expired(const ClaimRecord& record, TimePoint now) const {
  return m_wall_offset && record.claimed_at > 0 &&
         WallMs(now) - record.claimed_at >
             std::chrono::duration_cast<milliseconds>(m_options.retention)
                 .count();
}

void ClaimLedger::Claim(const Request& request, TimePoint ends_by,
                        TimePoint now, Actions* actions) {
  Entry entry;
  entry.number = ++m_last;
  entry.request = request.id;
  entry.key = ClaimKey(request);
  // The time keeps ids apart even if a restart didn't raise the incarnation.
  entry.record.id =
      fmt::format("{}/{}/{}-{:x}", m_options.node, m_options.incarnation,
                  entry.number, now.time_since_epoch().count());
  entry.record.content = request.content_digest;
  if (m_wall_offset) {
    entry.record.claimed_at = WallMs(now);
    entry.record.ends_by = WallMs(ends_by);
  }
  m_by_request[request.id] = entry.number;
  Write(&(m_entries[entry.number] = std::move(entry)), 0, actions);
}

void ClaimLedger::Settle(RequestId request, ClaimState state, int status,
                         const std::string& body, TimePoint now,
                         Actions* actions) {
  auto found = m_by_request.find(request);
  if (found == m_by_request.end()) {
    return;
  }
  Entry& entry = m_entries[found->second];
  m_by_request.erase(found);
  entry.record.state = state;
  entry.record.status = status;
  entry.record.body_omitted = body.size() > kMaxBody;
  entry.record.body = entry.record.body_omitted ? "" : body;
  m_body_bytes += entry.record.body.size();
  entry.claiming = false;
  entry.tries = 0;
  if (entry.held) {
    entry.held = false;
    Write(&entry, entry.version, actions);
  } else if (entry.call == Call::kNone) {
    Later(&entry, Call::kGet, now);
  }
}

std::optional<ClaimLedger::Result> ClaimLedger::OnReply(
    const ObjectReply& reply, TimePoint now, Actions* actions) {
  auto found = m_by_call.find(reply.call);
  if (found == m_by_call.end()) {
    return std::nullopt;
  }
  Entry* entry = &m_entries[found->second];
  m_by_call.erase(found);
  Call call = entry->call;
  entry->call = Call::kNone;
  entry->call_id = 0;
  return call == Call::kPut ? OnPut(entry, reply, now, actions)
                            : OnGet(entry, reply, now, actions);
}

std::optional<ClaimLedger::Result> ClaimLedger::OnPut(Entry* entry,
                                                      const ObjectReply& reply,
                                                      TimePoint now,
                                                      Actions* actions) {
  if (reply.status == ObjectStatus::kUnknown) {
    entry->ambiguous = true;
    if (!m_options.claim_first && entry->claiming) {
      return Won(entry, 1);
    }
  }
  if (reply.status == ObjectStatus::kConflict) {
    return OnCurrent(entry, reply, now, actions);
  }
  if (entry->claiming) {
    return OnClaimPut(entry, reply, now, actions);
  }
  OnRecordPut(entry, reply, now, actions);
  return std::nullopt;
}

std::optional<ClaimLedger::Result> ClaimLedger::OnClaimPut(
    Entry* entry, const ObjectReply& reply, TimePoint now, Actions* actions) {
  if (reply.status == ObjectStatus::kOk) {
    return Won(entry, reply.version);
  }
  if (reply.status == ObjectStatus::kUnavailable && !entry->ambiguous) {
    Result result = GiveUp(entry, now);
    Erase(entry);
    return result;
  }
  if (reply.status == ObjectStatus::kNotFound && entry->tries < kMaxTries) {
    // The object that was to be replaced has been deleted.
    ++entry->tries;
    Write(entry, 0, actions);
    return std::nullopt;
  }
  return ReadBack(entry, now);
}

void ClaimLedger::OnRecordPut(Entry* entry, const ObjectReply& reply,
                              TimePoint now, Actions* actions) {
  switch (reply.status) {
    case ObjectStatus::kOk:
      if (entry->sent == entry->record.state) {
        Retire(entry, reply.version, now);
      } else {
        Write(entry, reply.version, actions);
      }
      return;
    case ObjectStatus::kNotFound:
      Write(entry, 0, actions);
      return;
    case ObjectStatus::kUnavailable:
      if (entry->sent == ClaimState::kRunning && !entry->ambiguous) {
        Erase(entry);  // Given up, and its claim was never written.
        return;
      }
      Later(entry, entry->ambiguous ? Call::kGet : Call::kPut, now);
      return;
    case ObjectStatus::kConflict:
    case ObjectStatus::kUnknown:
      Later(entry, Call::kGet, now);
      return;
  }
}

std::optional<ClaimLedger::Result> ClaimLedger::OnGet(Entry* entry,
                                                      const ObjectReply& reply,
                                                      TimePoint now,
                                                      Actions* actions) {
  if (reply.status == ObjectStatus::kOk) {
    return OnCurrent(entry, reply, now, actions);
  }
  if (reply.status == ObjectStatus::kNotFound) {
    // Writing again settles it: whichever write comes second fails.
    if (!entry->claiming || entry->tries < kMaxTries) {
      ++entry->tries;
      Write(entry, 0, actions);
      return std::nullopt;
    }
  }
  if (entry->claiming) {
    return ReadBack(entry, now);
  }
  Later(entry, Call::kGet, now);
  return std::nullopt;
}

std::optional<ClaimLedger::Result> ClaimLedger::OnCurrent(
    Entry* entry, const ObjectReply& reply, TimePoint now, Actions* actions) {
  std::optional<ClaimRecord> record = DecodeClaim(reply.value);
  bool own = record && record->id == entry->record.id;
  if (entry->claiming) {
    if (own) {
      return Won(entry, reply.version);
    }
    return Judge(entry, reply, now, actions);
  }
  if (!own) {
    OnOthers(entry, record, reply.version, actions);
  } else if (record->state == entry->record.state) {
    Retire(entry, reply.version, now);
  } else {
    Write(entry, reply.version, actions);
  }
  return std::nullopt;
}

void ClaimLedger::OnOthers(Entry* entry,
                           const std::optional<ClaimRecord>& record,
                           std::uint64_t version, Actions* actions) {
  // A given-up claim over a released one may still be on its way; it fails
  // once the version that it depends on is gone.
  if (entry->ambiguous && record && record->state == ClaimState::kReleased &&
      entry->record.state == ClaimState::kReleased &&
      version == entry->version) {
    Write(entry, version, actions);
    return;
  }
  if (entry->record.state != ClaimState::kReleased) {
    actions->push_back(LogDecision{
        "claim_superseded",
        {{"key", entry->key}, {"state", StateName(entry->record.state)}}});
  }
  Erase(entry);
}

ClaimLedger::Result ClaimLedger::Won(Entry* entry, std::uint64_t version) {
  entry->claiming = false;
  entry->held = true;
  entry->version = version;
  entry->ambiguous = false;
  Result result;
  result.request = entry->request;
  result.won = true;
  return result;
}

void ClaimLedger::Retire(Entry* entry, std::uint64_t version, TimePoint now) {
  if (m_retired.size() >= kMaxRetired) {
    m_retired.pop_front();
  }
  m_retired.push_back({entry->key, version, now + m_options.retention});
  Erase(entry);
}

std::optional<ClaimLedger::Result> ClaimLedger::Judge(Entry* entry,
                                                      const ObjectReply& reply,
                                                      TimePoint now,
                                                      Actions* actions) {
  std::optional<ClaimRecord> record = DecodeClaim(reply.value);
  Result result;
  result.request = entry->request;
  if (record && Expired(*record, now)) {
    record->state = ClaimState::kReleased;
  } else if (record && record->content != entry->record.content &&
             m_options.check_content) {
    result.refuse = {entry->request, RefusalReason::kKeyReused,
                     Outcome::kNotRun, kReusedStatus, milliseconds(0)};
    Erase(entry);
    return result;
  } else if (record && record->state == ClaimState::kRunning) {
    const Entry* own = FindOwn(record->id);
    if (own != nullptr && !own->claiming && !own->held) {
      record = own->record;  // Settled here, not yet written.
    } else if (own == nullptr && OwnEarlierLife(record->id)) {
      record->state = ClaimState::kUnknown;
    }
  }
  if (record && record->state == ClaimState::kReleased &&
      entry->tries < kMaxTries) {
    ++entry->tries;
    Write(entry, reply.version, actions);
    return std::nullopt;
  }
  if (!record) {
    // Not readable; what it stands for may have run.
    record.emplace();
    record->state = ClaimState::kUnknown;
  }
  result = FromRecord(*entry, *record, now);
  // A claim that may still be on its way depends on a version that is gone,
  // unless the object is the released one that it was to replace.
  if (entry->ambiguous && reply.version == entry->version) {
    GiveUp(entry, now);
  } else {
    Erase(entry);
  }
  return result;
}

ClaimLedger::Result ClaimLedger::FromRecord(const Entry& entry,
                                            const ClaimRecord& record,
                                            TimePoint now) const {
  Result result;
  result.request = entry.request;
  switch (record.state) {
    case ClaimState::kRunning:
      return StillRunning(entry, record, now);
    case ClaimState::kReleased:
      result.refuse = {entry.request, RefusalReason::kStillRunning,
                       Outcome::kNotRun, kConflictStatus, kMinRetryAfter};
      return result;
    case ClaimState::kDone:
      if (!record.body_omitted) {
        result.replay = Replay{entry.request, record.status, record.body};
        return result;
      }
      result.refuse = {entry.request, RefusalReason::kOutcomeUnknown,
                       Outcome::kComplete, kGoneStatus, milliseconds(0)};
      return result;
    case ClaimState::kUnknown:
      break;
  }
  result.refuse = {entry.request, RefusalReason::kOutcomeUnknown,
                   Outcome::kUnknown, kBadGatewayStatus, milliseconds(0)};
  return result;
}

ClaimLedger::Result ClaimLedger::StillRunning(const Entry& entry,
                                              const ClaimRecord& record,
                                              TimePoint now) const {
  Result result;
  result.request = entry.request;
  std::int64_t left = record.ends_by - WallMs(now);
  if (m_wall_offset && record.ends_by > 0 && left < 0) {
    result.refuse = {entry.request, RefusalReason::kOutcomeUnknown,
                     Outcome::kUnknown, kBadGatewayStatus, milliseconds(0)};
  } else {
    result.refuse = {
        entry.request, RefusalReason::kStillRunning, Outcome::kUnknown,
        kConflictStatus,
        std::clamp(milliseconds(left), kMinRetryAfter, kMaxRetryAfter)};
  }
  return result;
}

ClaimLedger::Entry* ClaimLedger::FindOwn(const std::string& id) {
  std::string prefix =
      fmt::format("{}/{}/", m_options.node, m_options.incarnation);
  if (id.compare(0, prefix.size(), prefix) != 0) {
    return nullptr;
  }
  auto found =
      m_entries.find(std::strtoull(id.c_str() + prefix.size(), nullptr, 10));
  return found == m_entries.end() || found->second.record.id != id
             ? nullptr
             : &found->second;
}

bool ClaimLedger::OwnEarlierLife(const std::string& id) const {
  std::string prefix = m_options.node + "/";
  return id.compare(0, prefix.size(), prefix) == 0 &&
         std::strtoull(id.c_str() + prefix.size(), nullptr, 10) <
             m_options.incarnation;
}

std::optional<ClaimLedger::Result> ClaimLedger::ReadBack(Entry* entry,
                                                         TimePoint now) {
  if (++entry->tries > kMaxTries) {
    return GiveUp(entry, now);
  }
  Later(entry, Call::kGet, now);
  return std::nullopt;
}

ClaimLedger::Result ClaimLedger::GiveUp(Entry* entry, TimePoint now) {
  Result result;
  result.request = entry->request;
  result.refuse = {entry->request, RefusalReason::kPlatformDown,
                   Outcome::kNotRun, kUnavailableStatus, kMinRetryAfter};
  m_by_request.erase(entry->request);
  entry->claiming = false;
  entry->record.state = ClaimState::kReleased;
  entry->tries = 0;
  Later(entry, Call::kGet, now);
  return result;
}

void ClaimLedger::Write(Entry* entry, std::uint64_t version, Actions* actions) {
  entry->version = version;
  entry->sent = entry->record.state;
  Send(entry, Call::kPut, actions);
}

void ClaimLedger::Send(Entry* entry, Call call, Actions* actions) {
  entry->call = call;
  entry->call_id = ++m_last_call;
  m_by_call[entry->call_id] = entry->number;
  if (call == Call::kPut) {
    actions->push_back(PutObject{entry->call_id, entry->key,
                                 EncodeClaim(entry->record), entry->version});
  } else {
    actions->push_back(GetObject{entry->call_id, entry->key});
  }
}

void ClaimLedger::Later(Entry* entry, Call call, TimePoint now) {
  milliseconds pause =
      ExponentialBackoff(kFirstPause, kLongestPause, entry->tries);
  // Between half and all of the pause, so that daemons don't return together.
  pause -= milliseconds(static_cast<std::int64_t>(m_random() % 1000) *
                        pause.count() / 2000);
  entry->tries += entry->claiming ? 0 : 1;
  entry->call = call;
  entry->call_id = 0;
  entry->due = now + pause;
  m_due.emplace(entry->due, entry->number);
}

void ClaimLedger::Erase(Entry* entry) {
  m_body_bytes -= entry->record.body.size();
  m_due.erase({entry->due, entry->number});
  m_by_request.erase(entry->request);
  m_by_call.erase(entry->call_id);
  m_entries.erase(entry->number);
}

std::optional<TimePoint> ClaimLedger::NextDue() const {
  return m_due.empty() ? std::nullopt
                       : std::optional<TimePoint>(m_due.begin()->first);
}

void ClaimLedger::Advance(TimePoint now, Actions* actions) {
  while (!m_due.empty() && m_due.begin()->first <= now) {
    Entry& entry = m_entries[m_due.begin()->second];
    m_due.erase(m_due.begin());
    if (entry.call == Call::kPut) {
      Write(&entry, entry.version, actions);
    } else {
      Send(&entry, Call::kGet, actions);
    }
  }
  for (int i = 0; i < kDeletesPerStep && !m_retired.empty() &&
                  m_retired.front().expires <= now;
       ++i) {
    actions->push_back(DeleteObject{++m_last_call, m_retired.front().key,
                                    m_retired.front().version});
    m_retired.pop_front();
  }
}

}  // namespace clementine

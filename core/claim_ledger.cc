// There is one object per organisation and idempotency key. A claim is a
// conditional write of a record with the claim's id. If the reply is lost, the
// object is read back and the ids are compared. The outcome replaces the claim,
// on condition of the version of the claim.
//
//   (none) --claim--> running --response----> done
//                       |------not known----> unknown
//                       '------not run------> released --claim--> running
//
// Only the process that made a claim can know that the request was not
// dispatched. It then writes `released`. If the write of the claim itself is
// still outstanding, `released` is written on condition of the same version, so
// that the outstanding write fails if it arrives later. A claim whose owner has
// died stays `running`. After the time at which the owner would have recorded
// the outcome, requests with this key are answered with outcome unknown. The
// request does not run again within the retention period.

#include "core/claim_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "core/exponential_backoff.h"
#include "core/store_era.h"
#include "fmt/format.h"

namespace clementine {

namespace {

constexpr int kMaxAttempts = 4;
constexpr milliseconds kInitialRetryDelay{20};
constexpr milliseconds kMaxRetryDelay{5'000};
constexpr std::size_t kMaxRecordedBodyBytes = 16'384;
constexpr std::size_t kMaxEntries = 4096;
constexpr std::size_t kMaxTotalBodyBytes = 4'194'304;
/// Bounds the memory of scheduled deletions; an entry takes about 150 bytes.
/// Claims above this limit are not deleted; a
/// request with the same key may replace them after the retention period.
constexpr std::size_t kMaxScheduledDeletions = 16'384;
constexpr int kMaxDeletesPerAdvance = 4;
/// Claims are kept in memory for longer than the age of a copy from which a
/// store is restored, which is some seconds. The bounds limit the memory.
constexpr milliseconds kKnownClaimRetention{60'000};
constexpr std::size_t kMaxKnownClaims = 4096;
constexpr std::size_t kMaxKnownBodyBytes = 4'194'304;
/// Reads of an object that holds a running claim of another call, while a claim
/// is written again.
constexpr int kMaxRewriteAttempts = 12;
constexpr milliseconds kMinRetryAfter{1'000};
constexpr milliseconds kMaxRetryAfter{2'000};
constexpr int kConflictStatus = 409;
constexpr int kGoneStatus = 410;
constexpr int kKeyReusedStatus = 422;
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

std::optional<ClaimState> ParseState(const std::string& name) {
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
    // JSON strings must be valid UTF-8, so other bodies are encoded as hex.
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
        ParseState(json.at("state").get<std::string>());
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
  return m_entries.size() < kMaxEntries && m_body_bytes < kMaxTotalBodyBytes;
}

void ClaimLedger::SetWallClock(std::chrono::system_clock::time_point wall_clock,
                               TimePoint now) {
  m_wall_offset =
      std::chrono::duration_cast<milliseconds>(wall_clock.time_since_epoch()) -
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

std::int64_t ClaimLedger::ToWallClockMs(TimePoint now) const {
  if (!m_wall_offset) {
    return 0;
  }
  return (std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) +
          *m_wall_offset)
      .count();
}

bool ClaimLedger::IsExpired(const ClaimRecord& record, TimePoint now) const {
  return m_wall_offset && record.claimed_at > 0 &&
         ToWallClockMs(now) - record.claimed_at >
             std::chrono::duration_cast<milliseconds>(m_options.retention)
                 .count();
}

void ClaimLedger::Claim(const Request& request, TimePoint ends_by,
                        TimePoint now, Actions* actions) {
  Entry entry;
  entry.number = ++m_last_number;
  entry.request = request.id;
  entry.key = ClaimKey(request);
  // The time makes ids unique even if a restart did not raise the incarnation.
  entry.record.id =
      fmt::format("{}/{}/{}-{:x}", m_options.node, m_options.incarnation,
                  entry.number, now.time_since_epoch().count());
  entry.record.content = request.content_digest;
  if (m_wall_offset) {
    entry.record.claimed_at = ToWallClockMs(now);
    entry.record.ends_by = ToWallClockMs(ends_by);
  }
  m_by_request[request.id] = entry.number;
  Entry& stored = m_entries[entry.number] = std::move(entry);
  if (MayLackClaims(now)) {
    SendCall(&stored, Call::kGet, actions);
  } else {
    WriteRecord(&stored, 0, actions);
  }
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
  entry.record.body_omitted = body.size() > kMaxRecordedBodyBytes;
  entry.record.body = entry.record.body_omitted ? "" : body;
  m_body_bytes += entry.record.body.size();
  entry.claiming = false;
  entry.attempts = 0;
  if (entry.held && entry.call == Call::kNone) {
    entry.held = false;
    WriteRecord(&entry, entry.version, actions);
  } else if (entry.held) {
    // The claim is being written again after a restore of the store; the
    // outcome follows that write.
    entry.held = false;
  } else if (entry.call == Call::kNone) {
    ScheduleCall(&entry, Call::kGet, now);
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
      return OnAcquired(entry, 1);
    }
  }
  if (reply.status == ObjectStatus::kConflict && m_restored &&
      !entry->claiming && reply.version == 0) {
    // The restored store may lack the object.
    ScheduleCall(entry, Call::kGet, now);
    return std::nullopt;
  }
  if (reply.status == ObjectStatus::kConflict) {
    return OnStoredObject(entry, reply, now, actions);
  }
  if (entry->claiming) {
    return OnClaimPut(entry, reply, now, actions);
  }
  if (entry->held) {
    OnHeldPut(entry, reply, now, actions);
    return std::nullopt;
  }
  OnRecordPut(entry, reply, now, actions);
  return std::nullopt;
}

std::optional<ClaimLedger::Result> ClaimLedger::OnClaimPut(
    Entry* entry, const ObjectReply& reply, TimePoint now, Actions* actions) {
  if (reply.status == ObjectStatus::kOk && entry->unverified) {
    // Granted in a store that may lack an earlier claim. The result is final
    // for the caller; the claim is released.
    Result result = ResolveUnverified(entry, now);
    Abandon(entry, now);
    return result;
  }
  if (reply.status == ObjectStatus::kOk) {
    return OnAcquired(entry, reply.version);
  }
  if (reply.status == ObjectStatus::kUnavailable && !entry->ambiguous) {
    Result result = Abandon(entry, now);
    Erase(entry);
    return result;
  }
  if (reply.status == ObjectStatus::kNotFound &&
      entry->attempts < kMaxAttempts) {
    // The object to be replaced has been deleted.
    ++entry->attempts;
    WriteRecord(entry, 0, actions);
    return std::nullopt;
  }
  return ScheduleReadBack(entry, now);
}

// The claim of a running request was written again after a restore.
void ClaimLedger::OnHeldPut(Entry* entry, const ObjectReply& reply,
                            TimePoint now, Actions* actions) {
  if (reply.status == ObjectStatus::kOk) {
    entry->version = reply.version;
  } else if (reply.status == ObjectStatus::kNotFound) {
    WriteRecord(entry, 0, actions);
  } else {
    ScheduleCall(entry, Call::kGet, now);
  }
}

void ClaimLedger::OnRecordPut(Entry* entry, const ObjectReply& reply,
                              TimePoint now, Actions* actions) {
  switch (reply.status) {
    case ObjectStatus::kOk:
      if (entry->sent_state == entry->record.state) {
        ScheduleDeletion(entry, reply.version, now);
      } else {
        WriteRecord(entry, reply.version, actions);
      }
      return;
    case ObjectStatus::kNotFound:
      WriteRecord(entry, 0, actions);
      return;
    case ObjectStatus::kUnavailable:
      if (entry->record.state == ClaimState::kReleased &&
          entry->sent_state == ClaimState::kRunning && !entry->ambiguous) {
        Erase(entry);  // Abandoned, and the claim was never written.
        return;
      }
      ScheduleCall(entry, entry->ambiguous ? Call::kGet : Call::kPut, now);
      return;
    case ObjectStatus::kConflict:
    case ObjectStatus::kUnknown:
      ScheduleCall(entry, Call::kGet, now);
      return;
  }
}

std::optional<ClaimLedger::Result> ClaimLedger::OnGet(Entry* entry,
                                                      const ObjectReply& reply,
                                                      TimePoint now,
                                                      Actions* actions) {
  if (reply.status == ObjectStatus::kOk) {
    return OnStoredObject(entry, reply, now, actions);
  }
  if (reply.status == ObjectStatus::kNotFound && entry->claiming &&
      (MayLackClaims(now) || entry->unverified)) {
    Result result = ResolveUnverified(entry, now);
    if (entry->ambiguous) {
      Abandon(entry, now);
    } else {
      Erase(entry);
    }
    return result;
  }
  if (reply.status == ObjectStatus::kNotFound) {
    // Repeating the write is safe: whichever write arrives second fails.
    if (!entry->claiming || entry->attempts < kMaxAttempts) {
      ++entry->attempts;
      WriteRecord(entry, 0, actions);
      return std::nullopt;
    }
  }
  if (entry->claiming) {
    return ScheduleReadBack(entry, now);
  }
  ScheduleCall(entry, Call::kGet, now);
  return std::nullopt;
}

std::optional<ClaimLedger::Result> ClaimLedger::OnStoredObject(
    Entry* entry, const ObjectReply& reply, TimePoint now, Actions* actions) {
  std::optional<ClaimRecord> record = DecodeClaim(reply.value);
  bool own = record && record->id == entry->record.id;
  if (entry->claiming) {
    if (own && entry->unverified) {
      Result result = ResolveUnverified(entry, now);
      Abandon(entry, now);
      return result;
    }
    if (own) {
      return OnAcquired(entry, reply.version);
    }
    return ResolveAgainst(entry, reply, now, actions);
  }
  if (own && entry->held) {
    entry->version = reply.version;
    return std::nullopt;
  }
  if (entry->seen_only) {
    Erase(entry);  // The claim, or a later one, is stored.
    return std::nullopt;
  }
  if (!own && m_restored && entry->record.state != ClaimState::kReleased &&
      record && record->state != ClaimState::kDone &&
      record->state != ClaimState::kUnknown &&
      entry->attempts < kMaxRewriteAttempts) {
    // While the store may lack claims, other daemons only release claims.
    if (record->state == ClaimState::kReleased) {
      ++entry->attempts;
      WriteRecord(entry, reply.version, actions);
    } else {
      ScheduleCall(entry, Call::kGet, now);
    }
    return std::nullopt;
  }
  if (!own) {
    if (entry->held) return std::nullopt;
    OnOtherClaim(entry, record, reply.version, actions);
  } else if (record->state == entry->record.state) {
    ScheduleDeletion(entry, reply.version, now);
  } else {
    WriteRecord(entry, reply.version, actions);
  }
  return std::nullopt;
}

void ClaimLedger::OnOtherClaim(Entry* entry,
                               const std::optional<ClaimRecord>& record,
                               std::uint64_t version, Actions* actions) {
  // The write of an abandoned claim that replaces a released one may still be
  // outstanding. It fails once the version that it requires is replaced.
  if (entry->ambiguous && record && record->state == ClaimState::kReleased &&
      entry->record.state == ClaimState::kReleased &&
      version == entry->version) {
    WriteRecord(entry, version, actions);
    return;
  }
  if (entry->record.state != ClaimState::kReleased) {
    actions->push_back(LogDecision{
        "claim_superseded",
        {{"key", entry->key}, {"state", StateName(entry->record.state)}}});
  }
  Erase(entry);
}

ClaimLedger::Result ClaimLedger::OnAcquired(Entry* entry,
                                            std::uint64_t version) {
  entry->claiming = false;
  entry->held = true;
  entry->version = version;
  entry->ambiguous = false;
  Result result;
  result.request = entry->request;
  result.acquired = true;
  return result;
}

void ClaimLedger::ScheduleDeletion(Entry* entry, std::uint64_t version,
                                   TimePoint now) {
  if (m_deletions.size() >= kMaxScheduledDeletions) {
    m_deletions.pop_front();
  }
  m_deletions.push_back({entry->key, version, now + m_options.retention});
  if (entry->record.state != ClaimState::kReleased) {
    Remember(entry->key, entry->record, !entry->seen_only, now);
  }
  Erase(entry);
}

std::optional<ClaimLedger::Result> ClaimLedger::ResolveAgainst(
    Entry* entry, const ObjectReply& reply, TimePoint now, Actions* actions) {
  std::optional<ClaimRecord> record = DecodeClaim(reply.value);
  Result result;
  result.request = entry->request;
  if (record && IsExpired(*record, now)) {
    record->state = ClaimState::kReleased;
  } else if (record && record->content != entry->record.content &&
             m_options.check_content) {
    result.refuse = {entry->request, RefusalReason::kKeyReused,
                     Outcome::kNotRun, kKeyReusedStatus, milliseconds(0)};
    Erase(entry);
    return result;
  } else if (record && record->state == ClaimState::kRunning) {
    const Entry* own = FindOwnEntry(record->id);
    if (own != nullptr && !own->claiming && !own->held) {
      record = own->record;  // The outcome is known here but not yet written.
    } else if (own == nullptr && IsFromEarlierIncarnation(record->id)) {
      record->state = ClaimState::kUnknown;
    }
  }
  bool released = record && record->state == ClaimState::kReleased;
  if (released && (MayLackClaims(now) || entry->unverified)) {
    result = ResolveUnverified(entry, now);
    if (entry->ambiguous) {
      Abandon(entry, now);
    } else {
      Erase(entry);
    }
    return result;
  }
  if (record && !released) Remember(entry->key, *record, false, now);
  if (released && entry->attempts < kMaxAttempts) {
    ++entry->attempts;
    WriteRecord(entry, reply.version, actions);
    return std::nullopt;
  }
  if (!record) {
    // The object is damaged; the request that it belongs to may have run.
    record.emplace();
    record->state = ClaimState::kUnknown;
  }
  result = ResultFromRecord(*entry, *record, now);
  // An outstanding write of this claim fails because the version that it
  // requires was replaced, unless the stored object still has that version.
  if (entry->ambiguous && reply.version == entry->version) {
    Abandon(entry, now);
  } else {
    Erase(entry);
  }
  return result;
}

ClaimLedger::Result ClaimLedger::ResultFromRecord(const Entry& entry,
                                                  const ClaimRecord& record,
                                                  TimePoint now) const {
  Result result;
  result.request = entry.request;
  switch (record.state) {
    case ClaimState::kRunning:
      return RunningResult(entry, record, now);
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

ClaimLedger::Result ClaimLedger::RunningResult(const Entry& entry,
                                               const ClaimRecord& record,
                                               TimePoint now) const {
  Result result;
  result.request = entry.request;
  std::int64_t remaining_ms = record.ends_by - ToWallClockMs(now);
  if (m_wall_offset && record.ends_by > 0 && remaining_ms < 0) {
    result.refuse = {entry.request, RefusalReason::kOutcomeUnknown,
                     Outcome::kUnknown, kBadGatewayStatus, milliseconds(0)};
  } else {
    result.refuse = {
        entry.request, RefusalReason::kStillRunning, Outcome::kUnknown,
        kConflictStatus,
        std::clamp(milliseconds(remaining_ms), kMinRetryAfter, kMaxRetryAfter)};
  }
  return result;
}

ClaimLedger::Entry* ClaimLedger::FindOwnEntry(const std::string& id) {
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

bool ClaimLedger::IsFromEarlierIncarnation(const std::string& id) const {
  std::string prefix = m_options.node + "/";
  return id.compare(0, prefix.size(), prefix) == 0 &&
         std::strtoull(id.c_str() + prefix.size(), nullptr, 10) <
             m_options.incarnation;
}

std::optional<ClaimLedger::Result> ClaimLedger::ScheduleReadBack(
    Entry* entry, TimePoint now) {
  if (++entry->attempts > kMaxAttempts) {
    return Abandon(entry, now);
  }
  ScheduleCall(entry, Call::kGet, now);
  return std::nullopt;
}

ClaimLedger::Result ClaimLedger::Abandon(Entry* entry, TimePoint now) {
  Result result;
  result.request = entry->request;
  result.refuse = {entry->request, RefusalReason::kPlatformDown,
                   Outcome::kNotRun, kUnavailableStatus, kMinRetryAfter};
  m_by_request.erase(entry->request);
  entry->claiming = false;
  entry->record.state = ClaimState::kReleased;
  entry->attempts = 0;
  ScheduleCall(entry, Call::kGet, now);
  return result;
}

void ClaimLedger::WriteRecord(Entry* entry, std::uint64_t version,
                              Actions* actions) {
  entry->version = version;
  entry->sent_state = entry->record.state;
  SendCall(entry, Call::kPut, actions);
}

void ClaimLedger::SendCall(Entry* entry, Call call, Actions* actions) {
  entry->call = call;
  entry->call_id = ++m_last_call_id;
  m_by_call[entry->call_id] = entry->number;
  if (call == Call::kPut) {
    actions->push_back(PutObject{entry->call_id, entry->key,
                                 EncodeClaim(entry->record), entry->version});
  } else {
    actions->push_back(GetObject{entry->call_id, entry->key});
  }
}

void ClaimLedger::ScheduleCall(Entry* entry, Call call, TimePoint now) {
  milliseconds delay =
      ExponentialBackoff(kInitialRetryDelay, kMaxRetryDelay, entry->attempts);
  // Random between half of the delay and the full delay, so that daemons do not
  // retry at the same time.
  delay -= milliseconds(static_cast<std::int64_t>(m_random() % 1000) *
                        delay.count() / 2000);
  entry->attempts += entry->claiming ? 0 : 1;
  entry->call = call;
  entry->call_id = 0;
  entry->due_at = now + delay;
  m_due.emplace(entry->due_at, entry->number);
}

void ClaimLedger::Erase(Entry* entry) {
  m_body_bytes -= entry->record.body.size();
  m_due.erase({entry->due_at, entry->number});
  m_by_request.erase(entry->request);
  m_by_call.erase(entry->call_id);
  m_entries.erase(entry->number);
}

// ---------------------------------------------------------------------------
// Restored store.

void ClaimLedger::Remember(const std::string& key, const ClaimRecord& record,
                           bool own, TimePoint now) {
  ForgetOldClaims(now);
  KnownClaim known{key, record, now, own};
  if (known.record.body.size() + m_known_bytes > kMaxKnownBodyBytes) {
    known.record.body.clear();
    known.record.body_omitted = known.record.state == ClaimState::kDone;
  }
  m_known_bytes += known.record.body.size();
  m_known.push_back(std::move(known));
}

void ClaimLedger::ForgetOldClaims(TimePoint now) {
  while (!m_known.empty() &&
         (m_known.size() >= kMaxKnownClaims ||
          now - m_known.front().known_at > kKnownClaimRetention)) {
    m_known_bytes -= m_known.front().record.body.size();
    m_known.pop_front();
  }
}

const ClaimLedger::KnownClaim* ClaimLedger::FindKnown(
    const std::string& key) const {
  auto found =
      std::find_if(m_known.rbegin(), m_known.rend(),
                   [&](const KnownClaim& known) { return known.key == key; });
  return found == m_known.rend() ? nullptr : &*found;
}

void ClaimLedger::WriteAgain(const KnownClaim& known, Actions* actions) {
  Entry entry;
  entry.number = ++m_last_number;
  entry.key = known.key;
  entry.record = known.record;
  entry.claiming = false;
  entry.seen_only = !known.own;
  m_body_bytes += entry.record.body.size();
  WriteRecord(&(m_entries[entry.number] = std::move(entry)), 0, actions);
}

void ClaimLedger::OnStoreRestored(TimePoint now, Actions* actions) {
  m_restored = true;
  m_unverified_until = now + kUnverifiedClaimDuration;
  for (auto& [number, entry] : m_entries) {
    if (entry.claiming && entry.call == Call::kPut && entry.call_id != 0) {
      entry.unverified = true;
    } else if (entry.held && entry.call == Call::kNone) {
      // The store may lack the claim of a request that is running.
      WriteRecord(&entry, 0, actions);
    }
  }
  ForgetOldClaims(now);
  std::deque<KnownClaim> known = m_known;
  std::set<std::string> written;
  for (auto claim = known.rbegin(); claim != known.rend(); ++claim) {
    if (written.insert(claim->key).second) WriteAgain(*claim, actions);
  }
  if (!known.empty()) {
    actions->push_back(LogDecision{
        "claims_written_again", {{"claims", std::to_string(written.size())}}});
  }
}

ClaimLedger::Result ClaimLedger::ResolveUnverified(Entry* entry,
                                                   TimePoint now) {
  const KnownClaim* known = FindKnown(entry->key);
  Result result;
  result.request = entry->request;
  if (known != nullptr && known->record.content != entry->record.content &&
      m_options.check_content) {
    result.refuse = {entry->request, RefusalReason::kKeyReused,
                     Outcome::kNotRun, kKeyReusedStatus, milliseconds(0)};
    return result;
  }
  if (known != nullptr) return ResultFromRecord(*entry, known->record, now);
  // Another call with this key may have run in the time that the copy lacks.
  milliseconds wait =
      std::max(kMinRetryAfter,
               std::chrono::ceil<milliseconds>(m_unverified_until - now));
  result.refuse = {entry->request, RefusalReason::kOutcomeUnknown,
                   Outcome::kUnknown, kBadGatewayStatus, wait};
  return result;
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
      WriteRecord(&entry, entry.version, actions);
    } else {
      SendCall(&entry, Call::kGet, actions);
    }
  }
  for (int i = 0; i < kMaxDeletesPerAdvance && !m_deletions.empty() &&
                  m_deletions.front().expires_at <= now;
       ++i) {
    actions->push_back(DeleteObject{++m_last_call_id, m_deletions.front().key,
                                    m_deletions.front().version});
    m_deletions.pop_front();
  }
}

}  // namespace clementine

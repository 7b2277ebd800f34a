// Claims for non-idempotent requests, which ensure that a request runs at most
// once per idempotency key.
#ifndef CORE_CLAIM_LEDGER_H_
#define CORE_CLAIM_LEDGER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/core.h"

namespace clementine {

/// State of a claim as stored in the platform.
enum class ClaimState {
  kRunning,   ///< Claimed. The request may have been dispatched.
  kDone,      ///< The request completed and its response is recorded.
  kUnknown,   ///< The request was dispatched; whether it ran is unknown.
  kReleased,  ///< The request has not run. The key may be claimed again.
};

/// Content of a claim object.
struct ClaimRecord {
  std::string id;       ///< Node, incarnation, number and time of the claim.
  std::string content;  ///< Digest of the request's content.
  ClaimState state = ClaimState::kRunning;
  int status = 0;
  std::string body;
  bool body_omitted = false;  ///< The body exceeded the size limit.
  /// Unix time in milliseconds; 0 when the writer had no wall clock time.
  std::int64_t claimed_at = 0;
  /// Latest time at which the owner records the outcome, as `claimed_at`.
  std::int64_t ends_by = 0;
};

std::string EncodeClaim(const ClaimRecord& record);
/// @return Nothing if the text is not a valid claim.
std::optional<ClaimRecord> DecodeClaim(const std::string& text);

/// Returns the key of the claim object of a request.
std::string ClaimKey(const Request& request);

/// Acquires claims, records their outcomes and deletes them after the retention
/// period. Invariant: a claim is reported as acquired only after the platform
/// stores it with its own id.
class ClaimLedger {
 public:
  using Actions = std::vector<RequestAction>;

  struct Options {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 1;
    std::chrono::seconds retention{86'400};
    /// Test hook: false treats an unknown write outcome as an acquired claim.
    bool claim_first = true;
    /// Test hook: false accepts a key that was reused with other content.
    bool check_content = true;
  };

  /// Result of a claim. If it was not acquired, either `replay` or `refuse` is
  /// the final response to the caller.
  struct Result {
    RequestId request = 0;
    bool acquired = false;
    std::optional<Replay> replay;
    Refuse refuse;
  };

  explicit ClaimLedger(Options options);

  /// False when the limit of open claims or of their body bytes is reached.
  bool HasRoom() const;

  /// Starts a claim.
  /// @param ends_by Latest time at which the outcome of the request is known.
  void Claim(const Request& request, TimePoint ends_by, TimePoint now,
             Actions* actions);

  /// Records the outcome of an acquired claim, or abandons a claim that has not
  /// been acquired yet. The latter requires state kReleased.
  void Settle(RequestId request, ClaimState state, int status,
              const std::string& body, TimePoint now, Actions* actions);

  /// Handles a platform reply. Ignores replies to calls of other components.
  std::optional<Result> OnReply(const ObjectReply& reply, TimePoint now,
                                Actions* actions);

  /// The store was restored from a copy, or this daemon has started and doesn't
  /// know when it was. Writes all claims that this daemon holds or has seen
  /// again. For kUnverifiedClaimDuration it grants no claim, because the copy
  /// may lack the claim of an earlier call: a request whose claim is neither
  /// stored nor known here is refused with outcome unknown.
  void OnStoreRestored(TimePoint now, Actions* actions);

  /// Sends calls that are due and deletes claims past their retention period.
  void Advance(TimePoint now, Actions* actions);

  void SetWallClock(std::chrono::system_clock::time_point wall_clock,
                    TimePoint now);

  /// Returns the earliest time at which Advance sends a scheduled call.
  std::optional<TimePoint> NextDue() const;

  std::size_t open() const { return m_entries.size(); }

 private:
  enum class Call { kNone, kPut, kGet };
  using ClaimNumber = std::uint64_t;  ///< Part of the claim's id.

  struct Entry {
    ClaimNumber number = 0;
    RequestId request = 0;
    std::string key;
    ClaimRecord record;      ///< Target content of the object.
    bool claiming = true;    ///< The request waits for the claim.
    bool held = false;       ///< Acquired; the request is in progress.
    bool ambiguous = false;  ///< A write may still take effect.
    /// The store was restored after the write in flight was sent.
    bool unverified = false;
    bool seen_only = false;     ///< Claim of another daemon, written again.
    std::uint64_t version = 0;  ///< Version that the next write requires.
    ClaimState sent_state = ClaimState::kRunning;  ///< State in the last write.
    int attempts = 0;
    Call call = Call::kNone;  ///< Outstanding call, or call due at `due_at`.
    CallId call_id = 0;       ///< 0 when no call is outstanding.
    TimePoint due_at;
  };
  /// A claim that this daemon made or has seen.
  struct KnownClaim {
    std::string key;
    ClaimRecord record;
    TimePoint known_at;
    bool own = false;
  };
  struct PendingDeletion {
    std::string key;
    std::uint64_t version = 0;
    TimePoint expires_at;
  };

  std::int64_t ToWallClockMs(TimePoint now) const;
  bool IsExpired(const ClaimRecord& record, TimePoint now) const;
  void SendCall(Entry* entry, Call call, Actions* actions);
  void ScheduleCall(Entry* entry, Call call, TimePoint now);
  std::optional<Result> OnPut(Entry* entry, const ObjectReply& reply,
                              TimePoint now, Actions* actions);
  std::optional<Result> OnGet(Entry* entry, const ObjectReply& reply,
                              TimePoint now, Actions* actions);
  std::optional<Result> OnClaimPut(Entry* entry, const ObjectReply& reply,
                                   TimePoint now, Actions* actions);
  void OnHeldPut(Entry* entry, const ObjectReply& reply, TimePoint now,
                 Actions* actions);
  void OnRecordPut(Entry* entry, const ObjectReply& reply, TimePoint now,
                   Actions* actions);
  /// Handles a reply with the stored version and value. A value that can't be
  /// decoded, or is missing in a reply to a conflicting write, counts as the
  /// claim of another request.
  std::optional<Result> OnStoredObject(Entry* entry, const ObjectReply& reply,
                                       TimePoint now, Actions* actions);
  /// Ends an entry whose request no longer waits for the claim, after the
  /// object was found to hold the claim of another request.
  void OnOtherClaim(Entry* entry, const std::optional<ClaimRecord>& record,
                    std::uint64_t version, Actions* actions);
  Result OnAcquired(Entry* entry, std::uint64_t version);
  /// Keeps a claim in memory for longer than the age of a copy.
  void Remember(const std::string& key, const ClaimRecord& record, bool own,
                TimePoint now);
  void ForgetOldClaims(TimePoint now);
  const KnownClaim* FindKnown(const std::string& key) const;
  /// Writes a claim again that the restored store may lack.
  void WriteAgain(const KnownClaim& known, Actions* actions);
  /// Ends a request whose claim is not stored within the time in which the
  /// store may lack claims: from the known claim, or as unknown.
  Result ResolveUnverified(Entry* entry, TimePoint now);
  bool MayLackClaims(TimePoint now) const { return now < m_unverified_until; }
  void ScheduleDeletion(Entry* entry, std::uint64_t version, TimePoint now);
  /// Writes the entry's record on condition of the given version.
  void WriteRecord(Entry* entry, std::uint64_t version, Actions* actions);
  /// Derives the result from the claim of another request with the same key, or
  /// replaces that claim if it is released or expired.
  std::optional<Result> ResolveAgainst(Entry* entry, const ObjectReply& reply,
                                       TimePoint now, Actions* actions);
  Result ResultFromRecord(const Entry& entry, const ClaimRecord& record,
                          TimePoint now) const;
  /// Refuses a request whose key is claimed by another call: as still running,
  /// or as kOutcomeUnknown after the time by which that call would have
  /// recorded its outcome.
  Result RunningResult(const Entry& entry, const ClaimRecord& record,
                       TimePoint now) const;
  /// Returns the entry of a claim id of this incarnation, or null.
  Entry* FindOwnEntry(const std::string& id);
  bool IsFromEarlierIncarnation(const std::string& id) const;
  /// Schedules a read of the object; abandons the claim after kMaxAttempts.
  std::optional<Result> ScheduleReadBack(Entry* entry, TimePoint now);
  Result Abandon(Entry* entry, TimePoint now);
  void Erase(Entry* entry);

  Options m_options;
  std::mt19937_64 m_random;
  ClaimNumber m_last_number = 0;
  CallId m_last_call_id = 0;
  std::optional<std::chrono::milliseconds> m_wall_offset;
  std::map<ClaimNumber, Entry> m_entries;
  std::unordered_map<RequestId, ClaimNumber> m_by_request;
  std::unordered_map<CallId, ClaimNumber> m_by_call;
  std::set<std::pair<TimePoint, ClaimNumber>> m_due;
  std::deque<PendingDeletion> m_deletions;
  std::deque<KnownClaim> m_known;  ///< In order of known_at.
  std::size_t m_known_bytes = 0;   ///< Of their bodies.
  TimePoint m_unverified_until;
  bool m_restored = false;
  std::size_t m_body_bytes = 0;
};

}  // namespace clementine

#endif  // CORE_CLAIM_LEDGER_H_

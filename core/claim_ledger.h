// Claims of non-idempotent requests: at most one run for each caller's key.
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
  kRunning,   ///< Claimed; may have been dispatched.
  kDone,      ///< Ran to completion; the answer is recorded.
  kUnknown,   ///< Dispatched; whether it ran isn't known.
  kReleased,  ///< Certainly not run; may be claimed again.
};

/// A claim object.
struct ClaimRecord {
  std::string id;       ///< Node, incarnation, number and time of the claim.
  std::string content;  ///< Digest of the request's content.
  ClaimState state = ClaimState::kRunning;
  int status = 0;
  std::string body;
  bool body_omitted = false;  ///< The body exceeded the bound.
  /// Milliseconds since the epoch; 0 when the writer had no wall clock.
  std::int64_t claimed_at = 0;
  std::int64_t ends_by = 0;  ///< The owner has recorded the outcome by then.
};

std::string EncodeClaim(const ClaimRecord& record);
/// @return Nothing when the text isn't a claim.
std::optional<ClaimRecord> DecodeClaim(const std::string& text);

/// Key of the claim object of a request.
std::string ClaimKey(const Request& request);

/// Makes, settles and retires claims. Invariant: a claim is reported as won
/// only after the platform holds it under its own id.
class ClaimLedger {
 public:
  using Actions = std::vector<RequestAction>;

  struct Options {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 1;
    std::chrono::seconds retention{86'400};
    bool claim_first = true;    ///< Test hook: false takes any answer as won.
    bool check_content = true;  ///< Test hook: false ignores other content.
  };

  /// What became of a claim. `won`, or a final answer for the caller.
  struct Result {
    RequestId request = 0;
    bool won = false;
    std::optional<Replay> replay;
    Refuse refuse;
  };

  explicit ClaimLedger(Options options);

  /// False when too many outcomes wait to be recorded.
  bool HasRoom() const;

  /// Starts a claim.
  /// @param ends_by When the request's outcome is settled at the latest.
  void Claim(const Request& request, TimePoint ends_by, TimePoint now,
             Actions* actions);

  /// Records the outcome of a won claim, or gives up one that isn't won yet:
  /// then the state must be kReleased.
  void Settle(RequestId request, ClaimState state, int status,
              const std::string& body, TimePoint now, Actions* actions);

  /// Handles a reply to one of its calls; others are ignored.
  std::optional<Result> OnReply(const ObjectReply& reply, TimePoint now,
                                Actions* actions);

  /// Repeats calls that are due and deletes claims past their retention.
  void Advance(TimePoint now, Actions* actions);

  void SetWall(std::chrono::system_clock::time_point wall, TimePoint now);

  /// Earliest time at which Advance has work.
  std::optional<TimePoint> NextDue() const;

  std::size_t open() const { return m_entries.size(); }

 private:
  enum class Call { kNone, kPut, kGet };
  using Number = std::uint64_t;  ///< Last part of a claim's id.

  struct Entry {
    Number number = 0;
    RequestId request = 0;
    std::string key;
    ClaimRecord record;         ///< Wanted content of the object.
    bool claiming = true;       ///< Not won yet, and the request waits for it.
    bool held = false;          ///< Won, and the request runs.
    bool ambiguous = false;     ///< A write may still take effect.
    std::uint64_t version = 0;  ///< Condition of the next write.
    ClaimState sent = ClaimState::kRunning;  ///< State in the last write.
    int tries = 0;
    Call call = Call::kNone;  ///< Outstanding, or due at `due`.
    CallId call_id = 0;       ///< 0 while none is outstanding.
    TimePoint due;
  };
  struct Retired {
    std::string key;
    std::uint64_t version = 0;
    TimePoint expires;
  };

  std::int64_t WallMs(TimePoint now) const;
  bool Expired(const ClaimRecord& record, TimePoint now) const;
  void Send(Entry* entry, Call call, Actions* actions);
  void Later(Entry* entry, Call call, TimePoint now);
  std::optional<Result> OnPut(Entry* entry, const ObjectReply& reply,
                              TimePoint now, Actions* actions);
  std::optional<Result> OnGet(Entry* entry, const ObjectReply& reply,
                              TimePoint now, Actions* actions);
  std::optional<Result> OnClaimPut(Entry* entry, const ObjectReply& reply,
                                   TimePoint now, Actions* actions);
  void OnRecordPut(Entry* entry, const ObjectReply& reply, TimePoint now,
                   Actions* actions);
  /// The object holds something; `reply` has its version and value.
  std::optional<Result> OnCurrent(Entry* entry, const ObjectReply& reply,
                                  TimePoint now, Actions* actions);
  void OnOthers(Entry* entry, const std::optional<ClaimRecord>& record,
                std::uint64_t version, Actions* actions);
  Result Won(Entry* entry, std::uint64_t version);
  void Retire(Entry* entry, std::uint64_t version, TimePoint now);
  /// Writes the entry's record over the given version.
  void Write(Entry* entry, std::uint64_t version, Actions* actions);
  /// Answers from another call's claim, or claims over it.
  std::optional<Result> Judge(Entry* entry, const ObjectReply& reply,
                              TimePoint now, Actions* actions);
  Result FromRecord(const Entry& entry, const ClaimRecord& record,
                    TimePoint now) const;
  Result StillRunning(const Entry& entry, const ClaimRecord& record,
                      TimePoint now) const;
  /// Own entry of a claim id of this incarnation, or null.
  Entry* FindOwn(const std::string& id);
  bool OwnEarlierLife(const std::string& id) const;
  /// Reads back after a pause, or refuses when that failed too often.
  std::optional<Result> ReadBack(Entry* entry, TimePoint now);
  Result GiveUp(Entry* entry, TimePoint now);
  void Erase(Entry* entry);

  Options m_options;
  std::mt19937_64 m_random;
  Number m_last = 0;
  CallId m_last_call = 0;
  std::optional<std::chrono::milliseconds> m_wall_offset;
  std::map<Number, Entry> m_entries;
  std::unordered_map<RequestId, Number> m_by_request;
  std::unordered_map<CallId, Number> m_by_call;
  std::set<std::pair<TimePoint, Number>> m_due;
  std::deque<Retired> m_retired;
  std::size_t m_body_bytes = 0;
};

}  // namespace clementine

#endif  // CORE_CLAIM_LEDGER_H_

// Limits the requests to backend servers that are cold. The daemons split the
// rate that a cold server tolerates without exchanging messages.
#ifndef CORE_COLD_LIMIT_H_
#define CORE_COLD_LIMIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/fleet.h"

namespace clementine {

/// Tokens of one daemon for one cold server. Holds at most one token, so that
/// at most 1 + rate * 1 s requests start within any second. A bucket starts
/// empty, because an earlier process of this daemon may just have used its own.
struct ColdBucket {
  double tokens = 0.0;
  TimePoint refilled_at;

  /// @param rate Tokens per second.
  double Available(double rate, TimePoint now) const;
  void Take(double rate, TimePoint now);
  /// @return When the next token is available; max() if never.
  TimePoint NextTokenAt(double rate, TimePoint now) const;
};

/// How a cold server's rate is divided.
struct ColdShare {
  int holders = 0;    ///< Daemons that may send to the server.
  double rate = 0.0;  ///< Requests per second of each holder.
};

/// Returns the division that lets the most requests per second through.
/// `kExtraHolders` further daemons with another view of the live daemons stay
/// within the allowance as well.
/// @param rate      Requests per second that a cold server tolerates.
/// @param allowance Requests that may reach it within any second.
/// @param daemons   Number of live daemons; 0 if unknown.
ColdShare DivideColdRate(double rate, double allowance, int daemons);

/// Tracks which servers are cold, and this daemon's share of each.
class ColdLimit {
 public:
  /// Daemons that consider themselves holders because their list of live
  /// daemons differs. A daemon that joins or leaves changes the holders of a
  /// given server by at most one; two changes at a time are provided for.
  static constexpr int kExtraHolders = 2;
  /// More holders let a request start at more daemons, but each needs a part of
  /// the allowance for its burst of one request.
  static constexpr int kMaxHolders = 5;

  struct Options {
    std::string node;
    double overshoot = 1.0;
    double tolerance = 0.0;
    /// Maximum time until this daemon sees a written entry.
    milliseconds list_delay{0};
  };
  /// How an entry became known.
  struct Source {
    bool is_change = false;  ///< It was written since the last one was seen.
    /// It may have been written long ago, because the platform was unreachable.
    bool is_stale = false;
    /// Wall clock time; the default value means unknown.
    std::chrono::system_clock::time_point wall{};
  };

  explicit ColdLimit(Options options) : m_options(std::move(options)) {}

  /// Sets the names of the live daemons, including this one; empty if unknown.
  /// A daemon that does not know them holds no share.
  void SetDaemons(const std::vector<std::string>& names);

  /// Records an entry. The server is cold for the entry's remaining time from
  /// the first time that the entry is seen, which is later than it was written.
  /// A stale entry of an unknown process is checked against its start time.
  /// @param duration See FleetService::cold_duration.
  void Observe(const BackendServer& server, milliseconds duration,
               const Source& source, TimePoint now);
  /// Forgets servers that are not listed.
  void Retain(const std::map<std::string, BackendServer>& servers);

  /// @param returned_at When the evacuation of its data centre was taken back.
  ///     The server then counts as cold until an entry that was certainly
  ///     written later shows otherwise, or until an entry must have shown it.
  /// @return When the server is warm; rounded up, so that successive entries
  ///     rarely change it. TimePoint() if it is warm now.
  TimePoint ColdUntil(const std::string& server, milliseconds duration,
                      std::optional<TimePoint> returned_at,
                      TimePoint now) const;
  /// @param rate See FleetService::cold_requests_per_second.
  /// @return Requests per second that this daemon may send to a cold server.
  double RateFor(const std::string& server, double rate) const;

 private:
  struct Record {
    std::int64_t incarnation = 0;
    milliseconds cold_for{0};  ///< As in the entry.
    TimePoint written_by;      ///< When the entry was first seen.
    TimePoint cold_until;
  };

  /// Whether this daemon is one of a number of holders.
  struct Held {
    int holders = 0;
    bool is_holder = false;
  };

  Options m_options;
  std::vector<std::string> m_daemons;
  std::map<std::string, Record> m_servers;
  /// By server. Needed for each cold server at each publication, and costs a
  /// hash of every daemon's name.
  mutable std::unordered_map<std::string, Held> m_held;
};

}  // namespace clementine

#endif  // CORE_COLD_LIMIT_H_

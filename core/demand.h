// Demand for each model: requests, refusals, and the time for which requests
// keep groups busy.
#ifndef CORE_DEMAND_H_
#define CORE_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/fleet.h"

namespace clementine {

/// Rates of one model's requests.
struct ModelDemand {
  double requests = 0.0;     ///< Per second; includes retries after refusals.
  double refused = 0.0;      ///< Per second.
  double busy_groups = 0.0;  ///< Groups that the requests would keep busy.

  /// Returns the estimated fraction of requests that are first attempts. Most
  /// refused callers retry once, which inflates the request rate of a model
  /// that is short of groups. If a fraction p of all attempts is refused and
  /// each refused first attempt is repeated once, 1 / (1 + p) of the attempts
  /// are first attempts.
  double FirstAttemptShare() const;
};

/// By "service/model".
using DemandByModel = std::map<std::string, ModelDemand>;

/// Totals since the start of one daemon.
struct DemandCount {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  double group_seconds = 0.0;
};
/// By "service/model".
using DemandCounts = std::map<std::string, DemandCount>;

/// Returns the time for which one request occupies a group that runs a full
/// batch.
/// @param prompt Tokens to read.
/// @param answer Tokens to write.
std::chrono::duration<double> GroupTimePerRequest(const EngineSpec& engine,
                                                  const EngineModel& model,
                                                  double prompt, double answer);

/// Turns totals into exponentially averaged rates that follow a change within
/// seconds.
class DemandRates {
 public:
  /// @param elapsed Since the last call.
  void Update(const DemandCounts& counts,
              std::chrono::duration<double> elapsed);
  /// Leaves the requests since the last call out of the rates.
  void Skip(const DemandCounts& counts) { m_last = counts; }
  const DemandByModel& rates() const { return m_rates; }

 private:
  DemandCounts m_last;
  DemandByModel m_rates;
};

/// Encodes rates as text for another daemon, without spaces; empty if there are
/// no rates.
std::string EncodeDemand(const DemandByModel& demand);
/// Decodes the text of EncodeDemand. Entries that cannot be parsed are omitted.
DemandByModel DecodeDemand(const std::string& text);

/// Adds the rates of `other`, multiplied by `factor`.
void AddScaledDemand(const DemandByModel& other, double factor,
                     DemandByModel* demand);

}  // namespace clementine

#endif  // CORE_DEMAND_H_

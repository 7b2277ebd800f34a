// What callers ask of each model: requests, refusals, and the time that the
// requests keep groups busy.
#ifndef CORE_DEMAND_H_
#define CORE_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/fleet.h"

namespace clementine {

/// Rates of one model's requests.
struct ModelDemand {
  double requests = 0.0;     ///< Per second, returns of refused ones included.
  double refused = 0.0;      ///< Per second.
  double busy_groups = 0.0;  ///< Groups that the requests would keep busy.

  /// Part of the requests that are first tries. Most callers that are refused
  /// come back once, so without this a model short of groups would seem to be
  /// asked more.
  double FirstTries() const;
};

/// By "service/model".
using DemandByModel = std::map<std::string, ModelDemand>;

/// Counts of one daemon's life so far, by "service/model".
struct DemandCount {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  double group_seconds = 0.0;
};
using DemandCounts = std::map<std::string, DemandCount>;

/// Time for which one request keeps a group busy that runs as many requests as
/// it can batch.
/// @param prompt Tokens to read.
/// @param answer Tokens to write.
std::chrono::duration<double> GroupTime(const EngineSpec& engine,
                                        const EngineModel& model, double prompt,
                                        double answer);

/// Turns counts into rates that follow changes within some seconds.
class DemandRates {
 public:
  /// @param elapsed Since the last call.
  void Update(const DemandCounts& counts,
              std::chrono::duration<double> elapsed);
  const DemandByModel& rates() const { return m_rates; }

 private:
  DemandCounts m_last;
  DemandByModel m_rates;
};

/// Text of rates for another daemon, without spaces; empty when there are none.
std::string EncodeDemand(const DemandByModel& demand);
/// Reads what EncodeDemand wrote. A part that can't be read is left out.
DemandByModel DecodeDemand(const std::string& text);

/// Adds `part` times the rates of `other`.
void AddDemand(const DemandByModel& other, double part, DemandByModel* demand);

}  // namespace clementine

#endif  // CORE_DEMAND_H_

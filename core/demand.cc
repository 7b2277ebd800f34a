// The group time of a request is computed from the engine's published times:
// the time to read the prompt, plus the request's share of the steps that write
// tokens for all requests of a full batch.

#include "core/demand.h"

#include <algorithm>
#include <cstdlib>

#include "core/split_text.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr double kThousand = 1'000.0;
constexpr double kMillion = 1'000'000.0;
/// Weight of the newest interval in the average. The average follows a burst
/// within a few intervals (NodeDirectory measures every 2 s) and smooths the
/// noise of single intervals.
constexpr double kNewestWeight = 0.5;

double Rate(double total, double last, std::chrono::duration<double> elapsed) {
  return std::max(0.0, total - last) / elapsed.count();
}

void UpdateAverage(double rate, bool first, double* average) {
  *average = first ? rate : *average + kNewestWeight * (rate - *average);
}

double TakeNumber(std::string* text, bool* valid) {
  std::string field = TakeUntilSeparator(text, ',');
  char* end = nullptr;
  double number = std::strtod(field.c_str(), &end);
  *valid = *valid && end != field.c_str() && *end == '\0' && number >= 0.0 &&
           number < kMillion;
  return number;
}

}  // namespace

double ModelDemand::FirstAttemptShare() const {
  return requests > 0.0 ? requests / (requests + refused) : 1.0;
}

std::chrono::duration<double> GroupTimePerRequest(const EngineSpec& engine,
                                                  const EngineModel& model,
                                                  double prompt,
                                                  double answer) {
  double batch = std::max(1, engine.max_running);
  double read_ms =
      prompt / std::max(1.0, engine.prompt_tokens_per_second) * kThousand +
      engine.prompt_ms_per_million_pairs * prompt * prompt / 2.0 / kMillion;
  double context = (prompt + answer / 2.0) / kThousand;
  double step_ms = engine.step_ms / batch + engine.step_ms_per_request +
                   engine.step_ms_per_1k_context * context;
  return std::chrono::duration<double>(
      model.time_factor * (read_ms + answer * step_ms) / kThousand);
}

void DemandRates::Update(const DemandCounts& counts,
                         std::chrono::duration<double> elapsed) {
  if (elapsed.count() <= 0.0) return;
  for (const auto& [model, count] : counts) {
    const DemandCount& last = m_last[model];
    auto [entry, first] = m_rates.try_emplace(model);
    ModelDemand& rate = entry->second;
    UpdateAverage(Rate(static_cast<double>(count.requests),
                       static_cast<double>(last.requests), elapsed),
                  first, &rate.requests);
    UpdateAverage(Rate(static_cast<double>(count.refused),
                       static_cast<double>(last.refused), elapsed),
                  first, &rate.refused);
    UpdateAverage(Rate(count.group_seconds, last.group_seconds, elapsed), first,
                  &rate.busy_groups);
  }
  m_last = counts;
}

std::string EncodeDemand(const DemandByModel& demand) {
  std::string text;
  for (const auto& [model, rate] : demand) {
    if (!text.empty()) text += ';';
    text += fmt::format("{}={:.2f},{:.2f},{:.3f}", model, rate.requests,
                        rate.refused, rate.busy_groups);
  }
  return text;
}

DemandByModel DecodeDemand(const std::string& text) {
  DemandByModel demand;
  std::string rest = text;
  while (!rest.empty()) {
    std::string entry = TakeUntilSeparator(&rest, ';');
    std::string model = TakeUntilSeparator(&entry, '=');
    bool valid = !model.empty();
    ModelDemand rate;
    rate.requests = TakeNumber(&entry, &valid);
    rate.refused = TakeNumber(&entry, &valid);
    rate.busy_groups = TakeNumber(&entry, &valid);
    if (valid) demand[model] = rate;
  }
  return demand;
}

void AddScaledDemand(const DemandByModel& other, double factor,
                     DemandByModel* demand) {
  for (const auto& [model, rate] : other) {
    ModelDemand& sum = (*demand)[model];
    sum.requests += factor * rate.requests;
    sum.refused += factor * rate.refused;
    sum.busy_groups += factor * rate.busy_groups;
  }
}

}  // namespace clementine

// The time of a request follows from the engine's published times: reading the
// prompt, and its part of the steps that write tokens for all requests of a
// full batch.

#include "core/demand.h"

#include <algorithm>
#include <cstdlib>

#include "core/text_part.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr double kThousand = 1'000.0;
constexpr double kMillion = 1'000'000.0;
/// Weight of the newest interval. Rates are taken every two seconds, so that a
/// burst of some seconds shows and the noise of single intervals doesn't.
constexpr double kNewest = 0.5;

double Rate(double now, double last, std::chrono::duration<double> elapsed) {
  return std::max(0.0, now - last) / elapsed.count();
}

void Blend(double rate, bool first, double* average) {
  *average = first ? rate : *average + kNewest * (rate - *average);
}

double TakeNumber(std::string* text, bool* sound) {
  std::string part = TakeUntilSeparator(text, ',');
  char* end = nullptr;
  double number = std::strtod(part.c_str(), &end);
  *sound = *sound && end != part.c_str() && *end == '\0' && number >= 0.0 &&
           number < kMillion;
  return number;
}

}  // namespace

double ModelDemand::FirstTries() const {
  return requests > 0.0 ? requests / (requests + refused) : 1.0;
}

std::chrono::duration<double> GroupTime(const EngineSpec& engine,
                                        const EngineModel& model, double prompt,
                                        double answer) {
  double batch = std::max(1, engine.max_running);
  double read_ms =
      prompt / std::max(1.0, engine.prompt_tokens_per_second) * kThousand +
      engine.pairs_ms * prompt * prompt / 2.0 / kMillion;
  double context = (prompt + answer / 2.0) / kThousand;
  double step_ms =
      engine.step_ms / batch + engine.request_ms + engine.context_ms * context;
  return std::chrono::duration<double>(
      model.pace * (read_ms + answer * step_ms) / kThousand);
}

void DemandRates::Update(const DemandCounts& counts,
                         std::chrono::duration<double> elapsed) {
  if (elapsed.count() <= 0.0) return;
  for (const auto& [model, count] : counts) {
    const DemandCount& last = m_last[model];
    auto [entry, first] = m_rates.try_emplace(model);
    ModelDemand& rate = entry->second;
    Blend(Rate(static_cast<double>(count.requests),
               static_cast<double>(last.requests), elapsed),
          first, &rate.requests);
    Blend(Rate(static_cast<double>(count.refused),
               static_cast<double>(last.refused), elapsed),
          first, &rate.refused);
    Blend(Rate(count.group_seconds, last.group_seconds, elapsed), first,
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
    bool sound = !model.empty();
    ModelDemand rate;
    rate.requests = TakeNumber(&entry, &sound);
    rate.refused = TakeNumber(&entry, &sound);
    rate.busy_groups = TakeNumber(&entry, &sound);
    if (sound) demand[model] = rate;
  }
  return demand;
}

void AddDemand(const DemandByModel& other, double part, DemandByModel* demand) {
  for (const auto& [model, rate] : other) {
    ModelDemand& sum = (*demand)[model];
    sum.requests += part * rate.requests;
    sum.refused += part * rate.refused;
    sum.busy_groups += part * rate.busy_groups;
  }
}

}  // namespace clementine

// Polls the status objects. A data centre that groups name but that reports no
// status counts as not reached: silence must not look like success.

#include <map>

#include "ctl/ctl.h"
#include "ctl/status_document.h"
#include "fmt/format.h"

namespace clementine::ctl {
namespace {

constexpr milliseconds kPollInterval{500};

std::string Describe(const std::string& data_centre,
                     const std::optional<StatusDocument>& status,
                     std::uint64_t generation) {
  if (!status) return fmt::format("{}: no status", Printable(data_centre));
  std::size_t live = 0;
  std::size_t reached = 0;
  for (const NodeStatus& node : status->nodes) {
    if (!node.live) continue;
    ++live;
    if (node.generation >= generation) ++reached;
  }
  return fmt::format("{}: generation {} in force, {} of {} nodes reached {}",
                     Printable(data_centre), GenerationInForce(*status),
                     reached, live, generation);
}

}  // namespace

int WaitInForce(std::uint64_t generation, const Configuration& configuration,
                std::chrono::milliseconds timeout, const Session& session) {
  TimePoint deadline = session.now() + timeout;
  std::map<std::string, std::string> shown;
  while (true) {
    std::map<std::string, std::optional<StatusDocument>> found;
    for (const auto& [name, group] : configuration.groups) {
      found[group.data_centre] = std::nullopt;
    }
    auto objects = session.list(kStatusPrefix);
    if (objects) {
      for (const auto& entry : objects->entries) {
        std::string name = entry.key.substr(sizeof(kStatusPrefix) - 1);
        if (entry.version > 0) found[name] = DecodeStatus(entry.value, name);
      }
    }
    bool everywhere = objects.has_value() && !found.empty();
    for (const auto& [name, status] : found) {
      everywhere = everywhere && status.has_value() &&
                   GenerationInForce(*status) >= generation;
      std::string line = objects ? Describe(name, status, generation)
                                 : Printable(name) + ": platform not reached";
      if (shown[name] != line) session.out(line);
      shown[name] = line;
    }
    if (everywhere) {
      session.out(
          fmt::format("generation {} is in force everywhere", generation));
      return kExitOk;
    }
    if (session.now() + kPollInterval >= deadline) break;
    session.sleep(kPollInterval);
  }
  session.error(fmt::format(
      "generation {} is accepted but wasn't in force everywhere in time",
      generation));
  return kExitTimedOut;
}

}  // namespace clementine::ctl

// Prints the status objects of all data centres, as text or as one JSON
// document.

#include <nlohmann/json.hpp>

#include "config/config.h"
#include "ctl/ctl.h"
#include "ctl/status_document.h"
#include "fmt/format.h"
#include "fmt/ranges.h"

namespace clementine::ctl {
namespace {

std::string Counts(const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", Printable(name),
                        count);
  }
  return text.empty() ? "none" : text;
}

void PrintGroup(const GroupStatus& group, const Session& session) {
  std::string reason =
      group.reason.empty() ? "" : fmt::format(" ({})", group.reason);
  session.out(Printable(fmt::format(
      "  group {}: {}{}, model {}, epoch {}, downtime {} ms, hosts {}",
      group.group, group.state.empty() ? "unknown" : group.state, reason,
      group.model, group.epoch, group.downtime_ms,
      group.hosts.empty() ? "none"
                          : fmt::format("{}", fmt::join(group.hosts, " ")))));
}

void PrintDataCentre(const StatusDocument& status, const Session& session) {
  session.out(fmt::format("data centre {}: generation {} in force",
                          Printable(status.data_centre),
                          GenerationInForce(status)));
  std::string holder =
      status.lease_holder.empty() ? "nobody" : status.lease_holder;
  session.out(fmt::format("  lease: {}, fencing token {}", Printable(holder),
                          status.lease_fence));
  for (const NodeStatus& node : status.nodes) {
    session.out(fmt::format("  node {}: generation {}{}", Printable(node.node),
                            node.generation, node.live ? "" : ", not live"));
  }
  for (const GroupStatus& group : status.groups) PrintGroup(group, session);
  session.out("  hosts: " + Counts(status.hosts));
  session.out(fmt::format(
      "  stranded accelerators: {} now, {:.0f} accelerator-seconds so far",
      status.stranded_accelerators, status.stranded_accelerator_seconds));
  session.out("  refused: " + Counts(status.refused));
  for (const std::string& reason : status.waiting_for) {
    session.out("  waiting for: " + Printable(reason));
  }
}

nlohmann::json HeadSummary(const ConfigHead& head) {
  return {{"generation", head.generation},
          {"author", head.author},
          {"apply_id", head.apply_id},
          {"sections", head.sections.size()}};
}

}  // namespace

int Status(bool json, const Session& session) {
  CurrentHead current;
  int code = ReadHead(session, &current);
  if (code != kExitOk) return code;
  auto objects = session.list(kStatusPrefix);
  if (!objects) {
    session.error("the platform can't be reached");
    return kExitUnavailable;
  }
  nlohmann::json all = {{"accepted", HeadSummary(current.head)},
                        {"data_centres", nlohmann::json::object()}};
  if (!json) session.out(FormatHead(current.head));
  for (const auto& entry : objects->entries) {
    if (entry.version == 0) continue;
    std::string name = entry.key.substr(sizeof(kStatusPrefix) - 1);
    auto status = DecodeStatus(entry.value, name);
    if (!status) {
      session.error(fmt::format("object {} is not a status document",
                                Printable(entry.key)));
      code = kExitDamaged;
    } else if (json) {
      all["data_centres"][name] = ParseJson(entry.value);
    } else {
      PrintDataCentre(*status, session);
    }
  }
  if (json) session.out(JsonText(all, 2));
  return code;
}

}  // namespace clementine::ctl

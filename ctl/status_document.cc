// Decoding tolerates what it doesn't know, because tool and daemons may be of
// different versions.

#include "ctl/status_document.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "config/config.h"

namespace clementine::ctl {
namespace {

using Json = nlohmann::json;

// Copies a member if it is there and has the type of the target.
template <typename Value>
void Read(const Json& json, const char* name, Value* target) {
  auto found = json.find(name);
  if (found == json.end()) return;
  try {
    *target = found->get<Value>();
  } catch (const Json::exception&) {
    // The target keeps its default.
  }
}

// Calls `read` for each object in a list member.
template <typename ReadItem>
void ReadList(const Json& json, const char* name, ReadItem read) {
  auto found = json.find(name);
  if (found == json.end() || !found->is_array()) return;
  for (const Json& item : *found) {
    if (item.is_object()) read(item);
  }
}

void ReadCounts(const Json& json, const char* name,
                std::map<std::string, std::uint64_t>* counts) {
  auto found = json.find(name);
  if (found == json.end() || !found->is_object()) return;
  for (const auto& [key, value] : found->items()) {
    if (value.is_number_unsigned()) (*counts)[key] = value;
  }
}

}  // namespace

std::optional<StatusDocument> DecodeStatus(const std::string& json,
                                           const std::string& data_centre) {
  Json document = TryParseJson(json);
  if (!document.is_object()) return std::nullopt;
  StatusDocument status;
  status.data_centre = data_centre;
  Read(document, "data_centre", &status.data_centre);
  if (document.contains("generation_min")) {
    std::uint64_t generation = 0;
    Read(document, "generation_min", &generation);
    status.generation_min = generation;
  }
  ReadList(document, "nodes", [&](const Json& item) {
    NodeStatus node;
    Read(item, "node", &node.node);
    Read(item, "generation", &node.generation);
    Read(item, "live", &node.live);
    status.nodes.push_back(std::move(node));
  });
  ReadList(document, "groups", [&](const Json& item) {
    GroupStatus group;
    Read(item, "group", &group.group);
    Read(item, "model", &group.model);
    Read(item, "state", &group.state);
    Read(item, "reason", &group.reason);
    Read(item, "hosts", &group.hosts);
    Read(item, "epoch", &group.epoch);
    Read(item, "downtime_ms", &group.downtime_ms);
    status.groups.push_back(std::move(group));
  });
  ReadCounts(document, "hosts", &status.hosts);
  Read(document, "stranded_accelerators", &status.stranded_accelerators);
  Read(document, "stranded_accelerator_seconds",
       &status.stranded_accelerator_seconds);
  ReadCounts(document, "refused", &status.refused);
  Read(document, "waiting_for", &status.waiting_for);
  auto lease = document.find("lease");
  if (lease != document.end() && lease->is_object()) {
    Read(*lease, "holder", &status.lease_holder);
    Read(*lease, "fence", &status.lease_fence);
  }
  return status;
}

std::uint64_t GenerationInForce(const StatusDocument& status) {
  if (status.generation_min) return *status.generation_min;
  std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
  bool any = false;
  for (const NodeStatus& node : status.nodes) {
    if (!node.live) continue;
    any = true;
    lowest = std::min(lowest, node.generation);
  }
  return any ? lowest : 0;
}

}  // namespace clementine::ctl

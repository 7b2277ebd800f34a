// JSON encoding of a placement. A damaged object is rejected completely, so
// that a reader keeps its last valid placement.

#include "core/placement_object.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "config/config.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr std::array<const char*, 3> kPhaseNames = {"loading", "serving",
                                                    "draining"};

GroupPhase ParsePhase(const std::string& name) {
  for (std::size_t i = 0; i < kPhaseNames.size(); ++i) {
    if (name == kPhaseNames[i]) {
      return static_cast<GroupPhase>(i);
    }
  }
  throw std::runtime_error(fmt::format("unknown group phase '{}'", name));
}

PlacedGroup ParseGroup(const nlohmann::json& json) {
  PlacedGroup group;
  group.spec = json.at("spec").get<std::string>();
  group.model = json.at("model").get<std::string>();
  group.version = json.at("version").get<std::string>();
  group.weights = json.at("weights").get<std::string>();
  json.at("adapters").get_to(group.adapters);
  group.fabric_domain = json.at("fabric_domain").get<std::string>();
  group.max_running = json.at("max_running").get<int>();
  group.epoch = json.at("epoch").get<std::uint64_t>();
  json.at("hosts").get_to(group.hosts);
  group.phase = ParsePhase(json.at("phase").get<std::string>());
  return group;
}

}  // namespace

const char* GroupPhaseName(GroupPhase phase) {
  return kPhaseNames[static_cast<std::size_t>(phase)];
}

std::uint64_t Placement::NextEpoch(const std::string& group) {
  std::uint64_t& epoch = epochs[group];
  epoch = std::max(epoch, min_epoch) + 1;
  return epoch;
}

std::set<std::string> Placement::TakenHosts() const {
  std::set<std::string> taken;
  for (const auto& [name, group] : groups) {
    taken.insert(group.hosts.begin(), group.hosts.end());
  }
  for (const auto& [host, from] : released) {
    taken.insert(host);
  }
  return taken;
}

std::vector<std::string> Placement::FindDuplicateHosts() const {
  std::map<std::string, int> uses;
  for (const auto& [name, group] : groups) {
    for (const auto& host : group.hosts) {
      ++uses[host];
    }
  }
  for (const auto& [host, from] : released) {
    ++uses[host];
  }
  std::vector<std::string> duplicate_hosts;
  for (const auto& [host, count] : uses) {
    if (count > 1) {
      duplicate_hosts.push_back(host);
    }
  }
  return duplicate_hosts;
}

std::string EncodePlacement(const Placement& placement) {
  nlohmann::json groups = nlohmann::json::object();
  for (const auto& [name, group] : placement.groups) {
    groups[name] = {{"spec", group.spec},
                    {"model", group.model},
                    {"version", group.version},
                    {"weights", group.weights},
                    {"adapters", group.adapters},
                    {"fabric_domain", group.fabric_domain},
                    {"max_running", group.max_running},
                    {"epoch", group.epoch},
                    {"hosts", group.hosts},
                    {"phase", GroupPhaseName(group.phase)}};
  }
  nlohmann::json released = nlohmann::json::object();
  for (const auto& [host, from] : placement.released) {
    released[host] = {{"group", from.group}, {"epoch", from.epoch}};
  }
  nlohmann::json json = {{"fence", placement.fence},
                         {"write_id", placement.write_id},
                         {"groups", std::move(groups)},
                         {"released", std::move(released)},
                         {"epochs", placement.epochs}};
  if (placement.min_epoch > 0) json["min_epoch"] = placement.min_epoch;
  return JsonText(json);
}

Placement DecodePlacement(const std::string& json) {
  try {
    nlohmann::json value = ParseJson(json);
    Placement placement;
    placement.fence = value.at("fence").get<std::uint64_t>();
    placement.write_id = value.at("write_id").get<std::string>();
    for (const auto& [name, group] : value.at("groups").items()) {
      placement.groups[name] = ParseGroup(group);
    }
    for (const auto& [host, from] : value.at("released").items()) {
      placement.released[host] = {from.at("group").get<std::string>(),
                                  from.at("epoch").get<std::uint64_t>()};
    }
    value.at("epochs").get_to(placement.epochs);
    placement.min_epoch = value.value("min_epoch", std::uint64_t{0});
    if (!placement.FindDuplicateHosts().empty()) {
      throw std::runtime_error(fmt::format("host {} is listed twice",
                                           placement.FindDuplicateHosts()[0]));
    }
    return placement;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(
        fmt::format("invalid placement: {}", error.what()));
  }
}

}  // namespace clementine

// The longest matching prefix of a path is found by removing segments from the
// right and looking up the rest in a hash map. The cost is proportional to the
// number of segments and does not depend on the number of routes.

#include "core/route_table.h"

#include <algorithm>
#include <cctype>

namespace clementine {
namespace {

/// Limit of requests in flight, and of queued requests, per organisation. The
/// fleet's configuration has no such limits, so the value is high enough never
/// to be reached; RequestPath divides capacity between organisations by weight.
constexpr int kMaxOrganisationRequests = 100'000;
/// Backend servers take priorities of 0 to 9. The distance lets them tell
/// neighbouring priorities of the configuration apart.
constexpr int kForwardedPriorityStep = 3;
constexpr int kMaxForwardedPriority = 9;

std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

const char kPublicOrganisation[] = "public";

RouteTable::RouteTable(FleetConfiguration configuration)
    : m_configuration(std::move(configuration)) {
  for (const RouteRule& route : m_configuration.routes) {
    m_hosts[route.host][route.path_prefix] = &route;
  }
  for (const FleetOrganisation& organisation : m_configuration.organisations) {
    for (const std::string& key : organisation.keys) {
      m_keys[key] = &organisation;
    }
  }
  for (const RouteRule& route : m_configuration.routes) {
    std::set<int> priorities = {route.priority};
    for (const FleetOrganisation& organisation :
         m_configuration.organisations) {
      if (!route.is_public && organisation.priority) {
        priorities.insert(*organisation.priority);
      }
    }
    for (const ServiceShare& share : route.shares) {
      m_priorities[share.service].insert(priorities.begin(), priorities.end());
    }
  }
}

std::optional<int> RouteTable::ForwardedPriority(const std::string& service,
                                                 int priority) const {
  auto found = m_priorities.find(service);
  if (found == m_priorities.end() || found->second.size() < 2) {
    return std::nullopt;
  }
  int level = std::clamp(priority, 0, kMaxForwardedPriority);
  return std::min(kMaxForwardedPriority, kForwardedPriorityStep * level);
}

RouteTable::Match RouteTable::Find(std::string_view host, std::string_view path,
                                   std::string_view key) const {
  Match match;
  auto prefixes = m_hosts.find(HostName(host));
  if (prefixes == m_hosts.end()) return match;
  std::string prefix(path.substr(0, path.rfind('/') + 1));
  while (!prefix.empty() && match.route == nullptr) {
    auto found = prefixes->second.find(prefix);
    if (found != prefixes->second.end()) match.route = found->second;
    prefix.pop_back();
    prefix.resize(prefix.rfind('/') + 1);
  }
  if (match.route == nullptr) return match;
  match.verdict = Verdict::kFound;
  match.priority = match.route->priority;
  if (match.route->is_public || m_configuration.organisations.empty()) {
    return match;
  }
  auto owner = m_keys.find(std::string(key));
  if (owner == m_keys.end()) {
    match.verdict = Verdict::kInvalidKey;
    return match;
  }
  match.organisation = owner->second->name;
  match.priority = owner->second->priority.value_or(match.priority);
  return match;
}

const std::string& RouteTable::PickService(const RouteRule& route,
                                           std::uint64_t random) {
  static const std::string none;
  if (route.shares.empty()) return none;
  double total = 0.0;
  for (const ServiceShare& share : route.shares) total += share.weight;
  // 53 bits give a uniform value in [0, 1).
  double offset = static_cast<double>(random >> 11) * 0x1.0p-53 * total;
  for (const ServiceShare& share : route.shares) {
    if (offset < share.weight) return share.service;
    offset -= share.weight;
  }
  return route.shares.back().service;
}

Configuration ToRequestPathConfiguration(const FleetConfiguration& fleet) {
  Configuration configuration;
  for (const auto& [name, service] : fleet.services) {
    if (!service.engine) {
      configuration.services[name].name = name;
      continue;
    }
    for (const EngineModel& model : service.engine->models) {
      std::string full_name = name + "/" + model.name;
      ModelSpec& spec = configuration.models[full_name];
      spec.name = full_name;
      spec.hosts_per_replica = model.hosts_per_group;
      spec.max_running = service.engine->max_running;
    }
  }
  auto add = [&](const std::string& name) {
    OrganisationSpec& spec = configuration.organisations[name];
    spec.name = name;
    spec.max_in_flight = kMaxOrganisationRequests;
    spec.max_queued = kMaxOrganisationRequests;
  };
  for (const FleetOrganisation& organisation : fleet.organisations) {
    add(organisation.name);
  }
  add(kPublicOrganisation);
  return configuration;
}

}  // namespace clementine

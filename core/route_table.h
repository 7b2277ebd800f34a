// Finds the route, organisation and service of a request.
#ifndef CORE_ROUTE_TABLE_H_
#define CORE_ROUTE_TABLE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/fleet.h"

namespace clementine {

/// Index of one configuration version. Immutable.
class RouteTable {
 public:
  enum class Verdict {
    kFound,
    kNoRoute,
    kInvalidKey  ///< The route needs an API key; it is missing or unknown.
  };
  struct Match {
    Verdict verdict = Verdict::kNoRoute;
    const RouteRule* route = nullptr;
    /// Empty for a public route, and if the configuration has no organisations;
    /// no API key is needed then.
    std::string organisation;
    int priority = 0;
  };

  explicit RouteTable(FleetConfiguration configuration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// @param host Value of the request's Host header.
  /// @param path Without the query.
  /// @param key  API key; empty if the request has none.
  Match Find(std::string_view host, std::string_view path,
             std::string_view key) const;

  /// Picks a service by weight.
  /// @param random Uniform over all 64-bit values.
  static const std::string& PickService(const RouteRule& route,
                                        std::uint64_t random);

  /// Value of the priority header for backend servers of a service: 0 to 9,
  /// where 0 is served first. Empty if all requests of the service have one
  /// priority, so that its servers see no difference.
  /// @param priority Of the request; 0 is the most urgent.
  std::optional<int> ForwardedPriority(const std::string& service,
                                       int priority) const;

  const FleetConfiguration& configuration() const { return m_configuration; }

 private:
  using Prefixes = std::unordered_map<std::string, const RouteRule*>;

  FleetConfiguration m_configuration;
  std::unordered_map<std::string, Prefixes> m_hosts;
  std::unordered_map<std::string, const FleetOrganisation*> m_keys;
  std::unordered_map<std::string, std::set<int>> m_priorities;  ///< By service.
};

/// Converts the configuration to the form that RequestPath takes. Models are
/// named
/// "<service>/<model>", because two services may serve models of the same name.
Configuration ToRequestPathConfiguration(const FleetConfiguration& fleet);

/// Organisation to which requests of public routes are attributed.
extern const char kPublicOrganisation[];

}  // namespace clementine

#endif  // CORE_ROUTE_TABLE_H_

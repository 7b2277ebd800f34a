// Which route, organisation and service a request belongs to.
#ifndef CORE_ROUTE_TABLE_H_
#define CORE_ROUTE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/fleet.h"

namespace clementine {

/// Index of one configuration version; immutable once built.
class RouteTable {
 public:
  enum class Verdict { kFound, kNoRoute, kNoKey };
  struct Match {
    Verdict verdict = Verdict::kNoRoute;
    const RouteRule* route = nullptr;
    std::string organisation;  ///< Empty for a route that is open to all.
    int priority = 0;
  };

  explicit RouteTable(FleetConfiguration configuration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// @param host Value of the request's Host header.
  /// @param path Without its query.
  /// @param key  API key; empty when the request has none.
  Match Find(std::string_view host, std::string_view path,
             std::string_view key) const;

  /// Picks a service by weight.
  /// @param random Uniform over all 64-bit values.
  static const std::string& PickService(const RouteRule& route,
                                        std::uint64_t random);

  const FleetConfiguration& configuration() const { return m_configuration; }

 private:
  using Prefixes = std::unordered_map<std::string, const RouteRule*>;

  FleetConfiguration m_configuration;
  std::unordered_map<std::string, Prefixes> m_hosts;
  std::unordered_map<std::string, const FleetOrganisation*> m_keys;
};

/// The configuration in the form that RequestPath takes. Models are named
/// "<service>/<model>", since two services may serve models of one name.
Configuration ToRequestPathConfiguration(const FleetConfiguration& fleet);

/// Organisation that requests of routes that are open to all are counted for.
extern const char kPublicOrganisation[];

}  // namespace clementine

#endif  // CORE_ROUTE_TABLE_H_

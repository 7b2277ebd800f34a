#include "core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace clementine {
namespace {

std::uint64_t Weight(const std::string& key, const std::string& node) {
  return XXH3_64bits_withSeed(node.data(), node.size(),
                              XXH3_64bits(key.data(), key.size()));
}

}  // namespace

std::vector<std::string> RankNodes(const std::string& key,
                                   const std::vector<std::string>& nodes,
                                   std::size_t count) {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(nodes.size());
  for (const std::string& node : nodes) {
    ranked.emplace_back(Weight(key, node), &node);
  }
  count = std::min(count, ranked.size());
  // Ties are broken by name, so that all daemons get the same order.
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
      ranked.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
      });
  std::vector<std::string> best;
  for (std::size_t i = 0; i < count; ++i) best.push_back(*ranked[i].second);
  return best;
}

bool IsAssigned(const std::string& node, const std::string& key,
                const std::vector<std::string>& nodes, std::size_t count) {
  std::uint64_t own = Weight(key, node);
  std::size_t better = 0;
  for (const std::string& other : nodes) {
    std::uint64_t weight = Weight(key, other);
    if (weight > own || (weight == own && other < node)) ++better;
  }
  return better < count;
}

}  // namespace clementine

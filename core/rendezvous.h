// Rendezvous hashing: every daemon computes the same assignment of keys to
// daemons without communication. When a daemon leaves, only the keys that were
// assigned to it move.
#ifndef CORE_RENDEZVOUS_H_
#define CORE_RENDEZVOUS_H_

#include <string>
#include <vector>

namespace clementine {

/// Returns the `count` nodes with the highest weight for a key, highest first.
/// @param key   What is assigned, such as "platform" or "probe HOST".
/// @param nodes Candidates in any order; all are returned if there are fewer
///              than `count`.
std::vector<std::string> RankNodes(const std::string& key,
                                   const std::vector<std::string>& nodes,
                                   std::size_t count);

/// Whether `node` is one of the `count` nodes with the highest weight for a
/// key.
bool IsAssigned(const std::string& node, const std::string& key,
                const std::vector<std::string>& nodes, std::size_t count);

}  // namespace clementine

#endif  // CORE_RENDEZVOUS_H_

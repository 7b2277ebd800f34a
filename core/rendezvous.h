// Rendezvous hashing: each daemon computes alone, and alike, which daemons have
// a duty. When a daemon leaves, only its own duties move.
#ifndef CORE_RENDEZVOUS_H_
#define CORE_RENDEZVOUS_H_

#include <string>
#include <vector>

namespace clementine {

/// Returns the `count` nodes with the highest weight for a duty, best first.
/// @param duty  Name of the duty, such as "watch" or a host.
/// @param nodes Candidates in any order; all nodes when there are fewer.
std::vector<std::string> RankNodes(const std::string& duty,
                                   const std::vector<std::string>& nodes,
                                   std::size_t count);

/// Whether `node` is one of the `count` best for a duty.
bool HasDuty(const std::string& node, const std::string& duty,
             const std::vector<std::string>& nodes, std::size_t count);

}  // namespace clementine

#endif  // CORE_RENDEZVOUS_H_

// The placement of a data centre as stored in object placement/<data centre>.
#ifndef CORE_PLACEMENT_OBJECT_H_
#define CORE_PLACEMENT_OBJECT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace clementine {

enum class GroupPhase {
  kLoading,   ///< Hosts are assigned; not all have confirmed the group.
  kServing,   ///< Health of every host confirmed group, epoch and host list.
  kDraining,  ///< Finishes its requests and takes no new ones.
};

const char* GroupPhaseName(GroupPhase phase);

/// One replica and its hosts in rank order.
struct PlacedGroup {
  std::string spec;  ///< Name of its GroupSpec.
  std::string model;
  std::string version;
  std::string weights;
  std::vector<std::string> adapters;
  std::string fabric_domain;
  int max_running = 8;
  std::uint64_t epoch = 0;  ///< Rises with every change of `hosts`.
  std::vector<std::string> hosts;
  GroupPhase phase = GroupPhase::kLoading;

  friend bool operator==(const PlacedGroup&, const PlacedGroup&) = default;
};

/// A host that was taken out of a group and hasn't confirmed that.
struct ReleasedHost {
  std::string group;
  std::uint64_t epoch = 0;

  friend bool operator==(const ReleasedHost&, const ReleasedHost&) = default;
};

/// Invariant: a host is in at most one of all groups' `hosts` and `released`.
struct Placement {
  std::uint64_t fence = 0;  ///< Fencing token of the last writer.
  std::map<std::string, PlacedGroup> groups;     ///< Keyed by replica name.
  std::map<std::string, ReleasedHost> released;  ///< Keyed by host.
  std::map<std::string, std::uint64_t> epochs;   ///< Last epoch of each name.
  std::string write_id;  ///< Unique for each write; settles lost answers.

  /// Takes the next epoch of a replica name; epochs of removed replicas count.
  std::uint64_t NextEpoch(const std::string& group);
  /// @return Hosts that belong to a group or are still being released.
  std::set<std::string> TakenHosts() const;
  /// @return Hosts that appear more than once; empty when the invariant holds.
  std::vector<std::string> DoubleHosts() const;

  friend bool operator==(const Placement&, const Placement&) = default;
};

std::string EncodePlacement(const Placement& placement);  ///< JSON.

/// @throws std::runtime_error when the text isn't a valid placement or lists a
///         host twice.
Placement DecodePlacement(const std::string& json);

}  // namespace clementine

#endif  // CORE_PLACEMENT_OBJECT_H_

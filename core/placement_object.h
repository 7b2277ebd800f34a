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
  kLoading,   ///< Hosts are assigned, but not all have confirmed the group.
  kServing,   ///< All hosts have confirmed group, epoch and host list.
  kDraining,  ///< Requests in flight finish; new requests go elsewhere.
};

const char* GroupPhaseName(GroupPhase phase);

/// One replica and its hosts in rank order. The name of the group is the name
/// of the replica.
struct PlacedGroup {
  std::string spec;  ///< Name of its GroupSpec.
  std::string model;
  std::string version;
  std::string weights;
  std::vector<std::string> adapters;
  std::string fabric_domain;
  int max_running = 8;
  /// Increases with every change that makes the hosts load the model again: a
  /// change of `hosts`, or of the model of a loading group.
  std::uint64_t epoch = 0;
  std::vector<std::string> hosts;
  GroupPhase phase = GroupPhase::kLoading;

  friend bool operator==(const PlacedGroup&, const PlacedGroup&) = default;
};

/// A host that was removed from a group and has not yet confirmed the unload.
struct ReleasedHost {
  std::string group;
  std::uint64_t epoch = 0;

  friend bool operator==(const ReleasedHost&, const ReleasedHost&) = default;
};

/// Invariant: a host appears at most once in `released` and in the host lists
/// of all groups.
struct Placement {
  std::uint64_t fence = 0;  ///< Fencing token of the last writer.
  std::map<std::string, PlacedGroup> groups;     ///< Keyed by replica name.
  std::map<std::string, ReleasedHost> released;  ///< Keyed by host.
  std::map<std::string, std::uint64_t> epochs;   ///< Last epoch of each name.
  /// Epochs are above this. Raised after the platform's store was restored,
  /// because the copy may lack epochs that were used; 0 before.
  std::uint64_t min_epoch = 0;
  /// Unique for each write, so that a write with a lost reply can be
  /// recognised.
  std::string write_id;

  /// Increments and returns the epoch of a replica name. Epochs of removed
  /// replicas are kept, so an epoch is never used twice.
  std::uint64_t NextEpoch(const std::string& group);
  /// @return Hosts in a group and hosts that have not confirmed their release.
  std::set<std::string> TakenHosts() const;
  /// @return Hosts that appear more than once; empty if the invariant holds.
  std::vector<std::string> FindDuplicateHosts() const;

  friend bool operator==(const Placement&, const Placement&) = default;
};

std::string EncodePlacement(const Placement& placement);  ///< JSON.

/// @throws std::runtime_error if the text is not a valid placement or lists a
///         host twice.
Placement DecodePlacement(const std::string& json);

}  // namespace clementine

#endif  // CORE_PLACEMENT_OBJECT_H_

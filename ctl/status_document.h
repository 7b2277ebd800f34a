// The status object of a data centre as the tool understands it. Internal to
// ctl/.
#ifndef CTL_STATUS_DOCUMENT_H_
#define CTL_STATUS_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementine::ctl {

struct NodeStatus {
  std::string node;
  std::uint64_t generation = 0;
  bool live = true;
};

struct GroupStatus {
  std::string group;
  std::string model;
  std::string state;
  std::string reason;
  std::vector<std::string> hosts;
  std::uint64_t epoch = 0;
  std::uint64_t downtime_ms = 0;
};

/// Members that the document lacks keep their defaults.
struct StatusDocument {
  std::string data_centre;
  std::optional<std::uint64_t> generation_min;
  std::vector<NodeStatus> nodes;
  std::vector<GroupStatus> groups;
  std::map<std::string, std::uint64_t> hosts;  ///< total, in_group, ...
  std::uint64_t stranded_accelerators = 0;
  double stranded_accelerator_seconds = 0;
  std::map<std::string, std::uint64_t> refused;  ///< By reason.
  std::vector<std::string> waiting_for;
  std::string lease_holder;
  std::uint64_t lease_fence = 0;
};

/// Decodes a document; members that are missing or of a wrong type are
/// skipped.
/// @param data_centre Used when the document doesn't name it.
/// @return Nothing when the text isn't a JSON object.
std::optional<StatusDocument> DecodeStatus(const std::string& json,
                                           const std::string& data_centre);

/// Lowest generation that is in force on a live node.
std::uint64_t GenerationInForce(const StatusDocument& status);

}  // namespace clementine::ctl

#endif  // CTL_STATUS_DOCUMENT_H_

// Directory of the live daemons, based on objects that they renew on the
// platform.
#ifndef CORE_NODE_DIRECTORY_H_
#define CORE_NODE_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/change_follower.h"
#include "core/core.h"
#include "core/demand.h"
#include "core/jitter.h"
#include "core/own_object.h"

namespace clementine {

/// Objects of all daemons. The list may be several seconds old.
struct NodesListed {
  bool complete = false;  ///< False if the platform did not answer.
  /// Names and values.
  std::vector<std::pair<std::string, std::string>> nodes = {};
  /// See ObjectReply::era.
  std::optional<std::uint64_t> era = std::nullopt;
};
struct ListNodes {};

/// A daemon counts as live while its object changes. Clocks of other hosts are
/// not used: each change is timed when this daemon first sees it.
class NodeDirectory {
 public:
  using Action = std::variant<PutObject, ListNodes>;

  /// Number of daemons that read the lease often and take it over without
  /// delay. All of them are rarely lost together; in that case the others take
  /// over some seconds later.
  static constexpr int kStandbys = 3;

  /// Prefix of the daemons' object keys.
  static const char kPrefix[];

  NodeDirectory(std::string node, std::uint64_t incarnation,
                std::uint64_t seed);

  /// Renews this daemon's object and lists the objects of all daemons when due.
  std::vector<Action> Advance(TimePoint now);
  /// @return Whether the reply belongs to this directory.
  bool OnReply(const ObjectReply& reply, TimePoint now);
  /// The store was restored from a copy that may lack this daemon's object or
  /// have an earlier one: writes it again soon. The writes of all daemons are
  /// spread over the time within which each of them renews its object.
  void OnStoreRestored(TimePoint now);
  void OnNodesListed(const NodesListed& listed, TimePoint now);

  /// Sets the number of requests that this daemon has received since it
  /// started.
  void SetRequestCount(std::uint64_t total) { m_requests = total; }

  /// Sets the demand that this daemon has received since it started, by model.
  void SetDemandCounts(const DemandCounts& counts) { m_counts = counts; }

  /// Demand of all daemons. Daemons with unknown demand count as the average of
  /// the others.
  DemandByModel Demand() const;

  /// Number of daemons that accept requests, including this one. Kept while the
  /// platform cannot be read; see listed_names.
  int live() const { return m_live; }
  /// Sets the properties of this daemon that are published to other daemons.
  /// @param changes_address Address at which this daemon relays changes and
  ///     accepts notices of crash marks; empty if it does not.
  void SetContact(std::string data_centre, std::string changes_address) {
    m_data_centre = std::move(data_centre);
    m_changes_address = std::move(changes_address);
    m_roles_due = true;
  }

  /// Sets this daemon's capacity in a unit that all daemons share. Tasks for
  /// the whole fleet are assigned to the daemons with the highest capacity.
  void SetCapacity(double capacity) {
    m_capacity = capacity;
    m_roles_due = true;
  }

  /// Role of this daemon in distributing changes. One daemon of each data
  /// centre reads the platform, or two if there is only one data centre. The
  /// others follow the first daemons in rank, which relay the changes, or, if
  /// these fail, daemons of other data centres. In a small fleet all daemons
  /// read the platform, and follow each other when they cannot reach it.
  const ChangeRoles& change_roles() const { return m_roles; }

  /// Addresses at which the other live daemons relay changes and accept notices
  /// of crash marks.
  std::vector<std::string> addresses() const;

  /// Names of the live daemons, including this one, as of the last complete
  /// list. Kept while the platform cannot be read: a daemon that then took the
  /// others for dead would take over their shares. Empty until the other
  /// daemons had time to be discovered.
  const std::vector<std::string>& listed_names() const {
    return m_listed_names;
  }

  /// Whether another live daemon is in a data centre.
  bool HasDataCentre(const std::string& data_centre) const;

  /// This daemon's position, starting at 0, in an order of all live daemons
  /// that every daemon computes in the same way.
  int Rank() const { return m_rank; }
  /// Whether the other daemons had time to be discovered since this one
  /// started. Before that, Rank() is 0 on every daemon.
  bool IsRankKnown(TimePoint now) const;
  /// Fraction of all daemons' requests that this daemon receives, but at least
  /// half of an equal share. 0 if this daemon's rate is unknown or too low to
  /// be meaningful (below kMinRate).
  double share() const { return m_share; }

 private:
  struct NodeRecord {
    std::string value;
    TimePoint changed_at;
    /// Requests per second; unknown after a start.
    std::optional<double> rate;
    DemandByModel demand;
    std::string data_centre;
    std::string changes_address;  ///< See SetContact.
    double capacity = kDefaultCapacity;
  };
  static constexpr double kDefaultCapacity = 1.0;

  milliseconds RenewalInterval() const;
  std::string Encode();
  static NodeRecord Decode(const std::string& value, TimePoint now);
  void UpdateLiveDaemons(TimePoint now);
  /// Sets the rank and the roles from the known daemons.
  void ChooseRoles();
  void ChooseSources(const std::vector<std::string>& ranked);
  /// Ranks daemons by rendezvous hashing for an assignment. Daemons with a high
  /// capacity come before the others.
  std::vector<std::string> RankByCapacity(
      const char* assignment, const std::vector<std::string>& names) const;
  bool HasHighCapacity(const std::string& name) const;
  /// Sets the local and remote sources of changes.
  /// @param by_centre Daemons of each data centre in order of rank.
  void ChoosePeers(
      const std::map<std::string, std::vector<std::string>>& by_centre);
  void MeasureRequestRate(TimePoint now);

  std::string m_node;
  std::string m_data_centre;
  std::string m_changes_address;
  double m_capacity = kDefaultCapacity;
  double m_max_capacity = kDefaultCapacity;  ///< Maximum of all known daemons.
  std::uint64_t m_incarnation;
  Jitter m_jitter;
  std::map<std::string, NodeRecord> m_nodes;
  std::uint64_t m_renewal = 0;
  OwnObject m_own;
  std::vector<std::string> m_listed_names;
  TimePoint m_started_at;    ///< Time of the first pass.
  TimePoint m_last_list_at;  ///< Time of the last complete list.
  TimePoint m_next_put_at;
  TimePoint m_next_list_at;
  int m_live = 1;
  bool m_roles_due = true;  ///< Daemons or their properties have changed.
  int m_rank = 0;
  ChangeRoles m_roles;
  double m_share = 0.0;
  /// Requests per second of this daemon; 0 until the first requests.
  double m_rate = 0.0;
  bool m_receives_requests = false;  ///< Requests were counted once.
  std::uint64_t m_requests = 0;
  std::uint64_t m_measured_requests = 0;
  DemandCounts m_counts;
  DemandRates m_demand;
  TimePoint m_measured_at;
};

}  // namespace clementine

#endif  // CORE_NODE_DIRECTORY_H_

// Which daemons are alive, as told by objects that they renew on the platform.
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

/// Objects of all daemons, by name. The list may be seconds old.
struct NodesListed {
  bool complete = false;  ///< False when the platform didn't answer.
  std::vector<std::pair<std::string, std::string>> nodes;  ///< Name and value.
};
struct ListNodes {};

/// A daemon counts as live while its object changes. No clock of another host
/// is compared: each change is timed when it is first seen here.
class NodeDirectory {
 public:
  using Action = std::variant<PutObject, ListNodes>;

  /// Daemons that read the lease often and take it over at once. All of them
  /// are lost together seldom, and then the others are some seconds later.
  static constexpr int kStandbys = 3;

  /// Prefix of the daemons' object keys.
  static const char kPrefix[];

  NodeDirectory(std::string node, std::uint64_t incarnation,
                std::uint64_t seed);

  /// Renews the own object and reads the others' as due.
  std::vector<Action> Advance(TimePoint now);
  /// @return Whether the reply belongs to this directory.
  bool Replied(const ObjectReply& reply, TimePoint now);
  void Listed(const NodesListed& listed, TimePoint now);

  /// Requests that came to this daemon so far.
  void CountRequests(std::uint64_t total) { m_requests = total; }

  /// What callers asked this daemon so far, by model.
  void CountDemand(const DemandCounts& counts) { m_counts = counts; }

  /// What callers ask all daemons. Those whose demand isn't known count as much
  /// as the others on average.
  DemandByModel Demand() const;

  /// Daemons that take requests, this one included.
  int live() const { return m_live; }
  /// Sets what other daemons are told of this one.
  /// @param changes Address at which it passes changes on; empty: nowhere.
  void SetContact(std::string data_centre, std::string changes) {
    m_data_centre = std::move(data_centre);
    m_changes = std::move(changes);
    m_roles_due = true;
  }

  /// Sets this daemon's capacity, in any unit that all daemons share. Duties
  /// for the whole fleet go to the daemons with the most.
  void SetCapacity(double capacity) {
    m_capacity = capacity;
    m_roles_due = true;
  }

  /// One daemon of each data centre reads the platform, and the others learn
  /// from it, or else from the next one in rank or from other data centres. In
  /// a small fleet all read it, and learn from each other when they can't.
  const ChangeRoles& change_roles() const { return m_roles; }

  /// Addresses at which the other live daemons pass changes on.
  std::vector<std::string> addresses() const;

  /// This daemon's place in an order of all live ones that each of them derives
  /// alike; 0 is the first.
  int Rank() const { return m_rank; }
  /// Whether the other daemons had time to appear since this one started, so
  /// that Rank() tells more than which daemon was first.
  bool RankKnown(TimePoint now) const;
  /// Part of all daemons' requests that comes to this one; 0 when unknown.
  double share() const { return m_share; }

 private:
  struct Seen {
    std::string value;
    TimePoint changed;
    std::optional<double> rate;  ///< Requests a second; unknown at a start.
    DemandByModel demand;
    std::string data_centre;
    std::string changes;  ///< As in SetContact.
    double capacity = kUsualCapacity;
  };
  static constexpr double kUsualCapacity = 1.0;

  milliseconds Interval() const;
  std::string Encode();
  static Seen Decode(const std::string& value, TimePoint now);
  void CountLive(TimePoint now);
  /// Sets the rank and the roles by the daemons that are known.
  void ChooseRoles();
  void ChooseSources(const std::vector<std::string>& ranked);
  /// The daemons with the most capacity come first; among these and among the
  /// others, the order is that of the duty.
  std::vector<std::string> RankByCapacity(
      const char* duty, const std::vector<std::string>& names) const;
  bool IsStrong(const std::string& name) const;
  /// Sets the sources near and far, given those of each data centre in order.
  void ChoosePeers(
      const std::map<std::string, std::vector<std::string>>& centres);
  void MeasureRate(TimePoint now);

  std::string m_node;
  std::string m_data_centre;
  std::string m_changes;
  double m_capacity = kUsualCapacity;
  double m_most_capacity = kUsualCapacity;  ///< Of all known daemons.
  std::uint64_t m_incarnation;
  Jitter m_jitter;
  std::map<std::string, Seen> m_nodes;
  std::uint64_t m_renewal = 0;
  OwnObject m_own;
  TimePoint m_began;   ///< First pass.
  TimePoint m_listed;  ///< Last complete list.
  TimePoint m_next_put;
  TimePoint m_next_list;
  int m_live = 1;
  bool m_roles_due = true;  ///< The daemons or their contacts have changed.
  int m_rank = 0;
  ChangeRoles m_roles;
  double m_share = 0.0;
  double m_rate = 0.0;  ///< Own requests a second; 0 until the first ones.
  std::uint64_t m_requests = 0;
  std::uint64_t m_measured_requests = 0;
  DemandCounts m_counts;
  DemandRates m_demand;
  TimePoint m_measured;
};

}  // namespace clementine

#endif  // CORE_NODE_DIRECTORY_H_

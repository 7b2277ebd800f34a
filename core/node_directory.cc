// Objects are renewed at intervals of several seconds to limit the calls to the
// platform. A daemon that died is therefore counted as live for some seconds,
// which only makes the other daemons use a smaller share of the limits that are
// divided among the live daemons.

#include "core/node_directory.h"

#include <algorithm>
#include <cstdlib>

#include "core/rendezvous.h"
#include "core/split_text.h"
#include "fmt/format.h"

namespace clementine {
namespace {

/// Interval between renewals and between lists. Each is a platform call of
/// every daemon; therefore large fleets use longer intervals. In a large fleet
/// each daemon's data is a smaller fraction of the total, and its age matters
/// less.
constexpr milliseconds kMinInterval{5'000};
constexpr milliseconds kMaxInterval{30'000};
constexpr int kDaemonsAtMinInterval = 20;
/// Lists are more frequent while this daemon has written at most kNumFirstLists
/// renewals and knows fewer than kNumFirstLists daemons: when a fleet starts,
/// all daemons start at once and their objects are not listed yet.
constexpr milliseconds kFirstListInterval{1'000};
constexpr int kNumFirstLists = 4;
/// A daemon counts as live through two lost renewals, and a list may be some
/// seconds old.
constexpr int kIntervalsUntilDead = 3;
constexpr milliseconds kMaxListAge{3'000};
/// Call id of renewals. Other components count up from 1.
constexpr CallId kRenewalCall = ~CallId{0};
constexpr milliseconds kRateInterval{2'000};
/// Minimum rate, in requests per second, at which shares are meaningful.
constexpr double kMinRate = 1.0;

/// Value of a rate that has not been measured since the daemon's start.
constexpr char kUnknownRate[] = "?";

/// Separates the fields of an object: incarnation, renewal and rate; demand by
/// model; data centre; address for changes; capacity, if it is not the default.
constexpr char kSeparator = ' ';
/// Value of an empty field.
constexpr char kEmptyField[] = "-";
/// Up to this number of daemons, each daemon watches the platform itself.
constexpr int kMaxDaemonsWithoutRelay = 20;
/// Number of daemons in the own and in other data centres from which a daemon
/// may receive changes. If all of them are lost, the daemon queries the
/// platform until new sources are chosen.
constexpr std::size_t kLocalSources = 2;
constexpr std::size_t kRemoteSources = 2;
/// Number of followers of a daemon with low capacity up to which it relays
/// changes without further daemons. Limits the bandwidth that changes take at a
/// daemon: each change is sent once per follower, over links of 20 Mbit/s.
constexpr std::size_t kMaxFollowers = 8;
/// Followers of a daemon with high capacity, as a multiple of those of other
/// daemons. Capacity is set per daemon (see SetCapacity); a daemon with high
/// capacity has several times the processor time and bandwidth of the others.
constexpr std::size_t kHighCapacityFactor = 4;
/// Fraction of the largest capacity from which a daemon counts as having high
/// capacity.
constexpr double kHighCapacityFraction = 0.5;
/// When a fleet starts, all its daemons start within a second. A list that is
/// taken this long after the start of this daemon contains the others.
constexpr milliseconds kDiscoveryDelay{800};
/// The rank is used after this time even if no list has been taken since
/// kDiscoveryDelay.
constexpr milliseconds kMaxDiscoveryDelay{2'500};
/// Keys of the rendezvous hashes by which daemons are ranked for planning and
/// for relaying changes.
constexpr char kPlannerAssignment[] = "platform";
constexpr char kSourceAssignment[] = "changes";

std::string TakeField(std::string* text) {
  std::string part = TakeUntilSeparator(text, kSeparator);
  return part == kEmptyField ? "" : part;
}

std::string EncodeField(const std::string& text) {
  return text.empty() ? kEmptyField : text;
}

/// Returns the number after the last slash, or nothing if there is none.
std::optional<double> TrailingNumber(const std::string& text) {
  std::size_t slash = text.rfind('/');
  if (slash == std::string::npos) return std::nullopt;
  const char* begin = text.c_str() + slash + 1;
  char* end = nullptr;
  double number = std::strtod(begin, &end);
  if (end == begin || !(number >= 0.0)) return std::nullopt;
  return number;
}

}  // namespace

const char NodeDirectory::kPrefix[] = "clementine-nodes/";

NodeDirectory::NodeDirectory(std::string node, std::uint64_t incarnation,
                             std::uint64_t seed)
    : m_node(std::move(node)), m_incarnation(incarnation), m_jitter(seed) {}

std::vector<NodeDirectory::Action> NodeDirectory::Advance(TimePoint now) {
  std::vector<Action> actions;
  if (m_started_at == TimePoint()) m_started_at = now;
  MeasureRequestRate(now);
  if (now >= m_next_put_at) {
    m_next_put_at =
        now + m_jitter.Between(RenewalInterval() * 4 / 5, RenewalInterval());
    actions.emplace_back(PutObject{kRenewalCall, kPrefix + m_node, Encode(),
                                   m_own.if_version()});
  }
  if (now >= m_next_list_at) {
    bool first = m_renewal <= kNumFirstLists && m_nodes.size() < kNumFirstLists;
    milliseconds interval = first ? kFirstListInterval : RenewalInterval();
    m_next_list_at = now + m_jitter.Between(interval * 4 / 5, interval);
    actions.emplace_back(ListNodes{});
  }
  UpdateLiveDaemons(now);
  return actions;
}

bool NodeDirectory::OnReply(const ObjectReply& reply, TimePoint now) {
  if (reply.call != kRenewalCall) return false;
  if (m_own.OnReply(reply.status)) m_next_put_at = now;
  return true;
}

void NodeDirectory::OnStoreRestored(TimePoint now) {
  m_own.SetExists(true);
  m_next_put_at =
      std::min(m_next_put_at,
               now + m_jitter.Between(milliseconds(0), RenewalInterval() / 2));
}

void NodeDirectory::OnNodesListed(const NodesListed& listed, TimePoint now) {
  if (!listed.complete) return;
  m_last_list_at = now;
  for (const auto& [name, value] : listed.nodes) {
    NodeRecord& record = m_nodes[name];
    if (record.value == value) continue;
    NodeRecord newer = Decode(value, now);
    m_roles_due = m_roles_due || record.value.empty() ||
                  record.data_centre != newer.data_centre ||
                  record.changes_address != newer.changes_address ||
                  record.capacity != newer.capacity;
    record = std::move(newer);
  }
  UpdateLiveDaemons(now);
  if (!IsRankKnown(now)) return;
  m_listed_names = {m_node};
  for (const auto& [name, record] : m_nodes) {
    if (name != m_node) m_listed_names.push_back(name);
  }
}

milliseconds NodeDirectory::RenewalInterval() const {
  return std::clamp(kMinInterval * m_live / kDaemonsAtMinInterval, kMinInterval,
                    kMaxInterval);
}

std::string NodeDirectory::Encode() {
  std::string rate =
      m_rate > 0.0 ? fmt::format("{:.2f}", m_rate) : std::string(kUnknownRate);
  std::string value =
      fmt::format("{}/{}/{} {} {} {}", m_incarnation, ++m_renewal, rate,
                  EncodeField(EncodeDemand(m_demand.rates())),
                  EncodeField(m_data_centre), EncodeField(m_changes_address));
  if (m_capacity != kDefaultCapacity) value += fmt::format(" {}", m_capacity);
  return value;
}

NodeDirectory::NodeRecord NodeDirectory::Decode(const std::string& value,
                                                TimePoint now) {
  std::string rest = value;
  NodeRecord record;
  record.value = value;
  record.changed_at = now;
  record.rate = TrailingNumber(TakeField(&rest));
  record.demand = DecodeDemand(TakeField(&rest));
  record.data_centre = TakeField(&rest);
  record.changes_address = TakeField(&rest);
  double capacity = std::strtod(TakeField(&rest).c_str(), nullptr);
  if (capacity > 0.0) record.capacity = capacity;
  return record;
}

std::vector<std::string> NodeDirectory::addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, record] : m_nodes) {
    if (name != m_node && !record.changes_address.empty()) {
      addresses.push_back(record.changes_address);
    }
  }
  return addresses;
}

void NodeDirectory::ChooseRoles() {
  std::vector<std::string> names = {m_node};
  for (const auto& [name, record] : m_nodes) {
    if (name != m_node) names.push_back(name);
  }
  m_max_capacity = m_capacity;
  for (const auto& [name, record] : m_nodes) {
    m_max_capacity = std::max(m_max_capacity, record.capacity);
  }
  std::vector<std::string> ranked = RankByCapacity(kPlannerAssignment, names);
  auto own = std::find(ranked.begin(), ranked.end(), m_node);
  m_rank = static_cast<int>(own - ranked.begin());
  m_roles = ChangeRoles();
  if (!m_changes_address.empty()) ChooseSources(ranked);
}

// The planner and the standbys already have additional work. Sources are chosen
// among the other daemons if there are any.
void NodeDirectory::ChooseSources(const std::vector<std::string>& ranked) {
  auto standbys = std::min<std::ptrdiff_t>(
      static_cast<std::ptrdiff_t>(ranked.size()), kStandbys);
  std::vector<std::string> order(ranked.begin() + standbys, ranked.end());
  order = RankByCapacity(kSourceAssignment, order);
  order.insert(order.end(), ranked.begin(), ranked.begin() + standbys);
  std::map<std::string, std::vector<std::string>> by_centre;
  for (const std::string& name : order) {
    bool self = name == m_node;
    const NodeRecord* record = self ? nullptr : &m_nodes.at(name);
    if (!self && record->changes_address.empty()) continue;
    by_centre[self ? m_data_centre : record->data_centre].push_back(name);
  }
  const std::vector<std::string>& local = by_centre.at(m_data_centre);
  std::size_t readers = by_centre.size() == 1 ? 2 : 1;
  bool small = m_live <= kMaxDaemonsWithoutRelay;
  auto position = static_cast<std::size_t>(
      std::find(local.begin(), local.end(), m_node) - local.begin());
  m_roles.is_source = !small && position < readers;
  m_roles.reads_platform = small || m_roles.is_source;
  ChoosePeers(by_centre);
}

bool NodeDirectory::HasHighCapacity(const std::string& name) const {
  auto found = m_nodes.find(name);
  double capacity = name == m_node           ? m_capacity
                    : found == m_nodes.end() ? kDefaultCapacity
                                             : found->second.capacity;
  return capacity >= m_max_capacity * kHighCapacityFraction;
}

std::vector<std::string> NodeDirectory::RankByCapacity(
    const char* assignment, const std::vector<std::string>& names) const {
  std::vector<std::string> ranked = RankNodes(assignment, names, names.size());
  std::stable_partition(
      ranked.begin(), ranked.end(),
      [this](const std::string& name) { return HasHighCapacity(name); });
  return ranked;
}

// The first daemons of a data centre relay changes from its reader to the
// others. Each follower ranks them in its own order, in which daemons with high
// capacity come first more often.
void NodeDirectory::ChoosePeers(
    const std::map<std::string, std::vector<std::string>>& by_centre) {
  auto address = [this](const std::string& name) {
    return m_nodes.at(name).changes_address;
  };
  const std::vector<std::string>& local = by_centre.at(m_data_centre);
  bool mixed_capacity =
      std::any_of(local.begin(), local.end(),
                  [this](const auto& name) { return !HasHighCapacity(name); });
  std::vector<std::string> chosen;
  // One slot for each kMaxFollowers followers that a daemon may have.
  std::vector<std::string> slots;
  for (const std::string& name : local) {
    bool enough = slots.size() * kMaxFollowers >= local.size();
    if (enough && chosen.size() >= kLocalSources) break;
    chosen.push_back(name);
    std::size_t count =
        mixed_capacity && HasHighCapacity(name) ? kHighCapacityFactor : 1;
    for (std::size_t i = 0; i < count; ++i) {
      slots.push_back(fmt::format("{}{}{}", name, kSeparator, i));
    }
  }
  if (std::find(chosen.begin(), chosen.end(), m_node) == chosen.end()) {
    chosen.clear();
    for (std::string& slot : RankNodes(m_node, slots, slots.size())) {
      std::string name = TakeUntilSeparator(&slot, kSeparator);
      bool known =
          std::find(chosen.begin(), chosen.end(), name) != chosen.end();
      if (!known) chosen.push_back(name);
    }
  }
  std::erase(chosen, m_node);
  chosen.resize(std::min(chosen.size(), kLocalSources));
  for (const std::string& name : chosen) m_roles.peers.push_back(address(name));
  std::vector<std::string> remote;
  for (const auto& [centre, names] : by_centre) {
    if (centre != m_data_centre) remote.push_back(names.front());
  }
  // Each daemon orders the remote sources differently.
  for (const std::string& name : RankNodes(m_node, remote, kRemoteSources)) {
    chosen.push_back(name);
    m_roles.peers.push_back(address(name));
  }
  // Where there are few daemons, they fail together more easily. A place that
  // is left goes to any other one, and a small fleet lists all of them: further
  // sources cost nothing until they are needed.
  std::vector<std::string> rest;
  for (const auto& [centre, names] : by_centre) {
    for (const std::string& name : names) {
      bool known =
          std::find(chosen.begin(), chosen.end(), name) != chosen.end();
      if (!known && name != m_node) rest.push_back(name);
    }
  }
  bool small = m_live <= kMaxDaemonsWithoutRelay;
  std::size_t places =
      small ? rest.size() : kLocalSources + kRemoteSources - chosen.size();
  for (const std::string& name : RankNodes(m_node, rest, places)) {
    m_roles.peers.push_back(address(name));
  }
}

bool NodeDirectory::HasDataCentre(const std::string& data_centre) const {
  return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto& entry) {
    return entry.second.data_centre == data_centre;
  });
}

bool NodeDirectory::IsRankKnown(TimePoint now) const {
  if (m_started_at == TimePoint()) return false;
  return m_last_list_at >= m_started_at + kDiscoveryDelay ||
         now - m_started_at >= kMaxDiscoveryDelay;
}

// While the platform doesn't list the daemons, nothing is known of them, and
// their records don't lapse: they are then needed to learn of changes.
void NodeDirectory::UpdateLiveDaemons(TimePoint now) {
  TimePoint known_until = std::min(now, m_last_list_at + RenewalInterval());
  std::size_t lapsed = std::erase_if(m_nodes, [&](const auto& entry) {
    return known_until - entry.second.changed_at >
           RenewalInterval() * kIntervalsUntilDead + kMaxListAge;
  });
  m_live = 1 + static_cast<int>(m_nodes.size()) -
           static_cast<int>(m_nodes.count(m_node));
  if (m_roles_due || lapsed > 0) ChooseRoles();
  m_roles_due = false;
  // A daemon with an unknown rate counts as much as this daemon.
  double all = m_rate;
  for (const auto& [name, record] : m_nodes) {
    if (name != m_node) all += record.rate.value_or(m_rate);
  }
  bool comparable = m_rate >= kMinRate && all > 0.0;
  double least = 1.0 / (2.0 * m_live);
  m_share = comparable ? std::clamp(m_rate / all, least, 1.0) : 0.0;
}

DemandByModel NodeDirectory::Demand() const {
  DemandByModel all;
  int known = 0;
  if (!m_demand.rates().empty()) {
    AddScaledDemand(m_demand.rates(), 1.0, &all);
    ++known;
  }
  for (const auto& [name, record] : m_nodes) {
    if (name == m_node || record.demand.empty()) continue;
    AddScaledDemand(record.demand, 1.0, &all);
    ++known;
  }
  DemandByModel scaled;
  if (known > 0) {
    AddScaledDemand(all, static_cast<double>(m_live) / known, &scaled);
  }
  return scaled;
}

void NodeDirectory::MeasureRequestRate(TimePoint now) {
  if (m_measured_at == TimePoint()) m_measured_at = now;
  std::chrono::duration<double> time = now - m_measured_at;
  if (now - m_measured_at < kRateInterval) return;
  double rate =
      static_cast<double>(m_requests - m_measured_requests) / time.count();
  if (m_rate == 0.0 && rate > 0.0 && !m_receives_requests) {
    // The first requests arrived during the interval, so its rate is too low.
    // In a large fleet the other daemons would use it for 20 s and more, to
    // divide the capacity and to allocate groups.
    m_receives_requests = true;
    m_demand.Skip(m_counts);
    m_measured_at = now;
    m_measured_requests = m_requests;
    return;
  }
  if (m_rate == 0.0 && rate > 0.0) {
    // The other daemons do not know this rate yet. A list returns their rates.
    m_next_put_at = now;
    m_next_list_at = std::min(m_next_list_at, now + kFirstListInterval);
  }
  m_rate = m_rate == 0.0 ? rate : (m_rate + rate) / 2.0;
  m_demand.Update(m_counts, time);
  m_measured_at = now;
  m_measured_requests = m_requests;
}

}  // namespace clementine

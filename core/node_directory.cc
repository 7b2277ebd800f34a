// Renewing every few seconds keeps the calls to the platform few; a daemon that
// died is divided by for some seconds longer, which only makes the others a
// little more careful with what they share.

#include "core/node_directory.h"

#include <algorithm>
#include <cstdlib>

#include "core/rendezvous.h"
#include "core/text_part.h"
#include "fmt/format.h"

namespace clementine {
namespace {

/// Between two renewals, and between two lists. Each is a call to the platform
/// by every daemon, so large fleets make them less often; what they tell is
/// then a smaller part of the whole.
constexpr milliseconds kShortestInterval{5'000};
constexpr milliseconds kLongestInterval{30'000};
constexpr int kDaemonsAtShortest = 20;
/// The first lists come sooner, since all daemons start at once.
constexpr milliseconds kFirstListInterval{1'000};
constexpr int kFirstLists = 4;
/// Two renewals may be lost, and a list may be some seconds old.
constexpr int kLiveIntervals = 3;
constexpr milliseconds kListAge{3'000};
/// Marks the replies of this directory; other callers count up from 1.
constexpr CallId kOwnCall = ~CallId{0};
constexpr milliseconds kRateInterval{2'000};
/// Requests a second below which shares say nothing.
constexpr double kLeastRate = 1.0;

/// Stands for a rate that hasn't been measured since the daemon's start.
constexpr char kUnknownRate[] = "?";

/// Separates the parts of an object: life, renewal and rate; demand by model;
/// data centre; address for changes; capacity, where it isn't the usual one.
constexpr char kSeparator = ' ';
/// Stands for a part without content.
constexpr char kNothing[] = "-";
/// Smaller fleets watch the platform by themselves.
constexpr int kLeastDaemonsToRelay = 20;
/// Daemons of the own data centre, and of others, from which a daemon may learn
/// of changes. If all are lost, it asks the platform until new ones are chosen.
constexpr std::size_t kNearSources = 2;
constexpr std::size_t kFarSources = 2;
/// Each change goes out once for each follower, over links of 20 Mbit/s.
constexpr std::size_t kMostFollowers = 8;
/// Daemons with the most capacity have several times the others' processor time
/// and link.
constexpr std::size_t kStrongFactor = 4;
/// Part of the largest capacity from which a daemon counts as strong.
constexpr double kStrongPart = 0.5;
/// All daemons of a fleet start within a second; their objects are listed then.
constexpr milliseconds kAppearTime{800};
constexpr milliseconds kLongestAppearTime{2'500};
/// Duties by which daemons are ranked: to plan, and to pass changes on.
constexpr char kDuty[] = "platform";
constexpr char kSourceDuty[] = "changes";

std::string TakeField(std::string* text) {
  std::string part = TakePart(text, kSeparator);
  return part == kNothing ? "" : part;
}

std::string Part(const std::string& text) {
  return text.empty() ? kNothing : text;
}

/// The number after the last slash; nothing when there's none.
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
  if (m_began == TimePoint()) m_began = now;
  MeasureRate(now);
  if (now >= m_next_put) {
    m_next_put = now + m_jitter.Between(Interval() * 4 / 5, Interval());
    actions.emplace_back(
        PutObject{kOwnCall, kPrefix + m_node, Encode(), m_own.if_version()});
  }
  if (now >= m_next_list) {
    bool first = m_renewal <= kFirstLists && m_nodes.size() < kFirstLists;
    milliseconds interval = first ? kFirstListInterval : Interval();
    m_next_list = now + m_jitter.Between(interval * 4 / 5, interval);
    actions.emplace_back(ListNodes{});
  }
  CountLive(now);
  return actions;
}

bool NodeDirectory::Replied(const ObjectReply& reply, TimePoint now) {
  if (reply.call != kOwnCall) return false;
  if (m_own.Replied(reply.status)) m_next_put = now;
  return true;
}

void NodeDirectory::Listed(const NodesListed& listed, TimePoint now) {
  if (!listed.complete) return;
  m_listed = now;
  for (const auto& [name, value] : listed.nodes) {
    Seen& seen = m_nodes[name];
    if (seen.value == value) continue;
    Seen newer = Decode(value, now);
    m_roles_due = m_roles_due || seen.value.empty() ||
                  seen.data_centre != newer.data_centre ||
                  seen.changes != newer.changes ||
                  seen.capacity != newer.capacity;
    seen = std::move(newer);
  }
  CountLive(now);
}

milliseconds NodeDirectory::Interval() const {
  return std::clamp(kShortestInterval * m_live / kDaemonsAtShortest,
                    kShortestInterval, kLongestInterval);
}

std::string NodeDirectory::Encode() {
  std::string rate =
      m_rate > 0.0 ? fmt::format("{:.2f}", m_rate) : std::string(kUnknownRate);
  std::string value =
      fmt::format("{}/{}/{} {} {} {}", m_incarnation, ++m_renewal, rate,
                  Part(EncodeDemand(m_demand.rates())), Part(m_data_centre),
                  Part(m_changes));
  if (m_capacity != kUsualCapacity) value += fmt::format(" {}", m_capacity);
  return value;
}

NodeDirectory::Seen NodeDirectory::Decode(const std::string& value,
                                          TimePoint now) {
  std::string rest = value;
  Seen seen;
  seen.value = value;
  seen.changed = now;
  seen.rate = TrailingNumber(TakeField(&rest));
  seen.demand = DecodeDemand(TakeField(&rest));
  seen.data_centre = TakeField(&rest);
  seen.changes = TakeField(&rest);
  double capacity = std::strtod(TakeField(&rest).c_str(), nullptr);
  if (capacity > 0.0) seen.capacity = capacity;
  return seen;
}

std::vector<std::string> NodeDirectory::addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, seen] : m_nodes) {
    if (name != m_node && !seen.changes.empty()) {
      addresses.push_back(seen.changes);
    }
  }
  return addresses;
}

void NodeDirectory::ChooseRoles() {
  std::vector<std::string> names = {m_node};
  for (const auto& [name, seen] : m_nodes) {
    if (name != m_node) names.push_back(name);
  }
  m_most_capacity = m_capacity;
  for (const auto& [name, seen] : m_nodes) {
    m_most_capacity = std::max(m_most_capacity, seen.capacity);
  }
  std::vector<std::string> ranked = RankByCapacity(kDuty, names);
  auto own = std::find(ranked.begin(), ranked.end(), m_node);
  m_rank = static_cast<int>(own - ranked.begin());
  m_roles = ChangeRoles();
  if (!m_changes.empty()) ChooseSources(ranked);
}

// The planner and those who take over from it have enough to do, so sources are
// chosen among the others where there are any.
void NodeDirectory::ChooseSources(const std::vector<std::string>& ranked) {
  auto standbys = std::min<std::ptrdiff_t>(
      static_cast<std::ptrdiff_t>(ranked.size()), kStandbys);
  std::vector<std::string> order(ranked.begin() + standbys, ranked.end());
  order = RankByCapacity(kSourceDuty, order);
  order.insert(order.end(), ranked.begin(), ranked.begin() + standbys);
  std::map<std::string, std::vector<std::string>> centres;
  for (const std::string& name : order) {
    bool self = name == m_node;
    const Seen* seen = self ? nullptr : &m_nodes.at(name);
    if (!self && seen->changes.empty()) continue;
    centres[self ? m_data_centre : seen->data_centre].push_back(name);
  }
  const std::vector<std::string>& near = centres.at(m_data_centre);
  std::size_t readers = centres.size() == 1 ? 2 : 1;
  bool small = m_live <= kLeastDaemonsToRelay;
  auto place = static_cast<std::size_t>(
      std::find(near.begin(), near.end(), m_node) - near.begin());
  m_roles.is_source = !small && place < readers;
  m_roles.reads_platform = small || m_roles.is_source;
  ChoosePeers(centres);
}

bool NodeDirectory::IsStrong(const std::string& name) const {
  auto found = m_nodes.find(name);
  double capacity = name == m_node           ? m_capacity
                    : found == m_nodes.end() ? kUsualCapacity
                                             : found->second.capacity;
  return capacity >= m_most_capacity * kStrongPart;
}

std::vector<std::string> NodeDirectory::RankByCapacity(
    const char* duty, const std::vector<std::string>& names) const {
  std::vector<std::string> ranked = RankNodes(duty, names, names.size());
  std::stable_partition(
      ranked.begin(), ranked.end(),
      [this](const std::string& name) { return IsStrong(name); });
  return ranked;
}

// The first daemons of a data centre pass on to the others what its reader
// tells them. Each follower has its own order of them, in which strong ones
// come first more often.
void NodeDirectory::ChoosePeers(
    const std::map<std::string, std::vector<std::string>>& centres) {
  auto address = [this](const std::string& name) {
    return m_nodes.at(name).changes;
  };
  const std::vector<std::string>& near = centres.at(m_data_centre);
  bool mixed = std::any_of(near.begin(), near.end(), [this](const auto& name) {
    return !IsStrong(name);
  });
  std::vector<std::string> first;
  // One for each kMostFollowers that a daemon may take.
  std::vector<std::string> places;
  for (const std::string& name : near) {
    bool enough = places.size() * kMostFollowers >= near.size();
    if (enough && first.size() >= kNearSources) break;
    first.push_back(name);
    std::size_t count = mixed && IsStrong(name) ? kStrongFactor : 1;
    for (std::size_t i = 0; i < count; ++i) {
      places.push_back(fmt::format("{}{}{}", name, kSeparator, i));
    }
  }
  if (std::find(first.begin(), first.end(), m_node) == first.end()) {
    first.clear();
    for (std::string& place : RankNodes(m_node, places, places.size())) {
      std::string name = TakePart(&place, kSeparator);
      bool known = std::find(first.begin(), first.end(), name) != first.end();
      if (!known) first.push_back(name);
    }
  }
  std::erase(first, m_node);
  first.resize(std::min(first.size(), kNearSources));
  for (const std::string& name : first) m_roles.peers.push_back(address(name));
  std::vector<std::string> far;
  for (const auto& [centre, names] : centres) {
    if (centre != m_data_centre) far.push_back(names.front());
  }
  // Each daemon prefers another one of them.
  for (const std::string& name : RankNodes(m_node, far, kFarSources)) {
    m_roles.peers.push_back(address(name));
  }
}

bool NodeDirectory::RankKnown(TimePoint now) const {
  if (m_began == TimePoint()) return false;
  return m_listed >= m_began + kAppearTime ||
         now - m_began >= kLongestAppearTime;
}

void NodeDirectory::CountLive(TimePoint now) {
  std::size_t lapsed = std::erase_if(m_nodes, [&](const auto& entry) {
    return now - entry.second.changed > Interval() * kLiveIntervals + kListAge;
  });
  m_live = 1 + static_cast<int>(m_nodes.size()) -
           static_cast<int>(m_nodes.count(m_node));
  if (m_roles_due || lapsed > 0) ChooseRoles();
  m_roles_due = false;
  // A daemon whose rate isn't known yet counts as much as this one.
  double all = m_rate;
  for (const auto& [name, seen] : m_nodes) {
    if (name != m_node) all += seen.rate.value_or(m_rate);
  }
  bool comparable = m_rate >= kLeastRate && all > 0.0;
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
  for (const auto& [name, seen] : m_nodes) {
    if (name == m_node || seen.demand.empty()) continue;
    AddScaledDemand(seen.demand, 1.0, &all);
    ++known;
  }
  DemandByModel scaled;
  if (known > 0) {
    AddScaledDemand(all, static_cast<double>(m_live) / known, &scaled);
  }
  return scaled;
}

void NodeDirectory::MeasureRate(TimePoint now) {
  if (m_measured == TimePoint()) m_measured = now;
  std::chrono::duration<double> time = now - m_measured;
  if (now - m_measured < kRateInterval) return;
  double rate =
      static_cast<double>(m_requests - m_measured_requests) / time.count();
  if (m_rate == 0.0 && rate > 0.0) {
    // The others know nothing of it; a list shows theirs.
    m_next_put = now;
    m_next_list = std::min(m_next_list, now + kFirstListInterval);
  }
  m_rate = m_rate == 0.0 ? rate : (m_rate + rate) / 2.0;
  m_demand.Update(m_counts, time);
  m_measured = now;
  m_measured_requests = m_requests;
}

}  // namespace clementine

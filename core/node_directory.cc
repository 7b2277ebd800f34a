// Renewing every few seconds keeps the calls to the platform few; a daemon that
// died is divided by for some seconds longer, which only makes the others a
// little more careful with what they share.

#include "core/node_directory.h"

#include <algorithm>
#include <cstdlib>

#include "fmt/format.h"
#include "xxhash.h"

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

/// Ends the part of an object before the demand by model.
constexpr char kDemandSeparator = ' ';

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
  MeasureRate(now);
  if (now >= m_next_put) {
    m_next_put = now + m_jitter.Between(Interval() * 4 / 5, Interval());
    actions.emplace_back(
        PutObject{kOwnCall, kPrefix + m_node,
                  fmt::format("{}/{}/{}{}{}", m_incarnation, ++m_renewal,
                              m_rate > 0.0 ? fmt::format("{:.2f}", m_rate)
                                           : std::string(kUnknownRate),
                              kDemandSeparator, EncodeDemand(m_demand.rates())),
                  m_version});
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
  bool created = m_version == 0;
  if (reply.status == ObjectStatus::kNotFound) {
    m_version = 0;
  } else {
    // Nobody else writes this object, so once it exists any version is ours.
    m_version = kAnyVersion;
  }
  bool again = reply.status == ObjectStatus::kNotFound ||
               (created && reply.status == ObjectStatus::kConflict);
  if (again) m_next_put = now;
  return true;
}

void NodeDirectory::Listed(const NodesListed& listed, TimePoint now) {
  if (!listed.complete) return;
  for (const auto& [name, value] : listed.nodes) {
    Seen& seen = m_nodes[name];
    if (seen.value == value) continue;
    std::size_t end = std::min(value.find(kDemandSeparator), value.size());
    seen = {value, now, TrailingNumber(value.substr(0, end)),
            DecodeDemand(value.substr(std::min(end + 1, value.size())))};
  }
  CountLive(now);
}

milliseconds NodeDirectory::Interval() const {
  return std::clamp(kShortestInterval * m_live / kDaemonsAtShortest,
                    kShortestInterval, kLongestInterval);
}

int NodeDirectory::Rank() const {
  auto place = [](const std::string& name) {
    return std::pair(XXH3_64bits(name.data(), name.size()), name);
  };
  auto own = place(m_node);
  return static_cast<int>(std::count_if(
      m_nodes.begin(), m_nodes.end(),
      [&](const auto& entry) { return place(entry.first) < own; }));
}

void NodeDirectory::CountLive(TimePoint now) {
  std::erase_if(m_nodes, [&](const auto& entry) {
    return now - entry.second.changed > Interval() * kLiveIntervals + kListAge;
  });
  m_live = 1 + static_cast<int>(m_nodes.size()) -
           static_cast<int>(m_nodes.count(m_node));
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
    AddDemand(m_demand.rates(), 1.0, &all);
    ++known;
  }
  for (const auto& [name, seen] : m_nodes) {
    if (name == m_node || seen.demand.empty()) continue;
    AddDemand(seen.demand, 1.0, &all);
    ++known;
  }
  DemandByModel scaled;
  if (known > 0) {
    AddDemand(all, static_cast<double>(m_live) / known, &scaled);
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

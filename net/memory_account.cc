#include "net/memory_account.h"

#include <algorithm>
#include <tuple>

namespace clementine {
namespace {

/// Resident memory of a daemon without connections, with a configuration of 1
/// MB and a list of some thousand servers; a fifth of larger hosts' memory.
constexpr std::size_t kProgramBytes = 24'000'000;

/// Added to the time without progress, so that the larger of two connections
/// that have just begun is closed first.
constexpr std::chrono::milliseconds kLeastStall{50};

/// Descriptors of the listeners, logs, timers and the client of the platform.
constexpr std::size_t kMaxReserve = 384;
constexpr std::size_t kMaxHealthConnections = 128;
constexpr std::size_t kMaxPeerConnections = 600;

/// Returns the class of a connection, 0 to be closed first, or -1 if it may not
/// be closed for others.
int ReclaimClass(const HeldConnection& connection) {
  switch (connection.use) {
    case ConnectionUse::kUnproven:
      return 0;
    case ConnectionUse::kSending:
      return connection.stalled >= kStalledReader ? 0 : 1;
    case ConnectionUse::kIdle:
    case ConnectionUse::kRunning:
      return -1;
  }
  return -1;
}

}  // namespace

MemoryPlan PlanMemory(std::size_t memory) {
  MemoryPlan plan;
  if (memory == 0) return plan;
  plan.program = std::min(std::max(kProgramBytes, memory / 5), memory / 2);
  std::size_t percent = (memory - plan.program) / 100;
  plan.allocator = 18 * percent;
  plan.callers = 36 * percent;
  plan.health = 2 * percent;
  plan.peers = 10 * percent;
  plan.backends = 16 * percent;
  plan.platform = 9 * percent;
  plan.changes = 9 * percent;
  return plan;
}

DescriptorPlan PlanDescriptors(std::size_t descriptors) {
  DescriptorPlan plan;
  if (descriptors == 0) return plan;
  plan.reserve = std::min(kMaxReserve, descriptors / 4);
  plan.health =
      std::clamp<std::size_t>(descriptors / 16, 1, kMaxHealthConnections);
  plan.peers = std::clamp<std::size_t>(descriptors / 8, 1, kMaxPeerConnections);
  std::size_t taken = plan.reserve + plan.health + plan.peers;
  std::size_t rest = descriptors > taken ? descriptors - taken : 0;
  plan.callers = rest / 2;
  plan.backends = rest / 2;
  return plan;
}

MemoryAccount::MemoryAccount(const MemoryPlan& divided)
    : plan(divided),
      callers(std::make_shared<MemoryPart>(divided.callers)),
      health(std::make_shared<MemoryPart>(divided.health)),
      peers(std::make_shared<MemoryPart>(divided.peers)) {}

std::vector<std::size_t> ReclaimOrder(
    const std::vector<HeldConnection>& connections) {
  struct Rank {
    int reclaim_class;
    double weight;
    std::size_t index;
  };
  std::vector<Rank> ranks;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    int reclaim_class = ReclaimClass(connections[i]);
    if (reclaim_class < 0) continue;
    auto stalled = connections[i].stalled + kLeastStall;
    ranks.push_back({reclaim_class,
                     static_cast<double>(connections[i].bytes) *
                         static_cast<double>(stalled.count()),
                     i});
  }
  std::sort(ranks.begin(), ranks.end(), [](const Rank& a, const Rank& b) {
    return std::tuple(a.reclaim_class, -a.weight, a.index) <
           std::tuple(b.reclaim_class, -b.weight, b.index);
  });
  std::vector<std::size_t> order;
  order.reserve(ranks.size());
  for (const Rank& rank : ranks) order.push_back(rank.index);
  return order;
}

std::chrono::milliseconds TransferTime(std::chrono::milliseconds grace,
                                       std::size_t bytes,
                                       std::size_t bytes_per_second) {
  return grace + std::chrono::milliseconds(bytes * 1'000 / bytes_per_second);
}

}  // namespace clementine

// Division of memory and descriptors, and the order in which connections are
// closed under pressure.

#include "net/memory_account.h"

#include <doctest/doctest.h>

using clementine::ConnectionUse;
using clementine::DescriptorPlan;
using clementine::HeldConnection;
using clementine::MemoryPlan;
using clementine::PlanDescriptors;
using clementine::PlanMemory;
using clementine::ReclaimOrder;
using std::chrono::milliseconds;

// Guards against limits that exceed the host's memory in sum, or leave a part
// without any.
TEST_CASE("limits of the memory account add up below the memory") {
  for (std::size_t memory = 1'000'000; memory < 2'000'000'000;
       memory += memory / 7) {
    MemoryPlan plan = PlanMemory(memory);
    INFO("memory " << memory);
    CHECK(plan.sum() <= memory);
    CHECK(plan.callers > 0);
    CHECK(plan.health > 0);
    CHECK(plan.peers > 0);
    CHECK(plan.backends > 0);
    CHECK(plan.platform > 0);
  }
  // The smallest host holds a whole body of 4 MB and an answer of 8 MB.
  CHECK(PlanMemory(160'000'000).callers > 40'000'000);
  CHECK(PlanMemory(160'000'000).backends > 8'388'608);
}

TEST_CASE("limits of connections add up below the descriptors") {
  for (std::size_t count = 16; count < 1'000'000; count += count / 5) {
    DescriptorPlan plan = PlanDescriptors(count);
    INFO("descriptors " << count);
    CHECK(plan.sum() <= count);
    CHECK(plan.callers > 0);
    CHECK(plan.health > 0);
    CHECK(plan.peers > 0);
    CHECK(plan.backends >= plan.callers);
  }
}

// Guards against ordinary callers that are closed for a crowd's bytes.
TEST_CASE("those that hold most for longest are closed first") {
  std::vector<HeldConnection> connections = {
      {ConnectionUse::kUnproven, 2'000, milliseconds(3)},        // Ordinary.
      {ConnectionUse::kRunning, 900'000, milliseconds(60'000)},  // Served.
      {ConnectionUse::kUnproven, 900'000, milliseconds(4'000)},  // Stopped.
      {ConnectionUse::kIdle, 8'000, milliseconds(14'000)},       // Reused.
      {ConnectionUse::kSending, 70'000, milliseconds(20'000)},   // Stopped.
      {ConnectionUse::kUnproven, 900'000, milliseconds(9'000)},  // Stopped.
      {ConnectionUse::kSending, 8'000'000, milliseconds(10)},    // Reads.
      {ConnectionUse::kUnproven, 8'000, milliseconds(20'000)}};  // Silent.
  CHECK(ReclaimOrder(connections) ==
        std::vector<std::size_t>{5, 2, 4, 7, 0, 6});
}

TEST_CASE("a transfer may last as long as its rate justifies") {
  CHECK(clementine::TransferTime(milliseconds(30'000), 0, 16'384) ==
        milliseconds(30'000));
  CHECK(clementine::TransferTime(milliseconds(30'000), 4'194'304, 16'384) ==
        milliseconds(286'000));
}

// Prints what one routing decision costs as the number of groups grows, and
// the memory of one request. Single thread; run it on an idle core.

#include <cstdio>
#include <cstdlib>
#include <new>

#include "core/core.h"
#include "core/router.h"

namespace {

std::uint64_t g_allocations = 0;
std::uint64_t g_bytes = 0;

}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
  ++g_allocations;
  g_bytes += size;
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace clementine {
namespace {

constexpr int kRounds = 200'000;

std::vector<GroupView> MakeGroups(int count) {
  std::vector<GroupView> groups;
  for (int i = 0; i < count; ++i) {
    GroupView view;
    view.group = "chat/" + std::to_string(i);
    view.model = "chat";
    view.data_centre = "east";
    view.epoch = 1;
    view.max_running = 1'000'000;
    view.open = true;
    groups.push_back(view);
  }
  return groups;
}

double Nanoseconds(TimePoint start, int rounds) {
  return std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now() - start)
             .count() /
         rounds;
}

/// @param targets Whether the requests have latency targets.
double MeasurePick(int groups, RoutePolicy policy, bool targets = false) {
  Router router("east", 1, std::move(policy));
  router.SetGroups(MakeGroups(groups));
  Request request;
  request.model = "chat";
  for (std::uint64_t block = 0; block < 32; ++block) {
    request.prefix_blocks.push_back(block);
    router.ApplyCacheEvents({"chat/1", block, {block}, {}});
  }
  Pool* pool = router.FindPool(request);
  if (targets) router.SteerLimit(pool);
  TimePoint start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    RoutedGroup* group = router.Pick(request, *pool, nullptr, start);
    router.OnAttemptStarted(group, start);
  }
  return Nanoseconds(start, kRounds);
}

void MeasureRequest(int groups) {
  RequestPathOptions options;
  options.node = "bench";
  options.data_centre = "east";
  RequestPath path(options);
  TimePoint now = std::chrono::steady_clock::now();
  path.Handle(GroupsChanged{MakeGroups(groups)}, now);
  auto configuration = std::make_shared<Configuration>();
  configuration->organisations["ash"] = {"ash", 1.0, 1'000'000, 1000};
  configuration->models["chat"] = {};
  path.Handle(ConfigurationChanged{1, configuration}, now);
  Request request;
  request.organisation = "ash";
  request.model = "chat";
  request.deadline = now + std::chrono::hours(1);
  std::uint64_t allocations = g_allocations;
  TimePoint start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    ++request.id;
    path.Handle(RequestArrived{request}, now);
    AttemptEnded end;
    end.attempt = request.id;
    end.result = AttemptResult::kComplete;
    path.Handle(end, now);
  }
  double time = Nanoseconds(start, kRounds);
  double count = static_cast<double>(g_allocations - allocations) / kRounds;
  std::printf("request groups=%d ns=%.0f allocations=%.1f\n", groups, time,
              count);
}

void MeasureMemory() {
  RequestPathOptions options;
  options.data_centre = "east";
  RequestPath path(options);
  TimePoint now = std::chrono::steady_clock::now();
  path.Handle(GroupsChanged{MakeGroups(42)}, now);
  auto configuration = std::make_shared<Configuration>();
  configuration->organisations["ash"] = {"ash", 1.0, 1'000'000, 1000};
  configuration->models["chat"] = {};
  path.Handle(ConfigurationChanged{1, configuration}, now);
  Request request;
  request.organisation = "ash";
  request.model = "chat";
  request.prefix_blocks.assign(32, 0);
  request.deadline = now + std::chrono::hours(1);
  constexpr int kRequests = 1000;
  std::uint64_t actions = 0;
  std::uint64_t before = g_bytes;
  for (int i = 0; i < kRequests; ++i) {
    ++request.id;
    actions += path.Handle(RequestArrived{request}, now).size();
  }
  // An upper bound: counts every allocation, also those already freed.
  std::printf("memory requests=%d actions=%llu allocated_bytes=%.0f\n",
              kRequests, static_cast<unsigned long long>(actions),
              static_cast<double>(g_bytes - before) / kRequests);
}

}  // namespace
}  // namespace clementine

int main() {
  for (int groups : {3, 42, 375}) {
    std::printf(
        "pick groups=%d weighted_ns=%.0f targets_ns=%.0f round_robin_ns=%.0f "
        "least_in_flight_ns=%.0f\n",
        groups, clementine::MeasurePick(groups, {}),
        clementine::MeasurePick(groups, {}, /*targets=*/true),
        clementine::MeasurePick(groups, clementine::RoundRobinPolicy()),
        clementine::MeasurePick(groups, clementine::LeastInFlightPolicy()));
  }
  for (int groups : {3, 42, 375}) {
    clementine::MeasureRequest(groups);
  }
  clementine::MeasureMemory();
  return 0;
}

#include "daemon/change_relay.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "core/watch_source.h"

namespace clementine {
namespace {

using platform::ObjectBatch;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

ObjectBatch Change(std::uint64_t revision, const std::string& name) {
  ObjectBatch batch;
  batch.status = ObjectBatch::Status::kOk;
  batch.revision = revision;
  batch.objects.push_back({name, revision, "{}", false});
  return batch;
}

/// A daemon that passes changes on, and one that follows it.
struct RelayPair {
  RelayPair()
      : relay([] { return std::chrono::steady_clock::now(); }),
        server(&io, "127.0.0.1:0", HttpLimits{},
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 relay.Accept(exchange);
               }),
        client(&io) {}

  ObjectBatch Watch(std::uint64_t since, const std::string& address) {
    std::optional<ObjectBatch> got;
    client.Watch(address, "servers", since,
                 [&got](ObjectBatch batch) { got = std::move(batch); });
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    while (!got && std::chrono::steady_clock::now() < end) {
      io.run_one_for(milliseconds(20));
      relay.Tick();
    }
    return got.value_or(ObjectBatch());
  }
  ObjectBatch Watch(std::uint64_t since) {
    return Watch(since, server.address());
  }

  boost::asio::io_context io;
  ChangeRelay relay;
  HttpServer server;
  ChangeClient client;
};

}  // namespace

// Guards against a follower that misses changes made between its answers.
TEST_CASE("change history tells all changes after a revision") {
  ChangeHistory history;
  history.Restart(10, kStart);
  history.Add(Change(12, "a"), kStart);
  history.Add(Change(15, "b"), kStart);
  auto all = history.After(10);
  REQUIRE(all);
  CHECK(all->objects.size() == 2);
  CHECK(all->revision == 15);
  auto rest = history.After(12);
  REQUIRE(rest);
  REQUIRE(rest->objects.size() == 1);
  CHECK(rest->objects[0].name == "b");
}

// Guards against a follower that goes back to an older state, or takes unknown
// changes for none.
TEST_CASE("change history goes neither backwards nor beyond what it knows") {
  ChangeHistory history;
  CHECK_FALSE(history.After(0));
  history.Restart(10, kStart);
  CHECK_FALSE(history.After(9));
  history.Add(Change(12, "a"), kStart);
  history.Add(Change(11, "late"), kStart);
  CHECK(history.revision() == 12);
  auto ahead = history.After(20);
  REQUIRE(ahead);
  CHECK(ahead->objects.empty());
  CHECK(ahead->revision == 20);
  history.Restart(8, kStart);
  CHECK(history.revision() == 12);
}

// Guards against memory that grows with every change of a fleet's life.
TEST_CASE("change history is bounded") {
  ChangeHistory history;
  history.Restart(0, kStart);
  for (std::uint64_t revision = 1; revision <= 5'000; ++revision) {
    history.Add(Change(revision, "a"), kStart);
  }
  CHECK_FALSE(history.After(100));
  auto known = history.After(4'990);
  REQUIRE(known);
  CHECK(known->objects.size() == 10);
}

// Guards against followers that act on what a daemon cut off from the platform
// knew before.
TEST_CASE("change history is fresh only for a short time") {
  ChangeHistory history;
  CHECK_FALSE(history.Fresh(kStart, milliseconds(1'000)));
  history.Restart(1, kStart);
  CHECK(history.Fresh(kStart + milliseconds(900), milliseconds(1'000)));
  CHECK_FALSE(history.Fresh(kStart + milliseconds(1'100), milliseconds(1'000)));
}

// Guards against followers that wait for the next change though there is one,
// and against waits without end.
TEST_CASE("a follower gets known changes at once and others as they come") {
  RelayPair pair;
  pair.relay.Listed("servers", 10);
  pair.relay.Changed("servers", Change(12, "a"));
  ObjectBatch known = pair.Watch(10);
  CHECK(known.status == ObjectBatch::Status::kOk);
  REQUIRE(known.objects.size() == 1);
  CHECK(known.objects[0].name == "a");
  CHECK(known.objects[0].content == "{}");
  ObjectBatch none = pair.Watch(12);
  CHECK(none.status == ObjectBatch::Status::kOk);
  CHECK(none.objects.empty());
  CHECK(none.revision == 12);
}

// Guards against a follower that takes an unknown history, a daemon that hasn't
// heard from the platform, or a malformed address for "nothing changed".
TEST_CASE("a follower is told when its source can't tell") {
  RelayPair pair;
  CHECK(pair.Watch(5).status == ObjectBatch::Status::kFailed);
  pair.relay.Listed("servers", 10);
  CHECK(pair.Watch(5).status == ObjectBatch::Status::kHistoryGone);
  CHECK(pair.Watch(5, "10.0.0.1:7500\"").status ==
        ObjectBatch::Status::kFailed);
}

// Guards against a daemon that asks a lost peer again and again, or that stays
// without news when all its peers are lost.
TEST_CASE("watch source leaves out peers that failed for some time") {
  WatchSource source("n1");
  CHECK(source.Choose(kStart).empty());
  source.SetPeers({"a:1", "b:1"});
  std::string first = source.Choose(kStart);
  CHECK_FALSE(first.empty());
  source.Failed(first, kStart);
  std::string second = source.Choose(kStart);
  CHECK(second != first);
  CHECK_FALSE(second.empty());
  source.Failed(second, kStart);
  CHECK(source.Choose(kStart).empty());
  CHECK(source.Choose(kStart + milliseconds(6'000)) == first);
}

}  // namespace clementine

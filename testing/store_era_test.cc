// Decisions after the platform's store was restored from a copy (requirements
// of a restore drill), without a network.

#include "core/store_era.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/crash_exchange.h"
#include "core/fleet_control.h"
#include "core/server_list.h"
#include "daemon/change_history.h"
#include "daemon/change_relay.h"

namespace clementine {
namespace {

using std::chrono::seconds;
using Verdict = StoreEra::Verdict;

const TimePoint kStart = TimePoint{} + seconds(1'000);

BackendServer MakeServer(const std::string& id, std::uint64_t orders) {
  BackendServer server;
  server.id = id;
  server.address = id + ":1";
  server.incarnation = 7;
  server.orders = orders;
  return server;
}

TEST_CASE("only a higher era counts as a restore") {
  // Guards against an era that goes back, or an answer without one, that makes
  // daemons list everything again.
  StoreEra era;
  CHECK(era.Observe(4) == Verdict::kFirst);
  CHECK(era.Observe(4) == Verdict::kCurrent);
  CHECK(era.Observe(std::nullopt) == Verdict::kCurrent);
  CHECK(era.Observe(3) == Verdict::kOlder);
  CHECK(era.ShouldLogOlder(3));
  CHECK_FALSE(era.ShouldLogOlder(3));
  CHECK(era.highest() == 4);
  CHECK(era.Observe(6) == Verdict::kRestored);
  CHECK(era.highest() == 6);
}

TEST_CASE("state is ordered by era before revision") {
  CHECK(IsNewerState(2, 5, 1, 90));
  CHECK_FALSE(IsNewerState(1, 90, 2, 5));
  CHECK(IsNewerState(2, 6, 2, 5));
  CHECK_FALSE(IsNewerState(2, 5, 2, 5));
}

TEST_CASE("each era has its own range of fences") {
  // Guards against fences of which the epochs exceed 2^53.
  CHECK(FirstFenceOfEra(0) == 0);
  CHECK(FirstFenceOfEra(2) > FirstFenceOfEra(1));
  std::uint64_t largest = FirstFenceOfEra(65'535);
  CHECK(largest * GroupPlanner::kEpochsPerTerm < std::uint64_t{1} << 53);
  CHECK(FirstFenceOfEra(65'536) == 0);
}

TEST_CASE("servers that a restored store lacks are held for a bounded time") {
  // Guards against groups that close although their servers serve on.
  ServerList list;
  list.Replace({MakeServer("a", 3), MakeServer("b", 3)}, kStart);
  list.OnStoreRestored(kStart);
  TimePoint listed = kStart + seconds(1);
  list.Replace({MakeServer("a", 3)}, listed);
  list.Expire(listed + kRewriteDuration - milliseconds(1));
  CHECK(list.servers().count("b") == 1);
  CHECK_FALSE(list.is_settled(listed + kRewriteDuration - milliseconds(1)));
  list.Expire(listed + kRewriteDuration);
  CHECK(list.servers().count("b") == 0);
}

TEST_CASE("a leaving mark doesn't revert in a restored list") {
  // Guards against requests to a leaving server after its notice.
  ServerList list;
  BackendServer leaving = MakeServer("a", 3);
  leaving.leaving = true;
  list.Replace({leaving, MakeServer("b", 3)}, kStart);
  list.OnStoreRestored(kStart);
  list.Replace({MakeServer("a", 3), MakeServer("b", 3)}, kStart);
  CHECK(list.servers().at("a").leaving);
  // Its own renewal may still be of the time before the notice.
  list.Apply({{"a", MakeServer("a", 3)}}, kStart + seconds(1));
  CHECK(list.servers().at("a").leaving);
  // A mark that only the list has is accepted at once.
  leaving.id = "b";
  leaving.address = "b:1";
  list.Replace({MakeServer("a", 3), leaving}, kStart + seconds(1));
  CHECK(list.servers().at("b").leaving);
  TimePoint rewritten = kStart + kRewriteDuration;
  list.Apply({{"a", MakeServer("a", 3)}}, rewritten);
  CHECK_FALSE(list.servers().at("a").leaving);
}

TEST_CASE("an older entry of a restored store doesn't replace a newer one") {
  // Guards against an earlier incarnation that is shown as ended when the
  // server writes its entry again: its requests would get crash marks.
  ServerList list;
  list.Replace({MakeServer("a", 3)}, kStart);
  list.OnStoreRestored(kStart);
  BackendServer older = MakeServer("a", 9);
  older.incarnation = 6;
  list.Replace({older}, kStart);
  list.Apply({{"a", MakeServer("a", 2)}}, kStart);
  CHECK(list.servers().at("a").incarnation == 7);
  CHECK(list.servers().at("a").orders == 3);
  list.Apply({{"a", MakeServer("a", 4)}}, kStart);
  CHECK(list.servers().at("a").orders == 4);
  CHECK(list.TakeEndedServers().empty());
}

TEST_CASE("crash marks are written again after a restore") {
  CrashExchange exchange("a");
  WallTime wall(seconds(1'000'000));
  exchange.OnObjects({}, wall);
  exchange.ShareMark({"digest/crash", seconds(600)}, kStart, wall);
  auto write = [&](TimePoint now) {
    for (const CrashExchange::Action& action :
         exchange.Advance(now, wall, false)) {
      if (const auto* put = std::get_if<PutObject>(&action)) return put->call;
    }
    return CallId{0};
  };
  CallId first = write(kStart + seconds(1));
  REQUIRE(first != 0);
  exchange.OnReply({first, ObjectStatus::kOk, 1, "", 1}, kStart + seconds(1));
  CHECK(write(kStart + seconds(2)) == 0);
  exchange.OnStoreRestored(kStart + seconds(3));
  CallId again = write(kStart + seconds(4));
  REQUIRE(again != 0);
  exchange.OnReply({again, ObjectStatus::kOk, 1, "", 2}, kStart + seconds(4));
  CHECK_FALSE(exchange.pending());
}

platform::ObjectBatch Batch(std::uint64_t era, std::uint64_t revision,
                            const std::string& name) {
  platform::ObjectBatch batch;
  batch.status = platform::ObjectBatch::Status::kOk;
  batch.era = era;
  batch.revision = revision;
  batch.objects = {{name, revision, "{}", false}};
  return batch;
}

TEST_CASE("a history accepts lower revisions of a higher era only") {
  ChangeHistory history;
  history.Replace(Batch(1, 90, "a"), kStart);
  history.Add(Batch(2, 95, "x"), kStart);
  CHECK(history.revision() == 90);
  history.Replace(Batch(2, 80, "b"), kStart);
  CHECK(history.era() == 2);
  CHECK(history.revision() == 80);
  ChangeDelta all = history.All();
  REQUIRE(all.objects.size() == 1);
  CHECK(all.objects[0].name == "b");
  history.Replace(Batch(1, 99, "a"), kStart);
  CHECK(history.revision() == 80);
}

TEST_CASE("frames carry the era as an optional field") {
  // Guards against frames that a daemon of the other version can't read.
  ChangeUpdate update;
  update.delta.revision = 5;
  std::string plain = EncodeChangeBody({update});
  CHECK(plain.find("era") == std::string::npos);
  update.delta.era = 3;
  ChangeFrameReader reader;
  reader.Append(EncodeChangeFrame(milliseconds(0), EncodeChangeBody({update})));
  reader.Append(EncodeChangeFrame(milliseconds(0), plain));
  CHECK(reader.Next()->updates[0].delta.era == 3);
  CHECK(reader.Next()->updates[0].delta.era == 0);
  ChangeRevisions eras = {3, 2, 3, 0};
  CHECK(DecodeChangeEras(EncodeChangeEras(eras)) == eras);
  CHECK(DecodeChangeEras("3,x") == ChangeRevisions{});
}

}  // namespace
}  // namespace clementine

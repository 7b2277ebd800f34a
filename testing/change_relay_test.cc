#include "daemon/change_relay.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <random>
#include <thread>

#include "daemon/change_client.h"
#include "testing/net_test_support.h"

namespace clementine {
namespace {

using nettest::RunFor;
using nettest::RunUntil;
using platform::ObjectBatch;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr milliseconds kHeartbeat{50};
constexpr milliseconds kSilenceTimeout{200};

ObjectBatch Change(std::uint64_t revision, const std::string& name,
                   bool deleted = false) {
  ObjectBatch batch;
  batch.status = ObjectBatch::Status::kOk;
  batch.revision = revision;
  batch.objects.push_back({name, revision, deleted ? "" : "{}", deleted});
  return batch;
}

ObjectBatch Empty(std::uint64_t revision) {
  ObjectBatch batch;
  batch.status = ObjectBatch::Status::kOk;
  batch.revision = revision;
  return batch;
}

TimePoint Now() { return std::chrono::steady_clock::now(); }

/// Returns the body carried by the complete chunks.
std::string Dechunk(std::string_view bytes) {
  std::string body;
  while (true) {
    std::size_t line = bytes.find("\r\n");
    if (line == std::string_view::npos) return body;
    std::size_t size =
        std::stoul(std::string(bytes.substr(0, line)), nullptr, 16);
    if (bytes.size() < line + 2 + size + 2) return body;
    body.append(bytes.substr(line + 2, size));
    bytes.remove_prefix(line + 2 + size + 2);
  }
}

/// A daemon that serves changes, and a follower of it.
struct RelayPair {
  explicit RelayPair(ChangeKeys source_keys = {}, ChangeKeys follower_keys = {})
      : relay(Now, kHeartbeat, std::move(source_keys)),
        server(&io, "127.0.0.1:0", HttpLimits{},
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 relay.Accept(exchange);
               }),
        client(&io, kSilenceTimeout,
               {Now,
                [this](const std::string& /*peer*/, const ChangeUpdate& update,
                       TimePoint as_of) {
                  updates.push_back(update);
                  last_as_of = as_of;
                },
                [this](const std::string& /*peer*/, const std::string& detail) {
                  lost = detail;
                }},
               std::move(follower_keys)) {}

  void SetRevision(std::uint64_t revision) {
    relay.ReplaceObjects(ChangeKind::kServers, Empty(revision), Now());
    relay.ReplaceObjects(ChangeKind::kConfiguration, Empty(revision), Now());
  }
  void Subscribe(std::uint64_t known) {
    client.Subscribe(server.address(), {known, known});
  }
  /// Runs both daemons for `time`.
  void Run(milliseconds time) {
    TimePoint end = Now() + time;
    while (Now() < end) {
      io.restart();
      io.run_one_for(milliseconds(10));
      relay.Tick();
    }
  }
  /// Names of the objects that the follower received, in order.
  std::string ReceivedNames() const {
    std::string names;
    for (const ChangeUpdate& update : updates) {
      for (const auto& object : update.delta.objects) names += object.name;
    }
    return names;
  }

  boost::asio::io_context io;
  ChangeRelay relay;
  HttpServer server;
  std::vector<ChangeUpdate> updates;
  TimePoint last_as_of;
  std::optional<std::string> lost;
  ChangeClient client;
};

}  // namespace

// Guards against a follower that misses changes made between two answers.
TEST_CASE("change history returns all changes after a revision") {
  ChangeHistory history;
  history.Replace(Empty(10), kStart);
  history.Add(Change(12, "a"), kStart);
  history.Add(Change(15, "b"), kStart);
  ChangeDelta all = history.DeltaAfter(10);
  CHECK_FALSE(all.whole);
  CHECK(all.objects.size() == 2);
  CHECK(all.revision == 15);
  ChangeDelta rest = history.DeltaAfter(12);
  REQUIRE(rest.objects.size() == 1);
  CHECK(rest.objects[0].name == "b");
}

// Guards against a follower that returns to an older state, or treats unknown
// changes as no changes.
TEST_CASE("change history never moves back and reports what it lacks") {
  ChangeHistory history;
  CHECK_FALSE(history.known());
  history.Add(Change(5, "early"), kStart);
  CHECK_FALSE(history.known());
  history.Replace(Change(10, "first"), kStart);
  ChangeDelta before = history.DeltaAfter(9);
  CHECK(before.whole);
  CHECK(before.objects.size() == 1);
  history.Add(Change(12, "a"), kStart);
  history.Add(Change(11, "late"), kStart);
  CHECK(history.revision() == 12);
  ChangeDelta ahead = history.DeltaAfter(20);
  CHECK(ahead.objects.empty());
  CHECK(ahead.revision == 20);
  history.Replace(Empty(8), kStart);
  CHECK(history.revision() == 12);
  CHECK(history.DeltaAfter(0).objects.size() == 2);
  history.Add(Empty(12), kStart - milliseconds(500));
  CHECK(history.as_of() == kStart);
}

// Guards against removals that don't reach followers. A removal that was made
// while the platform's history was lost is visible only as an object that is
// missing in the next list.
TEST_CASE("change history contains removals, also those detected by a list") {
  ChangeHistory history;
  ObjectBatch all = Change(10, "a");
  all.objects.push_back({"b", 9, "{}", false});
  history.Replace(all, kStart);
  history.Add(Change(11, "a", true), kStart);
  history.Replace(Empty(14), kStart);
  ChangeDelta delta = history.DeltaAfter(10);
  CHECK_FALSE(delta.whole);
  REQUIRE(delta.objects.size() == 2);
  CHECK(delta.objects[0].deleted);
  CHECK(delta.objects[1].deleted);
}

// Guards against memory that grows with the number of changes.
TEST_CASE("memory of the change history is bounded") {
  ChangeHistory history;
  history.Replace(Empty(1), kStart);
  for (std::uint64_t revision = 2; revision <= 10'000; revision += 2) {
    std::string name = "s" + std::to_string(revision);
    history.Add(Change(revision, name), kStart);
    history.Add(Change(revision + 1, name, true), kStart);
    history.Add(Change(revision + 1, "same"), kStart);
  }
  CHECK(history.DeltaAfter(1).whole);
  CHECK(history.DeltaAfter(1).objects.size() <= 1);
  CHECK(history.DeltaAfter(9'800).objects.size() <= 120);
  CHECK_FALSE(history.DeltaAfter(9'800).whole);
  // Above the memory limit, the history is not available to followers.
  ObjectBatch large = Change(20'000, "large");
  large.objects[0].content.assign(20'000'000, 'x');
  history.Add(large, kStart);
  CHECK_FALSE(history.known());
}

// Guards against frames that cannot be parsed. For some bodies, the inflater
// had written all output without reading the end of the stream; the frame was
// rejected and the follower dropped its source.
TEST_CASE("frames are parsed as encoded, regardless of how they are split") {
  std::mt19937_64 random(3);
  for (int size = 512; size < 20'000; size += 1 + size / 150) {
    CAPTURE(size);
    ChangeUpdate update;
    update.kind = ChangeKind::kConfiguration;
    update.age = milliseconds(size);
    update.delta.revision = 7;
    std::string text;
    while (text.size() < static_cast<std::size_t>(size)) {
      if (random() % 3 > 0) {
        text += "{\"name\":\"i-" + std::to_string(random() % 100'000) + "\"}";
      } else {
        for (int letter = 0; letter < 20; ++letter) {
          text += static_cast<char>('a' + random() % 26);
        }
      }
    }
    update.delta.objects.push_back({"main", 7, text, false});
    std::string frame =
        EncodeChangeFrame(milliseconds(5), EncodeChangeBody({update}));
    ChangeFrameReader reader;
    std::size_t half = random() % frame.size();
    reader.Append(frame.substr(0, half));
    CHECK_FALSE(reader.Next());
    reader.Append(frame.substr(half));
    auto read = reader.Next();
    REQUIRE(read);
    CHECK(read->elapsed == milliseconds(5));
    REQUIRE(read->updates.size() == 1);
    CHECK(read->updates[0].age == update.age);
    REQUIRE(read->updates[0].delta.objects.size() == 1);
    CHECK(read->updates[0].delta.objects[0].content == text);
    CHECK_FALSE(reader.Next());
  }
}

// Guards against followers that wait for the next change although one is
// already known, and against changes that arrive late or twice.
TEST_CASE("a follower gets known changes immediately and new ones when made") {
  RelayPair pair;
  pair.SetRevision(10);
  pair.relay.AddChanges(ChangeKind::kServers, Change(12, "a"), Now());
  pair.Subscribe(10);
  REQUIRE(RunUntil(&pair.io, [&] { return pair.ReceivedNames() == "a"; }));
  TimePoint changed = Now();
  pair.relay.AddChanges(ChangeKind::kConfiguration, Change(13, "b"), Now());
  REQUIRE(RunUntil(&pair.io, [&] { return pair.ReceivedNames() == "ab"; }));
  CHECK(Now() - changed < kHeartbeat);
  pair.Run(4 * kHeartbeat);
  CHECK(pair.ReceivedNames() == "ab");
  CHECK_FALSE(pair.lost);
}

// Guards against followers that treat the state of a daemon which is
// partitioned from the platform as current. Such a daemon still sends
// heartbeats, but the time up to which it knows all changes does not advance.
TEST_CASE("heartbeats carry the time up to which all changes are known") {
  RelayPair pair;
  pair.SetRevision(10);
  TimePoint known = Now();
  pair.Subscribe(10);
  pair.Run(6 * kHeartbeat);
  CHECK(pair.updates.size() >= 8);
  CHECK(pair.last_as_of <= known + milliseconds(20));
  pair.relay.AddChanges(ChangeKind::kServers, Empty(11), Now());
  pair.Run(kHeartbeat);
  CHECK(pair.updates.back().delta.revision >= 10);
  CHECK_FALSE(pair.lost);
}

// Guards against a paused follower that treats frames which were buffered
// during its pause as current.
TEST_CASE("frames that are read late count as older") {
  RelayPair pair;
  pair.SetRevision(10);
  pair.Subscribe(10);
  pair.Run(3 * kHeartbeat);
  // The source sends a frame while the follower is paused.
  TimePoint last = Now();
  pair.relay.AddChanges(ChangeKind::kServers, Empty(11), Now());
  std::this_thread::sleep_for(milliseconds(150));
  pair.updates.clear();
  RunUntil(&pair.io, [&] { return !pair.updates.empty(); });
  CHECK(pair.last_as_of <= last + milliseconds(30));
}

// Guards against a follower that keeps waiting for a source which has no data,
// is unresponsive, or sends malformed frames.
TEST_CASE("a subscription to a source that can't serve changes is ended") {
  RelayPair pair;
  pair.Subscribe(5);
  REQUIRE(RunUntil(&pair.io, [&] { return pair.lost.has_value(); }));
  for (const char* address : {"10.0.0.1:7500\"", "127.0.0.1:1"}) {
    CAPTURE(address);
    pair.lost.reset();
    pair.client.Subscribe(address, {0, 0});
    CHECK(RunUntil(&pair.io, [&] { return pair.lost.has_value(); }));
  }
  for (const char* sent : {"", "1 2 3 4\n", "junk\n", "1 10 0\n{\"kind\":1}",
                           "1 4 9\nabcd", "1 4000000000 0\n"}) {
    CAPTURE(sent);
    pair.lost.reset();
    nettest::ScriptedServer server(
        &pair.io, [&](nettest::RawConnection& raw, const std::string&) {
          raw.Send(nettest::kStreamHead + (*sent ? nettest::Chunk(sent) : ""));
        });
    pair.client.Subscribe(server.address, {0, 0});
    CHECK(RunUntil(&pair.io, [&] { return pair.lost.has_value(); }));
  }
}

// Guards against a source whose memory grows with the data that a follower
// doesn't read, and against a follower that never catches up.
TEST_CASE(
    "a follower that reads slowly gets the latest state when it resumes") {
  RelayPair pair;
  pair.SetRevision(10);
  auto raw = nettest::RawConnection::Connect(&pair.io, pair.server.address());
  raw->Send(
      "GET /changes?servers=10&configuration=10 HTTP/1.1\r\n"
      "Host: x\r\n\r\n");
  REQUIRE(RunUntil(&pair.io, [&] { return pair.relay.followers() == 1; }));
  raw->paused = true;
  RunFor(&pair.io, milliseconds(50));
  std::mt19937_64 random(1);
  std::uint64_t revision = 10;
  for (int i = 0; i < 400; ++i) {
    ObjectBatch batch = Change(++revision, "same");
    std::string& content = batch.objects[0].content;
    while (content.size() < 60'000) content += std::to_string(random());
    pair.relay.AddChanges(ChangeKind::kServers, batch, Now());
    pair.io.restart();
    pair.io.poll();
  }
  raw->Resume();
  auto last_revision = [&] {
    std::size_t body = raw->received.find("\r\n\r\n");
    std::uint64_t last = 0;
    ChangeFrameReader reader;
    reader.Append(Dechunk(raw->received.substr(body + 4)));
    while (auto frame = reader.Next()) {
      for (const ChangeUpdate& update : frame->updates) {
        if (update.kind == ChangeKind::kServers) last = update.delta.revision;
      }
    }
    return last;
  };
  TimePoint end = Now() + std::chrono::seconds(10);
  while (last_revision() != revision && Now() < end) {
    pair.Run(milliseconds(300));
  }
  CHECK(last_revision() == revision);
  // Far less data was queued than all states together.
  CHECK(raw->received.size() < 8'000'000);
}

// Guards against subscriptions between daemons that share no key, and against a
// key replacement that separates daemons with the new key from the others.
TEST_CASE("a subscription requires a key that follower and source share") {
  struct Case {
    ChangeKeys source;
    ChangeKeys follower;
    bool accepted;
  };
  for (const Case& each :
       {Case{{"a"}, {"a"}, true}, Case{{"a", "b"}, {"b"}, true},
        Case{{"b", "a"}, {"a", "b"}, true}, Case{{"a"}, {"b"}, false},
        Case{{"a"}, {}, false}, Case{{}, {"a"}, false}}) {
    RelayPair pair(each.source, each.follower);
    pair.SetRevision(10);
    pair.relay.AddChanges(ChangeKind::kServers, Change(12, "x"), Now());
    pair.Subscribe(10);
    RunUntil(&pair.io,
             [&] { return pair.lost || pair.ReceivedNames() == "x"; });
    CHECK((pair.ReceivedNames() == "x") == each.accepted);
    CHECK(pair.lost.has_value() != each.accepted);
    if (!each.accepted) continue;
    pair.relay.AddChanges(ChangeKind::kServers, Change(13, "y"), Now());
    CHECK(RunUntil(&pair.io, [&] { return pair.ReceivedNames() == "xy"; }));
    pair.Run(3 * kHeartbeat);
    CHECK_FALSE(pair.lost);
  }
}

// Guards against frames that were modified, omitted, repeated, or recorded from
// another subscription.
TEST_CASE("a follower rejects frames that its source did not send to it") {
  ChangeUpdate update;
  update.delta.revision = 7;
  std::string body = EncodeChangeBody({update});
  FrameCodes source("key", "nonce");
  std::string first = EncodeChangeFrame(milliseconds(5), body, &source);
  std::string second = EncodeChangeFrame(milliseconds(6), body, &source);
  FrameCodes other("key", "other nonce");
  std::string recorded = EncodeChangeFrame(milliseconds(5), body, &other);
  std::string later = first;
  later[0] = '9';  // Makes the frame appear more recent.
  std::string changed = first;
  changed[changed.find("at\":7") + 4] = '8';
  auto rejects = [](const std::vector<std::string>& frames) {
    ChangeFrameReader reader(FrameCodes("key", "nonce"));
    for (const std::string& frame : frames) {
      reader.Append(frame);
      try {
        if (!reader.Next()) return true;
      } catch (const std::runtime_error&) {
        return true;
      }
    }
    return false;
  };
  CHECK_FALSE(rejects({first, second}));
  CHECK(rejects({second}));
  CHECK(rejects({first, first}));
  CHECK(rejects({recorded}));
  CHECK(rejects({later}));
  CHECK(rejects({changed}));
  CHECK(rejects({EncodeChangeFrame(milliseconds(5), body)}));
}

// Guards against daemons that reject the frames of newer daemons during an
// upgrade, because the frames contain a kind that they don't support.
TEST_CASE("a follower that doesn't request crash marks receives none") {
  RelayPair pair;
  pair.SetRevision(10);
  ObjectBatch crashes = Change(11, "d1");
  pair.relay.ReplaceObjects(ChangeKind::kCrashes, crashes, Now());
  for (bool requested : {false, true}) {
    CAPTURE(requested);
    auto raw = nettest::RawConnection::Connect(&pair.io, pair.server.address());
    raw->Send("GET /changes?servers=10&configuration=10" +
              std::string(requested ? "&crashes=10" : "") +
              " HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(RunUntil(&pair.io, [&] {
      return raw->received.find("configuration") != std::string::npos;
    }));
    pair.relay.AddChanges(ChangeKind::kCrashes, Change(12 + requested, "d2"),
                          Now());
    pair.Run(milliseconds(200));
    CHECK((raw->received.find("crashes") != std::string::npos) == requested);
    CHECK((raw->received.find("\"d2\"") != std::string::npos) == requested);
  }
}

}  // namespace clementine

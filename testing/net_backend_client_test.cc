#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <thread>

#include "net/net.h"
#include "testing/net_test_support.h"

namespace clementine::nettest {
namespace {

struct Fixture {
  explicit Fixture(ScriptedServer::Script script,
                   const BackendOptions& options = {})
      : server(&io, std::move(script)), client(&io, options) {
    call.address = server.address;
    call.target = "/v1/chat/completions";
    call.body = std::make_shared<const std::string>("{}");
    call.attempt = "n-1";
    call.event_stream = true;
  }

  std::shared_ptr<BackendAttempt> Start() {
    BackendHandlers handlers;
    handlers.token = [this](std::string_view data, std::uint64_t offset) {
      tokens += data;
      last_offset = offset;
    };
    handlers.load = [this](const LoadReport& report) { load = report; };
    handlers.end = [this](const BackendEnd& result) { ends.push_back(result); };
    return client.Start(call, std::move(handlers));
  }

  BackendEnd Run() {
    std::size_t before = ends.size();
    Start();
    REQUIRE(RunUntil(&io, [&] { return ends.size() > before; }));
    return ends.back();
  }

  asio::io_context io;
  ScriptedServer server;
  BackendClient client;
  BackendCall call;
  std::string tokens;
  std::uint64_t last_offset = 0;
  std::optional<LoadReport> load;
  std::vector<BackendEnd> ends;
};

std::string Stream(const std::string& events) {
  return kStreamHead + Chunk(events) + kLastChunk;
}

AttemptResult ResultOf(const std::string& answer, bool close = false) {
  Fixture fixture([&](RawConnection& raw, const std::string&) {
    raw.Send(answer);
    if (close) raw.FinishSending();
  });
  return fixture.Run().result;
}

}  // namespace

// Guards against tokens of another attempt, or repeated ones, in an answer.
TEST_CASE("backend client drops foreign and repeated events") {
  Fixture fixture([](RawConnection& raw, const std::string&) {
    raw.Send(Stream(Event("n-1", 0, "a") + Event("n-2", 1, "X") +
                    Event("n-1", 0, "a") + Event("n-11", 1, "X") +
                    "data: X\n\n" + Event("n-1", 1, "b") + kDone));
  });
  BackendEnd end = fixture.Run();
  CHECK(end.result == AttemptResult::kComplete);
  CHECK(fixture.tokens == "ab");
  CHECK(end.offset == 2);
  CHECK(end.dropped == 4);
  CHECK(fixture.client.stats().frames_dropped == 4);
}

// Guards against an answer with a missing token that looks complete.
TEST_CASE("backend client ends an attempt at a gap") {
  Fixture fixture([](RawConnection& raw, const std::string&) {
    raw.Send(Stream(Event("n-1", 0, "a") + Event("n-1", 2, "c") + kDone));
  });
  BackendEnd end = fixture.Run();
  CHECK(end.result == AttemptResult::kBroken);
  CHECK(fixture.tokens == "a");
  CHECK(end.offset == 1);
  CHECK(fixture.client.stats().gaps == 1);
}

// Guards against repeated or missing tokens when a stream is resumed.
TEST_CASE("backend client resumes at its offset") {
  Fixture fixture([](RawConnection& raw, const std::string&) {
    raw.Send(Stream(Event("n-1", 1, "b") + Event("n-1", 2, "c") + kDone));
  });
  fixture.call.resume_offset = 2;
  BackendEnd end = fixture.Run();
  CHECK(fixture.server.requests[0].find("X-Resume-Offset: 2") !=
        std::string::npos);
  CHECK(fixture.tokens == "c");
  CHECK(end.offset == 3);
}

// Guards against splitting an event wherever the network splits the bytes.
TEST_CASE("event stream reader doesn't depend on packet boundaries") {
  std::string bytes = ": comment\r\n" + Event("a:b", 0, "one") +
                      "id: a:b:1\r\ndata: two\r\ndata: lines\r\n\r\n" +
                      Event("a:b", 2, "three") + kDone;
  CHECK(rc::check([&](const std::vector<std::uint8_t>& cuts) {
    EventStreamReader reader("a:b", 0);
    std::string joined;
    std::size_t at = 0;
    auto read = [&](std::size_t size) {
      reader.Read(
          std::string_view(bytes).substr(at, size),
          [&](std::string_view data) { joined.append(data).append("|"); });
      at = std::min(bytes.size(), at + size);
    };
    for (std::uint8_t cut : cuts) read(cut % 16);
    read(bytes.size());
    RC_ASSERT(joined == "one|two\nlines|three|");
    RC_ASSERT(reader.done());
    RC_ASSERT(reader.offset() == 3U);
  }));
}

// Guards against "not run" for a call that a backend server may have run, and
// against "unknown" for one that it certainly didn't.
TEST_CASE("backend client classifies how calls end") {
  CHECK(ResultOf(HttpAnswer(409, "{\"not_run\":true}")) ==
        AttemptResult::kWrongEpoch);
  CHECK(ResultOf(HttpAnswer(503, "{\"not_run\":true}")) ==
        AttemptResult::kRefused);
  CHECK(ResultOf(HttpAnswer(503, "{\"not_run\":\"true\"}")) ==
        AttemptResult::kError);
  CHECK(ResultOf(HttpAnswer(500, "{\"not_run\":true}")) ==
        AttemptResult::kError);
  CHECK(ResultOf(HttpAnswer(200, "{}")) == AttemptResult::kError);
  CHECK(ResultOf("HTTP/1.1 503 X\r\nContent-Length: 99\r\n\r\n{\"not_run\":tr",
                 true) == AttemptResult::kBroken);
  CHECK(ResultOf("", true) == AttemptResult::kBroken);
  CHECK(ResultOf("garbage\r\n\r\n", true) == AttemptResult::kBroken);
  CHECK(ResultOf(Stream(Event("n-1", 0, "a")), true) == AttemptResult::kBroken);
  CHECK(ResultOf(HttpAnswer(200, "{}", "X-Attempt-Id: n-2\r\n")) ==
        AttemptResult::kBroken);
}

// Guards against a crash that isn't told from a broken connection, and against
// a call that couldn't be sent being reported as possibly run.
TEST_CASE("backend client tells a crash from a call that wasn't sent") {
  Fixture* current = nullptr;
  Fixture fixture([&](RawConnection& raw, const std::string&) {
    raw.Send(kStreamHead + Chunk(Event("n-1", 0, "a")));
    asio::post(current->io, [&] { current->server.Stop(); });
  });
  current = &fixture;
  CHECK(fixture.Run().result == AttemptResult::kCrashed);
  CHECK(fixture.Run().result == AttemptResult::kNotSent);
}

// Guards against missing a crash when the exiting process closes its
// connections a moment before its listening socket.
TEST_CASE("backend client recognises a crash whose port closes late") {
  Fixture* current = nullptr;
  std::optional<asio::steady_timer> exit;
  Fixture fixture([&](RawConnection& raw, const std::string&) {
    raw.Close();
    exit.emplace(current->io, std::chrono::milliseconds(2));
    exit->async_wait([&](const boost::system::error_code& error) {
      if (!error) current->server.Stop();
    });
  });
  current = &fixture;
  CHECK(fixture.Run().result == AttemptResult::kCrashed);
  exit.reset();
}

// Guards against waiting for ever in any phase of a call.
TEST_CASE("backend client limits each phase") {
  bool silent = true;
  Fixture fixture([&](RawConnection& raw, const std::string&) {
    if (!silent) raw.Send(kStreamHead + Chunk(Event("n-1", 0, "a")));
  });
  fixture.call.first_byte_timeout = milliseconds(100);
  fixture.call.gap_timeout = milliseconds(100);
  CHECK(fixture.Run().result == AttemptResult::kTimedOut);
  CHECK(fixture.tokens.empty());
  silent = false;
  CHECK(fixture.Run().result == AttemptResult::kTimedOut);
  CHECK(fixture.tokens == "a");
}

// Guards against a stale connection that makes a call run twice or fail.
TEST_CASE("backend client doesn't trust a reused connection") {
  Fixture fixture([](RawConnection& raw, const std::string&) {
    raw.Send(HttpAnswer(200, "{}"));
  });
  fixture.call.event_stream = false;
  fixture.Run();
  fixture.Run();
  CHECK(fixture.client.stats().reused == 1);
  CHECK(fixture.server.connections.size() == 1);
  fixture.server.connections[0]->FinishSending();
  RunFor(&fixture.io, milliseconds(20));
  CHECK(fixture.Run().result == AttemptResult::kComplete);
  CHECK(fixture.server.connections.size() == 2);
  fixture.call.idempotent = false;
  CHECK(fixture.Run().result == AttemptResult::kComplete);
  CHECK(fixture.server.connections.size() == 3);
  CHECK(fixture.server.requests.size() == 4);
}

// Guards against a client that keeps no connections and ends its process when
// an answer completes.
TEST_CASE("backend client may keep no idle connections") {
  asio::io_context io;
  ScriptedServer server(&io, [](RawConnection& raw, const std::string&) {
    raw.Send(HttpAnswer(200, "ok"));
  });
  BackendOptions options;
  options.max_idle_per_address = 0;
  BackendClient client(&io, options);
  for (int i = 0; i < 2; ++i) {
    BackendCall call;
    call.address = server.address;
    call.relay = true;
    call.method = "GET";
    call.target = "/";
    std::optional<BackendEnd> ended;
    BackendHandlers handlers;
    handlers.end = [&ended](const BackendEnd& end) { ended = end; };
    client.Start(std::move(call), std::move(handlers));
    REQUIRE(RunUntil(&io, [&] { return ended.has_value(); }));
    CHECK(ended->result == AttemptResult::kComplete);
    CHECK_FALSE(ended->reused);
    CHECK(client.stats().idle == 0);
  }
}

// Guards against a host that is taken for failed because one connection to it
// stopped responding.
TEST_CASE("backend client replaces a connection that stops responding") {
  int answered = 0;
  Fixture fixture([&](RawConnection& raw, const std::string&) {
    if (++answered != 2) {
      raw.Send(HttpAnswer(200, "{\"host\":\"h\",\"state\":\"idle\"}"));
    }
  });
  std::vector<std::optional<HostHealth>> healths;
  for (std::size_t i = 0; i < 2; ++i) {
    fixture.client.Probe(fixture.server.address, milliseconds(400),
                         [&](const std::optional<HostHealth>& health) {
                           healths.push_back(health);
                         });
    REQUIRE(RunUntil(&fixture.io, [&] { return healths.size() == i + 1; }));
    CHECK(healths[i].has_value());
  }
  CHECK(fixture.server.connections.size() == 2);
}

// Guards against reading on for a caller that doesn't, and against a timeout
// that its slowness causes.
TEST_CASE("backend client pauses and cancels") {
  Fixture fixture([](RawConnection& raw, const std::string&) {
    raw.Send(kStreamHead + Chunk(Event("n-1", 0, "a")));
  });
  fixture.call.gap_timeout = milliseconds(150);
  auto attempt = fixture.Start();
  REQUIRE(RunUntil(&fixture.io, [&] { return fixture.tokens == "a"; }));
  attempt->Pause();
  RunFor(&fixture.io, milliseconds(20));
  RawConnection& raw = *fixture.server.connections[0];
  raw.Send(Chunk(Event("n-1", 1, "b")));
  raw.Send(Chunk(Event("n-1", 2, "c")));
  RunFor(&fixture.io, milliseconds(300));
  CHECK(fixture.tokens.size() <= 2);
  CHECK(fixture.ends.empty());
  attempt->Resume();
  CHECK(RunUntil(&fixture.io, [&] { return fixture.tokens == "abc"; }));
  attempt->Cancel();
  raw.Send(Chunk(Event("n-1", 3, "d")));
  CHECK(RunUntil(&fixture.io, [&] { return raw.closed; }));
  CHECK(fixture.tokens == "abc");
  CHECK(fixture.ends.empty());
}

// Guards against load, leaving and the wait for a repetition being overlooked.
TEST_CASE("backend client reads the headers of an answer") {
  Fixture fixture([](RawConnection& raw, const std::string&) {
    raw.Send(HttpAnswer(503, "{\"not_run\":true}",
                        "X-Load: running=3;waiting=1;kv=0.42\r\n"
                        "Leaving: true\r\nRetry-After: 7\r\n"));
  });
  BackendEnd end = fixture.Run();
  CHECK(end.leaving);
  CHECK(end.retry_after == milliseconds(7000));
  REQUIRE(fixture.load);
  CHECK(fixture.load->running == 3);
  CHECK(fixture.load->waiting == 1);
  CHECK(fixture.load->kv_used == doctest::Approx(0.42));
  for (const char* bad : {"", "running", "running=x", "running=-1", "kv=0.1",
                          "running=1;kv=nan", "running=1;kv=-1"}) {
    CHECK_FALSE(ParseLoad(bad).has_value());
  }
}

// Guards against an order that is taken for accepted or for never sent.
TEST_CASE("backend client reports what became of an order") {
  int status = 200;
  Fixture fixture([&](RawConnection& raw, const std::string&) {
    raw.Send(HttpAnswer(status, "{}"));
  });
  std::string seen;
  auto order = [&] {
    seen.clear();
    fixture.client.SendOrder(
        fixture.server.address, {},
        std::chrono::steady_clock::now() + milliseconds(500),
        [&](bool accepted, bool sent) {
          seen = accepted ? "accepted" : sent ? "sent" : "not sent";
        });
    RunUntil(&fixture.io, [&] { return !seen.empty(); });
    return seen;
  };
  CHECK(order() == "accepted");
  status = 409;
  CHECK(order() == "sent");
  fixture.server.Stop();
  CHECK(order() == "not sent");
}

// Guards against an order that a paused process sends after its lease has
// ended: the process stops after the decision, and what it had prepared is
// written when it resumes.
TEST_CASE("an order isn't sent once its time has passed") {
  int received = 0;
  Fixture fixture([&](RawConnection& raw, const std::string&) {
    ++received;
    raw.Send(HttpAnswer(200, "{}"));
  });
  std::string seen;
  fixture.client.SendOrder(
      fixture.server.address, {},
      std::chrono::steady_clock::now() + milliseconds(50),
      [&](bool accepted, bool sent) {
        seen = accepted ? "accepted" : sent ? "sent" : "not sent";
      });
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(RunUntil(&fixture.io, [&] { return !seen.empty(); }));
  CHECK(seen == "not sent");
  RunFor(&fixture.io, milliseconds(50));
  CHECK(received == 0);
}

// Guards against a server's time that is read as none because it has a fraction
// or is a date, and against values that break the reader.
TEST_CASE("Retry-After is read as seconds, fractions and dates") {
  // Fri, 04 Dec 2026 12:00:00 GMT.
  auto now = std::chrono::system_clock::from_time_t(1'796'385'600);
  auto parse = [&](const char* text) {
    return ParseRetryAfter(text, now).count();
  };
  CHECK(parse("7") == 7'000);
  CHECK(parse("0.25") == 250);
  CHECK(parse("Fri, 04 Dec 2026 12:00:05 GMT") == 5'000);
  CHECK(parse("Fri, 04 Dec 2026 11:00:00 GMT") == 0);
  CHECK(parse("99999999999") == 86'400'000);
  for (const char* text :
       {"", "-1", "soon", "1e999", "nan", "inf", "7 s", "Fri, 99 Dec"}) {
    CAPTURE(text);
    CHECK(parse(text) == 0);
  }
}

}  // namespace clementine::nettest

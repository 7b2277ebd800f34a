// A whole session as callers and operators see it, with the daemon's decisions,
// compared with testing/golden/session.txt. CLEMENTINE_UPDATE_GOLDEN=1 rewrites
// the file.
//
// Times, ports and ids are replaced. Decisions are listed by kind, since the
// order of decisions of different kinds depends on timing.

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

#include "fmt/format.h"
#include "testing/process_site.h"

using clementine::testing::Answer;
using clementine::testing::ChatBody;
using clementine::testing::EventStream;
using clementine::testing::Fetch;
using clementine::testing::Headers;
using clementine::testing::kCaller;
using clementine::testing::kChat;
using clementine::testing::kLongWait;
using clementine::testing::kOneGroup;
using clementine::testing::kOrders;
using clementine::testing::SetFaults;
using clementine::testing::Site;
using clementine::testing::WaitFor;
using clementine::testing::WithKey;

namespace {

const char* const kGoldenFile =
    CLEMENTINE_SOURCE_DIR "/testing/golden/session.txt";

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    if (line.ends_with('\r')) line.pop_back();
    lines.push_back(line);
  }
  return lines;
}

std::string Normalise(std::string text) {
  static const std::vector<std::pair<std::regex, std::string>> rules = {
      {std::regex("time=[^ ]+ "), ""},
      {std::regex("127\\.0\\.0\\.1:[0-9]+"), "ADDRESS"},
      {std::regex("apply_id=[0-9a-f]+"), "apply_id=ID"},
      {std::regex("d1-[0-9a-f]+-"), "d1-START-"},
      {std::regex("total_ms=[0-9.]+"), "total_ms=N"},
      {std::regex("backoff_ms=[0-9]+"), "backoff_ms=N"},
      {std::regex("retry_after_ms=[0-9]+"), "retry_after_ms=N"},
      {std::regex("unfinished=[0-9]+"), "unfinished=N"},
  };
  for (const auto& [pattern, replacement] : rules) {
    text = std::regex_replace(text, pattern, replacement);
  }
  return text;
}

class Transcript {
 public:
  void Section(const std::string& title) {
    m_text += fmt::format("{}## {}\n", m_text.empty() ? "" : "\n", title);
  }
  void Line(const std::string& line) { m_text += Normalise(line) + "\n"; }

  /// Adds a call and its answer.
  void Call(const std::string& request, const Answer& answer) {
    Line("> " + request);
    Line(fmt::format("< {}", answer.status));
    for (const char* name : {"Content-Type", "Retry-After",
                             "X-Clementine-Outcome", "X-Clementine-Replayed"}) {
      std::string value = answer.Header(name);
      if (!value.empty()) Line(fmt::format("< {}: {}", name, value));
    }
    for (const std::string& line : Lines(answer.body)) Line("< " + line);
  }

  /// Adds the events of a stream, without the framing of its chunks.
  void Stream(const std::string& request, const EventStream& stream) {
    Line("> " + request);
    Line(fmt::format("< {}", stream.status()));
    for (const std::string& line : Lines(stream.raw())) {
      if (line.starts_with("data:") || line.starts_with("event:") ||
          line.starts_with("Content-Type:")) {
        Line("< " + line);
      }
    }
  }

  /// Adds what an operator sees; lines of progress depend on timing.
  void Command(const std::string& command,
               const std::pair<int, std::string>& result) {
    Line("$ " + command);
    for (const std::string& line : Lines(result.second)) {
      if (!line.starts_with("dc1: ")) Line(line);
    }
    Line(fmt::format("exit {}", result.first));
  }

  /// Adds the log lines of the given events in the order of the log.
  void Decisions(const std::string& log,
                 const std::vector<std::string>& events) {
    for (const std::string& line : Lines(log)) {
      std::size_t start = line.find(" event=");
      if (start == std::string::npos) continue;
      std::string event = line.substr(start + 7);
      event = event.substr(0, event.find(' '));
      if (std::find(events.begin(), events.end(), event) != events.end()) {
        Line(line);
      }
    }
  }

  const std::string& text() const { return m_text; }

 private:
  std::string m_text;
};

/// Lines that differ, from the first difference on.
std::string Difference(const std::string& expected, const std::string& actual) {
  auto left = Lines(expected);
  auto right = Lines(actual);
  std::size_t same = 0;
  while (same < std::min(left.size(), right.size()) &&
         left[same] == right[same]) {
    ++same;
  }
  while (left.size() > same && right.size() > same &&
         left.back() == right.back()) {
    left.pop_back();
    right.pop_back();
  }
  std::string text = fmt::format("from line {}:\n", same + 1);
  for (std::size_t i = same; i < left.size(); ++i) text += "-" + left[i] + "\n";
  for (std::size_t i = same; i < right.size(); ++i) {
    text += "+" + right[i] + "\n";
  }
  return text;
}

void RecordRequests(Site* site, Transcript* transcript) {
  transcript->Section("request");
  std::string body = ChatBody("chat", "blue", 3, false);
  transcript->Call(fmt::format("POST {} {}", kChat, body),
                   Fetch(site->address(0), "POST", kChat, body, kCaller));
  Headers stranger = {{"Authorization", "Bearer nobody"}};
  transcript->Call("the same with an unknown token",
                   Fetch(site->address(0), "POST", kChat, body, stranger));

  transcript->Section("stream");
  body = ChatBody("chat", "green", 3, true);
  EventStream stream(site->address(0), kChat, body, kCaller);
  CHECK(stream.WaitForEnd());
  transcript->Stream(fmt::format("POST {} {}", kChat, body), stream);
}

void RecordOrders(Site* site, Transcript* transcript) {
  transcript->Section("order");
  auto order = [&](const std::string& key, const std::string& note) {
    transcript->Call(
        fmt::format("POST {} with key {}{}", kOrders, key, note),
        Fetch(site->address(0), "POST", kOrders, R"({"kit":1})", WithKey(key)));
  };
  order("k1", "");
  order("k1", ", resent");
  SetFaults(site->backend("p1").address(), {{"break", 1}});
  order("k2", ", connection lost after the run");
  order("k2", ", resent");
  site->SetPlatformFaults({{"down", true}});
  order("k3", ", platform down");
  site->SetPlatformFaults({{"down", false}});
}

void RecordDrain(Site* site, Transcript* transcript) {
  transcript->Section("drain");
  std::string body = ChatBody("chat", "red", 60, true);
  EventStream stream(site->address(0), kChat, body, kCaller);
  CHECK(stream.WaitForTokens(1));
  site->daemon(0).Signal(SIGTERM);
  Answer ready;
  CHECK(WaitFor(kLongWait, [&] {
    ready = Fetch(site->address(0), "GET", "/readyz");
    return ready.status != 200;
  }));
  transcript->Call("GET /readyz after SIGTERM", ready);
  CHECK(stream.WaitForEnd());
  transcript->Line(fmt::format("stream under way: tokens={} done={} error={}",
                               stream.tokens(), stream.done(), stream.error()));
  transcript->Line(
      fmt::format("exit {}", site->daemon(0).WaitForExit().value_or(-1)));
}

}  // namespace

// Guards against unnoticed changes of what callers and operators see, and of
// the decisions behind it.
TEST_CASE("a whole session is as recorded") {
  Site site({.engine_options = {"--token-ms", "20"},
             .file = "",
             .engines = 2,
             .daemons = 1});
  Transcript transcript;
  transcript.Section("apply");
  transcript.Command("clementinectl apply --wait --author operator SITE",
                     site.Apply(kOneGroup, {"--wait", "--author", "operator"}));
  REQUIRE(site.WaitForOpenGroups(2));
  transcript.Section("conflict");
  transcript.Command(
      "clementinectl apply --expect 0 --author other CHANGED",
      site.Apply(std::string(kOneGroup) + "[route /v1/new]\nservice = orders\n",
                 {"--expect", "0", "--author", "other"}));
  RecordRequests(&site, &transcript);
  RecordOrders(&site, &transcript);
  RecordDrain(&site, &transcript);

  std::string log = site.daemon(0).Log();
  transcript.Section("decisions: configuration");
  transcript.Decisions(log, {"config_adopted", "config_rejected"});
  transcript.Section("decisions: placement");
  transcript.Decisions(log, {"group_placed", "order", "group_serving",
                             "group_repaired", "group_dissolved"});
  transcript.Section("decisions: requests");
  transcript.Decisions(log, {"route", "retry", "refuse", "replay",
                             "attempt_ended", "answer", "request_rejected"});
  transcript.Section("decisions: stop");
  transcript.Decisions(log, {"stopping", "draining", "stopped"});

  if (std::getenv("CLEMENTINE_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(kGoldenFile) << transcript.text();
  }
  std::ifstream file(kGoldenFile);
  std::stringstream expected;
  expected << file.rdbuf();
  INFO(Difference(expected.str(), transcript.text()));
  CHECK(transcript.text() == expected.str());
}

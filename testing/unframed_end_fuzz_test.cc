// Random ends of answers without a length, from servers whose process lives or
// ends in the same moment. A test of the whole family of which the cases in
// unframed_end_test.cc are points.

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "net/net.h"
#include "testing/net_test_support.h"

namespace clementine {
namespace {

using Clock = std::chrono::steady_clock;
using nettest::RawConnection;
using nettest::RunFor;
using nettest::ScriptedServer;

enum class ServerFate {
  kLives,     ///< Its answers end.
  kResets,    ///< It lives and resets the first answer; the others end.
  kEnds,      ///< Its process ends, and its port refuses.
  kReplaced,  ///< Its process ends, and another one listens at once.
};

/// A server with some answers that end together.
class Scenario {
 public:
  Scenario(boost::asio::io_context* io, BackendClient* client,
           std::mt19937_64* random)
      : m_server(io, [this](RawConnection& raw, const std::string& request) {
          if (m_answers.empty()) m_first_request = request;
          raw.Send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\ntext");
          m_answers.push_back(raw.shared_from_this());
        }) {
    auto pick = [random](int least, int most) {
      return std::uniform_int_distribution<int>(least, most)(*random);
    };
    m_fate = static_cast<ServerFate>(pick(0, 3));
    m_leaving = pick(0, 1) == 1;
    m_end_at = milliseconds(pick(50, 1'500));
    m_resume_at = m_end_at + milliseconds(pick(0, 800));
    constexpr int kIdleTimeouts[] = {400, 700, 1'000, 60'000};
    m_idle_timeout = milliseconds(kIdleTimeouts[pick(0, 3)]);
    m_calls.resize(static_cast<std::size_t>(pick(1, 3)));
    for (Call& call : m_calls) {
      call.slow = pick(0, 2) == 0;
      Start(client, &call);
    }
  }

  /// @return Whether all answers have ended.
  bool Advance(milliseconds now) {
    if (!m_ended && m_answers.size() == m_calls.size()) {
      m_server.CloseIdle(m_idle_timeout, m_answers);
      if (now >= m_end_at) End();
    }
    bool done = true;
    for (Call& call : m_calls) {
      if (call.slow && m_ended && now >= m_resume_at) call.attempt->Resume();
      done = done && call.end.has_value();
    }
    return done;
  }

  /// Complete answers that their server cut off.
  int FalselyComplete() const { return Count(/*sound=*/false); }
  /// Sound answers that aren't complete.
  int FalselyBroken() const { return Count(/*sound=*/true); }

  std::string Describe() const {
    std::string text = "fate " + std::to_string(static_cast<int>(m_fate)) +
                       ", leaving " + std::to_string(m_leaving) + ", end " +
                       std::to_string(m_end_at.count()) + ", resume " +
                       std::to_string(m_resume_at.count()) + ", idle " +
                       std::to_string(m_idle_timeout.count()) + ", slow";
    for (const Call& call : m_calls) text += call.slow ? " yes" : " no";
    return text;
  }

 private:
  struct Call {
    bool slow = false;
    std::shared_ptr<BackendAttempt> attempt;
    std::optional<BackendEnd> end;
  };

  void Start(BackendClient* client, Call* state) {
    BackendCall call;
    call.address = m_server.address;
    call.target = "/" + std::to_string(state - m_calls.data());
    call.relay = call.verify_unframed = true;
    call.idempotent = false;
    BackendHandlers handlers;
    handlers.server_leaving = [this] { return m_leaving; };
    handlers.bytes = [state](std::string_view) {
      if (state->slow) state->attempt->Pause();
    };
    handlers.end = [state](const BackendEnd& end) { state->end = end; };
    state->attempt = client->Start(call, std::move(handlers));
  }

  bool IsAnswer(const std::shared_ptr<RawConnection>& raw) const {
    return std::find(m_answers.begin(), m_answers.end(), raw) !=
           m_answers.end();
  }

  void End() {
    m_ended = true;
    if (m_fate == ServerFate::kEnds) m_server.StopListening();
    for (auto& raw : m_server.connections) {
      bool lives =
          m_fate == ServerFate::kLives || m_fate == ServerFate::kResets;
      if (lives && !IsAnswer(raw)) continue;
      if (m_fate == ServerFate::kResets && raw == m_answers[0]) {
        raw->Reset();
      } else {
        raw->Close();
      }
    }
  }

  int Count(bool sound) const {
    int count = 0;
    for (const Call& call : m_calls) {
      std::string target = "/" + std::to_string(&call - m_calls.data()) + " ";
      bool cut = m_fate == ServerFate::kEnds ||
                 m_fate == ServerFate::kReplaced ||
                 (m_fate == ServerFate::kResets &&
                  m_first_request.find(target) != std::string::npos);
      bool complete = call.end && call.end->result == AttemptResult::kComplete;
      if (cut != sound && complete != sound) ++count;
    }
    return count;
  }

  ScriptedServer m_server;
  ServerFate m_fate;
  bool m_leaving = false;
  bool m_ended = false;
  milliseconds m_end_at{0};
  milliseconds m_resume_at{0};
  milliseconds m_idle_timeout{0};
  std::vector<Call> m_calls;
  std::vector<std::shared_ptr<RawConnection>> m_answers;
  std::string m_first_request;  ///< Of the first answer.
};

void RunSeed(std::uint64_t seed) {
  constexpr int kScenarios = 24;
  constexpr milliseconds kMost{10'000};
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  boost::asio::io_context io;
  BackendClient client(&io, BackendOptions());
  std::vector<std::unique_ptr<Scenario>> scenarios;
  for (int i = 0; i < kScenarios; ++i) {
    scenarios.push_back(std::make_unique<Scenario>(&io, &client, &random));
  }
  Clock::time_point begin = Clock::now();
  for (bool done = false; !done && Clock::now() - begin < kMost;) {
    RunFor(&io, milliseconds(5));
    done = true;
    for (auto& scenario : scenarios) {
      bool ended = scenario->Advance(
          std::chrono::duration_cast<milliseconds>(Clock::now() - begin));
      done = done && ended;
    }
  }
  for (const auto& scenario : scenarios) {
    CAPTURE(scenario->Describe());
    CHECK(scenario->FalselyComplete() == 0);
    CHECK(scenario->FalselyBroken() == 0);
  }
}

}  // namespace

// Guards against cut answers that count as complete and sound ones that are
// cut, over random ends, idle timeouts, slow callers and leaving servers. More
// seeds: UNFRAMED_SEEDS=FIRST,COUNT.
TEST_CASE("random ends of unframed answers are judged as they are") {
  std::uint64_t first = 1;
  std::uint64_t count = 3;
  if (const char* seeds = std::getenv("UNFRAMED_SEEDS")) {
    std::string text = seeds;
    first = std::stoull(text);
    count = std::stoull(text.substr(text.find(',') + 1));
  }
  for (std::uint64_t seed = first; seed < first + count; ++seed) RunSeed(seed);
}

}  // namespace clementine

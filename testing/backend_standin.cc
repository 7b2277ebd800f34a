// Stand-in of a backend server: a model engine with continuous batching, or
// with --kind plain a plain service that records what it runs.
//
// Streams: the first token has offset 0; with X-Resume-Offset N the first frame
// carries offset N. An answer of a leaving backend server has the header
// "Leaving: true". GET /runs lists everything that was run, in order, so that
// tests can prove what ran how often; GET /orders lists the orders received.
//
// POST /faults changes the fields that it names:
//   {"freeze": bool}     connections are accepted and kept, nothing is answered
//   {"slow": F}          each token and load takes F times as long
//   {"silence": true}    present connections never answer again; new ones do
//   {"late": N}, {"duplicate": N}, {"crossed": N}, {"gap": N}  in the next N
//       frames: repeat the first frame behind it, send it twice, precede it
//       by the frame of another attempt, or leave it out
//   {"break": N}         close the connections of the next N answers: a stream
//       after half of its tokens, a plain call after it has run
//   {"leaving": bool}    as before a planned stop
//   {"crash": true}      exit at once without an answer

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

#include "config/config.h"
#include "fmt/format.h"
#include "net/net.h"
#include "testing/standin_cache.h"
#include "testing/standin_http.h"
#include "testing/standin_tokens.h"

namespace clementine::standin {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr int kCrashStatus = 70;
/// How often a waiting or running call looks whether its caller has left.
constexpr milliseconds kCallerPoll{10};
constexpr milliseconds kCallTimeout{2000};

struct BackendOptions {
  std::string listen = "127.0.0.1:0";
  std::string host = "host";
  std::string kind = "engine";
  std::string data_centre = "dc1";
  std::string fabric_domain = "fd1";
  int accelerators = 4;
  std::string platform;
  std::string platform_token;
  std::string token;
  int heartbeat_ms = 200;
  int slots = 8;
  double token_ms = 5;
  double prefill_us = 100;
  std::size_t cache_blocks = 4096;
  int cache_event_delay_ms = 100;
  std::uint64_t cache_event_gap = 0;
  int load_lag_ms = 100;
  int load_ms = 100;
  int run_ms = 0;
  std::string crash_marker;
  bool ignore_fence = false;
};

/// A request in the engine. Invariant: `running` only while it holds a slot.
struct Attempt {
  explicit Attempt(asio::io_context* io) : wake(*io) {}
  std::string id;
  int priority = 0;
  bool running = false;
  bool cancelled = false;
  std::size_t run = 0;  ///< Index in the list of runs.
  asio::steady_timer wake;
};

/// Which replica the engine belongs to, as ordered.
struct Role {
  std::string state = "idle";
  std::string group;
  std::uint64_t epoch = 0;
  int rank = 0;
  Json hosts = Json::array();
  std::string model;
  std::string version;
  std::string weights;
  Json adapters = Json::array();
  std::string role;
};

struct Faults {
  double slow = 1;
  int late = 0;
  int duplicate = 0;
  int crossed = 0;
  int gap = 0;
  int broken = 0;
  bool leaving = false;
};

/// Takes one of a fault's remaining uses.
bool TakeFault(int* remaining) {
  if (*remaining <= 0) return false;
  --*remaining;
  return true;
}

class Backend {
 public:
  Backend(asio::io_context* io, BackendOptions options)
      : m_io(io),
        m_options(std::move(options)),
        m_cache({m_options.cache_blocks,
                 milliseconds(m_options.cache_event_delay_ms),
                 m_options.cache_event_gap}),
        m_server(io, m_options.listen,
                 [this](Exchange* exchange) { return Handle(exchange); }) {
    m_load_header = LoadHeader();
    asio::co_spawn(*io, ReportLoad(), asio::detached);
    if (!m_options.platform.empty()) {
      asio::co_spawn(*io, SendHeartbeats(), asio::detached);
    }
  }

  std::string address() const { return m_server.address(); }

 private:
  bool plain() const { return m_options.kind == "plain"; }

  asio::awaitable<void> Handle(Exchange* exchange);
  asio::awaitable<void> HandleEngine(Exchange* exchange);
  asio::awaitable<void> HandleFaults(Exchange* exchange);
  asio::awaitable<void> HandlePlain(Exchange* exchange);
  asio::awaitable<void> HandleChat(Exchange* exchange);
  asio::awaitable<void> HandleOrder(Exchange* exchange);
  asio::awaitable<void> HandleCancel(Exchange* exchange, std::string id);
  asio::awaitable<void> HandleKv(Exchange* exchange);

  /// Holds the slot and makes the answer; returns how it ended.
  asio::awaitable<std::string> RunAttempt(Exchange* exchange, Attempt* attempt,
                                          const Json& request);
  asio::awaitable<std::string> StreamTokens(Exchange* exchange,
                                            Attempt* attempt,
                                            const Json& request);
  asio::awaitable<std::string> AnswerWhole(Exchange* exchange, Attempt* attempt,
                                           const Json& request);
  asio::awaitable<void> SendFrame(Exchange* exchange, const Attempt& attempt,
                                  std::uint64_t seed, std::uint64_t offset);
  /// Waits for engine time; false when the attempt was cancelled meanwhile.
  asio::awaitable<bool> Work(Exchange* exchange, Attempt* attempt,
                             Clock::time_point end);
  void Schedule();
  int CountRunning() const;
  int RefusalStatus(const Exchange& exchange) const;

  bool OrderChanges(const Json& order);
  asio::awaitable<void> Load(std::uint64_t order_number, bool fetch);
  void EndAttempts();

  Json Health() const;
  std::string LoadHeader() const;
  Headers AnswerHeaders(const Exchange& exchange) const;
  asio::awaitable<void> ReportLoad();
  asio::awaitable<void> SendHeartbeats();

  asio::io_context* m_io;
  BackendOptions m_options;
  Role m_role;
  std::uint64_t m_fence = 0;
  std::uint64_t m_order_number = 0;  ///< Ends the load of an earlier order.
  std::list<Attempt> m_attempts;     ///< In order of arrival.
  PrefixCache m_cache;
  Json m_runs = Json::array();
  Json m_orders = Json::array();
  Faults m_faults;
  std::string m_load_header;
  HttpServer m_server;
};

asio::awaitable<void> Backend::Handle(Exchange* exchange) {
  const std::string& path = exchange->path();
  if (path == "/faults") {
    co_await HandleFaults(exchange);
  } else if (path == "/runs" && exchange->method() == "GET") {
    Json answer = {{"runs", m_runs}};
    co_await exchange->Answer(200, answer);
  } else if (path == "/orders" && exchange->method() == "GET") {
    Json answer = {{"orders", m_orders}};
    co_await exchange->Answer(200, answer);
  } else if (!m_options.token.empty() &&
             exchange->Header("Authorization") != "Bearer " + m_options.token) {
    Json error = {{"error", "unauthorised"}, {"not_run", true}};
    co_await exchange->Answer(401, error);
  } else if (path == "/v1/health" && exchange->method() == "GET") {
    Json health = Health();
    Headers headers = AnswerHeaders(*exchange);
    co_await exchange->Answer(200, health, headers);
  } else if (plain()) {
    co_await HandlePlain(exchange);
  } else {
    co_await HandleEngine(exchange);
  }
}

asio::awaitable<void> Backend::HandleEngine(Exchange* exchange) {
  const std::string attempts = "/v1/attempts/";
  const std::string& path = exchange->path();
  const std::string method = exchange->method();
  if (path == "/v1/chat/completions" && method == "POST") {
    co_await HandleChat(exchange);
  } else if (path == "/v1/orders" && method == "POST") {
    co_await HandleOrder(exchange);
  } else if (path.starts_with(attempts) && method == "DELETE") {
    co_await HandleCancel(exchange, path.substr(attempts.size()));
  } else if (path == "/v1/cache-events" && method == "GET") {
    Json answer = m_cache.Events(exchange->QueryNumber("since").value_or(0));
    co_await exchange->Answer(200, answer);
  } else if (path.starts_with("/v1/kv/") && method == "POST") {
    co_await HandleKv(exchange);
  } else {
    Json error = {{"error", "no such resource"}, {"not_run", true}};
    co_await exchange->Answer(404, error);
  }
}

asio::awaitable<void> Backend::HandleFaults(Exchange* exchange) {
  if (exchange->method() == "POST") {
    Json faults = ParseJson(exchange->body());
    LogEvent("faults", {{"set", JsonText(faults)}});
    if (faults.value("crash", false)) ::_exit(kCrashStatus);
    if (faults.contains("freeze")) {
      m_server.set_frozen(faults["freeze"].get<bool>());
    }
    if (faults.value("silence", false)) m_server.SilenceConnections(exchange);
    m_faults.slow = faults.value("slow", m_faults.slow);
    m_faults.late = faults.value("late", m_faults.late);
    m_faults.duplicate = faults.value("duplicate", m_faults.duplicate);
    m_faults.crossed = faults.value("crossed", m_faults.crossed);
    m_faults.gap = faults.value("gap", m_faults.gap);
    m_faults.broken = faults.value("break", m_faults.broken);
    m_faults.leaving = faults.value("leaving", m_faults.leaving);
  }
  Json now = {{"slow", m_faults.slow},
              {"late", m_faults.late},
              {"duplicate", m_faults.duplicate},
              {"crossed", m_faults.crossed},
              {"gap", m_faults.gap},
              {"break", m_faults.broken},
              {"leaving", m_faults.leaving}};
  co_await exchange->Answer(200, now);
}

asio::awaitable<void> Backend::HandlePlain(Exchange* exchange) {
  std::size_t run = m_runs.size();
  m_runs.push_back({{"key", exchange->Header("Idempotency-Key")},
                    {"attempt", exchange->Header("X-Attempt-Id")},
                    {"method", exchange->method()},
                    {"path", exchange->path()},
                    {"body", exchange->body()},
                    {"leaving", m_faults.leaving},
                    {"outcome", "running"}});
  LogEvent("run", {{"key", exchange->Header("Idempotency-Key")},
                   {"attempt", exchange->Header("X-Attempt-Id")},
                   {"path", exchange->path()}});
  auto end = Clock::now() + milliseconds(m_options.run_ms);
  while (Clock::now() < end) {
    co_await Sleep(std::min<microseconds>(
        kCallerPoll, std::chrono::ceil<microseconds>(end - Clock::now())));
  }
  m_runs[run]["outcome"] = "complete";
  if (TakeFault(&m_faults.broken)) {
    exchange->Drop();
    co_return;
  }
  Json answer = {{"run", run + 1},
                 {"host", m_options.host},
                 {"path", exchange->path()},
                 {"key", exchange->Header("Idempotency-Key")}};
  Headers headers = AnswerHeaders(*exchange);
  co_await exchange->Answer(200, answer, headers);
}

int Backend::RefusalStatus(const Exchange& exchange) const {
  if (m_role.group.empty() || exchange.Header("X-Group") != m_role.group ||
      exchange.Header("X-Group-Epoch") != std::to_string(m_role.epoch) ||
      m_role.rank != 0) {
    return 409;
  }
  return m_role.state == "serving" ? 0 : 503;
}

asio::awaitable<void> Backend::HandleChat(Exchange* exchange) {
  Json request = ParseJson(exchange->body());
  std::string prompt = PromptText(request);
  Headers headers = AnswerHeaders(*exchange);
  if (int status = RefusalStatus(*exchange); status != 0) {
    Json answer = {{"not_run", true}};
    co_await exchange->Answer(status, answer, headers);
    co_return;
  }
  Attempt& attempt = m_attempts.emplace_back(m_io);
  auto self = std::prev(m_attempts.end());
  attempt.id = exchange->Header("X-Attempt-Id");
  attempt.priority = std::atoi(exchange->Header("X-Priority").c_str());
  attempt.run = m_runs.size();
  m_runs.push_back({{"attempt", attempt.id},
                    {"group", m_role.group},
                    {"epoch", m_role.epoch},
                    {"priority", attempt.priority},
                    {"resume_offset", exchange->Header("X-Resume-Offset")},
                    {"leaving", m_faults.leaving},
                    {"tokens", 0},
                    {"outcome", "waiting"}});
  std::string outcome = "broken";
  try {
    outcome = co_await RunAttempt(exchange, &attempt, request);
  } catch (const boost::system::system_error&) {
    exchange->Drop();
  }
  m_runs[attempt.run]["outcome"] = outcome;
  m_attempts.erase(self);
  Schedule();
  if (outcome != "complete") exchange->Drop();
}

int Backend::CountRunning() const {
  return static_cast<int>(
      std::count_if(m_attempts.begin(), m_attempts.end(),
                    [](const Attempt& attempt) { return attempt.running; }));
}

void Backend::Schedule() {
  for (int free = m_options.slots - CountRunning(); free > 0; --free) {
    Attempt* next = nullptr;
    for (Attempt& attempt : m_attempts) {
      if (!attempt.running && !attempt.cancelled &&
          (!next || attempt.priority > next->priority)) {
        next = &attempt;
      }
    }
    if (!next) return;
    next->running = true;
    next->wake.cancel();
  }
}

asio::awaitable<bool> Backend::Work(Exchange* exchange, Attempt* attempt,
                                    Clock::time_point end) {
  while (!attempt->cancelled && !exchange->PeerClosed()) {
    auto now = Clock::now();
    if (now >= end) co_return true;
    attempt->wake.expires_at(std::min(end, now + kCallerPoll));
    boost::system::error_code ignored;
    co_await attempt->wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return false;
}

asio::awaitable<std::string> Backend::RunAttempt(Exchange* exchange,
                                                 Attempt* attempt,
                                                 const Json& request) {
  Schedule();
  while (!attempt->running) {
    auto poll_end = Clock::now() + kCallerPoll;
    bool wanted = co_await Work(exchange, attempt, poll_end);
    if (!wanted && !attempt->running) co_return "cancelled";
  }
  m_runs[attempt->run]["outcome"] = "running";
  std::string prompt = PromptText(request);
  if (!m_options.crash_marker.empty() &&
      prompt.find(m_options.crash_marker) != std::string::npos) {
    LogEvent("crash", {{"attempt", attempt->id}});
    ::_exit(kCrashStatus);
  }
  std::size_t cached = m_cache.Touch(PrefixBlocks(prompt)) * kBytesPerBlock;
  double uncached = static_cast<double>(prompt.size() - cached) /
                    static_cast<double>(kBytesPerToken);
  auto prefill = microseconds(static_cast<std::int64_t>(
      uncached * m_options.prefill_us * m_faults.slow));
  auto prefill_end = Clock::now() + prefill;
  bool wanted = co_await Work(exchange, attempt, prefill_end);
  if (!wanted) co_return "cancelled";
  bool stream = request.value("stream", false);
  std::string outcome;
  if (stream) {
    outcome = co_await StreamTokens(exchange, attempt, request);
  } else {
    outcome = co_await AnswerWhole(exchange, attempt, request);
  }
  co_return outcome;
}

asio::awaitable<std::string> Backend::StreamTokens(Exchange* exchange,
                                                   Attempt* attempt,
                                                   const Json& request) {
  auto count = static_cast<std::uint64_t>(TokenCount(request));
  std::uint64_t seed = ContentSeed(request);
  std::uint64_t first =
      std::strtoull(exchange->Header("X-Resume-Offset").c_str(), nullptr, 10);
  bool broken = TakeFault(&m_faults.broken);
  Headers headers = AnswerHeaders(*exchange);
  co_await exchange->StartStream(headers);
  auto due = Clock::now();
  for (std::uint64_t offset = first; offset < count; ++offset) {
    due += microseconds(
        static_cast<std::int64_t>(m_options.token_ms * 1000 * m_faults.slow));
    bool wanted = co_await Work(exchange, attempt, due);
    if (!wanted) co_return "cancelled";
    if (broken && offset - first >= (count - first) / 2) co_return "broken";
    co_await SendFrame(exchange, *attempt, seed, offset);
    m_runs[attempt->run]["tokens"] = offset + 1 - first;
  }
  std::string done = "data: [DONE]\n\n";
  co_await exchange->Send(done);
  co_await exchange->EndStream();
  co_return "complete";
}

std::string FormatFrame(const std::string& attempt, std::uint64_t seed,
                        std::uint64_t offset) {
  Json choice = {{"index", 0},
                 {"delta", {{"content", TokenText(seed, offset)}}},
                 {"finish_reason", nullptr}};
  Json data = {{"object", "chat.completion.chunk"},
               {"choices", Json::array({choice})}};
  return fmt::format("id: {}:{}\ndata: {}\n\n", attempt, offset,
                     JsonText(data));
}

asio::awaitable<void> Backend::SendFrame(Exchange* exchange,
                                         const Attempt& attempt,
                                         std::uint64_t seed,
                                         std::uint64_t offset) {
  if (TakeFault(&m_faults.gap)) co_return;
  std::string frames = FormatFrame(attempt.id, seed, offset);
  if (TakeFault(&m_faults.duplicate)) frames += frames;
  if (TakeFault(&m_faults.late)) frames += FormatFrame(attempt.id, seed, 0);
  if (TakeFault(&m_faults.crossed)) {
    std::string other = attempt.id + "-other";
    for (const Attempt& running : m_attempts) {
      if (running.running && running.id != attempt.id) other = running.id;
    }
    frames = FormatFrame(other, ~seed, offset) + frames;
  }
  co_await exchange->Send(frames);
}

asio::awaitable<std::string> Backend::AnswerWhole(Exchange* exchange,
                                                  Attempt* attempt,
                                                  const Json& request) {
  int count = TokenCount(request);
  auto end =
      Clock::now() + microseconds(static_cast<std::int64_t>(
                         count * m_options.token_ms * 1000 * m_faults.slow));
  bool wanted = co_await Work(exchange, attempt, end);
  if (!wanted) co_return "cancelled";
  m_runs[attempt->run]["tokens"] = count;
  if (TakeFault(&m_faults.broken)) co_return "broken";
  Json message = {{"role", "assistant"}, {"content", AnswerText(request)}};
  Json choice = {
      {"index", 0}, {"message", message}, {"finish_reason", "length"}};
  Json answer = {
      {"object", "chat.completion"},
      {"model", m_role.model},
      {"choices", Json::array({choice})},
      {"usage",
       {{"prompt_tokens", PromptText(request).size() / kBytesPerToken},
        {"completion_tokens", count}}}};
  Headers headers = AnswerHeaders(*exchange);
  if (TakeFault(&m_faults.crossed)) {
    headers.front().second += "-other";
  }
  co_await exchange->Answer(200, answer, headers);
  co_return "complete";
}

asio::awaitable<void> Backend::HandleCancel(Exchange* exchange,
                                            std::string id) {
  bool found = false;
  for (Attempt& attempt : m_attempts) {
    if (attempt.id != id) continue;
    found = true;
    attempt.cancelled = true;
    attempt.wake.cancel();
  }
  Json answer = {{"cancelled", found}};
  co_await exchange->Answer(found ? 200 : 404, answer);
}

void Backend::EndAttempts() {
  for (Attempt& attempt : m_attempts) {
    attempt.cancelled = true;
    attempt.wake.cancel();
  }
}

bool Backend::OrderChanges(const Json& order) {
  std::string kind = order.at("kind").get<std::string>();
  if (kind == "unload") {
    m_role = Role{};
    return true;
  }
  if (kind == "load_adapter") {
    for (const auto& adapter : order.at("adapters")) {
      if (std::find(m_role.adapters.begin(), m_role.adapters.end(), adapter) ==
          m_role.adapters.end()) {
        m_role.adapters.push_back(adapter);
      }
    }
    return false;
  }
  if (kind == "set_role") {
    m_role.role = order.value("role", "");
    return false;
  }
  Role role;
  role.group = order.at("group").get<std::string>();
  role.epoch = order.at("epoch").get<std::uint64_t>();
  role.rank = order.value("rank", 0);
  role.hosts = order.value("hosts", Json::array());
  role.model = order.value("model", "");
  role.version = order.value("version", "");
  role.weights = order.value("weights", "");
  role.adapters = order.value("adapters", Json::array());
  role.role = order.value("role", "");
  role.state = "loading";
  bool same = m_role.state != "idle" && m_role.group == role.group &&
              m_role.epoch == role.epoch && m_role.version == role.version;
  if (same) return false;
  m_role = std::move(role);
  return true;
}

asio::awaitable<void> Backend::HandleOrder(Exchange* exchange) {
  Json order = ParseJson(exchange->body());
  std::uint64_t fence = order.value("fence", std::uint64_t{0});
  bool stale = !m_options.ignore_fence && fence < m_fence;
  Json entry = order;
  entry["accepted"] = !stale;
  entry["in_group"] = m_role.group;
  entry["running"] = m_attempts.size();
  m_orders.push_back(entry);
  LogEvent("order", {{"kind", order.value("kind", "")},
                     {"group", order.value("group", "")},
                     {"fence", std::to_string(fence)},
                     {"stale", stale ? "true" : "false"}});
  if (stale) {
    Json answer = {{"error", "stale fence"}, {"fence", m_fence}};
    co_await exchange->Answer(409, answer);
    co_return;
  }
  std::string loaded = m_role.weights + '\n' + m_role.version;
  if (OrderChanges(order)) {
    EndAttempts();
    ++m_order_number;
    if (m_role.state == "loading") {
      bool fetch = loaded != m_role.weights + '\n' + m_role.version;
      asio::co_spawn(*m_io, Load(m_order_number, fetch), asio::detached);
    }
  }
  m_fence = m_options.ignore_fence ? fence : std::max(m_fence, fence);
  Json answer = {{"state", m_role.state}};
  co_await exchange->Answer(200, answer);
}

asio::awaitable<void> Backend::Load(std::uint64_t order_number, bool fetch) {
  std::string target = "/v1/weights/" + m_role.weights;
  fetch = fetch && !m_options.platform.empty() && !m_role.weights.empty();
  while (fetch && m_order_number == order_number) {
    HttpAnswer answer =
        co_await Call(m_options.platform, "GET", target, "",
                      BearerHeaders(m_options.platform_token), kCallTimeout);
    if (answer.status == 200) break;
    std::string wait = answer.Header("Retry-After");
    co_await Sleep(wait.empty() ? milliseconds(100)
                                : std::chrono::seconds(std::stoi(wait)));
  }
  co_await Sleep(microseconds(
      static_cast<std::int64_t>(m_options.load_ms * 1000 * m_faults.slow)));
  if (m_order_number != order_number) co_return;
  m_role.state = "serving";
  LogEvent("loaded",
           {{"group", m_role.group}, {"epoch", std::to_string(m_role.epoch)}});
}

asio::awaitable<void> Backend::HandleKv(Exchange* exchange) {
  Json request = ParseJson(exchange->body());
  auto blocks = request.at("blocks").get<std::vector<std::uint64_t>>();
  Json answer;
  if (exchange->path() == "/v1/kv/import") {
    answer["held"] = m_cache.Touch(blocks);
  } else {
    std::erase_if(blocks, [this](auto b) { return !m_cache.Contains(b); });
    answer["blocks"] = blocks;
  }
  co_await exchange->Answer(200, answer);
}

Json Backend::Health() const {
  int running = CountRunning();
  return {{"host", m_options.host},
          {"kind", m_options.kind},
          {"state", plain() ? "serving" : m_role.state},
          {"group", m_role.group},
          {"epoch", m_role.epoch},
          {"rank", m_role.rank},
          {"hosts", m_role.hosts},
          {"model", m_role.model},
          {"version", m_role.version},
          {"adapters", m_role.adapters},
          {"role", m_role.role},
          {"leaving", m_faults.leaving},
          {"running", running},
          {"waiting", static_cast<int>(m_attempts.size()) - running},
          {"kv_used", m_cache.used()},
          {"fence", m_fence}};
}

std::string Backend::LoadHeader() const {
  int running = CountRunning();
  return fmt::format("running={};waiting={};kv={:.2f}", running,
                     static_cast<int>(m_attempts.size()) - running,
                     m_cache.used());
}

Headers Backend::AnswerHeaders(const Exchange& exchange) const {
  Headers headers;
  headers.emplace_back("X-Attempt-Id", exchange.Header("X-Attempt-Id"));
  headers.emplace_back(
      "X-Load", m_options.load_lag_ms > 0 ? m_load_header : LoadHeader());
  if (m_faults.leaving) headers.emplace_back("Leaving", "true");
  return headers;
}

asio::awaitable<void> Backend::ReportLoad() {
  while (m_options.load_lag_ms > 0) {
    co_await Sleep(milliseconds(m_options.load_lag_ms));
    m_load_header = LoadHeader();
  }
}

asio::awaitable<void> Backend::SendHeartbeats() {
  while (true) {
    Json row = {{"host", m_options.host},
                {"data_centre", m_options.data_centre},
                {"fabric_domain", m_options.fabric_domain},
                {"address", address()},
                {"accelerators", m_options.accelerators},
                {"kind", m_options.kind},
                {"state", m_faults.leaving ? "leaving" : "live"}};
    std::string body = JsonText(row);
    co_await Call(m_options.platform, "POST", "/v1/hosts", body,
                  BearerHeaders(m_options.platform_token), kCallTimeout);
    co_await Sleep(milliseconds(m_options.heartbeat_ms));
  }
}

void AddOptions(CLI::App* app, BackendOptions* options) {
  app->add_option("--listen", options->listen, "IP:port to listen on");
  app->add_option("--host", options->host, "Name of the host");
  app->add_option("--kind", options->kind, "engine or plain")
      ->check(CLI::IsMember({"engine", "plain"}));
  app->add_option("--data-centre", options->data_centre, "");
  app->add_option("--fabric-domain", options->fabric_domain, "");
  app->add_option("--accelerators", options->accelerators, "");
  app->add_option("--platform", options->platform,
                  "IP:port of the platform to register with");
  app->add_option("--platform-token", options->platform_token, "");
  app->add_option("--token", options->token,
                  "Bearer token that callers need; empty: none");
  app->add_option("--heartbeat-ms", options->heartbeat_ms, "");
  app->add_option("--slots", options->slots, "Requests run at a time");
  app->add_option("--token-ms", options->token_ms, "Time per token");
  app->add_option("--prefill-us", options->prefill_us,
                  "Time per uncached prompt token");
  app->add_option("--cache-blocks", options->cache_blocks,
                  "Size of the prefix cache");
  app->add_option("--cache-event-delay-ms", options->cache_event_delay_ms, "");
  app->add_option("--cache-event-gap", options->cache_event_gap,
                  "Loses each Nth cache event; 0: none");
  app->add_option("--load-lag-ms", options->load_lag_ms, "Lag of X-Load");
  app->add_option("--load-ms", options->load_ms, "Time to load a model");
  app->add_option("--run-ms", options->run_ms, "Time of a plain call");
  app->add_option("--crash-marker", options->crash_marker,
                  "A prompt that contains it ends the process");
  app->add_flag("--ignore-fence", options->ignore_fence,
                "Accepts orders with a stale fence");
}

}  // namespace
}  // namespace clementine::standin

int main(int argc, char** argv) {
  clementine::standin::BackendOptions options;
  CLI::App app("Stand-in of a backend server for tests");
  clementine::standin::AddOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io(1);
  clementine::standin::Backend backend(&io, options);
  clementine::LogEvent(
      "listening", {{"address", backend.address()}, {"host", options.host}});
  clementine::standin::RunUntilTerminated(&io);
  clementine::LogEvent("stopped", {});
  return 0;
}

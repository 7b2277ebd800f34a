// Stand-in of the platform: versioned objects with conditional updates and
// watches, the host list, and the weight store. It keeps everything in memory.
//
// Each key's version starts at 1 (again after it was deleted); a revision
// rises with each change of any key. Lists and watches answer
// {"revision": R, "events": [{"key", "version", "value"}]}; a deleted key has
// version 0, an empty value and "deleted": true. The first revision is 1, so
// that since=0 is never a revision seen before. A PUT's body is the value.
//
// GET /v1/history?key=K lists every version that a key had, so that tests can
// check states that were soon replaced.
//
// POST /drill {"do": "copy"} copies the objects; {"do": "restore"} puts the
// copy in their place and raises the era. Answers state the era if --era is at
// least
// 1. A watch from a revision that the platform doesn't have is answered 410.
//
// POST /faults changes the fields that it names:
//   {"down": false | true | "refuse"}  true closes each connection without an
//       answer except for /faults; "refuse" closes the listening socket, so
//       that only the control address still answers.
//   {"slow_ms": N}       delays each call before it takes effect.
//   {"lose_answers": N}  applies the next N writes, then closes the connection
//       without an answer; "lose_prefix" limits it to keys with this prefix.

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>

#include "config/config.h"
#include "net/net.h"
#include "testing/standin_http.h"

namespace clementine::standin {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kHostCheckInterval{25};
constexpr std::chrono::milliseconds kMaxWatchTime{60'000};

struct PlatformOptions {
  std::string listen = "127.0.0.1:0";
  std::string control = "127.0.0.1:0";
  std::string token;
  std::uint64_t era = 0;  ///< 0: not stated.
  int lag_ms = 0;
  int host_ttl_ms = 3000;
  double weights_per_second = 10.0;
  double weights_burst = 10.0;
};

struct Object {
  std::uint64_t version = 0;  ///< 0 when deleted.
  std::uint64_t revision = 0;
  std::string value;
};

/// Rate limit: holds up to `burst` calls and gains `rate` calls each second.
struct TokenBucket {
  double rate = 0;
  double burst = 0;
  double level = 0;
  Clock::time_point updated;

  bool Take() {
    auto now = Clock::now();
    std::chrono::duration<double> elapsed = now - updated;
    level = std::min(burst, level + elapsed.count() * rate);
    updated = now;
    if (level < 1) return false;
    level -= 1;
    return true;
  }
};

class Platform {
 public:
  Platform(asio::io_context* io, PlatformOptions options)
      : m_options(std::move(options)),
        m_weights{m_options.weights_per_second, m_options.weights_burst,
                  m_options.weights_burst, Clock::now()},
        m_server(io, m_options.listen,
                 [this](Exchange* exchange) { return Handle(exchange); }),
        m_control(io, m_options.control,
                  [this](Exchange* exchange) { return Handle(exchange); }) {
    m_host_lists.push_back({Clock::time_point::min(), Json::array()});
    asio::co_spawn(*io, DropSilentHosts(), asio::detached);
  }

  std::string address() const { return m_server.address(); }
  std::string control() const { return m_control.address(); }

 private:
  struct Host {
    Json row;
    Clock::time_point last_seen;
  };
  struct HostList {
    Clock::time_point since;
    Json rows;
  };

  asio::awaitable<void> Handle(Exchange* exchange);
  asio::awaitable<void> Route(Exchange* exchange);
  asio::awaitable<void> HandleFaults(Exchange* exchange);
  asio::awaitable<void> HandleDrill(Exchange* exchange);
  Headers EraHeader() const {
    if (m_options.era == 0) return {};
    return {{"Store-Era", std::to_string(m_options.era)}};
  }
  asio::awaitable<void> HandleObject(Exchange* exchange, std::string key);
  asio::awaitable<void> HandleWrite(Exchange* exchange, std::string key);
  asio::awaitable<void> HandleWatch(Exchange* exchange);
  asio::awaitable<void> HandleHosts(Exchange* exchange);
  asio::awaitable<void> HandleWeights(Exchange* exchange, std::string name);
  asio::awaitable<void> DropSilentHosts();
  Json Changes(const std::string& prefix, std::uint64_t since) const;
  void Apply(const std::string& key, bool remove, const std::string& value);
  void HostsChanged();

  PlatformOptions m_options;
  TokenBucket m_weights;
  std::map<std::string, Object> m_objects;  ///< Deleted ones included.
  std::map<std::string, Object> m_copy;
  std::uint64_t m_copy_revision = 1;
  std::map<std::string, Json> m_history;  ///< Stored versions by key.
  std::uint64_t m_revision =
      1;  ///< Before the first write; since=0 asks for all.
  ChangeSignal m_changed;
  std::map<std::string, Host> m_hosts;
  std::deque<HostList> m_host_lists;  ///< By time; the lag picks an older one.
  std::map<std::string, std::uint64_t> m_calls;
  Json m_down = false;
  int m_slow_ms = 0;
  int m_lose_answers = 0;
  std::string m_lose_prefix;
  HttpServer m_server;
  HttpServer m_control;
};

asio::awaitable<void> Platform::Handle(Exchange* exchange) {
  if (exchange->path() == "/faults") {
    co_await HandleFaults(exchange);
    co_return;
  }
  if (exchange->path() == "/drill") {
    co_await HandleDrill(exchange);
    co_return;
  }
  if (m_down != false) {
    exchange->Drop();
    co_return;
  }
  if (exchange->path() == "/v1/stats") {
    Json stats = m_calls;
    stats["revision"] = m_revision;
    stats["pending_watches"] = m_changed.waiting();
    co_await exchange->Answer(200, stats);
    co_return;
  }
  if (!m_options.token.empty() &&
      exchange->Header("Authorization") != "Bearer " + m_options.token) {
    ++m_calls["unauthorised"];
    Json error = {{"error", "unauthorised"}};
    co_await exchange->Answer(401, error);
    co_return;
  }
  if (m_slow_ms > 0) {
    co_await Sleep(std::chrono::milliseconds(m_slow_ms));
    if (m_down != false) {
      exchange->Drop();
      co_return;
    }
  }
  co_await Route(exchange);
}

asio::awaitable<void> Platform::Route(Exchange* exchange) {
  const std::string objects = "/v1/objects/";
  const std::string weights = "/v1/weights/";
  const std::string& path = exchange->path();
  if (path.starts_with(objects) && path.size() > objects.size()) {
    co_await HandleObject(exchange, path.substr(objects.size()));
  } else if (path == "/v1/objects" && exchange->method() == "GET") {
    ++m_calls["list"];
    Json answer = Changes(exchange->Query("prefix"), 0);
    co_await exchange->Answer(200, answer, EraHeader());
  } else if (path == "/v1/watch" && exchange->method() == "GET") {
    co_await HandleWatch(exchange);
  } else if (path == "/v1/history") {
    Json answer = {{"versions", m_history[exchange->Query("key")]}};
    co_await exchange->Answer(200, answer);
  } else if (path == "/v1/hosts") {
    co_await HandleHosts(exchange);
  } else if (path.starts_with(weights) && exchange->method() == "GET") {
    co_await HandleWeights(exchange, path.substr(weights.size()));
  } else {
    ++m_calls["other"];
    Json error = {{"error", "no such resource"}};
    co_await exchange->Answer(404, error);
  }
}

asio::awaitable<void> Platform::HandleFaults(Exchange* exchange) {
  if (exchange->method() == "POST") {
    Json faults = ParseJson(exchange->body());
    m_down = faults.value("down", m_down);
    m_slow_ms = faults.value("slow_ms", m_slow_ms);
    m_lose_answers = faults.value("lose_answers", m_lose_answers);
    m_lose_prefix = faults.value("lose_prefix", m_lose_prefix);
    if (m_down != false) m_server.CloseConnections(exchange);
    m_server.SetRefusing(m_down == "refuse");
    LogEvent("faults", {{"set", JsonText(faults)}});
  }
  Json now = {{"down", m_down},
              {"slow_ms", m_slow_ms},
              {"lose_answers", m_lose_answers},
              {"lose_prefix", m_lose_prefix}};
  co_await exchange->Answer(200, now);
}

asio::awaitable<void> Platform::HandleDrill(Exchange* exchange) {
  if (ParseJson(exchange->body()).at("do") == "copy") {
    m_copy = m_objects;
    m_copy_revision = m_revision;
  } else {
    m_objects = m_copy;
    m_revision = m_copy_revision;
    ++m_options.era;
    m_changed.Notify();
  }
  Json done = Json::object();
  co_await exchange->Answer(200, done);
}

asio::awaitable<void> Platform::HandleObject(Exchange* exchange,
                                             std::string key) {
  if (exchange->method() != "GET") {
    co_await HandleWrite(exchange, std::move(key));
    co_return;
  }
  ++m_calls["get"];
  const Object& object = m_objects[key];
  Json answer = {{"version", object.version}, {"value", object.value}};
  co_await exchange->Answer(object.version > 0 ? 200 : 404, answer,
                            EraHeader());
}

void Platform::Apply(const std::string& key, bool remove,
                     const std::string& value) {
  Object& object = m_objects[key];
  object.version = remove ? 0 : object.version + 1;
  object.revision = ++m_revision;
  object.value = remove ? "" : value;
  m_history[key].push_back({{"version", object.version}, {"value", value}});
  m_changed.Notify();
}

asio::awaitable<void> Platform::HandleWrite(Exchange* exchange,
                                            std::string key) {
  bool remove = exchange->method() == "DELETE";
  ++m_calls[remove ? "delete" : "put"];
  auto if_version = exchange->QueryNumber("if_version");
  int status = 200;
  Json answer;
  if (!if_version || (!remove && exchange->method() != "PUT")) {
    status = 400;
    answer["error"] = "if_version is required";
  } else if (exchange->body().size() > kMaxObjectBytes) {
    status = 413;
    answer["error"] = "value is larger than 1 MB";
  } else {
    // Values travel in JSON; one that isn't UTF-8 throws and is answered 400.
    answer["value"] = exchange->body();
    if (JsonText(answer).empty()) co_return;
    const Object& current = m_objects[key];
    if (current.version != *if_version) {
      status = remove && current.version == 0 ? 404 : 409;
      answer = {{"version", current.version}, {"value", current.value}};
    } else if (remove && current.version == 0) {
      status = 404;
      answer = {{"version", 0}};
    } else {
      Apply(key, remove, exchange->body());
      answer = {{"version", m_objects[key].version}};
      if (m_lose_answers > 0 && key.starts_with(m_lose_prefix)) {
        --m_lose_answers;
        exchange->Drop();
        co_return;
      }
    }
  }
  if (status != 200) ++m_calls["refused_writes"];
  co_await exchange->Answer(status, answer, EraHeader());
}

Json Platform::Changes(const std::string& prefix, std::uint64_t since) const {
  Json events = Json::array();
  for (auto it = m_objects.lower_bound(prefix);
       it != m_objects.end() && it->first.starts_with(prefix); ++it) {
    const auto& [key, object] = *it;
    if (object.revision <= since || (since == 0 && object.version == 0)) {
      continue;
    }
    Json event = {
        {"key", key}, {"version", object.version}, {"value", object.value}};
    if (object.version == 0) event["deleted"] = true;
    events.push_back(std::move(event));
  }
  return {{"revision", m_revision}, {"events", std::move(events)}};
}

asio::awaitable<void> Platform::HandleWatch(Exchange* exchange) {
  ++m_calls["watch"];
  std::string prefix = exchange->Query("prefix");
  std::uint64_t since = exchange->QueryNumber("since").value_or(0);
  std::chrono::milliseconds timeout(
      exchange->QueryNumber("timeout_ms").value_or(kMaxWatchTime.count()));
  auto end = Clock::now() + std::min(timeout, kMaxWatchTime);
  Json answer = Changes(prefix, since);
  std::uint64_t era = m_options.era;
  while (since > 0 && since <= m_revision && era == m_options.era &&
         answer["events"].empty() && Clock::now() < end) {
    co_await m_changed.WaitUntil(end);
    answer = Changes(prefix, since);
  }
  if (since > m_revision) {
    Json gone = {{"error", "no such revision"}};
    co_await exchange->Answer(410, gone, EraHeader());
    co_return;
  }
  co_await exchange->Answer(200, answer, EraHeader());
}

void Platform::HostsChanged() {
  Json rows = Json::array();
  for (const auto& [name, host] : m_hosts) rows.push_back(host.row);
  m_host_lists.push_back({Clock::now(), std::move(rows)});
}

asio::awaitable<void> Platform::HandleHosts(Exchange* exchange) {
  if (exchange->method() == "POST") {
    ++m_calls["register"];
    Json body = ParseJson(exchange->body());
    Json row = {{"host", body.at("host").get<std::string>()},
                {"data_centre", body.value("data_centre", "")},
                {"fabric_domain", body.value("fabric_domain", "")},
                {"address", body.at("address").get<std::string>()},
                {"accelerators", body.value("accelerators", 4)},
                {"kind", body.value("kind", "engine")},
                {"state", body.value("state", "live")}};
    Host& host = m_hosts[row["host"]];
    host.last_seen = Clock::now();
    if (host.row != row) {
      host.row = row;
      HostsChanged();
    }
    Json answer = Json::object();
    co_await exchange->Answer(200, answer);
    co_return;
  }
  ++m_calls["hosts"];
  auto wanted = Clock::now() - std::chrono::milliseconds(m_options.lag_ms);
  while (m_host_lists.size() > 1 && m_host_lists[1].since <= wanted) {
    m_host_lists.pop_front();
  }
  Json rows = m_host_lists.front().rows;
  co_await exchange->Answer(200, rows, EraHeader());
}

asio::awaitable<void> Platform::DropSilentHosts() {
  while (true) {
    co_await Sleep(kHostCheckInterval);
    auto oldest =
        Clock::now() - std::chrono::milliseconds(m_options.host_ttl_ms);
    // Calls that are closed or delayed by a fault don't count as missed.
    if (m_down != false || m_slow_ms > 0) {
      for (auto& [name, host] : m_hosts) host.last_seen = Clock::now();
    }
    auto dropped = std::erase_if(
        m_hosts, [&](const auto& it) { return it.second.last_seen < oldest; });
    if (dropped > 0) HostsChanged();
  }
}

asio::awaitable<void> Platform::HandleWeights(Exchange* exchange,
                                              std::string name) {
  ++m_calls["weights"];
  if (m_weights.Take()) {
    Json answer = {{"name", name}, {"bytes", 1'000'000}};
    co_await exchange->Answer(200, answer);
    co_return;
  }
  ++m_calls["refused_weights"];
  Json answer = {{"error", "rate limit"}};
  Headers headers;
  headers.emplace_back("Retry-After", "1");
  co_await exchange->Answer(429, answer, headers);
}

}  // namespace
}  // namespace clementine::standin

int main(int argc, char** argv) {
  using clementine::standin::PlatformOptions;
  PlatformOptions options;
  CLI::App app("Stand-in of the platform for tests");
  app.add_option("--listen", options.listen, "IP:port of the API");
  app.add_option("--control", options.control,
                 "IP:port that answers /faults also while the API refuses");
  app.add_option("--token", options.token, "Bearer token; empty: none needed");
  app.add_option("--era", options.era, "Era of the objects; 0: not stated");
  app.add_option("--lag-ms", options.lag_ms, "Lag of the host list");
  app.add_option("--host-ttl-ms", options.host_ttl_ms,
                 "A host without a heartbeat for this long is dropped");
  app.add_option("--weights-per-second", options.weights_per_second,
                 "Rate limit of the weight store");
  app.add_option("--weights-burst", options.weights_burst,
                 "Calls that the weight store takes at once");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io(1);
  clementine::standin::Platform platform(&io, options);
  clementine::LogEvent("listening", {{"address", platform.address()},
                                     {"control", platform.control()}});
  clementine::standin::RunUntilTerminated(&io);
  clementine::LogEvent("stopped", {});
  return 0;
}

// Stand-in of the users' platform for daemons with interface = relay: the store
// of objects with watches, and plain backend servers that register there.
//
// A request's body may be a JSON object that tells its server what to do:
//   {"work_ms": N}      answers after this time (default 5).
//   {"crash": true}     ends its server when it begins to run. The server's
//       connections are reset and its port refuses for "down_ms" (default 500).
//       With "down_ms" 0 only the connections are reset.
//   {"unframed": TEXT}  answers the first run with this text, with neither
//       length nor chunks; later runs answer whole, with chunks. Members beside
//       it: "events": the answer is a stream; "reset": the connection ends by a
//       reset; "gone": the server ends with it, and "refuses_after_ms" later
//       its port refuses (default 0); "replaced": all its connections end, but
//       its port goes on accepting, as if another process listened there;
//       "leaving": the answer says that the server is leaving; "closes_idle":
//       the other connections end 100 ms before this one.
//   {"pause_ms": N}     answers the first run with a stream that pauses for so
//       long after 5 of its 20 events. Later runs are rejected as by a server
//       that is full; with "later": "whole" they answer at once, with "silent"
//       after 30 s.
// A request whose prompt has a part named "deadly" before its last one does
// the same, whatever its body.
// A server that ended comes back under a new id, and its old entry is removed a
// second after its end, as the entry of one that sends nothing more.
//
// GET /control/runs answers {"runs": {BODY: COUNT}, "ended": N}.
// POST /control/drill {"do": "copy"} copies the store; {"do": "restore"} puts
// the copy in its place and raises the era. "rewrite_ms" later (default 1,000)
// the operator and the servers write again what the copy lacks of theirs.
// {"do": "configure", "version": N} writes a version of the configuration.
// With "routes": N beside it, the N newest versions each have a route of their
// own, with the prefix /vVERSION/; so each further version adds one route and
// removes one.
// Answers of the store state its era if --era is at least 1. A watch from a
// revision that the store doesn't have is answered 410.
// POST /control/faults {"store": "up" | "busy" | "down"}: "busy" answers calls
// to the store 503, "down" closes their connections. With "address": I it holds
// for callers of the I-th address of the store only, and "limited" (429),
// "reset" and "silent" work too; other callers are served meanwhile.
// GET /control/calls answers {"calls": [N, ...]}: calls to the store so far, by
// its addresses.

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "config/config.h"
#include "fmt/format.h"
#include "net/net.h"
#include "testing/standin_http.h"

namespace clementine::standin {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr char kService[] = "desk";
constexpr milliseconds kEntryLife{1'000};
constexpr milliseconds kDefaultDown{500};
constexpr milliseconds kDefaultWork{5};
constexpr milliseconds kMostWatchTime{30'000};
constexpr int kStreamEvents = 20;

/// The platform's objects, by kind and name.
class Store {
 public:
  void Put(const std::string& kind, const std::string& name, Json spec) {
    Object& object = m_objects[kind][name];
    if (object.created == 0 || object.deleted) object.created = m_revision + 1;
    object.deleted = false;
    object.spec = std::move(spec);
    Changed(&object);
  }
  void Remove(const std::string& kind, const std::string& name) {
    Object& object = m_objects[kind][name];
    object.deleted = true;
    Changed(&object);
  }
  asio::awaitable<void> Handle(Exchange* exchange);

  void SetEra(std::uint64_t era) { m_era = era; }
  void Copy() { m_copy = {m_objects, m_revision}; }
  void Restore();
  /// Writes what the last restore lost of these kinds.
  void Rewrite(const std::vector<std::string>& kinds);

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool deleted = false;
    Json spec;
  };
  using Objects = std::map<std::string, Object>;

  void Changed(Object* object) {
    object->revision = ++m_revision;
    m_changed.Notify();
  }
  static Json Text(const std::string& name, const Object& object) {
    Json metadata = {{"name", name},
                     {"revision", object.revision},
                     {"created", object.created},
                     {"finalizers", Json::array()},
                     {"deletion_pending", false}};
    return {{"metadata", std::move(metadata)},
            {"spec", object.spec},
            {"status", nullptr}};
  }
  Json List(const std::string& kind) const;
  Json Events(const std::string& kind, std::uint64_t since) const;
  asio::awaitable<void> Watch(Exchange* exchange, std::string kind,
                              std::uint64_t since);
  asio::awaitable<void> Write(Exchange* exchange, std::string kind,
                              std::string name);

  Headers EraHeader() const {
    if (m_era == 0) return {};
    return {{"Store-Era", std::to_string(m_era)}};
  }

  using Kinds = std::map<std::string, Objects>;
  Kinds m_objects;
  std::uint64_t m_revision = 1;
  std::uint64_t m_era = 0;  ///< 0: not stated.
  std::pair<Kinds, std::uint64_t> m_copy;
  Kinds m_lost;  ///< State before the last restore.
  ChangeSignal m_changed;
};

void Store::Restore() {
  m_lost = std::move(m_objects);
  m_objects = m_copy.first;
  m_revision = m_copy.second;
  ++m_era;
  m_changed.Notify();
}

void Store::Rewrite(const std::vector<std::string>& kinds) {
  for (const std::string& kind : kinds) {
    for (const auto& [name, object] : m_lost[kind]) {
      if (!object.deleted) Put(kind, name, object.spec);
    }
  }
}

Json Store::List(const std::string& kind) const {
  Json entries = Json::array();
  auto found = m_objects.find(kind);
  if (found != m_objects.end()) {
    for (const auto& [name, object] : found->second) {
      if (!object.deleted) entries.push_back(Text(name, object));
    }
  }
  return {
      {"entries", std::move(entries)}, {"has_more", false}, {"at", m_revision}};
}

Json Store::Events(const std::string& kind, std::uint64_t since) const {
  Json events = Json::array();
  auto found = m_objects.find(kind);
  if (found == m_objects.end()) return events;
  for (const auto& [name, object] : found->second) {
    if (object.revision <= since) continue;
    Json event = {{"object", Text(name, object)}};
    event["deleted"] = object.deleted;
    events.push_back(std::move(event));
  }
  return events;
}

asio::awaitable<void> Store::Watch(Exchange* exchange, std::string kind,
                                   std::uint64_t since) {
  milliseconds wait(exchange->QueryNumber("wait_ms").value_or(0));
  auto end = Clock::now() + std::min(wait, kMostWatchTime);
  std::uint64_t era = m_era;
  Json events = Events(kind, since);
  while (events.empty() && since <= m_revision && era == m_era &&
         Clock::now() < end) {
    co_await m_changed.WaitUntil(end);
    events = Events(kind, since);
  }
  if (since > m_revision) {
    co_await exchange->Answer(410, std::string(), EraHeader());
    co_return;
  }
  Json answer = {{"events", std::move(events)}, {"at", m_revision}};
  co_await exchange->Answer(200, answer, EraHeader());
}

asio::awaitable<void> Store::Write(Exchange* exchange, std::string kind,
                                   std::string name) {
  bool remove = exchange->method() == "DELETE";
  bool create = exchange->method() == "POST";
  Json body = remove ? Json::object() : ParseJson(exchange->body());
  Json metadata = body.value("metadata", Json::object());
  if (create) name = metadata.at("name").get<std::string>();
  Objects& objects = m_objects[kind];
  auto found = objects.find(name);
  bool exists = found != objects.end() && !found->second.deleted;
  std::optional<std::uint64_t> wanted = exchange->QueryNumber("revision");
  if (metadata.contains("revision")) {
    wanted = metadata["revision"].get<std::uint64_t>();
  }
  if (!exists && !create) {
    Json none = Json::object();
    co_await exchange->Answer(404, none, EraHeader());
    co_return;
  }
  if (exists && (create || (wanted && *wanted != found->second.revision))) {
    Json current = Text(name, found->second);
    co_await exchange->Answer(409, current, EraHeader());
    co_return;
  }
  if (remove) {
    Remove(kind, name);
  } else {
    Put(kind, name, body.value("spec", Json()));
  }
  Json written = Text(name, objects[name]);
  co_await exchange->Answer(create ? 201 : 200, written, EraHeader());
}

asio::awaitable<void> Store::Handle(Exchange* exchange) {
  std::string kind = exchange->path().substr(std::string("/objects/").size());
  std::string name;
  if (std::size_t slash = kind.find('/'); slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind.resize(slash);
  }
  if (exchange->method() != "GET") {
    co_await Write(exchange, std::move(kind), std::move(name));
  } else if (!name.empty()) {
    const Objects& objects = m_objects[kind];
    auto found = objects.find(name);
    bool exists = found != objects.end() && !found->second.deleted;
    Json answer = exists ? Text(name, found->second) : Json::object();
    co_await exchange->Answer(exists ? 200 : 404, answer, EraHeader());
  } else if (auto since = exchange->QueryNumber("watch")) {
    co_await Watch(exchange, std::move(kind), *since);
  } else {
    Json answer = List(kind);
    co_await exchange->Answer(200, answer, EraHeader());
  }
}

/// All servers and the store's address.
class Fleet {
 public:
  Fleet(asio::io_context* io, int servers, bool keep_ids, std::uint64_t era,
        int store_addresses)
      : m_io(io),
        m_keep_ids(keep_ids),
        m_front(io, "127.0.0.1:0",
                [this](Exchange* exchange) { return Front(exchange); }) {
    for (int i = 0; i < store_addresses; ++i) {
      auto entrance = std::make_unique<Entrance>();
      Entrance* raw = entrance.get();
      entrance->http = std::make_unique<HttpServer>(
          io, "127.0.0.1:0",
          [this, raw](Exchange* exchange) { return Enter(raw, exchange); });
      m_entrances.push_back(std::move(entrance));
    }
    m_store.SetEra(era);
    m_store.Put("config", "main", Configuration(1));
    for (int i = 0; i < servers; ++i) {
      auto server = std::make_unique<Server>();
      Server* raw = server.get();
      server->number = i + 1;
      server->http = std::make_unique<HttpServer>(
          io, "127.0.0.1:0",
          [this, raw](Exchange* exchange) { return Serve(raw, exchange); });
      Begin(raw);
      m_servers.push_back(std::move(server));
    }
  }

  std::string address() const { return m_front.address(); }
  /// Further addresses of the store, separated by commas.
  std::string store_addresses() const {
    std::string addresses;
    for (const auto& entrance : m_entrances) {
      addresses += (addresses.empty() ? "" : ",") + entrance->http->address();
    }
    return addresses;
  }

 private:
  /// An address of the store, used by one daemon.
  struct Entrance {
    std::unique_ptr<HttpServer> http;
    std::string state = "up";
    int calls = 0;
  };
  struct Server {
    int number = 0;
    int life = 0;  ///< Starts so far.
    std::string id;
    std::unique_ptr<HttpServer> http;
  };

  /// @param own_routes Number of newest versions that have a route.
  static Json Configuration(int version, int own_routes = 0) {
    auto route = [](const char* prefix, const char* type) {
      return Json{{"name", std::string("r-") + type},
                  {"hostname", "desk.example"},
                  {"path_prefix", prefix},
                  {"route_type", type},
                  {"timeout_ms", 5'000},
                  {"target_latency_ms", 1'000},
                  {"priority", 1},
                  {"service", kService},
                  {"max_attempts", 1},
                  {"public", true}};
    };
    Json routes = Json::array(
        {route("/read/", "idempotent"), route("/order/", "non_idempotent")});
    routes.push_back(route("/stream/", "streaming"));
    Json resumed = route("/resume/", "streaming");
    resumed["name"] = "r-resume";
    resumed["stream_resume"] = true;
    resumed["max_attempts"] = 2;
    routes.push_back(std::move(resumed));
    Json repeated = route("/repeat/", "idempotent");
    repeated["name"] = "r-repeat";
    repeated["max_attempts"] = 2;
    routes.push_back(std::move(repeated));
    Json patient = route("/patient/", "idempotent");
    patient["name"] = "r-patient";
    patient["timeout_ms"] = 30'000;
    patient["max_attempts"] = 2;
    routes.push_back(std::move(patient));
    for (int own = std::max(1, version - own_routes + 1);
         own_routes > 0 && own <= version; ++own) {
      Json added = route(fmt::format("/v{}/", own).c_str(), "idempotent");
      added["name"] = fmt::format("r-v{}", own);
      routes.push_back(std::move(added));
    }
    Json service = {{"name", kService},
                    {"health_path", "/healthz"},
                    {"max_connections", 400},
                    {"protocol", "h1"},
                    {"tls", false}};
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", Json::array({std::move(service)})},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", 4'194'304},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}},
            {"tenants", Json::array()}};
  }

  void Begin(Server* server) {
    ++server->life;
    server->id = "s" + std::to_string(server->number);
    if (!m_keep_ids) server->id += "-" + std::to_string(server->life);
    auto born = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    Json entry = {{"service", kService},
                  {"address", server->http->address()},
                  {"zone", "dc1"},
                  {"version", "v1"},
                  {"slots", 16},
                  {"state", "ready"},
                  {"cold_remaining_ms", 0},
                  {"born", born.count()},
                  {"sequence", server->life}};
    m_store.Put("servers", server->id, std::move(entry));
  }

  asio::awaitable<void> End(Server* server, milliseconds down) {
    ++m_ended;
    std::string ended = server->id;
    server->id.clear();
    if (down > milliseconds(0)) server->http->SetRefusing(true);
    server->http->CloseConnections(nullptr);
    co_await Sleep(down);
    server->http->SetRefusing(false);
    Begin(server);
    if (ended == server->id) co_return;
    co_await Sleep(std::max(milliseconds(0), kEntryLife - down));
    m_store.Remove("servers", ended);
  }

  asio::awaitable<void> Serve(Server* server, Exchange* exchange) {
    Headers headers = {{"X-Clementinelb-Instance-Id", server->id}};
    std::string wanted = exchange->Header("X-Clementinelb-Expected-Instance");
    if (!wanted.empty() && wanted != server->id) {
      co_await exchange->Answer(421, std::string(), headers);
      co_return;
    }
    if (exchange->path() == "/healthz") {
      co_await exchange->Answer(200, std::string("ok\n"), headers);
      co_return;
    }
    Json body = TryParseJson(exchange->body());
    if (!body.is_object()) body = Json::object();
    ++m_runs[exchange->body()];
    if (body.value("crash", false) || HasDeadlyPart(*exchange)) {
      milliseconds down(body.value("down_ms", kDefaultDown.count()));
      asio::co_spawn(*m_io, End(server, down), asio::detached);
      exchange->Drop();
      co_return;
    }
    co_await Sleep(milliseconds(body.value("work_ms", kDefaultWork.count())));
    headers.emplace_back("X-Clementinelb-Attempt-Id",
                         exchange->Header("X-Clementinelb-Attempt-Id"));
    headers.emplace_back("X-Clementinelb-Response-Signature", "standin");
    if (body.contains("unframed")) {
      co_await AnswerUnframed(server, exchange, body, headers);
      co_return;
    }
    if (body.contains("pause_ms")) {
      co_await AnswerWithPause(exchange, body, headers);
      co_return;
    }
    co_await exchange->Answer(200, std::string("done\n"), headers);
  }

  static asio::awaitable<void> SendEvents(Exchange* exchange, int first,
                                          int last) {
    for (int event = first; event <= last; ++event) {
      std::string text = fmt::format("id: {}\ndata: x\n\n", event);
      co_await exchange->Send(std::move(text));
    }
  }

  asio::awaitable<void> AnswerWithPause(Exchange* exchange, Json how,
                                        Headers headers) {
    constexpr int kEventsBeforePause = 5;
    std::string later = how.value("later", "rejected");
    bool first = m_runs[exchange->body()] == 1;
    if (!first && later == "rejected") {
      headers.emplace_back("X-Clementinelb-Not-Executed", "1");
      co_await exchange->Answer(503, std::string(), headers);
      co_return;
    }
    if (!first && later == "silent") {
      co_await Sleep(kMostWatchTime);
    }
    co_await exchange->StartStream(headers);
    co_await SendEvents(exchange, 1, kEventsBeforePause);
    if (first) {
      co_await Sleep(milliseconds(how["pause_ms"].get<int>()));
    }
    co_await SendEvents(exchange, kEventsBeforePause + 1, kStreamEvents);
    co_await exchange->EndStream();
  }

  asio::awaitable<void> AnswerUnframed(Server* server, Exchange* exchange,
                                       Json how, Headers headers) {
    std::string type =
        how.contains("events") ? "text/event-stream" : "text/plain";
    if (m_runs[exchange->body()] > 1) {
      if (!how.contains("events")) {
        co_await exchange->Answer(200, std::string("whole"), headers);
        co_return;
      }
      co_await exchange->StartStream(headers);
      co_await SendEvents(exchange, 1, kStreamEvents);
      co_await exchange->EndStream();
      co_return;
    }
    std::string head =
        fmt::format("HTTP/1.1 200 OK\r\nContent-Type: {}\r\n", type);
    for (const auto& [name, value] : headers) {
      head += fmt::format("{}: {}\r\n", name, value);
    }
    if (how.value("leaving", false)) head += "Server-Leaving: 1\r\n";
    head += "\r\n" + how["unframed"].get<std::string>();
    co_await exchange->SendRaw(std::move(head));
    co_await Sleep(milliseconds(50));
    bool gone = how.value("gone", false);
    if (how.value("closes_idle", false)) {
      if (gone) server->http->SetRefusing(true);
      server->http->CloseConnections(exchange);
      co_await Sleep(milliseconds(100));
    }
    milliseconds refuses_after(how.value("refuses_after_ms", 0));
    if (gone && refuses_after == milliseconds(0)) {
      server->http->SetRefusing(true);
    }
    exchange->Drop(how.value("reset", false));
    if (how.value("replaced", false) || refuses_after > milliseconds(0)) {
      server->http->CloseConnections(nullptr);
    }
    if (gone) {
      asio::co_spawn(*m_io, EndLater(server, refuses_after), asio::detached);
    }
  }

  asio::awaitable<void> EndLater(Server* server, milliseconds delay) {
    constexpr milliseconds kDown{2'000};
    co_await Sleep(delay);
    co_await End(server, kDown);
  }

  static bool HasDeadlyPart(const Exchange& exchange) {
    std::string parts = "," + exchange.Header("X-Clementinelb-Prompt-Prefix");
    std::size_t found = parts.find(",deadly:");
    return found != std::string::npos &&
           parts.find(',', found + 1) != std::string::npos;
  }

  asio::awaitable<void> Drill(Exchange* exchange) {
    Json order = ParseJson(exchange->body());
    std::string what = order.at("do").get<std::string>();
    if (what == "copy") {
      m_store.Copy();
    } else if (what == "configure") {
      int version = order.at("version").get<int>();
      m_store.Put("config", "main",
                  Configuration(version, order.value("routes", 0)));
    } else {
      m_store.Restore();
      asio::co_spawn(*m_io,
                     Rewrite(milliseconds(order.value("rewrite_ms", 1'000))),
                     asio::detached);
    }
    Json done = Json::object();
    co_await exchange->Answer(200, done);
  }

  asio::awaitable<void> Rewrite(milliseconds delay) {
    co_await Sleep(delay);
    std::vector<std::string> kinds = {"servers", "config", "evacuations"};
    m_store.Rewrite(kinds);
  }

  /// A call to one of the store's addresses.
  asio::awaitable<void> Enter(Entrance* entrance, Exchange* exchange) {
    ++entrance->calls;
    if (entrance->state == "busy" || entrance->state == "limited") {
      int status = entrance->state == "busy" ? 503 : 429;
      co_await exchange->Answer(status, std::string());
    } else if (entrance->state == "reset") {
      exchange->Drop(/*reset=*/true);
    } else {
      co_await m_store.Handle(exchange);
    }
  }

  /// Connections that are open when the state changes are lost.
  static void SetEntranceState(Entrance* entrance, const std::string& state) {
    bool silent = state == "silent";
    if (silent || entrance->state == "silent") {
      entrance->http->SilenceConnections(nullptr);
    } else {
      entrance->http->CloseConnections(nullptr);
    }
    entrance->http->set_frozen(silent);
    entrance->state = state;
  }

  asio::awaitable<void> SetFaults(Exchange* exchange) {
    Json faults = ParseJson(exchange->body());
    std::string state = faults.at("store").get<std::string>();
    if (faults.contains("address")) {
      auto index = faults["address"].get<std::size_t>();
      SetEntranceState(m_entrances.at(index).get(), state);
    } else {
      m_state = state;
    }
    Json done = Json::object();
    co_await exchange->Answer(200, done);
  }

  asio::awaitable<void> Front(Exchange* exchange) {
    if (exchange->path() == "/control/runs") {
      Json runs = m_runs;
      Json answer = {{"runs", std::move(runs)}, {"ended", m_ended}};
      co_await exchange->Answer(200, answer);
    } else if (exchange->path() == "/control/drill") {
      co_await Drill(exchange);
    } else if (exchange->path() == "/control/faults") {
      co_await SetFaults(exchange);
    } else if (exchange->path() == "/control/calls") {
      Json calls = Json::array();
      for (const auto& entrance : m_entrances) calls.push_back(entrance->calls);
      Json answer = {{"calls", std::move(calls)}};
      co_await exchange->Answer(200, answer);
    } else if (m_state == "down") {
      exchange->Drop();
    } else if (m_state == "busy") {
      co_await exchange->Answer(503, std::string());
    } else if (exchange->path().starts_with("/objects/")) {
      co_await m_store.Handle(exchange);
    } else {
      co_await exchange->Answer(404, std::string());
    }
  }

  asio::io_context* m_io;
  bool m_keep_ids;
  Store m_store;
  HttpServer m_front;
  std::vector<std::unique_ptr<Entrance>> m_entrances;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::map<std::string, int> m_runs;  ///< By body.
  int m_ended = 0;
  std::string m_state = "up";
};

}  // namespace
}  // namespace clementine::standin

int main(int argc, char** argv) {
  int servers = 6;
  bool keep_ids = false;
  std::uint64_t era = 0;
  int store_addresses = 0;
  CLI::App app("Stand-in of the users' platform and its servers for tests");
  app.add_option("--servers", servers, "Plain backend servers");
  app.add_flag("--keep-ids", keep_ids,
               "Servers come back under the id that they had");
  app.add_option("--era", era, "Era of the store; 0: not stated");
  app.add_option("--store-addresses", store_addresses,
                 "Further addresses of the store");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io(1);
  clementine::standin::Fleet fleet(&io, servers, keep_ids, era,
                                   store_addresses);
  clementine::LogEvent("listening", {{"address", fleet.address()},
                                     {"stores", fleet.store_addresses()}});
  clementine::standin::RunUntilTerminated(&io);
  clementine::LogEvent("stopped", {});
  return 0;
}

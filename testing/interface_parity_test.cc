// Checks which events and actions of the request path each daemon connects.
// Sharing of crash marks was once implemented in one daemon and left out of the
// other, which no test of either detected. A new kind of event or action fails
// to compile here until it is entered, with a reason if a daemon does not
// connect it.

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "core/core.h"
#include "core/fleet_control.h"
#include "fmt/format.h"

namespace clementine {
namespace {

/// How a daemon treats a kind of event or action.
struct Connection {
  /// Text in the daemon's sources that shows the connection, or null.
  const char* connected = nullptr;
  /// Why the kind is not connected; null if it is.
  const char* reason = nullptr;
};

struct Entry {
  const char* name;
  /// Interface `chat`: daemon.cc and the files it uses.
  Connection chat;
  /// Interface `relay`: fleet_daemon.cc and the files it uses.
  Connection relay;
};

/// Outputs of the control plane that it does not handle itself are passed to
/// the request path.
constexpr char kForwarded[] = "m_context.pass_on(event)";
constexpr char kNoKeys[] = "relayed requests have no idempotency keys";
constexpr char kNoCacheEvents[] =
    "the users' platform publishes no cache events";
constexpr char kNoLoad[] =
    "load reports cost platform calls and arrive late; groups are "
    "limited by their slots instead";
constexpr char kNoStall[] = "an attempt without data ends by its timeouts";
constexpr char kNoBusy[] = "the end of an attempt carries the busy time";
constexpr char kPresence[] =
    "presence detects lost hosts, and epochs detect new incarnations";

// One overload per kind. A kind without an overload makes Entries::All fail to
// compile.
Entry EntryOf(std::type_identity<RequestArrived>) {
  return {"RequestArrived", {"RequestArrived{"}, {"RequestArrived{"}};
}
Entry EntryOf(std::type_identity<CallerLeft>) {
  return {"CallerLeft", {"CallerLeft{"}, {"CallerLeft{"}};
}
Entry EntryOf(std::type_identity<AttemptProgress>) {
  return {"AttemptProgress", {"AttemptProgress{"}, {"AttemptProgress{"}};
}
Entry EntryOf(std::type_identity<AttemptEnded>) {
  return {"AttemptEnded", {"AttemptEnded ended"}, {"AttemptEnded ended"}};
}
Entry EntryOf(std::type_identity<AttemptStalled>) {
  return {"AttemptStalled", {nullptr, kNoStall}, {"AttemptStalled{"}};
}
Entry EntryOf(std::type_identity<ServerBusy>) {
  return {"ServerBusy", {nullptr, kNoBusy}, {"RequestEvent(busy)"}};
}
Entry EntryOf(std::type_identity<ServerEnded>) {
  return {"ServerEnded", {nullptr, kPresence}, {"<ServerEnded>"}};
}
Entry EntryOf(std::type_identity<LoadReported>) {
  return {"LoadReported", {"LoadReported"}, {nullptr, kNoLoad}};
}
Entry EntryOf(std::type_identity<CacheEvents>) {
  return {"CacheEvents", {"CacheEvents"}, {nullptr, kNoCacheEvents}};
}
Entry EntryOf(std::type_identity<GroupsChanged>) {
  return {"GroupsChanged", {"GroupsChanged"}, {"<GroupsChanged>"}};
}
Entry EntryOf(std::type_identity<ConfigurationChanged>) {
  return {"ConfigurationChanged",
          {"ConfigurationChanged"},
          {"ConfigurationChanged changed"}};
}
Entry EntryOf(std::type_identity<QuarantineLearned>) {
  return {"QuarantineLearned", {kForwarded}, {"RequestEvent(entry)"}};
}
Entry EntryOf(std::type_identity<DaemonsChanged>) {
  return {"DaemonsChanged", {kForwarded}, {"RequestEvent(*daemons)"}};
}
Entry EntryOf(std::type_identity<DrainStarted>) {
  return {"DrainStarted",
          {"DrainStarted{}"},
          {nullptr,
           "a daemon that stops takes requests until its server "
           "stops, and finishes them"}};
}
Entry EntryOf(std::type_identity<RequestsStopped>) {
  return {
      "RequestsStopped",
      {nullptr, "a daemon ends only after its requests, at their deadlines"},
      {"RequestEvent(RequestsStopped{})"}};
}
Entry EntryOf(std::type_identity<ObjectReply>) {
  return {"ObjectReply", {"ObjectReply"}, {nullptr, kNoKeys}};
}
Entry EntryOf(std::type_identity<StoreEraSeen>) {
  return {"StoreEraSeen", {"RequestEvent(StoreEraSeen{"}, {nullptr, kNoKeys}};
}
Entry EntryOf(std::type_identity<Tick>) {
  return {"Tick", {"Tick{"}, {"RequestEvent(Tick{})"}};
}

Entry EntryOf(std::type_identity<Dispatch>) {
  return {"Dispatch",
          {"On(const Dispatch& dispatch)"},
          {"On(const Dispatch& dispatch)"}};
}
Entry EntryOf(std::type_identity<CancelAttempt>) {
  return {"CancelAttempt",
          {"On(const CancelAttempt& cancel)"},
          {"On(const CancelAttempt& cancel)"}};
}
Entry EntryOf(std::type_identity<Refuse>) {
  return {"Refuse", {"On(const Refuse& refuse)"}, {"On(const Refuse& refuse)"}};
}
Entry EntryOf(std::type_identity<Finish>) {
  return {"Finish", {"On(const Finish& finish)"}, {"On(const Finish& finish)"}};
}
Entry EntryOf(std::type_identity<Replay>) {
  return {"Replay", {"On(const Replay& replay)"}, {nullptr, kNoKeys}};
}
Entry EntryOf(std::type_identity<ShareQuarantine>) {
  return {"ShareQuarantine",
          {"feed_control(QuarantineFound{"},
          {"m_context.share(share)"}};
}
Entry EntryOf(std::type_identity<GetObject>) {
  return {"GetObject", {"On(const GetObject& get)"}, {nullptr, kNoKeys}};
}
Entry EntryOf(std::type_identity<PutObject>) {
  return {"PutObject", {"On(const PutObject& put)"}, {nullptr, kNoKeys}};
}
Entry EntryOf(std::type_identity<DeleteObject>) {
  return {"DeleteObject", {"On(const DeleteObject& del)"}, {nullptr, kNoKeys}};
}
Entry EntryOf(std::type_identity<LogDecision>) {
  return {"LogDecision",
          {"On(const LogDecision& log)"},
          {"On(const LogDecision& log)"}};
}

template <typename Variant>
struct Entries;
template <typename... Kinds>
struct Entries<std::variant<Kinds...>> {
  static std::vector<Entry> All() {
    return {EntryOf(std::type_identity<Kinds>())...};
  }
};

std::string Sources(const std::vector<const char*>& files) {
  std::string all;
  for (const char* file : files) {
    std::ifstream in(fmt::format("{}/daemon/{}", CLEMENTINE_SOURCE_DIR, file));
    REQUIRE(in);
    std::ostringstream text;
    text << in.rdbuf();
    all += text.str();
  }
  return all;
}

void Check(const Entry& entry, const Connection& use,
           const std::string& sources) {
  CAPTURE(entry.name);
  CHECK((use.connected == nullptr) != (use.reason == nullptr));
  if (use.connected != nullptr) {
    CHECK_MESSAGE(sources.find(use.connected) != std::string::npos,
                  use.connected);
  } else {
    // A handler that ignores its action has an unnamed parameter, and an event
    // that is not fed is never constructed.
    std::string handler = fmt::format("On(const {}& /*", entry.name);
    std::string made = fmt::format("RequestEvent({}", entry.name);
    bool ignored = sources.find(handler) != std::string::npos ||
                   sources.find(made) == std::string::npos;
    CHECK(ignored);
  }
}

}  // namespace

// Guards against a feature that only one of the daemons connects, such as crash
// counts that are not shared.
TEST_CASE(
    "each event and action is connected in both daemons or has a reason") {
  std::string chat =
      Sources({"daemon.cc", "request_executor.cc", "request_reader.cc",
               "control_executor.cc", "control_executor.h", "cache_poller.cc"});
  std::string relay =
      Sources({"fleet_daemon.cc", "relay_executor.cc", "fleet_feed.cc"});
  std::vector<Entry> entries = Entries<RequestEvent>::All();
  for (const Entry& entry : Entries<RequestAction>::All()) {
    entries.push_back(entry);
  }
  for (const Entry& entry : entries) {
    Check(entry, entry.chat, chat);
    Check(entry, entry.relay, relay);
  }
}

// Guards against crashes that are blamed on shared parts of prompts on one
// interface only.
TEST_CASE("both daemons read the shared parts of prompts") {
  CHECK(Sources({"request_reader.cc"}).find("request.shared_parts = ") !=
        std::string::npos);
  CHECK(Sources({"relay_executor.cc"}).find("with_parts.shared_parts = ") !=
        std::string::npos);
}

// Guards against broken answers without length and chunks that one interface
// passes on as complete, or ends without a trace in its log.
TEST_CASE("both daemons verify the ends of answers without a length") {
  for (const char* file : {"request_executor.cc", "relay_executor.cc"}) {
    CAPTURE(file);
    std::string source = Sources({file});
    for (const char* part :
         {"call.verify_unframed = true", "handlers.server_leaving = ",
          "EndEvidenceName(end.evidence)", "CountAnswer(end, "}) {
      CAPTURE(part);
      CHECK(source.find(part) != std::string::npos);
    }
  }
}

}  // namespace clementine

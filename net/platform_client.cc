// The object API and the host list of the platform, as its stand-in speaks
// them.

#include <nlohmann/json.hpp>

#include "config/config.h"
#include "core/store_era.h"
#include "fmt/format.h"
#include "net/http_transport.h"
#include "net/net.h"

namespace clementine {
namespace {

constexpr char kEraHeader[] = "Store-Era";

namespace asio = boost::asio;
using Json = nlohmann::json;
using Answer = HttpTransport::Answer;

// Percent-encodes all but unreserved characters and those in `kept`.
std::string PercentEncode(const std::string& text, const std::string& kept) {
  const std::string unreserved = "-._~" + kept;
  std::string encoded;
  for (char c : text) {
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 (c >= '0' && c <= '9') ||
                 unreserved.find(c) != std::string::npos;
    if (plain) {
      encoded.push_back(c);
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

std::string ObjectTarget(const std::string& key) {
  return "/v1/objects/" + PercentEncode(key, "/");
}

// Decodes the answer to a call for one object. Answers that are malformed or
// have an unexpected status say nothing about whether a write took effect.
ObjectReply DecodeReply(CallId call, const Answer& answer) {
  ObjectReply reply;
  reply.call = call;
  reply.era = ParseStoreEra(FindHeader(answer.headers, kEraHeader));
  if (!answer.sent) {
    reply.status = ObjectStatus::kUnavailable;
    return reply;
  }
  bool with_object = answer.status == 200 || answer.status == 409;
  if (answer.status == 404) reply.status = ObjectStatus::kNotFound;
  if (!with_object) return reply;
  try {
    Json json = ParseJson(answer.body);
    reply.version = json.at("version").get<std::uint64_t>();
    reply.value = json.value("value", "");
    reply.status =
        answer.status == 200 ? ObjectStatus::kOk : ObjectStatus::kConflict;
  } catch (const Json::exception&) {
    reply.version = 0;
    reply.value.clear();
  }
  return reply;
}

std::optional<ObjectsChanged> DecodeObjects(const Answer& answer) {
  if (answer.status != 200) return std::nullopt;
  try {
    Json json = ParseJson(answer.body);
    ObjectsChanged changed;
    changed.revision = json.at("revision").get<std::uint64_t>();
    for (const Json& event : json.at("events")) {
      ObjectsChanged::Entry entry;
      entry.key = event.at("key").get<std::string>();
      entry.version = event.at("version").get<std::uint64_t>();
      entry.value = event.value("value", "");
      changed.entries.push_back(std::move(entry));
    }
    return changed;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

// Rows that can't be understood are left out: one bad row must not hide all
// other hosts.
std::optional<std::vector<HostInfo>> DecodeHosts(const Answer& answer) {
  if (answer.status != 200) return std::nullopt;
  Json json = TryParseJson(answer.body);
  if (!json.is_array()) return std::nullopt;
  std::vector<HostInfo> hosts;
  for (const Json& row : json) {
    try {
      HostInfo host;
      host.host = row.at("host").get<std::string>();
      host.data_centre = row.value("data_centre", "");
      host.fabric_domain = row.value("fabric_domain", "");
      host.address = row.at("address").get<std::string>();
      host.accelerators = row.value("accelerators", host.accelerators);
      host.engine = row.value("kind", "engine") != "plain";
      host.leaving = row.value("state", "live") == "leaving";
      hosts.push_back(std::move(host));
    } catch (const Json::exception&) {
      LogEvent("host_row_malformed", {});
    }
  }
  return hosts;
}

}  // namespace

class PlatformClient::Impl {
 public:
  Impl(asio::io_context* io, const std::string& address,
       const std::string& token, std::chrono::milliseconds timeout)
      : m_transport(io, address, Headers(token), timeout) {}

  void Start(const char* method, std::string target, std::string body,
             std::chrono::milliseconds extra_time,
             std::function<void(const Answer&)> done) {
    m_transport.Start(method, std::move(target), std::move(body), extra_time,
                      [this, done = std::move(done)](const Answer& answer) {
                        bool usable = answer.status == 0 || ObserveEra(answer);
                        done(usable ? answer : Answer{true, 0, {}, ""});
                      });
  }
  void Observe(std::optional<std::uint64_t> era) {
    StoreEra::Verdict verdict = m_era.Observe(era);
    bool higher = verdict == StoreEra::Verdict::kFirst ||
                  verdict == StoreEra::Verdict::kRestored;
    if (higher && m_era.highest() > 0 && on_era) on_era(m_era.highest());
  }
  std::uint64_t era() const { return m_era.highest(); }

  std::function<void(std::uint64_t)> on_era;

  std::uint64_t calls() const { return m_transport.calls(); }
  HttpTransport::Stats stats() const { return m_transport.stats(); }
  void SetMaxHeldBytes(std::size_t bytes) {
    m_transport.SetMaxHeldBytes(bytes);
  }

 private:
  static HttpHeaders Headers(const std::string& token) {
    if (token.empty()) return {};
    return {{"Authorization", "Bearer " + token}};
  }

  /// @return Whether the answer may be used; false if its era is older.
  bool ObserveEra(const Answer& answer) {
    std::string_view text = FindHeader(answer.headers, kEraHeader);
    std::optional<std::uint64_t> era = ParseStoreEra(text);
    if (!text.empty() && !era && m_logged_malformed != text) {
      m_logged_malformed = text;
      LogEvent("store_era_malformed",
               {{"value", std::string(text)}, {"action", "ignored"}});
    }
    if (era && *era < m_era.highest()) {
      if (m_era.ShouldLogOlder(*era)) {
        LogEvent("store_era_older",
                 {{"era", std::to_string(*era)},
                  {"highest", std::to_string(m_era.highest())}});
      }
      return false;
    }
    Observe(era);
    return true;
  }

  StoreEra m_era;
  std::string m_logged_malformed;
  HttpTransport m_transport;
};

PlatformClient::PlatformClient(asio::io_context* io, const std::string& address,
                               const std::string& token,
                               std::chrono::milliseconds timeout)
    : m_impl(std::make_unique<Impl>(io, address, token, timeout)) {}

PlatformClient::~PlatformClient() = default;

void PlatformClient::SetEraHandler(std::function<void(std::uint64_t)> seen) {
  m_impl->on_era = std::move(seen);
}

void PlatformClient::OnEraSeen(std::uint64_t era) {
  if (era > m_impl->era()) m_impl->Observe(era);
}

std::uint64_t PlatformClient::store_era() const { return m_impl->era(); }

void PlatformClient::Get(const clementine::GetObject& get,
                         ObjectCallback done) {
  m_impl->Start("GET", ObjectTarget(get.key), "", std::chrono::milliseconds(0),
                [call = get.call, done = std::move(done)](
                    const Answer& answer) { done(DecodeReply(call, answer)); });
}

void PlatformClient::Put(const PutObject& put, ObjectCallback done) {
  std::string target =
      fmt::format("{}?if_version={}", ObjectTarget(put.key), put.if_version);
  m_impl->Start(
      "PUT", std::move(target), put.value, std::chrono::milliseconds(0),
      [call = put.call, done = std::move(done)](const Answer& answer) {
        done(DecodeReply(call, answer));
      });
}

void PlatformClient::Delete(const DeleteObject& del, ObjectCallback done) {
  std::string target =
      fmt::format("{}?if_version={}", ObjectTarget(del.key), del.if_version);
  m_impl->Start("DELETE", std::move(target), "", std::chrono::milliseconds(0),
                [call = del.call, done = std::move(done)](
                    const Answer& answer) { done(DecodeReply(call, answer)); });
}

void PlatformClient::List(
    const std::string& prefix,
    std::function<void(std::optional<ObjectsChanged>)> done) {
  m_impl->Start("GET", "/v1/objects?prefix=" + PercentEncode(prefix, ""), "",
                std::chrono::milliseconds(0),
                [done = std::move(done)](const Answer& answer) {
                  done(DecodeObjects(answer));
                });
}

void PlatformClient::WatchObjects(
    const Watch& watch,
    std::function<void(std::optional<ObjectsChanged>)> done) {
  std::string target = fmt::format("/v1/watch?prefix={}&since={}&timeout_ms={}",
                                   PercentEncode(watch.prefix, ""), watch.since,
                                   watch.timeout.count());
  m_impl->Start(
      "GET", std::move(target), "", watch.timeout,
      [prefix = watch.prefix, done = std::move(done)](const Answer& answer) {
        std::optional<ObjectsChanged> changed = DecodeObjects(answer);
        if (changed) changed->prefix = prefix;
        done(std::move(changed));
      });
}

void PlatformClient::ListHosts(
    std::function<void(std::optional<std::vector<HostInfo>>)> done) {
  m_impl->Start("GET", "/v1/hosts", "", std::chrono::milliseconds(0),
                [done = std::move(done)](const Answer& answer) {
                  done(DecodeHosts(answer));
                });
}

std::uint64_t PlatformClient::calls() const { return m_impl->calls(); }

std::uint64_t PlatformClient::held_bytes() const {
  return m_impl->stats().held_bytes;
}

std::uint64_t PlatformClient::dropped_answers() const {
  return m_impl->stats().dropped_answers;
}

std::uint64_t PlatformClient::invalid_answers() const {
  return m_impl->stats().invalid_answers;
}

void PlatformClient::SetMaxHeldBytes(std::size_t bytes) {
  m_impl->SetMaxHeldBytes(bytes);
}

}  // namespace clementine

// A follower may be told nothing older than it can afford: a daemon that hasn't
// heard from the platform within kFreshTime says so, and the follower asks
// another one or the platform.

#include "daemon/change_relay.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <stdexcept>
#include <utility>

#include "config/config.h"
#include "fmt/format.h"
#include "net/http_status.h"
#include "net/http_transport.h"
#include "nlohmann/json.hpp"

namespace clementine {
namespace {

using Json = nlohmann::json;
using platform::ObjectBatch;

constexpr char kPath[] = "/changes/";
constexpr char kSince[] = "since=";
/// A follower waits so long for a change. With kFreshTime and the timeout below
/// it learns of a lost source within two seconds and a half.
constexpr milliseconds kFollowerWait{700};
/// Longer than the watch of a daemon that passes changes on.
constexpr milliseconds kFreshTime{1'300};
constexpr milliseconds kAnswerTime{400};
/// Changes that are kept for followers.
constexpr std::size_t kMostBytes = 4'194'304;
constexpr std::size_t kMostBatches = 512;
constexpr std::size_t kMostFollowers = 512;
/// Of an object besides its texts.
constexpr std::size_t kObjectBytes = 64;

std::size_t Bytes(const std::vector<platform::StoredObject>& objects) {
  std::size_t bytes = 0;
  for (const platform::StoredObject& object : objects) {
    bytes += kObjectBytes + object.name.size() + object.content.size();
  }
  return bytes;
}

std::string Encode(const ObjectBatch& batch) {
  Json objects = Json::array();
  for (const platform::StoredObject& object : batch.objects) {
    objects.push_back({{"name", object.name},
                       {"revision", object.revision},
                       {"content", object.content},
                       {"deleted", object.deleted}});
  }
  return JsonText({{"at", batch.revision}, {"objects", objects}});
}

ObjectBatch Decode(const std::string& body) {
  ObjectBatch batch;
  Json json = ParseJson(body);
  batch.revision = json.at("at").get<std::uint64_t>();
  for (const Json& entry : json.at("objects")) {
    platform::StoredObject object;
    object.name = entry.at("name").get<std::string>();
    object.revision = entry.at("revision").get<std::uint64_t>();
    object.content = entry.at("content").get<std::string>();
    object.deleted = entry.at("deleted").get<bool>();
    batch.objects.push_back(std::move(object));
  }
  batch.status = ObjectBatch::Status::kOk;
  return batch;
}

std::optional<std::uint64_t> ReadSince(const std::string& query) {
  if (query.rfind(kSince, 0) != 0) return std::nullopt;
  const char* begin = query.data() + sizeof(kSince) - 1;
  const char* end = query.data() + query.size();
  std::uint64_t since = 0;
  auto [stop, error] = std::from_chars(begin, end, since);
  if (error != std::errc() || stop != end) return std::nullopt;
  return since;
}

}  // namespace

// ---------------------------------------------------------------------------
// History.

void ChangeHistory::Restart(std::uint64_t revision, TimePoint now) {
  m_known = true;
  m_heard = now;
  if (revision < m_revision) return;
  m_base = m_revision = revision;
  m_batches.clear();
  m_bytes = 0;
}

void ChangeHistory::Add(const ObjectBatch& batch, TimePoint now) {
  m_heard = now;
  if (!m_known || batch.revision <= m_revision) return;
  m_revision = batch.revision;
  if (batch.objects.empty()) return;
  m_batches.push_back({batch.revision, batch.objects});
  m_bytes += Bytes(batch.objects);
  while (!m_batches.empty() &&
         (m_bytes > kMostBytes || m_batches.size() > kMostBatches)) {
    m_base = m_batches.front().revision;
    m_bytes -= Bytes(m_batches.front().objects);
    m_batches.pop_front();
  }
}

std::optional<ObjectBatch> ChangeHistory::After(std::uint64_t revision) const {
  if (!m_known || revision < m_base) return std::nullopt;
  ObjectBatch batch;
  batch.status = ObjectBatch::Status::kOk;
  batch.revision = std::max(revision, m_revision);
  for (const Batch& known : m_batches) {
    if (known.revision <= revision) continue;
    batch.objects.insert(batch.objects.end(), known.objects.begin(),
                         known.objects.end());
  }
  return batch;
}

bool ChangeHistory::Fresh(TimePoint now, milliseconds age) const {
  return m_known && now - m_heard <= age;
}

// ---------------------------------------------------------------------------
// The daemon that passes changes on.

void ChangeRelay::Listed(const std::string& kind, std::uint64_t revision) {
  m_histories[kind].Restart(revision, m_now());
}

void ChangeRelay::Changed(const std::string& kind, const ObjectBatch& batch) {
  m_histories[kind].Add(batch, m_now());
  if (batch.objects.empty()) return;
  std::erase_if(m_followers, [&](const Follower& follower) {
    return follower.kind == kind && TryAnswer(follower, /*waited=*/false);
  });
}

void ChangeRelay::Accept(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->request();
  std::optional<std::uint64_t> since = ReadSince(request.query);
  if (request.method != "GET" || request.path.rfind(kPath, 0) != 0 || !since) {
    exchange->Answer(http_status::kBadRequest, {}, "unknown request\n");
    return;
  }
  if (m_followers.size() >= kMostFollowers) {
    exchange->Answer(http_status::kUnavailable, {}, "too many followers\n");
    return;
  }
  Follower follower;
  follower.id = ++m_last_follower;
  follower.kind = request.path.substr(sizeof(kPath) - 1);
  follower.since = *since;
  follower.until = m_now() + kFollowerWait;
  follower.exchange = exchange;
  if (TryAnswer(follower, /*waited=*/false)) return;
  exchange->SetLeaveHandler([this, id = follower.id] {
    m_followers.remove_if(
        [id](const Follower& other) { return other.id == id; });
  });
  m_followers.push_back(std::move(follower));
}

void ChangeRelay::Tick() {
  TimePoint now = m_now();
  std::erase_if(m_followers, [&](const Follower& follower) {
    return follower.until <= now && TryAnswer(follower, /*waited=*/true);
  });
}

bool ChangeRelay::TryAnswer(const Follower& follower, bool waited) {
  auto found = m_histories.find(follower.kind);
  HttpExchange* exchange = follower.exchange.get();
  if (found == m_histories.end() || !found->second.Fresh(m_now(), kFreshTime)) {
    exchange->Answer(http_status::kUnavailable, {}, "not current\n");
    return true;
  }
  std::optional<ObjectBatch> batch = found->second.After(follower.since);
  if (!batch) {
    exchange->Answer(http_status::kGone, {}, "history is gone\n");
    return true;
  }
  if (batch->objects.empty() && !waited) return false;
  exchange->Answer(http_status::kOk, {{"Content-Type", "application/json"}},
                   Encode(*batch));
  return true;
}

// ---------------------------------------------------------------------------
// The daemon that follows.

class ChangeClient::Impl {
 public:
  explicit Impl(boost::asio::io_context* io) : m_io(io) {}

  HttpTransport& To(const std::string& address) {
    std::unique_ptr<HttpTransport>& transport = m_transports[address];
    if (!transport) {
      transport = std::make_unique<HttpTransport>(m_io, address, HttpHeaders{},
                                                  kAnswerTime);
    }
    return *transport;
  }

  boost::asio::io_context* io() { return m_io; }

 private:
  boost::asio::io_context* m_io;
  std::map<std::string, std::unique_ptr<HttpTransport>> m_transports;
};

ChangeClient::ChangeClient(boost::asio::io_context* io)
    : m_impl(std::make_unique<Impl>(io)) {}

ChangeClient::~ChangeClient() = default;

void ChangeClient::Watch(const std::string& address, const std::string& kind,
                         std::uint64_t revision,
                         std::function<void(ObjectBatch)> done) {
  std::string target = fmt::format("{}{}?{}{}", kPath, kind, kSince, revision);
  HttpTransport* transport = nullptr;
  try {
    transport = &m_impl->To(address);
  } catch (const std::runtime_error& error) {
    // The address comes from another daemon's object.
    LogEvent("peer_address_malformed",
             {{"peer", address}, {"error", error.what()}});
    boost::asio::post(*m_impl->io(),
                      [done = std::move(done)] { done(ObjectBatch()); });
    return;
  }
  transport->Start(
      "GET", std::move(target), "", kFollowerWait,
      [address, done = std::move(done)](const HttpTransport::Answer& answer) {
        ObjectBatch batch;
        if (answer.status == http_status::kGone) {
          batch.status = ObjectBatch::Status::kHistoryGone;
        } else if (answer.status == http_status::kOk) {
          try {
            batch = Decode(answer.body);
          } catch (const Json::exception& error) {
            LogEvent("peer_answer_malformed",
                     {{"peer", address}, {"error", error.what()}});
            batch = ObjectBatch();
          }
        }
        done(std::move(batch));
      });
}

}  // namespace clementine

// Followers that have all earlier changes are sent the same body, encoded once.
// A follower that lacks more changes, for instance because it read too slowly,
// is sent the current state of the objects that it lacks.

#include "daemon/change_relay.h"

#include <algorithm>
#include <utility>

#include "net/http_status.h"

namespace clementine {
namespace {

constexpr char kPath[] = "/changes";
/// Each follower costs a few hundred bytes per second, and memory for its
/// unsent frames.
constexpr std::size_t kMaxFollowers = 512;

}  // namespace

bool ChangeRelay::HasRequiredKinds() const {
  return std::all_of(m_histories.begin(), m_histories.begin() + kRequiredKinds,
                     [](const ChangeHistory& known) { return known.known(); });
}

ChangeUpdate ChangeRelay::UpdateAfter(ChangeKind kind, std::uint64_t era,
                                      std::uint64_t revision) const {
  const ChangeHistory& history = History(kind);
  ChangeUpdate update;
  update.kind = kind;
  if (era < history.era()) {
    update.delta = history.All();
  } else if (era == history.era()) {
    update.delta = history.DeltaAfter(revision);
  } else {
    update.delta.era = history.era();
    update.delta.revision = history.revision();
  }
  update.age =
      std::max(milliseconds(0),
               std::chrono::ceil<milliseconds>(m_now() - history.as_of()));
  return update;
}

void ChangeRelay::RecordSent(ChangeKind kind, Follower* follower) const {
  const auto index = static_cast<std::size_t>(kind);
  const ChangeHistory& history = History(kind);
  std::uint64_t& known = follower->known[index];
  std::uint64_t& era = follower->eras[index];
  if (era > history.era()) return;
  known = era < history.era() ? history.revision()
                              : std::max(known, history.revision());
  era = history.era();
}

void ChangeRelay::ReplaceObjects(ChangeKind kind,
                                 const platform::ObjectBatch& all,
                                 TimePoint as_of) {
  ApplyUpdate(kind,
              [&](ChangeHistory* history) { history->Replace(all, as_of); });
}

void ChangeRelay::AddChanges(ChangeKind kind,
                             const platform::ObjectBatch& batch,
                             TimePoint as_of) {
  ApplyUpdate(kind,
              [&](ChangeHistory* history) { history->Add(batch, as_of); });
}

// Relays only new information, because daemons may follow each other in a ring.
void ChangeRelay::ApplyUpdate(
    ChangeKind kind, const std::function<void(ChangeHistory*)>& change) {
  const std::size_t index = static_cast<std::size_t>(kind);
  ChangeHistory& history = m_histories[index];
  std::uint64_t before = history.revision();
  std::uint64_t era_before = history.era();
  TimePoint as_of_before = history.known() ? history.as_of() : TimePoint();
  change(&history);
  if (m_followers.empty()) return;
  if (!HasRequiredKinds()) {
    for (Follower& follower : m_followers) follower.exchange->Abort();
    m_followers.clear();
    return;
  }
  if (!history.known() ||
      (history.era() == era_before && history.revision() == before &&
       history.as_of() == as_of_before)) {
    return;
  }
  std::string shared =
      EncodeChangeBody({UpdateAfter(kind, era_before, before)});
  for (Follower& follower : m_followers) {
    std::uint64_t known = follower.known[index];
    std::uint64_t era = follower.eras[index];
    if (follower.behind || known == kKindNotRequested) continue;
    bool same = known == before && era == era_before;
    SendFrame(
        &follower,
        same ? shared : EncodeChangeBody({UpdateAfter(kind, era, known)}));
    RecordSent(kind, &follower);
  }
}

void ChangeRelay::SendFrame(Follower* follower, const std::string& body) {
  TimePoint now = m_now();
  follower->last_sent_at = now;
  auto elapsed =
      std::chrono::duration_cast<milliseconds>(now - follower->opened_at);
  std::string frame = EncodeChangeFrame(elapsed, body, &follower->codes);
  m_sent_bytes += frame.size();
  if (!follower->exchange->Write(frame)) {
    follower->behind = true;
  }
}

void ChangeRelay::SendAllKinds(Follower* follower) {
  std::vector<ChangeUpdate> updates;
  for (std::size_t index = 0; index < kChangeKinds; ++index) {
    auto kind = static_cast<ChangeKind>(index);
    std::uint64_t known = follower->known[index];
    if (!History(kind).known() || known == kKindNotRequested) continue;
    updates.push_back(UpdateAfter(kind, follower->eras[index], known));
    RecordSent(kind, follower);
  }
  SendFrame(follower, EncodeChangeBody(updates));
}

void ChangeRelay::Accept(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->request();
  std::string query = request.query;
  std::optional<FrameCodes> codes = VerifyChangeQuery(m_keys, &query);
  if (!codes) {
    LogEvent("change_follower_rejected", {{"reason", "not authentic"}});
    exchange->Answer(http_status::kUnauthorized, {}, "not authentic\n");
    return;
  }
  std::optional<ChangeRevisions> known = DecodeChangeQuery(query);
  if (request.method != "GET" || request.path != kPath || !known) {
    exchange->Answer(http_status::kBadRequest, {}, "unknown request\n");
    return;
  }
  if (!HasRequiredKinds() || m_followers.size() >= kMaxFollowers) {
    exchange->Answer(http_status::kUnavailable, {}, "not current\n");
    return;
  }
  Follower follower;
  follower.id = ++m_last_follower;
  follower.exchange = exchange;
  follower.codes = std::move(*codes);
  follower.known = *known;
  follower.eras =
      DecodeChangeEras(FindHeader(request.headers, kChangeErasHeader));
  follower.opened_at = m_now();
  exchange->StartStream(http_status::kOk,
                        {{"Content-Type", "application/octet-stream"}});
  exchange->SetLeaveHandler([this, id = follower.id] {
    m_followers.remove_if(
        [id](const Follower& other) { return other.id == id; });
  });
  exchange->SetDrainHandler([this, id = follower.id] {
    for (Follower& other : m_followers) {
      if (other.id == id) other.behind = false;
    }
  });
  m_followers.push_back(std::move(follower));
  SendAllKinds(&m_followers.back());
}

void ChangeRelay::Tick() {
  TimePoint now = m_now();
  if (!HasRequiredKinds()) return;
  for (Follower& follower : m_followers) {
    if (!follower.behind && now - follower.last_sent_at >= m_heartbeat) {
      SendAllKinds(&follower);
    }
  }
}

}  // namespace clementine

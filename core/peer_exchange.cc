#include "core/peer_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

#include "fmt/format.h"

namespace clementine {
namespace {

/// Number of random daemons to which an urgent update is sent at once.
constexpr std::size_t kBurstPeers = 3;

/// Minimum interval between two bursts. When a fabric domain loses many hosts
/// together, their updates share a few messages.
constexpr milliseconds kBurstInterval{100};

/// Minimum interval between two pulls, because several daemons can announce a
/// newer generation together.
constexpr milliseconds kPullInterval{200};

/// Maximum number of verdicts, and of quarantine entries, that are piggybacked
/// on one message. Members are limited by
/// MembershipOptions::updates_per_message.
constexpr std::size_t kMaxUpdatesPerMessage = 32;
constexpr std::size_t kMaxQuarantineEntries = 4096;
/// Maximum size of the names of these entries. Names of filters take some
/// kilobytes.
constexpr std::size_t kMaxQuarantineBytes = 4'194'304;
constexpr std::size_t kMaxMarkBytesPerMessage = 65'536;

/// Minimum interval between reports of the generation to the lease holder.
constexpr milliseconds kReportInterval{1'000};

/// Minimum interval between fetches of all verdicts, because those of a whole
/// data centre are large: about 50 KB for 1,333 hosts.
constexpr milliseconds kPresenceSyncInterval{5'000};
constexpr std::size_t kMaxVerdictsPerMessage = 256;

/// The own digest must be unchanged for this long before a different digest of
/// another daemon is taken for a lost update. Digests also differ while
/// verdicts are still spreading.
constexpr milliseconds kPresenceStableDuration{3'000};

/// Returns 0 for a record without a verdict.
std::uint64_t PresenceHash(const PresenceUpdate& update) {
  if (update.sequence == 0) return 0;
  std::string key = update.reporter + '/' + update.host;
  return XXH3_64bits_withSeed(key.data(), key.size(), update.sequence);
}

bool SameVerdict(const PresenceUpdate& a, const PresenceUpdate& b) {
  return a.group == b.group && a.epoch == b.epoch && a.present == b.present &&
         a.leaving == b.leaving && a.adapters == b.adapters &&
         a.info.address == b.info.address;
}

}  // namespace

PeerExchange::PeerExchange(MembershipOptions options)
    : m_self(options.self), m_members(std::move(options)) {}

int PeerExchange::SendsForUpdate() const {
  // LiveNodes() includes this daemon. The additional one never lowers the
  // number of sends.
  return SendsPerUpdate(m_members.LiveNodes().size() + 1);
}

void PeerExchange::AddHeaderAndUpdates(PeerMessage* message, TimePoint now) {
  message->generation = m_config.generation();
  message->head_digest = m_config.head_digest();
  message->presence_digest = m_presence_digest;
  message->placement_version = m_placement.version;
  message->coordinator = m_coordinator;
  message->store_era = m_store_era;
  for (auto& [key, pending] : m_presence) {
    if (message->presence.size() >= kMaxUpdatesPerMessage) break;
    if (pending.sends_left <= 0) continue;
    --pending.sends_left;
    message->presence.push_back(pending.update);
  }
  std::size_t bytes = 0;
  for (auto& [digest, pending] : m_quarantine) {
    if (message->quarantine.size() >= kMaxUpdatesPerMessage) break;
    if (pending.sends_left <= 0 || pending.expires <= now) continue;
    bytes += digest.size();
    if (bytes > kMaxMarkBytesPerMessage) break;
    --pending.sends_left;
    message->quarantine.push_back(
        {digest,
         std::chrono::duration_cast<milliseconds>(pending.expires - now)});
  }
}

void PeerExchange::SendMessage(const std::string& address, PeerMessage message,
                               TimePoint now, PeerExchangeResult* result) {
  AddHeaderAndUpdates(&message, now);
  std::string bytes = EncodePeerMessage(message);
  ++m_stats.sent_messages;
  m_stats.sent_bytes += bytes.size();
  result->send.push_back({address, std::move(bytes)});
}

void PeerExchange::SendReply(const PeerMessage& to, PeerMessage message,
                             TimePoint now, PeerExchangeResult* result) {
  message.sender = m_self;
  message.sequence = to.sequence;
  SendMessage(to.sender.peer_address, std::move(message), now, result);
}

void PeerExchange::CollectMembershipResult(MembershipResult members,
                                           TimePoint now,
                                           PeerExchangeResult* result) {
  for (OutgoingPeerMessage& out : members.send) {
    SendMessage(out.address, std::move(out.message), now, result);
  }
  for (LogDecision& line : members.log) result->log.push_back(std::move(line));
  if (members.live_changed) {
    result->live_changed = true;
    DropDeadReporters();
  }
}

// A verdict counts only while its reporter is live.
void PeerExchange::DropDeadReporters() {
  std::vector<std::string> nodes = LiveNodes();
  std::set<std::string> live(nodes.begin(), nodes.end());
  std::erase_if(m_presence, [&](const auto& item) {
    return live.count(item.first.first) == 0;
  });
  std::erase_if(m_generations,
                [&](const auto& item) { return live.count(item.first) == 0; });
  UpdatePresenceDigest();
}

void PeerExchange::UpdatePresenceDigest() {
  m_presence_digest = 0;
  for (const auto& [key, pending] : m_presence) {
    m_presence_digest ^= PresenceHash(pending.update);
  }
}

std::vector<PeerGeneration> PeerExchange::Generations() const {
  std::vector<PeerGeneration> generations;
  for (const std::string& node : LiveNodes()) {
    if (node == m_self.node) continue;
    auto found = m_generations.find(node);
    generations.push_back(
        {node, found == m_generations.end() ? 0 : found->second});
  }
  return generations;
}

void PeerExchange::SetPlacement(PlacementCopy placement) {
  if (placement.version <= m_placement.version) return;
  m_placement = std::move(placement);
  m_has_urgent_update = true;
}

void PeerExchange::SetCoordinator(std::uint64_t fence) {
  if (fence <= m_coordinator.fence) return;
  m_coordinator = {m_self.node, fence};
  m_has_urgent_update = true;
}

// Each ping carries the generation in its header, so a ping to the lease holder
// reports it and the ack confirms the report.
void PeerExchange::ReportGeneration(TimePoint now, PeerExchangeResult* result) {
  bool reported = m_reported_generation == m_config.generation() &&
                  m_reported_fence == m_coordinator.fence;
  if (reported || now < m_next_report || m_coordinator.node.empty() ||
      m_coordinator.node == m_self.node) {
    return;
  }
  m_next_report = now + kReportInterval;
  MembershipResult ping = m_members.PingNode(m_coordinator.node, now);
  if (ping.send.empty()) return;
  m_pending_report_sequence = ping.send.front().message.sequence;
  m_pending_report_generation = m_config.generation();
  CollectMembershipResult(std::move(ping), now, result);
}

PeerExchangeResult PeerExchange::Advance(TimePoint now) {
  PeerExchangeResult result;
  CollectMembershipResult(m_members.Advance(now), now, &result);
  if (m_has_urgent_update && now >= m_next_burst) {
    m_has_urgent_update = false;
    m_next_burst = now + kBurstInterval;
    CollectMembershipResult(m_members.PingRandom(kBurstPeers, now), now,
                            &result);
  }
  ReportGeneration(now, &result);
  std::erase_if(m_quarantine, [&](const auto& item) {
    bool expired = item.second.expires <= now;
    if (expired) m_quarantine_bytes -= item.first.size();
    return expired;
  });
  return result;
}

PeerExchangeResult PeerExchange::Receive(const std::string& bytes,
                                         TimePoint now) {
  PeerExchangeResult result;
  ++m_stats.received_messages;
  m_stats.received_bytes += bytes.size();
  PeerMessage message;
  try {
    message = DecodePeerMessage(bytes);
  } catch (const PeerMessageError& error) {
    ++m_stats.damaged;
    result.log.push_back({"peer_message_dropped", {{"reason", error.what()}}});
    return result;
  }
  bool new_daemon = message.kind == PeerMessageKind::kPing &&
                    message.sender.data_centre == m_self.data_centre &&
                    !m_members.IsKnownIncarnation(message.sender);
  CollectMembershipResult(m_members.Receive(message, now), now, &result);
  if (new_daemon || message.want_presence) {
    SendKnownUpdates(message.sender.peer_address, now, &result);
  }
  if (message.sender.data_centre == m_self.data_centre) {
    ReceiveHeader(message);
    result.store_era = message.store_era;
    ReceivePlacement(message, now, &result);
  }
  for (const PresenceUpdate& update : message.presence) {
    ReceivePresence(update, &result);
  }
  for (const QuarantineUpdate& update : message.quarantine) {
    ReceiveQuarantine(update, now, &result);
  }
  ComparePresence(message, now, &result);
  ReceiveConfig(message, now, &result);
  return result;
}

void PeerExchange::SendKnownUpdates(const std::string& address, TimePoint now,
                                    PeerExchangeResult* result) {
  PeerMessage message;
  message.kind = PeerMessageKind::kPresence;
  message.sender = m_self;
  for (const auto& [key, pending] : m_presence) {
    message.presence.push_back(pending.update);
    if (message.presence.size() < kMaxVerdictsPerMessage) continue;
    SendMessage(address, message, now, result);
    message.presence.clear();
  }
  if (!message.presence.empty()) {
    SendMessage(address, message, now, result);
    message.presence.clear();
  }
  // A daemon that starts later missed the crash marks when they were spread.
  std::size_t bytes = 0;
  for (const auto& [digest, pending] : m_quarantine) {
    if (pending.expires <= now) continue;
    message.quarantine.push_back(
        {digest,
         std::chrono::duration_cast<milliseconds>(pending.expires - now)});
    bytes += digest.size();
    if (message.quarantine.size() < kMaxVerdictsPerMessage &&
        bytes < kMaxMarkBytesPerMessage) {
      continue;
    }
    SendMessage(address, message, now, result);
    message.quarantine.clear();
    bytes = 0;
  }
  if (!message.quarantine.empty()) {
    SendMessage(address, std::move(message), now, result);
  }
}

bool PeerExchange::IsPresenceStable(TimePoint now) {
  if (m_stable_digest != m_presence_digest) {
    m_stable_digest = m_presence_digest;
    m_stable_since = now;
  }
  return now - m_stable_since >= kPresenceStableDuration;
}

// Fetches all verdicts from a daemon whose digest differs, to recover updates
// that were lost.
void PeerExchange::ComparePresence(const PeerMessage& message, TimePoint now,
                                   PeerExchangeResult* result) {
  bool is_local = message.sender.data_centre == m_self.data_centre;
  if (!is_local || message.kind != PeerMessageKind::kAck ||
      message.presence_digest == m_presence_digest ||
      now < m_next_presence_sync || !IsPresenceStable(now)) {
    return;
  }
  m_next_presence_sync = now + kPresenceSyncInterval;
  MembershipResult ping = m_members.PingNode(message.sender.node, now);
  if (ping.send.empty()) return;
  ping.send.front().message.want_presence = true;
  CollectMembershipResult(std::move(ping), now, result);
}

void PeerExchange::ReceiveHeader(const PeerMessage& message) {
  if (message.generation > 0) {
    m_generations[message.sender.node] = message.generation;
  }
  if (message.coordinator.fence > m_coordinator.fence) {
    m_coordinator = message.coordinator;
  }
  if (message.kind == PeerMessageKind::kAck && m_pending_report_sequence != 0 &&
      message.sequence == m_pending_report_sequence) {
    m_reported_generation = m_pending_report_generation;
    m_reported_fence = m_coordinator.fence;
    m_pending_report_sequence = 0;
  }
}

void PeerExchange::ReceivePlacement(const PeerMessage& message, TimePoint now,
                                    PeerExchangeResult* result) {
  if (message.kind == PeerMessageKind::kPlacementPull) {
    PeerMessage reply;
    reply.kind = PeerMessageKind::kPlacement;
    reply.placement = m_placement;
    SendReply(message, std::move(reply), now, result);
  } else if (message.kind == PeerMessageKind::kPlacement) {
    if (message.placement.version > m_placement.version) {
      result->placement = message.placement;
    }
  } else if (message.placement_version > m_placement.version &&
             now >= m_next_placement_pull) {
    m_next_placement_pull = now + kPullInterval;
    PeerMessage pull;
    pull.kind = PeerMessageKind::kPlacementPull;
    SendReply(message, std::move(pull), now, result);
  }
}

PeerExchangeResult PeerExchange::Leave(TimePoint now) {
  PeerExchangeResult result;
  CollectMembershipResult(m_members.Leave(now), now, &result);
  return result;
}

void PeerExchange::SpreadPresence(PresenceUpdate update) {
  update.reporter = m_self.node;
  KnownVerdict& pending = m_presence[{update.reporter, update.host}];
  if (pending.update.sequence > 0 && SameVerdict(pending.update, update)) {
    return;
  }
  // The incarnation in the upper bits orders verdicts across restarts of this
  // daemon.
  update.sequence = (m_self.incarnation << 20U) + ++m_presence_sequence;
  m_presence_digest ^= PresenceHash(pending.update);
  pending = {std::move(update), SendsForUpdate()};
  m_presence_digest ^= PresenceHash(pending.update);
  m_has_urgent_update = true;
}

void PeerExchange::ReceivePresence(const PresenceUpdate& update,
                                   PeerExchangeResult* result) {
  // Verdicts are removed when their reporter dies, so a verdict of an unknown
  // reporter would never be removed.
  if (update.reporter == m_self.node || !m_members.IsKnown(update.reporter)) {
    return;
  }
  KnownVerdict& pending = m_presence[{update.reporter, update.host}];
  if (update.sequence <= pending.update.sequence) return;
  m_presence_digest ^= PresenceHash(pending.update);
  pending = {update, SendsForUpdate()};
  m_presence_digest ^= PresenceHash(update);
  m_has_urgent_update = true;
  result->presence.push_back(update);
}

bool PeerExchange::AddQuarantine(const std::string& digest, TimePoint expires) {
  if (m_quarantine.count(digest) > 0) return false;
  if (m_quarantine.size() >= kMaxQuarantineEntries ||
      m_quarantine_bytes + digest.size() > kMaxQuarantineBytes) {
    return false;
  }
  m_quarantine_bytes += digest.size();
  m_quarantine[digest] = {expires, SendsForUpdate()};
  m_has_urgent_update = true;
  return true;
}

void PeerExchange::SpreadQuarantine(const QuarantineFound& entry,
                                    TimePoint now) {
  AddQuarantine(entry.digest, now + entry.remaining);
}

void PeerExchange::ReceiveQuarantine(const QuarantineUpdate& update,
                                     TimePoint now,
                                     PeerExchangeResult* result) {
  if (update.remaining <= milliseconds(0)) return;
  if (AddQuarantine(update.digest, now + update.remaining)) {
    result->quarantine.push_back({update.digest, update.remaining});
  }
}

void PeerExchange::SetConfiguration(ConfigSnapshot current) {
  if (current.head.generation <= m_config.generation()) return;
  m_config.SetCurrent(std::move(current));
  m_has_urgent_update = true;
}

void PeerExchange::ReceiveConfig(const PeerMessage& message, TimePoint now,
                                 PeerExchangeResult* result) {
  if (message.kind == PeerMessageKind::kConfigPull) {
    if (auto delta = m_config.AnswerPull(message.pull)) {
      PeerMessage reply;
      reply.kind = PeerMessageKind::kConfigDelta;
      reply.delta = std::move(*delta);
      SendReply(message, std::move(reply), now, result);
    }
    return;
  }
  std::optional<ConfigPull> pull;
  if (message.kind == PeerMessageKind::kConfigDelta) {
    ConfigSync::DeltaResult received = m_config.ReceiveDelta(message.delta);
    if (!received.error.empty()) {
      result->log.push_back(
          {"config_delta_dropped",
           {{"from", message.sender.node}, {"reason", received.error}}});
    }
    result->candidate = std::move(received.candidate);
    pull = std::move(received.pull);
  } else if (m_config.IsBehind(message) && now >= m_next_pull) {
    pull = m_config.MakePull();
  }
  if (!pull) return;
  m_next_pull = now + kPullInterval;
  PeerMessage request;
  request.kind = PeerMessageKind::kConfigPull;
  request.pull = std::move(*pull);
  SendReply(message, std::move(request), now, result);
}

}  // namespace clementine

#include "core/peer_exchange.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "fmt/format.h"

namespace clementine {
namespace {

/// Daemons to which an urgent update is sent at once.
constexpr std::size_t kBurstPeers = 3;

/// Shortest time between two bursts, so that a dark fabric domain, which loses
/// many hosts together, is told in few messages.
constexpr milliseconds kBurstInterval{100};

/// Shortest time between two pulls; several daemons may be ahead at once.
constexpr milliseconds kPullInterval{200};

constexpr int kSendsPerDoubling = 3;
constexpr std::size_t kUpdatesPerMessage = 32;
constexpr std::size_t kMaxQuarantine = 4096;

bool SameVerdict(const PresenceUpdate& a, const PresenceUpdate& b) {
  return a.group == b.group && a.epoch == b.epoch && a.present == b.present &&
         a.leaving == b.leaving;
}

}  // namespace

PeerExchange::PeerExchange(MembershipOptions options)
    : m_self(options.self), m_members(std::move(options)) {}

int PeerExchange::Sends() const {
  std::size_t nodes = m_members.LiveNodes().size() + 1;
  return kSendsPerDoubling * static_cast<int>(std::bit_width(nodes));
}

void PeerExchange::Fill(PeerMessage* message, TimePoint now) {
  message->generation = m_config.generation();
  message->head_digest = m_config.head_digest();
  for (auto& [key, rumour] : m_presence) {
    if (message->presence.size() >= kUpdatesPerMessage) break;
    if (rumour.sends_left <= 0) continue;
    --rumour.sends_left;
    message->presence.push_back(rumour.update);
  }
  for (auto& [digest, rumour] : m_quarantine) {
    if (message->quarantine.size() >= kUpdatesPerMessage) break;
    if (rumour.sends_left <= 0 || rumour.expires <= now) continue;
    --rumour.sends_left;
    message->quarantine.push_back(
        {digest,
         std::chrono::duration_cast<milliseconds>(rumour.expires - now)});
  }
}

void PeerExchange::SendMessage(const std::string& address, PeerMessage message,
                               TimePoint now, PeerExchangeResult* result) {
  Fill(&message, now);
  std::string bytes = EncodePeerMessage(message);
  ++m_stats.sent_messages;
  m_stats.sent_bytes += bytes.size();
  result->send.push_back({address, std::move(bytes)});
}

void PeerExchange::Reply(const PeerMessage& to, PeerMessage message,
                         TimePoint now, PeerExchangeResult* result) {
  message.sender = m_self;
  message.sequence = to.sequence;
  SendMessage(to.sender.peer_address, std::move(message), now, result);
}

void PeerExchange::Take(MembershipResult members, TimePoint now,
                        PeerExchangeResult* result) {
  for (OutgoingPeerMessage& out : members.send) {
    SendMessage(out.address, std::move(out.message), now, result);
  }
  for (LogDecision& line : members.log) result->log.push_back(std::move(line));
  result->live_changed |= members.live_changed;
}

PeerExchangeResult PeerExchange::Advance(TimePoint now) {
  PeerExchangeResult result;
  Take(m_members.Advance(now), now, &result);
  if (m_urgent && now >= m_next_burst) {
    m_urgent = false;
    m_next_burst = now + kBurstInterval;
    Take(m_members.PingRandom(kBurstPeers, now), now, &result);
  }
  std::erase_if(m_quarantine,
                [&](const auto& item) { return item.second.expires <= now; });
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
  Take(m_members.Receive(message, now), now, &result);
  for (const PresenceUpdate& update : message.presence) {
    ReceivePresence(update, &result);
  }
  for (const QuarantineUpdate& update : message.quarantine) {
    ReceiveQuarantine(update, now, &result);
  }
  ReceiveConfig(message, now, &result);
  return result;
}

PeerExchangeResult PeerExchange::Leave(TimePoint now) {
  PeerExchangeResult result;
  Take(m_members.Leave(now), now, &result);
  return result;
}

void PeerExchange::SpreadPresence(PresenceUpdate update) {
  update.reporter = m_self.node;
  PresenceRumour& rumour = m_presence[{update.reporter, update.host}];
  if (rumour.update.sequence > 0 && SameVerdict(rumour.update, update)) return;
  // The incarnation orders verdicts across restarts of this daemon.
  update.sequence = (m_self.incarnation << 20U) + ++m_presence_sequence;
  rumour = {std::move(update), Sends()};
  m_urgent = true;
}

void PeerExchange::ReceivePresence(const PresenceUpdate& update,
                                   PeerExchangeResult* result) {
  if (update.reporter == m_self.node) return;
  PresenceRumour& rumour = m_presence[{update.reporter, update.host}];
  if (update.sequence <= rumour.update.sequence) return;
  rumour = {update, Sends()};
  m_urgent = true;
  result->presence.push_back(update);
}

bool PeerExchange::AddQuarantine(const std::string& digest, TimePoint expires) {
  if (m_quarantine.count(digest) > 0) return false;
  if (m_quarantine.size() >= kMaxQuarantine) return false;
  m_quarantine[digest] = {expires, Sends()};
  m_urgent = true;
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

void PeerExchange::SetConfiguration(ConfigCandidate current) {
  if (current.head.generation <= m_config.generation()) return;
  m_config.SetCurrent(std::move(current));
  m_urgent = true;
}

void PeerExchange::ReceiveConfig(const PeerMessage& message, TimePoint now,
                                 PeerExchangeResult* result) {
  if (message.kind == PeerMessageKind::kConfigPull) {
    if (auto delta = m_config.AnswerPull(message.pull)) {
      PeerMessage reply;
      reply.kind = PeerMessageKind::kConfigDelta;
      reply.delta = std::move(*delta);
      Reply(message, std::move(reply), now, result);
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
  Reply(message, std::move(request), now, result);
}

}  // namespace clementine

#include "core/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <set>
#include <tuple>
#include <utility>

#include "core/rendezvous.h"
#include "fmt/format.h"

namespace clementine {
namespace {

/// Number of daemons of a data centre that ping other data centres.
constexpr std::size_t kCrossDataCentreDaemons = 2;

/// Sends of an update for each doubling of the number of members. According to
/// SWIM's analysis, a small multiple of log(n) sends reaches all members.
constexpr int kSendsPerMemberDoubling = 3;

const char* MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

LogDecision MemberLog(const MemberUpdate& update) {
  return {"member",
          {{"node", update.peer.node},
           {"state", MemberStateName(update.state)},
           {"data_centre", update.peer.data_centre},
           {"incarnation", fmt::to_string(update.peer.incarnation)}}};
}

}  // namespace

int SendsPerUpdate(std::size_t members) {
  return kSendsPerMemberDoubling * static_cast<int>(std::bit_width(members));
}

Membership::Membership(MembershipOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {
  m_self.peer = m_options.self;
  m_live_digest = LiveDigest();
}

// The digest covers incarnations, so that it also differs after a restart that
// one of the daemons missed.
std::uint64_t Membership::LiveDigest() const {
  auto hash = [](const PeerInfo& peer) {
    return XXH3_64bits_withSeed(peer.node.data(), peer.node.size(),
                                peer.incarnation);
  };
  std::uint64_t digest = hash(m_self.peer);
  for (const auto& [node, member] : m_members) {
    const MemberUpdate& update = member.update;
    bool is_local = update.peer.data_centre == m_self.peer.data_centre;
    if (is_local && update.state != MemberState::kDead) {
      digest ^= hash(update.peer);
    }
  }
  return digest;
}

bool Membership::Overrides(const MemberUpdate& update,
                           const MemberUpdate& known) const {
  auto rank = [](const MemberUpdate& u) {
    return std::make_tuple(u.peer.incarnation, u.refutation,
                           static_cast<int>(u.state));
  };
  return rank(update) > rank(known);
}

void Membership::QueueUpdate(const std::string& node) {
  m_sends_left[node] = SendsPerUpdate(m_members.size() + 1);
}

// An update that calls this daemon suspect or dead is overridden by a higher
// refutation number, which only this daemon assigns.
void Membership::Refute(const MemberUpdate& suspicion) {
  if (m_leaving || suspicion.state == MemberState::kAlive) return;
  if (suspicion.peer.incarnation < m_self.peer.incarnation) return;
  m_self.peer.incarnation =
      std::max(m_self.peer.incarnation, suspicion.peer.incarnation);
  m_self.refutation = std::max(m_self.refutation, suspicion.refutation) + 1;
  QueueUpdate(m_self.peer.node);
}

void Membership::ApplyUpdate(const MemberUpdate& update, TimePoint now,
                             MembershipResult* result) {
  if (update.peer.node == m_self.peer.node) {
    Refute(update);
    return;
  }
  auto found = m_members.find(update.peer.node);
  bool known = found != m_members.end();
  if (known && !Overrides(update, found->second.update)) return;
  // The death of an unknown daemon needs no record.
  if (!known && update.state == MemberState::kDead) return;
  bool was_live = known && found->second.update.state != MemberState::kDead;
  bool is_live = update.state != MemberState::kDead;
  m_members[update.peer.node] = Member{update, now};
  QueueUpdate(update.peer.node);
  m_live_digest = LiveDigest();
  bool is_local = update.peer.data_centre == m_self.peer.data_centre;
  if (is_local && was_live != is_live) result->live_changed = true;
  result->log.push_back(MemberLog(update));
}

void Membership::AttachUpdates(PeerMessage* message) {
  for (auto it = m_sends_left.begin(); it != m_sends_left.end();) {
    if (message->members.size() >= m_options.updates_per_message) return;
    if (it->first == m_self.peer.node) {
      message->members.push_back(m_self);
    } else if (auto found = m_members.find(it->first);
               found != m_members.end()) {
      message->members.push_back(found->second.update);
    }
    it = --it->second <= 0 ? m_sends_left.erase(it) : std::next(it);
  }
}

void Membership::Send(PeerMessageKind kind, const std::string& address,
                      std::uint64_t sequence, MembershipResult* result) {
  PeerMessage message;
  message.kind = kind;
  message.sender = m_self.peer;
  message.sequence = sequence;
  message.members_digest = m_live_digest;
  AttachUpdates(&message);
  result->send.push_back({address, std::move(message)});
}

void Membership::Ping(const std::string& node, const std::string& address,
                      TimePoint now, MembershipResult* result) {
  std::uint64_t sequence = ++m_sequence;
  m_pending[sequence] = PendingPing{node, now, false, "", 0};
  Send(PeerMessageKind::kPing, address, sequence, result);
  // A target that is suspect or dead here is notified, so that it can refute.
  auto found = m_members.find(node);
  if (found != m_members.end() &&
      found->second.update.state != MemberState::kAlive) {
    result->send.back().message.members.push_back(found->second.update);
  }
}

std::vector<std::string> Membership::PeerNodes(bool own_data_centre,
                                               MemberState worst_state) const {
  std::vector<std::string> nodes;
  for (const auto& [node, member] : m_members) {
    bool is_local = member.update.peer.data_centre == m_self.peer.data_centre;
    if (is_local == own_data_centre && member.update.state <= worst_state) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

// Each round pings every member once in random order, which bounds the time
// until a failed daemon is pinged.
void Membership::PingNext(TimePoint now, MembershipResult* result) {
  if (m_ping_round.empty()) {
    m_ping_round = PeerNodes(true, MemberState::kSuspect);
    std::shuffle(m_ping_round.begin(), m_ping_round.end(), m_random);
  }
  while (!m_ping_round.empty()) {
    std::string node = m_ping_round.back();
    m_ping_round.pop_back();
    auto found = m_members.find(node);
    if (found == m_members.end() ||
        found->second.update.state == MemberState::kDead) {
      continue;
    }
    Ping(node, found->second.update.peer.peer_address, now, result);
    return;
  }
}

// Pings one random address among the seeds that aren't known daemons and the
// dead members, so that the two sides of a partition rejoin after it ends. A
// few daemons of each data centre also ping other data centres. Known seeds are
// left out, because the pings of all daemons would overload them.
void Membership::PingReconnectCandidate(TimePoint now,
                                        MembershipResult* result) {
  std::vector<std::string> addresses;
  std::set<std::string> known = {m_self.peer.peer_address};
  for (bool is_local : {true, false}) {
    for (const std::string& node : PeerNodes(is_local, MemberState::kSuspect)) {
      known.insert(AddressOf(node));
    }
  }
  for (const std::string& seed : m_options.seeds) {
    if (known.count(seed) == 0) addresses.push_back(seed);
  }
  for (const auto& [node, member] : m_members) {
    bool is_local = member.update.peer.data_centre == m_self.peer.data_centre;
    if (is_local && member.update.state == MemberState::kDead) {
      addresses.push_back(member.update.peer.peer_address);
    }
  }
  if (IsAssigned(m_self.peer.node, "contact", LiveNodes(),
                 kCrossDataCentreDaemons)) {
    for (const std::string& node : PeerNodes(false, MemberState::kDead)) {
      addresses.push_back(AddressOf(node));
    }
  }
  if (addresses.empty()) return;
  std::uniform_int_distribution<std::size_t> pick(0, addresses.size() - 1);
  Ping("", addresses[pick(m_random)], now, result);
}

void Membership::CheckPendingPings(TimePoint now, MembershipResult* result) {
  std::vector<std::uint64_t> expired;
  for (auto& [sequence, ping] : m_pending) {
    if (now - ping.sent >= m_options.ping_interval) {
      expired.push_back(sequence);
      continue;
    }
    if (ping.node.empty() || ping.indirect_requested) continue;
    if (now - ping.sent < m_options.ack_timeout) continue;
    ping.indirect_requested = true;
    for (const PeerInfo& peer : RandomPeers(m_options.indirect_pings)) {
      if (peer.node == ping.node) continue;
      Send(PeerMessageKind::kPingRequest, peer.peer_address, sequence, result);
      result->send.back().message.target = m_members[ping.node].update.peer;
    }
  }
  for (std::uint64_t sequence : expired) {
    PendingPing ping = m_pending[sequence];
    m_pending.erase(sequence);
    auto found = m_members.find(ping.node);
    if (found == m_members.end() || !ping.forward_address.empty()) continue;
    if (found->second.update.state != MemberState::kAlive) continue;
    MemberUpdate update = found->second.update;
    update.state = MemberState::kSuspect;
    ApplyUpdate(update, now, result);
  }
}

void Membership::CheckSuspects(TimePoint now, MembershipResult* result) {
  std::vector<MemberUpdate> dead;
  std::vector<std::string> forgotten;
  for (const auto& [node, member] : m_members) {
    auto age = now - member.changed;
    MemberState state = member.update.state;
    if (state == MemberState::kSuspect && age >= m_options.suspect_timeout) {
      dead.push_back(member.update);
    } else if (state == MemberState::kDead && age >= m_options.dead_retention) {
      forgotten.push_back(node);
    }
  }
  for (MemberUpdate& update : dead) {
    update.state = MemberState::kDead;
    ApplyUpdate(update, now, result);
  }
  for (const std::string& node : forgotten) {
    m_members.erase(node);
    m_sends_left.erase(node);
  }
}

MembershipResult Membership::Advance(TimePoint now) {
  MembershipResult result;
  CheckPendingPings(now, &result);
  CheckSuspects(now, &result);
  if (now >= m_next_ping) {
    m_next_ping = now + m_options.ping_interval;
    PingNext(now, &result);
  }
  if (now >= m_next_contact) {
    bool alone = PeerNodes(true, MemberState::kSuspect).empty();
    m_next_contact =
        now + (alone ? m_options.ping_interval : m_options.contact_interval);
    PingReconnectCandidate(now, &result);
  }
  return result;
}

void Membership::ReceivePing(const PeerMessage& message, bool known,
                             MembershipResult* result) {
  Send(PeerMessageKind::kAck, message.sender.peer_address, message.sequence,
       result);
  PeerMessage& ack = result->send.back().message;
  auto found = m_members.find(message.sender.node);
  if (found != m_members.end() &&
      found->second.update.state != MemberState::kAlive) {
    ack.members.push_back(found->second.update);
  }
  // A new daemon gets the full member list with its first ack.
  if (!known || message.want_members) AddAllMembers(&ack);
}

void Membership::AddAllMembers(PeerMessage* message) const {
  message->members.clear();
  message->members.push_back(m_self);
  for (const auto& [node, member] : m_members) {
    if (member.update.state == MemberState::kDead) continue;
    message->members.push_back(member.update);
  }
}

void Membership::CompareDigest(const PeerMessage& message, TimePoint now,
                               MembershipResult* result) {
  bool is_local = message.sender.data_centre == m_self.peer.data_centre;
  if (!is_local || message.members_digest == 0 ||
      message.members_digest == m_live_digest || now < m_next_sync) {
    return;
  }
  m_next_sync = now + m_options.sync_interval;
  Ping(message.sender.node, message.sender.peer_address, now, result);
  result->send.back().message.want_members = true;
}

void Membership::SendIndirectPing(const PeerMessage& message, TimePoint now,
                                  MembershipResult* result) {
  Ping(message.target.node, message.target.peer_address, now, result);
  PendingPing& ping = m_pending[m_sequence];
  ping.indirect_requested = true;
  ping.forward_address = message.sender.peer_address;
  ping.forward_sequence = message.sequence;
}

void Membership::ReceiveAck(const PeerMessage& message,
                            MembershipResult* result) {
  auto found = m_pending.find(message.sequence);
  if (found == m_pending.end()) return;
  PendingPing ping = found->second;
  m_pending.erase(found);
  if (ping.forward_address.empty()) return;
  Send(PeerMessageKind::kAck, ping.forward_address, ping.forward_sequence,
       result);
}

MembershipResult Membership::Receive(const PeerMessage& message,
                                     TimePoint now) {
  MembershipResult result;
  if (message.sender.node == m_self.peer.node) return result;
  bool known = m_members.count(message.sender.node) > 0;
  MemberUpdate sender;
  sender.peer = message.sender;
  if (message.kind != PeerMessageKind::kLeave) {
    ApplyUpdate(sender, now, &result);
  }
  for (const MemberUpdate& update : message.members) {
    ApplyUpdate(update, now, &result);
  }
  if (message.kind == PeerMessageKind::kPing) {
    ReceivePing(message, known, &result);
  } else if (message.kind == PeerMessageKind::kAck) {
    ReceiveAck(message, &result);
  } else if (message.kind == PeerMessageKind::kPingRequest) {
    SendIndirectPing(message, now, &result);
  }
  CompareDigest(message, now, &result);
  return result;
}

MembershipResult Membership::PingRandom(std::size_t count, TimePoint now) {
  MembershipResult result;
  for (const PeerInfo& peer : RandomPeers(count)) {
    Ping(peer.node, peer.peer_address, now, &result);
  }
  return result;
}

MembershipResult Membership::PingNode(const std::string& node, TimePoint now) {
  MembershipResult result;
  std::string address = AddressOf(node);
  if (!address.empty()) Ping(node, address, now, &result);
  return result;
}

MembershipResult Membership::Leave(TimePoint) {
  MembershipResult result;
  m_leaving = true;
  m_self.state = MemberState::kDead;
  for (const PeerInfo& peer : RandomPeers(m_options.updates_per_message)) {
    Send(PeerMessageKind::kLeave, peer.peer_address, ++m_sequence, &result);
    result.send.back().message.members.push_back(m_self);
  }
  return result;
}

std::vector<std::string> Membership::LiveNodes() const {
  std::vector<std::string> nodes = PeerNodes(true, MemberState::kSuspect);
  nodes.push_back(m_self.peer.node);
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

std::vector<PeerInfo> Membership::RandomPeers(std::size_t count) {
  std::vector<std::string> nodes = PeerNodes(true, MemberState::kSuspect);
  std::shuffle(nodes.begin(), nodes.end(), m_random);
  if (nodes.size() > count) nodes.resize(count);
  std::vector<PeerInfo> peers;
  for (const std::string& node : nodes) {
    peers.push_back(m_members.at(node).update.peer);
  }
  return peers;
}

std::string Membership::AddressOf(const std::string& node) const {
  auto found = m_members.find(node);
  return found == m_members.end() ? "" : found->second.update.peer.peer_address;
}

}  // namespace clementine

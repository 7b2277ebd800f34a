// A removal in normal times means that the server has left and is taken at
// once, but for members of open groups, about which the next second decides:
// when many entries lapse together, their servers are more likely cut off than
// gone. After an outage the list may lack servers that are well: they renew
// their entries within two seconds of the platform's return.

#include "core/server_list.h"

#include <algorithm>
#include <set>
#include <utility>

namespace clementine {
namespace {

/// Entries that lapsed during an outage are back within two seconds of its end;
/// the rest is for the delivery of the change.
constexpr milliseconds kReturnTime{2'300};
/// A shorter gap between two answers can't have made an entry lapse: servers
/// renew about once a second and an entry outlives two missed renewals.
constexpr milliseconds kShortestOutage{1'500};

/// What was missing after an outage is removed at the end of kReturnTime; the
/// rest is for those who act on it a little later.
constexpr milliseconds kSettleTime{1'000};

/// Entries of servers that are cut off together lapse within a renewal of each
/// other, and some of them are seen later.
constexpr milliseconds kManyWindow{3'000};
/// Members of a group are kept for so long until it's known whether many lapse.
constexpr milliseconds kDoubtTime{1'000};
/// Part of all servers that must lapse together, and at least so many.
constexpr std::size_t kManyPart = 10;
constexpr std::size_t kLeastMany = 5;
/// A cut that lasts longer is left to the planner, who forms other groups.
constexpr milliseconds kLongestDoubt{20'000};

/// Entries that lapse come back sooner than this, if the server lives.
constexpr milliseconds kRemembered{60'000};

}  // namespace

void ServerList::Reached(TimePoint now) {
  if (m_known && !m_reachable && now - m_unreachable_since > kShortestOutage) {
    m_grace_until = now + kReturnTime;
  }
  m_reachable = true;
}

void ServerList::Unreachable(TimePoint since) {
  if (m_reachable || !m_known) m_unreachable_since = since;
  m_reachable = false;
}

bool ServerList::settled(TimePoint now) const {
  return m_reachable && now >= m_grace_until + kSettleTime;
}

void ServerList::NoteEnded(const BackendServer& server) {
  auto known = m_servers.find(server.id);
  auto past = m_past.find(server.id);
  bool later_life =
      (known != m_servers.end() &&
       known->second.incarnation < server.incarnation) ||
      (past != m_past.end() && past->second.incarnation < server.incarnation);
  if (later_life) m_ended.push_back(server.id);
  auto at_address = m_ids.find(server.address);
  if (at_address != m_ids.end() && at_address->second != server.id) {
    m_ended.push_back(at_address->second);
  }
  if (known != m_servers.end() || past != m_past.end()) return;
  for (const auto& [id, other] : m_past) {
    if (other.address == server.address) m_ended.push_back(id);
  }
}

void ServerList::Put(const BackendServer& server) {
  NoteEnded(server);
  m_ids[server.address] = server.id;
  BackendServer& known = m_servers[server.id];
  known = server;
  m_doubted.erase(server.id);
  m_past.erase(server.id);
  auto marked = m_marked.find(server.id);
  if (marked == m_marked.end()) return;
  if (marked->second == server.incarnation) {
    known.leaving = true;
  } else if (marked->second < server.incarnation) {
    m_marked.erase(marked);
  }
}

void ServerList::ForgetPast(TimePoint now) {
  std::erase_if(m_past, [&](const auto& entry) {
    return now - entry.second.removed > kRemembered;
  });
}

bool ServerList::MarkLeaving(const std::string& id, TimePoint now) {
  ForgetPast(now);
  auto listed = m_servers.find(id);
  auto past = m_past.find(id);
  if (listed == m_servers.end() && past == m_past.end()) return false;
  bool present = listed != m_servers.end();
  m_marked[id] =
      present ? listed->second.incarnation : past->second.incarnation;
  if (!present || listed->second.leaving) return false;
  listed->second.leaving = true;
  return true;
}

void ServerList::Forget(const std::string& id, TimePoint now) {
  auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  m_doubted.erase(id);
  ForgetPast(now);
  auto at_address = m_ids.find(found->second.address);
  if (at_address != m_ids.end() && at_address->second == id) {
    m_ids.erase(at_address);
  }
  m_past[id] = {found->second.incarnation, now, found->second.address};
  m_servers.erase(found);
  std::erase_if(m_marked, [this](const auto& entry) {
    return m_servers.count(entry.first) == 0 && m_past.count(entry.first) == 0;
  });
}

void ServerList::Remove(const std::string& id, TimePoint now) {
  if (now < m_grace_until) {
    m_lapsed.emplace(id, m_grace_until);
    return;
  }
  m_lapsed.erase(id);
  auto found = m_servers.find(id);
  if (found == m_servers.end() || found->second.lapsed) return;
  if (!found->second.leaving) {
    ForgetLapses(now);
    m_lapses.push_back(now);
  }
  if (IsMember(found->second)) {
    found->second.lapsed = true;
    m_doubted[id] = {now};
  } else {
    Forget(id, now);
  }
}

bool ServerList::IsMember(const BackendServer& server) {
  return !server.leaving && server.member.rank > 0 &&
         server.member.state == GroupMemberState::kReady;
}

void ServerList::ForgetLapses(TimePoint now) {
  while (!m_lapses.empty() && now - m_lapses.front() > kManyWindow) {
    m_lapses.pop_front();
  }
}

bool ServerList::ManyLapse(TimePoint now) {
  ForgetLapses(now);
  // Servers that are still listed, and those that lapsed.
  std::size_t all = m_servers.size() - m_doubted.size() + m_lapses.size();
  return m_lapses.size() >= std::max(kLeastMany, all / kManyPart);
}

bool ServerList::JudgeDoubts(TimePoint now) {
  if (m_doubted.empty()) return false;
  bool many = ManyLapse(now);
  std::set<std::pair<std::string, std::uint64_t>> open;
  for (const auto& [id, server] : m_servers) {
    const GroupMembership& member = server.member;
    if (member.rank == 0 && member.state == GroupMemberState::kOpen) {
      open.insert({member.group, member.epoch});
    }
  }
  std::vector<std::string> gone;
  for (auto& [id, doubt] : m_doubted) {
    const GroupMembership& member = m_servers.at(id).member;
    doubt.one_of_many = doubt.one_of_many || many;
    milliseconds longest = doubt.one_of_many ? kLongestDoubt : kDoubtTime;
    bool serves = open.count({member.group, member.epoch}) > 0;
    if (!serves || now - doubt.removed > longest) gone.push_back(id);
  }
  for (const std::string& id : gone) Forget(id, now);
  return !gone.empty();
}

void ServerList::Replace(const std::vector<BackendServer>& servers,
                         TimePoint now) {
  Reached(now);
  m_known = true;
  std::map<std::string, BackendServer> listed;
  for (const BackendServer& server : servers) listed[server.id] = server;
  std::vector<std::string> missing;
  for (const auto& [id, server] : m_servers) {
    if (listed.count(id) == 0) missing.push_back(id);
  }
  for (const std::string& id : missing) Remove(id, now);
  for (const auto& [id, server] : listed) {
    m_lapsed.erase(id);
    Put(server);
  }
}

void ServerList::Apply(const std::vector<Change>& changes, TimePoint now) {
  Reached(now);
  for (const Change& change : changes) {
    if (change.server) {
      m_lapsed.erase(change.id);
      Put(*change.server);
    } else {
      Remove(change.id, now);
    }
  }
}

bool ServerList::Expire(TimePoint now) {
  bool removed = false;
  // While the platform is away again, nothing says that an entry won't return.
  if (!m_reachable) return removed;
  removed = JudgeDoubts(now);
  for (auto it = m_lapsed.begin(); it != m_lapsed.end();) {
    if (it->second <= now) {
      Forget(it->first, now);
      it = m_lapsed.erase(it);
      removed = true;
    } else {
      ++it;
    }
  }
  return removed;
}

}  // namespace clementine

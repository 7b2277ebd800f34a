// In normal operation a removal means that the server has left, and it is
// applied at once. Members of open groups are the exception: they are kept for
// one second, because servers whose entries lapse together are more likely
// partitioned than gone. After an outage the list may lack healthy servers,
// which renew their entries within two seconds of the platform's return.

#include "core/server_list.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "core/store_era.h"

namespace clementine {
namespace {

/// Servers renew entries that lapsed during an outage within two seconds of its
/// end. The remainder allows for the delivery of the change.
constexpr milliseconds kReturnGracePeriod{2'300};
/// A shorter gap between two responses cannot have caused a lapse: servers
/// renew about once per second and an entry survives two missed renewals.
constexpr milliseconds kMinOutage{1'500};

/// Entries that are missing after an outage are removed at the end of
/// kReturnGracePeriod. The list counts as unsettled for this additional time,
/// because the planner acts on these removals in its later passes.
constexpr milliseconds kSettlingDuration{1'000};

/// Entries of servers that are partitioned at the same time lapse within one
/// renewal interval of each other, and some of the lapses are observed later.
constexpr milliseconds kMassLapseWindow{3'000};
/// A lapsed group member is kept for this time, after which it is known whether
/// many entries have lapsed.
constexpr milliseconds kMemberKeepDuration{1'000};
/// A mass lapse is at least one in kServersPerMassLapse servers, and at least
/// kMinMassLapse.
constexpr std::size_t kServersPerMassLapse = 10;
constexpr std::size_t kMinMassLapse = 5;
/// A member that lapsed in a mass lapse is removed after this time, and the
/// planner forms other groups.
constexpr milliseconds kMaxMemberKeepDuration{20'000};

/// A server that is alive registers again within less than this time after its
/// entry lapsed.
constexpr milliseconds kUnlistedRetention{60'000};

}  // namespace

void ServerList::OnPlatformAnswer(TimePoint now) {
  if (m_known && !m_reachable && now - m_unreachable_since > kMinOutage) {
    m_grace_until = now + kReturnGracePeriod;
  }
  m_reachable = true;
  if (std::exchange(m_restored, false)) {
    m_rewriting_until = now + kRewriteDuration;
    m_grace_until = std::max(m_grace_until, now + kReturnGracePeriod);
    for (auto& [id, end] : m_grace_ends) end = std::max(end, m_rewriting_until);
  }
  ExpireHeldLeaving(now);
}

void ServerList::OnStoreRestored(TimePoint now) {
  if (!m_known) return;
  ExpireHeldLeaving(now);
  m_restored = true;
  // Covers the time until the first list, which takes the place of this end.
  m_rewriting_until = now + kRewriteDuration;
  for (const auto& [id, server] : m_servers) {
    if (server.leaving) m_held_leaving[id] = server.incarnation;
  }
}

void ServerList::ExpireHeldLeaving(TimePoint now) {
  if (now >= m_rewriting_until && !m_restored) m_held_leaving.clear();
}

bool ServerList::IsOlderCopy(const BackendServer& server) const {
  auto known = m_servers.find(server.id);
  if (known == m_servers.end()) {
    auto unlisted = m_unlisted.find(server.id);
    return unlisted != m_unlisted.end() &&
           server.incarnation < unlisted->second.incarnation;
  }
  return std::tie(server.incarnation, server.orders) <
         std::tie(known->second.incarnation, known->second.orders);
}

// A list in this time mixes copies with entries that were written again. Of two
// entries with the same number of orders either may be the newer one; the next
// renewal, which comes within about a second, decides. Only the start of
// leaving is taken from the list at once.
void ServerList::PutRestored(const BackendServer& server, TimePoint now) {
  auto known = m_servers.find(server.id);
  if (now >= m_rewriting_until || known == m_servers.end() ||
      known->second.lapsed) {
    if (now >= m_rewriting_until || !IsOlderCopy(server)) Put(server);
    return;
  }
  BackendServer& stored = known->second;
  if (std::tie(server.incarnation, server.orders) >
      std::tie(stored.incarnation, stored.orders)) {
    Put(server);
  } else if (server.incarnation == stored.incarnation && server.leaving) {
    stored.leaving = true;
  }
}

void ServerList::OnUnreachable(TimePoint since) {
  if (m_reachable || !m_known) m_unreachable_since = since;
  m_reachable = false;
}

bool ServerList::is_settled(TimePoint now) const {
  return m_reachable && now >= m_rewriting_until &&
         now >= m_grace_until + kSettlingDuration;
}

void ServerList::RecordEndedServers(const BackendServer& server) {
  auto listed = m_servers.find(server.id);
  auto unlisted = m_unlisted.find(server.id);
  bool later_incarnation = (listed != m_servers.end() &&
                            listed->second.incarnation < server.incarnation) ||
                           (unlisted != m_unlisted.end() &&
                            unlisted->second.incarnation < server.incarnation);
  if (later_incarnation) m_ended.push_back(server.id);
  auto at_address = m_ids.find(server.address);
  if (at_address != m_ids.end() && at_address->second != server.id) {
    m_ended.push_back(at_address->second);
  }
  if (listed != m_servers.end() || unlisted != m_unlisted.end()) return;
  for (const auto& [id, other] : m_unlisted) {
    if (other.address == server.address) m_ended.push_back(id);
  }
}

void ServerList::Put(const BackendServer& server) {
  RecordEndedServers(server);
  m_ids[server.address] = server.id;
  BackendServer& stored = m_servers[server.id];
  stored = server;
  m_kept_members.erase(server.id);
  m_unlisted.erase(server.id);
  auto held = m_held_leaving.find(server.id);
  if (held != m_held_leaving.end() && held->second == server.incarnation) {
    stored.leaving = true;
  }
  auto marked = m_leaving_marks.find(server.id);
  if (marked == m_leaving_marks.end()) return;
  if (marked->second == server.incarnation) {
    stored.leaving = true;
  } else if (marked->second < server.incarnation) {
    m_leaving_marks.erase(marked);
  }
}

void ServerList::ExpireUnlisted(TimePoint now) {
  std::erase_if(m_unlisted, [&](const auto& entry) {
    return now - entry.second.removed_at > kUnlistedRetention;
  });
}

bool ServerList::MarkLeaving(const std::string& id, TimePoint now) {
  ExpireUnlisted(now);
  auto listed = m_servers.find(id);
  auto unlisted = m_unlisted.find(id);
  if (listed == m_servers.end() && unlisted == m_unlisted.end()) return false;
  bool present = listed != m_servers.end();
  m_leaving_marks[id] =
      present ? listed->second.incarnation : unlisted->second.incarnation;
  if (!present || listed->second.leaving) return false;
  listed->second.leaving = true;
  return true;
}

void ServerList::Erase(const std::string& id, TimePoint now) {
  auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  m_kept_members.erase(id);
  ExpireUnlisted(now);
  auto at_address = m_ids.find(found->second.address);
  if (at_address != m_ids.end() && at_address->second == id) {
    m_ids.erase(at_address);
  }
  m_unlisted[id] = {found->second.incarnation, now, found->second.address};
  m_servers.erase(found);
  std::erase_if(m_leaving_marks, [this](const auto& entry) {
    return m_servers.count(entry.first) == 0 &&
           m_unlisted.count(entry.first) == 0;
  });
}

void ServerList::Remove(const std::string& id, TimePoint grace_until,
                        TimePoint now) {
  if (now < grace_until) {
    m_grace_ends.emplace(id, grace_until);
    return;
  }
  m_grace_ends.erase(id);
  auto found = m_servers.find(id);
  if (found == m_servers.end() || found->second.lapsed) return;
  if (!found->second.leaving) {
    ExpireLapses(now);
    m_recent_lapses.push_back(now);
  }
  if (ShouldKeepOnLapse(found->second)) {
    found->second.lapsed = true;
    m_kept_members[id] = {now};
  } else {
    Erase(id, now);
  }
}

bool ServerList::ShouldKeepOnLapse(const BackendServer& server) {
  return !server.leaving && server.member.rank > 0 &&
         server.member.state == GroupMemberState::kReady;
}

void ServerList::ExpireLapses(TimePoint now) {
  while (!m_recent_lapses.empty() &&
         now - m_recent_lapses.front() > kMassLapseWindow) {
    m_recent_lapses.pop_front();
  }
}

bool ServerList::IsMassLapse(TimePoint now) {
  ExpireLapses(now);
  // Listed servers and those that have lapsed.
  std::size_t all =
      m_servers.size() - m_kept_members.size() + m_recent_lapses.size();
  return m_recent_lapses.size() >=
         std::max(kMinMassLapse, all / kServersPerMassLapse);
}

bool ServerList::ExpireKeptMembers(TimePoint now) {
  if (m_kept_members.empty()) return false;
  bool mass_lapse = IsMassLapse(now);
  std::set<std::pair<std::string, std::uint64_t>> open;
  for (const auto& [id, server] : m_servers) {
    const GroupMembership& member = server.member;
    if (member.rank == 0 && member.state == GroupMemberState::kOpen) {
      open.insert({member.group, member.epoch});
    }
  }
  std::vector<std::string> gone;
  for (auto& [id, kept] : m_kept_members) {
    const GroupMembership& member = m_servers.at(id).member;
    kept.in_mass_lapse = kept.in_mass_lapse || mass_lapse;
    milliseconds max_duration =
        kept.in_mass_lapse ? kMaxMemberKeepDuration : kMemberKeepDuration;
    bool serves = open.count({member.group, member.epoch}) > 0;
    if (!serves || now - kept.removed_at > max_duration) gone.push_back(id);
  }
  for (const std::string& id : gone) Erase(id, now);
  return !gone.empty();
}

void ServerList::Replace(const std::vector<BackendServer>& servers,
                         TimePoint now) {
  OnPlatformAnswer(now);
  m_known = true;
  std::map<std::string, BackendServer> listed;
  for (const BackendServer& server : servers) listed[server.id] = server;
  std::vector<std::string> missing;
  for (const auto& [id, server] : m_servers) {
    if (listed.count(id) == 0) missing.push_back(id);
  }
  TimePoint grace_until = std::max(m_grace_until, m_rewriting_until);
  for (const std::string& id : missing) Remove(id, grace_until, now);
  for (const auto& [id, server] : listed) {
    m_grace_ends.erase(id);
    PutRestored(server, now);
  }
}

void ServerList::Apply(const std::vector<Change>& changes, TimePoint now) {
  OnPlatformAnswer(now);
  for (const Change& change : changes) {
    if (change.server) {
      m_grace_ends.erase(change.id);
      if (now < m_rewriting_until && IsOlderCopy(*change.server)) continue;
      Put(*change.server);
    } else {
      Remove(change.id, m_grace_until, now);
    }
  }
}

bool ServerList::Expire(TimePoint now) {
  bool removed = false;
  // While the platform is unavailable, an entry may still return.
  if (!m_reachable) return removed;
  removed = ExpireKeptMembers(now);
  for (auto it = m_grace_ends.begin(); it != m_grace_ends.end();) {
    if (it->second <= now) {
      Erase(it->first, now);
      it = m_grace_ends.erase(it);
      removed = true;
    } else {
      ++it;
    }
  }
  return removed;
}

}  // namespace clementine

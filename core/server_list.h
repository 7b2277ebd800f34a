// List of the backend servers that are registered on the platform.
#ifndef CORE_SERVER_LIST_H_
#define CORE_SERVER_LIST_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/fleet.h"

namespace clementine {

/// Retains the last good list during outages of the platform. Entries lapse
/// while their servers cannot renew them. A removal that is seen shortly after
/// an outage is therefore applied only after the servers had time to register
/// again.
///
/// An entry also lapses when its server is partitioned from the platform while
/// its group continues to serve. When many entries lapse within seconds,
/// members of groups whose heads are still listed as open are kept and marked
/// as lapsed. The head breaks the group if a member is really gone. Heads and
/// servers without a group are not kept, because they would receive requests.
class ServerList {
 public:
  /// A changed entry. Without `server`, the entry was removed or cannot be
  /// decoded.
  struct Change {
    std::string id;
    std::optional<BackendServer> server;
  };

  /// Applies a complete list from the platform.
  void Replace(const std::vector<BackendServer>& servers, TimePoint now);
  /// Applies changes from the platform. `changes` may be empty.
  void Apply(const std::vector<Change>& changes, TimePoint now);
  /// The platform did not answer, or refused the call.
  /// @param since Time after which the list may lack changes.
  void OnUnreachable(TimePoint since);
  /// The platform's store was restored from a copy. For kRewriteDuration from
  /// the first list or changes that follow, servers that a list lacks are kept,
  /// and entries that are older than the known ones are ignored, because
  /// servers are still writing their entries again. Removals seen as changes
  /// are deferred as after an outage. A server that is listed as leaving keeps
  /// leaving in this incarnation for that time.
  void OnStoreRestored(TimePoint now);
  /// Marks a server that announced itself that it is leaving. The mark holds
  /// for this incarnation of the server regardless of later list entries,
  /// because the list may be older than the announcement.
  /// @return Whether the server was not known to be leaving.
  bool MarkLeaving(const std::string& id, TimePoint now);
  /// Number of lapsed members that are kept.
  std::size_t kept_members() const { return m_kept_members.size(); }
  /// Removes entries whose grace period has ended, and kept members whose
  /// group's head is no longer listed as open or whose maximum keep duration
  /// has ended. Removes nothing while the platform is unreachable.
  /// @return Whether any entry was removed.
  bool Expire(TimePoint now);

  const std::map<std::string, BackendServer>& servers() const {
    return m_servers;
  }
  /// Whether a removal means that the server has left. For some time after an
  /// outage, removed servers may have started to leave during the outage
  /// without being listed as leaving.
  bool is_settled(TimePoint now) const;
  /// Returns the servers that have ended since the last call: a later
  /// incarnation of the server, or another server at its address, was listed.
  std::vector<std::string> TakeEndedServers() {
    return std::exchange(m_ended, {});
  }
  bool known() const { return m_known; }
  bool reachable() const { return m_reachable; }

 private:
  void OnPlatformAnswer(TimePoint now);
  /// Whether an entry may be one that a restored store had kept.
  bool IsOlderCopy(const BackendServer& server) const;
  /// Puts an entry of a list that may hold older copies.
  void PutRestored(const BackendServer& server, TimePoint now);
  void ExpireHeldLeaving(TimePoint now);
  /// @param grace_until Time before which the entry is not removed.
  void Remove(const std::string& id, TimePoint grace_until, TimePoint now);
  void Put(const BackendServer& server);
  void Erase(const std::string& id, TimePoint now);
  /// Records the servers whose end is implied by an entry that is about to be
  /// stored.
  void RecordEndedServers(const BackendServer& server);
  void ExpireUnlisted(TimePoint now);

  /// A lapsed member that is kept because its group may still be serving.
  struct KeptMember {
    TimePoint removed_at;
    bool in_mass_lapse = false;
  };

  /// Whether the entry of a server is kept when it lapses: the server is a
  /// ready member of a group, not its head, and is not leaving.
  static bool ShouldKeepOnLapse(const BackendServer& server);
  void ExpireLapses(TimePoint now);
  bool IsMassLapse(TimePoint now);
  bool ExpireKeptMembers(TimePoint now);

  /// An incarnation of a server that is no longer listed.
  struct UnlistedServer {
    std::int64_t incarnation = 0;
    TimePoint removed_at;
    std::string address;
  };

  std::map<std::string, BackendServer> m_servers;
  std::unordered_map<std::string, std::string> m_ids;  ///< Ids by address.
  std::vector<std::string> m_ended;                  ///< For TakeEndedServers.
  std::map<std::string, UnlistedServer> m_unlisted;  ///< By server id.
  /// Servers that announced that they are leaving, and their incarnation.
  std::map<std::string, std::int64_t> m_leaving_marks;
  /// Servers that were listed as leaving before the store was restored, and
  /// their incarnation. Empty when no copy is being written again.
  std::map<std::string, std::int64_t> m_held_leaving;
  bool m_restored = false;      ///< No list has followed the restore yet.
  TimePoint m_rewriting_until;  ///< Entries may be older copies until then.
  /// End of each removed entry's grace period.
  std::map<std::string, TimePoint> m_grace_ends;
  /// Still listed, marked as lapsed.
  std::map<std::string, KeptMember> m_kept_members;
  /// Recent removals of servers that were not leaving.
  std::deque<TimePoint> m_recent_lapses;
  bool m_known = false;
  bool m_reachable = false;
  TimePoint m_unreachable_since;
  /// Removals before this time are deferred until then.
  TimePoint m_grace_until;
};

}  // namespace clementine

#endif  // CORE_SERVER_LIST_H_

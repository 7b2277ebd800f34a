// The backend servers as the platform lists them.
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

/// Keeps the last good list through outages of the platform. Entries lapse
/// while their servers can't renew them, so a removal seen shortly after an
/// outage only counts once the servers had time to come back.
///
/// An entry also lapses when its server is cut off from the platform, while its
/// group goes on serving. When many lapse within seconds, members of groups
/// whose heads are still listed as open are kept, marked as lapsed; the head
/// breaks if a member is really gone. Heads and other servers aren't kept, as
/// they would get work.
class ServerList {
 public:
  /// An entry that changed; without a server it was removed or can't be read.
  struct Change {
    std::string id;
    std::optional<BackendServer> server;
  };

  /// The platform answered with the whole list.
  void Replace(const std::vector<BackendServer>& servers, TimePoint now);
  /// The platform answered with what has changed; may be empty.
  void Apply(const std::vector<Change>& changes, TimePoint now);
  /// The platform didn't answer, or refused.
  /// @param since The list may lack changes from then on.
  void Unreachable(TimePoint since);
  /// A server said itself that it's leaving. That holds for this life of it,
  /// whatever the list says, since the list may be older.
  /// @return Whether that wasn't known.
  bool MarkLeaving(const std::string& id, TimePoint now);
  /// Lapsed members that are kept.
  std::size_t kept() const { return m_doubted.size(); }
  /// Removes entries whose grace is over. @return Whether any was removed.
  bool Expire(TimePoint now);

  const std::map<std::string, BackendServer>& servers() const {
    return m_servers;
  }
  /// Whether removals tell that a server has left. For some time after an
  /// outage they may be of servers that had begun to leave meanwhile.
  bool settled(TimePoint now) const;
  /// Servers that have ended since the last call: a later life of them, or
  /// another server at their address, was listed.
  std::vector<std::string> TakeEnded() { return std::exchange(m_ended, {}); }
  bool known() const { return m_known; }
  bool reachable() const { return m_reachable; }

 private:
  void Reached(TimePoint now);
  void Remove(const std::string& id, TimePoint now);
  void Put(const BackendServer& server);
  void Forget(const std::string& id, TimePoint now);
  /// Notes whose end an entry tells that is about to be put.
  void NoteEnded(const BackendServer& server);
  void ForgetPast(TimePoint now);

  /// A lapsed member of a group that may still serve.
  struct Doubt {
    TimePoint removed;
    bool one_of_many = false;
  };

  static bool IsMember(const BackendServer& server);
  void ForgetLapses(TimePoint now);
  bool ManyLapse(TimePoint now);
  bool JudgeDoubts(TimePoint now);

  /// A life of a server that isn't listed any more.
  struct Past {
    std::int64_t incarnation = 0;
    TimePoint removed;
    std::string address;
  };

  std::map<std::string, BackendServer> m_servers;
  std::unordered_map<std::string, std::string> m_ids;  ///< By address.
  std::vector<std::string> m_ended;                    ///< For TakeEnded.
  std::map<std::string, Past> m_past;                  ///< By id.
  /// Servers that said that they are leaving, and their life.
  std::map<std::string, std::int64_t> m_marked;
  std::map<std::string, TimePoint> m_lapsed;  ///< End of an entry's grace.
  std::map<std::string, Doubt> m_doubted;     ///< Listed and marked as lapsed.
  std::deque<TimePoint> m_lapses;             ///< Recent unannounced removals.
  bool m_known = false;
  bool m_reachable = false;
  TimePoint m_unreachable_since;
  TimePoint m_grace_until;  ///< Removals before this wait until then.
};

}  // namespace clementine

#endif  // CORE_SERVER_LIST_H_

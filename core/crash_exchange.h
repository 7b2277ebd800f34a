// Distributes crash marks between daemons whose only shared store is the
// platform.
//
// Each daemon stores the marks that it made in one object of its own. Marks of
// one crash are written together. Objects outlive their daemons; therefore
// daemons that start later read the marks too. While the platform does not
// accept the object, the daemon sends its marks to the other daemons directly.
//
//   CrashExchange exchange("d1");
//   exchange.ShareMark(share, now, wall);
//   for (const auto& learned : exchange.OnObjects(read_objects, wall)) {
//     path.Handle(learned, now);
//   }
//   for (const auto& action : exchange.Advance(now, wall, removes_expired)) ...
#ifndef CORE_CRASH_EXCHANGE_H_
#define CORE_CRASH_EXCHANGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "core/own_object.h"

namespace clementine {

/// Clock for the expiry of marks. It may differ by seconds between hosts, which
/// is short compared with the lifetime of a mark.
using WallTime = std::chrono::system_clock::time_point;

/// A mark or an acquittal as it is stored and sent.
struct CrashMark {
  /// Text that identifies the mark or the acquittal; see
  /// ShareQuarantine::digest.
  std::string name;
  WallTime expires;
};

/// Encodes one line per mark: its expiry in seconds since the epoch, and its
/// name.
std::string EncodeCrashMarks(const std::vector<CrashMark>& marks);
/// Malformed lines are skipped, as are lines after the first
/// CrashExchange::kMaxMarks marks.
std::vector<CrashMark> DecodeCrashMarks(const std::string& text);

/// Invariant: a mark that has expired by this host's clock is neither sent nor
/// accepted, so that an outdated or repeated text cannot quarantine a request.
class CrashExchange {
 public:
  /// Maximum number of marks of one daemon. A crash creates one mark for each
  /// request in flight on the server.
  static constexpr std::size_t kMaxMarks = 256;
  /// Maximum size of their names together. A mark that names the 1,600 parts of
  /// a request by a filter takes 5.5 KB.
  static constexpr std::size_t kMaxMarkBytes = 65'536;
  /// Kind of the daemons' objects on the platform.
  static const char kKind[];

  /// A daemon's object as read from the platform.
  struct Object {
    std::string name;  ///< Name of the daemon.
    std::uint64_t revision = 0;
    std::string value;
    bool deleted = false;
  };
  /// Sends the marks to the other daemons directly.
  struct NotifyDaemons {
    std::string text;
  };
  using Action = std::variant<PutObject, DeleteObject, NotifyDaemons>;

  explicit CrashExchange(std::string node);

  /// Adds a mark from this daemon's request path.
  void ShareMark(const ShareQuarantine& share, TimePoint now, WallTime wall);

  /// Objects were listed or have changed. Marks of an earlier incarnation in
  /// this daemon's object are kept.
  /// @return Marks in these objects.
  std::vector<QuarantineLearned> OnObjects(const std::vector<Object>& objects,
                                           WallTime wall);

  /// Decodes marks that another daemon sent directly.
  static std::vector<QuarantineLearned> DecodePeerNotice(
      const std::string& text, WallTime wall);

  /// The platform's reply to a PutObject or DeleteObject.
  void OnReply(const ObjectReply& reply, TimePoint now);

  /// The store was restored from a copy that may lack marks: writes this
  /// daemon's marks again. Revisions of other objects are no longer used.
  void OnStoreRestored(TimePoint now);

  /// @param removes_expired Whether this daemon removes objects of other
  ///     daemons whose marks have all expired. One such daemon is enough.
  std::vector<Action> Advance(TimePoint now, WallTime wall,
                              bool removes_expired);

  /// Whether some marks are not stored on the platform yet.
  bool pending() const;
  std::size_t size() const { return m_marks.size(); }

 private:
  struct Mark {
    WallTime expires;
    std::uint64_t change = 0;  ///< Number of the change that added it.
  };
  struct StoredObject {
    std::uint64_t revision = 0;
    WallTime expires;  ///< Latest expiry of its marks.
  };

  /// Encodes this daemon's marks for other daemons. Called after Expire.
  std::string Encode() const;
  void Expire(WallTime wall);
  /// Removes a mark that was not written or sent yet.
  /// @return Whether there was one.
  bool DropUnsentMark(const std::string& name);
  /// Makes room for a mark.
  void EvictIfFull(std::size_t name_bytes);
  void EraseMark(std::map<std::string, Mark>::iterator mark);
  void WriteOrNotify(TimePoint now, std::vector<Action>* out);
  void RemoveExpiredObject(TimePoint now, WallTime wall,
                           std::vector<Action>* out);

  std::string m_node;
  /// Differs between daemons, so that the first to acquit spares the others.
  milliseconds m_acquittal_delay;
  std::map<std::string, Mark> m_marks;  ///< Marks of this daemon by name.
  std::size_t m_mark_bytes = 0;         ///< Size of these names.
  std::map<std::string, StoredObject> m_objects;  ///< Objects by daemon.
  /// Marks of an earlier incarnation were read.
  bool m_own_object_read = false;
  std::uint64_t m_last_change = 0;  ///< Number of the last change of m_marks.
  std::uint64_t m_written_change = 0;  ///< Last change stored on the platform.
  std::uint64_t m_sent_change = 0;     ///< Last change in the write in flight.
  /// All marks have to be written, because the store was restored.
  bool m_rewrite = false;
  bool m_rewrite_sent = false;  ///< By the write in flight.
  OwnObject m_own;
  bool m_in_flight = false;  ///< A write has no reply yet.
  TimePoint m_write_due_at;  ///< Time of the next write.
  TimePoint m_sent_at;       ///< Time of the last write.
  /// Time of the next direct notice unless a write succeeds.
  TimePoint m_notify_at;
  int m_notify_count = 0;  ///< Direct notices of the same marks.
  TimePoint m_next_removal_at;
};

}  // namespace clementine

#endif  // CORE_CRASH_EXCHANGE_H_

// Spreads crash marks between daemons that share nothing but the platform.
//
// Each daemon keeps the marks it made in one object of its own. Marks of one
// crash are written together, and objects outlive their daemons, so that one
// that starts later knows them too. While the platform doesn't take the object,
// the daemon tells the marks to the others directly.
//
//   CrashExchange exchange("d1");
//   exchange.Share(share, now, wall);
//   for (const auto& learned : exchange.Objects(read_objects, wall)) {
//     path.Handle(learned, now);
//   }
//   for (const auto& action : exchange.Advance(now, wall, cleans)) ...
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

/// Time by which daemons agree when a mark expires. It may differ by seconds
/// between hosts, which is little beside the life of a mark.
using WallTime = std::chrono::system_clock::time_point;

/// A mark as it is stored and told.
struct CrashMark {
  std::string name;  ///< As ShareQuarantine::digest.
  WallTime expires;
};

/// One line for each mark: its expiry in seconds since the epoch, and its name.
std::string EncodeCrashMarks(const std::vector<CrashMark>& marks);
/// Lines that aren't in this form are left out, as those after the first
/// CrashExchange::kMostMarks are.
std::vector<CrashMark> DecodeCrashMarks(const std::string& text);

/// Invariant: a mark that has expired by the own clock is neither told nor
/// learned, so that an old or repeated text can't quarantine anything.
class CrashExchange {
 public:
  /// Of one daemon. A crash makes one for each request that its server had.
  static constexpr std::size_t kMostMarks = 256;
  /// Kind of the daemons' objects on the platform.
  static const char kKind[];

  /// A daemon's object as it was read.
  struct Object {
    std::string name;  ///< Of the daemon.
    std::uint64_t revision = 0;
    std::string value;
    bool deleted = false;
  };
  /// Tells other daemons directly.
  struct TellDaemons {
    std::string text;
  };
  using Action = std::variant<PutObject, DeleteObject, TellDaemons>;

  explicit CrashExchange(std::string node) : m_node(std::move(node)) {}

  /// A mark of the own request path.
  void Share(const ShareQuarantine& share, TimePoint now, WallTime wall);

  /// Objects were listed, or have changed. An earlier life's marks in the own
  /// object are kept.
  /// @return What they tell.
  std::vector<QuarantineLearned> Objects(const std::vector<Object>& objects,
                                         WallTime wall);

  /// Another daemon told its marks directly.
  static std::vector<QuarantineLearned> Told(const std::string& text,
                                             WallTime wall);

  /// The platform's reply to a PutObject or DeleteObject.
  void Replied(const ObjectReply& reply, TimePoint now);

  /// @param cleans Whether this daemon removes the objects of others whose
  ///     marks have all expired. One is enough.
  std::vector<Action> Advance(TimePoint now, WallTime wall, bool cleans);

  /// Marks that aren't on the platform yet.
  bool pending() const;
  std::size_t size() const { return m_marks.size(); }

 private:
  struct Mark {
    WallTime expires;
    std::uint64_t change = 0;  ///< Number of the change that brought it.
  };
  struct Other {
    std::uint64_t revision = 0;
    WallTime expires;  ///< Of its last mark.
  };

  /// The own marks, for other daemons; after Expire.
  std::string Encode() const;
  void Expire(WallTime wall);
  void MakeRoom();
  void Write(TimePoint now, std::vector<Action>* out);
  void Clean(TimePoint now, WallTime wall, std::vector<Action>* out);

  std::string m_node;
  std::map<std::string, Mark> m_marks;     ///< Made by this daemon; by name.
  std::map<std::string, Other> m_objects;  ///< By daemon.
  bool m_read = false;          ///< What an earlier life wrote is known.
  std::uint64_t m_changes = 0;  ///< Of the own marks.
  std::uint64_t m_written = 0;  ///< Last change that the platform has.
  std::uint64_t m_sent = 0;     ///< Last change in a write that is under way.
  OwnObject m_own;
  bool m_waiting = false;  ///< For the reply to a write.
  TimePoint m_due;         ///< Of the next write.
  TimePoint m_sent_at;     ///< Of the last write.
  TimePoint m_tell_at;     ///< Of the next telling, if nothing is written.
  int m_told = 0;          ///< Tellings of the same marks.
  TimePoint m_next_clean;
};

}  // namespace clementine

#endif  // CORE_CRASH_EXCHANGE_H_

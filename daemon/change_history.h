// The latest state of the platform's objects of one kind, and what changed
// after a revision.
#ifndef DAEMON_CHANGE_HISTORY_H_
#define DAEMON_CHANGE_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "platform/platform.h"

namespace clementine {

/// Objects as they are after some changes.
struct ChangeDelta {
  /// All objects there are: others don't exist. Otherwise those that changed.
  bool whole = false;
  std::uint64_t revision = 0;
  std::vector<platform::StoredObject> objects;
};

/// Keeps each object once, so that its size is bounded by what lies on the
/// platform and not by how often it changes.
/// Invariant: the revision and the time up to which it is current never go
/// back.
class ChangeHistory {
 public:
  /// All objects there are.
  /// @param as_of When the list was current.
  void Replace(const platform::ObjectBatch& all, TimePoint as_of);
  /// Changes after the revision of this history; may be empty.
  /// @param as_of Up to when no other changes were made.
  void Add(const platform::ObjectBatch& batch, TimePoint as_of);

  /// What a daemon that knows a revision lacks.
  ChangeDelta After(std::uint64_t revision) const;

  /// Whether the objects are known and within the budget of memory.
  bool known() const { return m_as_of && m_bytes <= kMostBytes; }
  std::uint64_t revision() const { return m_revision; }
  /// Up to when all changes are known; only while known().
  TimePoint as_of() const { return *m_as_of; }

 private:
  /// Configurations are up to a megabyte, entries of servers below one KB.
  static constexpr std::size_t kMostBytes = 16'777'216;
  /// Removed objects that are remembered.
  static constexpr std::size_t kMostRemoved = 1'024;

  struct Entry {
    platform::StoredObject object;
    std::uint64_t changed = 0;  ///< Revision of the batch that brought it.
  };

  void Put(const platform::StoredObject& object, std::uint64_t revision);
  void ForgetRemoved();
  void Confirm(TimePoint as_of);

  std::map<std::string, Entry> m_entries;  ///< By name.
  std::uint64_t m_base = 0;  ///< Removals after this revision are known.
  std::uint64_t m_revision = 0;
  std::optional<TimePoint> m_as_of;
  std::size_t m_bytes = 0;
  std::size_t m_removed = 0;
};

}  // namespace clementine

#endif  // DAEMON_CHANGE_HISTORY_H_

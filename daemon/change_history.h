// The latest state of the platform's objects of one kind, and the changes after
// a given revision.
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

/// State of objects after some changes.
struct ChangeDelta {
  /// If true, `objects` holds all existing objects; otherwise, those that
  /// changed.
  bool whole = false;
  /// Era of the store in which `revision` counts; 0 if the store states none.
  std::uint64_t era = 0;
  std::uint64_t revision = 0;
  std::vector<platform::StoredObject> objects;
};

/// Stores only the latest state of each object. Its size is therefore bounded
/// by the size of the objects on the platform, regardless of how often they
/// change. Invariant: the pair of era and revision, and the time up to which it
/// is current, never move back.
class ChangeHistory {
 public:
  /// Replaces the state by a list of all existing objects. Ignores a list older
  /// than the current revision.
  /// @param as_of Time at which the list was current.
  void Replace(const platform::ObjectBatch& all, TimePoint as_of);
  /// Adds changes after the current revision; may be empty.
  /// @param as_of Time up to which no other changes were made.
  void Add(const platform::ObjectBatch& batch, TimePoint as_of);

  /// Returns the changes after `revision` of the current era.
  ChangeDelta DeltaAfter(std::uint64_t revision) const;

  /// Whether the objects are known and fit into the memory limit.
  bool known() const { return m_as_of && m_bytes <= kMaxBytes; }
  /// Returns all objects.
  ChangeDelta All() const;
  std::uint64_t era() const { return m_era; }
  std::uint64_t revision() const { return m_revision; }
  /// Time up to which all changes are known. Valid only while known().
  TimePoint as_of() const { return *m_as_of; }

 private:
  /// Configurations have up to 1 MB, entries of servers less than 1 KB.
  static constexpr std::size_t kMaxBytes = 16'777'216;
  /// Maximum number of removed objects that are stored.
  static constexpr std::size_t kMaxRemovedObjects = 1'024;

  struct Entry {
    platform::StoredObject object;
    std::uint64_t changed_revision = 0;  ///< Revision of the batch that set it.
  };

  void StoreEntry(const platform::StoredObject& object, std::uint64_t revision);
  void ForgetOldRemovals();
  void AdvanceAsOf(TimePoint as_of);

  std::map<std::string, Entry> m_entries;  ///< By name.
  std::uint64_t m_min_delta_revision = 0;  ///< Removals after this revision
                                           ///< are stored.
  std::uint64_t m_era = 0;
  std::uint64_t m_revision = 0;
  std::optional<TimePoint> m_as_of;
  std::size_t m_bytes = 0;
  std::size_t m_removed = 0;
};

}  // namespace clementine

#endif  // DAEMON_CHANGE_HISTORY_H_

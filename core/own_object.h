// Version condition for writes to a platform object that only this daemon
// writes and that may not exist yet.
#ifndef CORE_OWN_OBJECT_H_
#define CORE_OWN_OBJECT_H_

#include <cstdint>

#include "core/core.h"

namespace clementine {

/// If the object exists, any version was written by this daemon; therefore no
/// read is needed before a write.
class OwnObject {
 public:
  /// Value of PutObject::if_version for the next write.
  std::uint64_t if_version() const { return m_if_version; }

  /// Sets whether the object exists according to a read or a list.
  void SetExists(bool exists) { m_if_version = exists ? kAnyVersion : 0; }

  /// @param status Result of a write.
  /// @return Whether to repeat the write at once with the other condition.
  bool OnReply(ObjectStatus status) {
    bool created = m_if_version == 0;
    SetExists(status != ObjectStatus::kNotFound);
    return status == ObjectStatus::kNotFound ||
           (created && status == ObjectStatus::kConflict);
  }

 private:
  std::uint64_t m_if_version = kAnyVersion;
};

}  // namespace clementine

#endif  // CORE_OWN_OBJECT_H_

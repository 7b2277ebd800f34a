// Condition of writes to an object of the platform that only this daemon
// writes, and that may be absent.
#ifndef CORE_OWN_OBJECT_H_
#define CORE_OWN_OBJECT_H_

#include <cstdint>

#include "core/core.h"

namespace clementine {

/// Once the object exists any version is ours, so nothing is read before a
/// write.
class OwnObject {
 public:
  /// As PutObject::if_version of the next write.
  std::uint64_t if_version() const { return m_if_version; }

  /// What was read or listed tells whether the object exists.
  void SetExists(bool exists) { m_if_version = exists ? kAnyVersion : 0; }

  /// @param status Of a write.
  /// @return Whether to write again at once, under the other condition.
  bool Replied(ObjectStatus status) {
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

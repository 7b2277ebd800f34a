// Finds the causes of crashes among the requests that were in flight at them.
#ifndef CORE_CRASH_ATTRIBUTION_H_
#define CORE_CRASH_ATTRIBUTION_H_

#include <cstddef>
#include <string>
#include <vector>

namespace clementine {

/// A possible cause: a request, or a part that requests share.
struct CrashEvidence {
  std::string key;
  /// Names of the crashes at which a request with this key was in flight.
  std::vector<std::string> crashes;
  /// Number of crashes that have to be attributed to the key.
  std::size_t limit = 0;
  /// Ranks before other keys with as many crashes.
  bool preferred = false;
};

/// A cause of crashes.
struct CrashCause {
  /// Only requests that have all of these keys are blamed. There is more than
  /// one if the keys were in flight at the same crashes: the requests that
  /// crashed servers had all of them, and each alone may be sound.
  std::vector<std::string> keys;
  std::vector<std::string> crashes;  ///< Crashes attributed to the cause.
};

/// Attributes each crash to at most one cause.
///
/// The key that was in flight at most crashes is their cause; they say nothing
/// about other keys. The rest of the crashes is attributed in the same way, as
/// long as a key reaches its limit. A key that was in flight at crashes of
/// another cause by chance isn't blamed for that reason.
///
/// @return The causes, that with most crashes first. The result does not depend
///     on the order of the evidence.
std::vector<CrashCause> AttributeCrashes(std::vector<CrashEvidence> evidence);

}  // namespace clementine

#endif  // CORE_CRASH_ATTRIBUTION_H_

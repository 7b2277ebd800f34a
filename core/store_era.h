// Eras of the platform's store. The store states a number, its era, which is
// one higher each time that it was restored from a copy.
#ifndef CORE_STORE_ERA_H_
#define CORE_STORE_ERA_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/core.h"

namespace clementine {

/// Time that the operator and the backend servers need to write again what a
/// restored store lacks. Equals the time by which an unstable store may extend
/// the bounds of changes.
inline constexpr milliseconds kRewriteDuration{6'000};

/// The highest era that a daemon has seen. Revisions and versions of objects
/// are comparable only within one era. A store that states no era counts as
/// era 0.
/// Invariant: the era never goes back.
class StoreEra {
 public:
  enum class Verdict {
    kCurrent,   ///< Of the highest era, or the store states none.
    kFirst,     ///< The first answer; nothing was learned from another era.
    kRestored,  ///< Of a higher era than all before.
    kOlder,     ///< Of an older era; must have no effect.
  };

  /// Compares the era of an answer with the highest era, and records it.
  /// @param era Empty if the answer states none. Answers that state none don't
  ///     change a known era.
  Verdict Observe(std::optional<std::uint64_t> era);

  /// Whether an older era has to be logged: once for each value in each era.
  bool ShouldLogOlder(std::uint64_t era);

  std::uint64_t highest() const { return m_highest; }

 private:
  bool m_known = false;  ///< An answer was observed.
  std::uint64_t m_highest = 0;
  std::optional<std::uint64_t> m_logged_older;
};

/// Time for which a daemon grants no claim that it cannot verify after a
/// restore. Longer than kRewriteDuration, because daemons learn of a restore
/// from each other and have to write claims whose first write may fail.
inline constexpr milliseconds kUnverifiedClaimDuration{10'000};

/// Decodes the number in an answer's header.
/// @return Nothing if the text is empty or isn't a number.
std::optional<std::uint64_t> ParseStoreEra(std::string_view text);

/// Whether state at (era, revision) is newer than state at (other_era,
/// other_revision).
bool IsNewerState(std::uint64_t era, std::uint64_t revision,
                  std::uint64_t other_era, std::uint64_t other_revision);

/// Lower bound of the fences that are granted in an era. A fence below it was
/// granted in an earlier era, whichever daemons know of that grant.
/// @return 0 if the era is too large for this encoding; only the fences that a
///     daemon has seen then order the grants.
std::uint64_t FirstFenceOfEra(std::uint64_t era);

}  // namespace clementine

#endif  // CORE_STORE_ERA_H_

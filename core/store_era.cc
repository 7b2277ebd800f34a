#include "core/store_era.h"

#include <charconv>
#include <tuple>

namespace clementine {
namespace {

/// Fences of one era. A takeover needs seconds, so that an era has fewer.
constexpr std::uint64_t kFencesPerEra = std::uint64_t{1} << 16;
/// Epochs of groups are fences times 2^20 and have to stay below 2^53, the
/// limit up to which every JSON library stores integers exactly.
constexpr std::uint64_t kMaxEncodedEra = (std::uint64_t{1} << 16) - 1;

}  // namespace

StoreEra::Verdict StoreEra::Observe(std::optional<std::uint64_t> era) {
  if (!m_known) {
    m_known = true;
    m_highest = era.value_or(0);
    return Verdict::kFirst;
  }
  if (!era || *era == m_highest) return Verdict::kCurrent;
  if (*era < m_highest) return Verdict::kOlder;
  m_highest = *era;
  m_logged_older.reset();
  return Verdict::kRestored;
}

bool StoreEra::ShouldLogOlder(std::uint64_t era) {
  if (m_logged_older == era) return false;
  m_logged_older = era;
  return true;
}

std::optional<std::uint64_t> ParseStoreEra(std::string_view text) {
  std::uint64_t era = 0;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, era);
  if (text.empty() || error != std::errc() || stop != end) return std::nullopt;
  return era;
}

bool IsNewerState(std::uint64_t era, std::uint64_t revision,
                  std::uint64_t other_era, std::uint64_t other_revision) {
  return std::tie(era, revision) > std::tie(other_era, other_revision);
}

std::uint64_t FirstFenceOfEra(std::uint64_t era) {
  return era <= kMaxEncodedEra ? era * kFencesPerEra : 0;
}

}  // namespace clementine

// Sets of prompt parts in a few bytes each, to tell which parts of two prompts
// may be the same without sending all of them.
#ifndef CORE_PART_FILTER_H_
#define CORE_PART_FILTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// Bloom filter of part hashes (see Quarantine::Keys). Its size follows the
/// number of parts, up to kMaxBytes.
class PartFilter {
 public:
  /// Size for 4,096 parts at 16 bits each. With more, the rate of false
  /// positives grows.
  static constexpr std::size_t kMaxBytes = 8'192;

  explicit PartFilter(const std::vector<std::uint64_t>& parts);

  /// @return Nothing if the text is not a filter that Encode() wrote.
  static std::optional<PartFilter> Decode(std::string_view text);
  /// Returns the filter as Base64 with '_' in place of '/', which separates the
  /// fields of a crash mark.
  std::string Encode() const;

  /// @return False only if the part is not in the set.
  bool MayContain(std::uint64_t part) const;

  std::size_t size_bytes() const { return m_bits.size(); }
  bool operator==(const PartFilter& other) const = default;

 private:
  explicit PartFilter(std::vector<std::uint8_t> bits)
      : m_bits(std::move(bits)) {}

  std::vector<std::uint8_t> m_bits;  ///< Its size is a power of two.
};

}  // namespace clementine

#endif  // CORE_PART_FILTER_H_

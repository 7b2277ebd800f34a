#include "core/part_filter.h"

#include <openssl/evp.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace clementine {
namespace {

constexpr std::size_t kBitsPerPart = 16;
constexpr std::size_t kMinBytes = 32;
/// Bits that are set for each part.
constexpr std::uint64_t kProbes = 8;

/// Calls `visit` with the bits of a part. Parts are hashes, so that their upper
/// half gives independent steps.
template <typename Visit>
void ForEachBit(std::uint64_t part, std::size_t bytes, const Visit& visit) {
  const std::uint64_t step = (part >> 32) | 1;
  std::uint64_t position = part;
  for (std::uint64_t i = 0; i < kProbes; ++i, position += step) {
    visit(static_cast<std::size_t>(position % (bytes * 8)));
  }
}

}  // namespace

PartFilter::PartFilter(const std::vector<std::uint64_t>& parts) {
  std::size_t bytes = std::bit_ceil(parts.size() * kBitsPerPart / 8);
  m_bits.resize(std::clamp(bytes, kMinBytes, kMaxBytes));
  for (std::uint64_t part : parts) {
    ForEachBit(part, m_bits.size(), [this](std::size_t bit) {
      m_bits[bit / 8] |= static_cast<std::uint8_t>(1U << (bit % 8));
    });
  }
}

bool PartFilter::MayContain(std::uint64_t part) const {
  bool found = true;
  ForEachBit(part, m_bits.size(), [&](std::size_t bit) {
    found = found && ((m_bits[bit / 8] >> (bit % 8)) & 1U) != 0;
  });
  return found;
}

std::string PartFilter::Encode() const {
  std::string text(4 * ((m_bits.size() + 2) / 3) + 1, '\0');
  int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                             m_bits.data(), static_cast<int>(m_bits.size()));
  text.resize(static_cast<std::size_t>(size));
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<PartFilter> PartFilter::Decode(std::string_view text) {
  if (text.size() > kMaxBytes * 2) return std::nullopt;
  std::string base64(text);
  std::replace(base64.begin(), base64.end(), '_', '/');
  std::vector<std::uint8_t> bits(base64.size() / 4 * 3);
  int size = EVP_DecodeBlock(
      bits.data(), reinterpret_cast<const unsigned char*>(base64.data()),
      static_cast<int>(base64.size()));
  if (size < 0) return std::nullopt;
  // The size counts the padding, which decodes as zeros.
  bits.resize(std::bit_floor(static_cast<std::size_t>(size)));
  bool valid = bits.size() >= kMinBytes && bits.size() <= kMaxBytes &&
               PartFilter(bits).Encode() == text;
  if (!valid) return std::nullopt;
  return PartFilter(std::move(bits));
}

}  // namespace clementine

// What is known about the prompt blocks cached by each group.
#ifndef CORE_PREFIX_CACHE_H_
#define CORE_PREFIX_CACHE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace clementine {

/// Bounded index from block hash to the groups that hold the block.
/// Invariant: an entry is never reported for a group whose numbering had a gap
/// after the entry was learned.
class PrefixCache {
 public:
  using Slot =
      std::uint32_t;  ///< Dense number of a group, given by the router.
  static constexpr std::size_t kHoldersPerBlock = 4;

  struct Match {
    double fraction = 0.0;  ///< Share of the prompt's blocks that is cached.
    std::array<Slot, kHoldersPerBlock> slots{};
    std::size_t count = 0;
  };

  /// @param max_blocks Blocks kept; the oldest are forgotten beyond that.
  explicit PrefixCache(std::size_t max_blocks) : m_max_blocks(max_blocks) {}

  /// Forgets all that is known about a group.
  void Reset(Slot slot);

  /// Applies a batch of consecutively numbered events; each added or removed
  /// block is one event.
  void Apply(Slot slot, std::uint64_t first_sequence,
             const std::vector<std::uint64_t>& added,
             const std::vector<std::uint64_t>& removed);

  /// Finds the groups that hold the longest known prefix.
  Match Find(const std::vector<std::uint64_t>& blocks) const;

  std::size_t blocks() const { return m_blocks.size(); }

 private:
  struct Holder {
    Slot slot = 0;
    std::uint32_t generation = 0;  ///< 0 marks an unused place.
  };
  using Holders = std::array<Holder, kHoldersPerBlock>;
  struct Numbering {
    std::uint32_t generation = 1;
    bool known = false;
    std::uint64_t next = 0;
  };

  bool Current(const Holder& holder) const;
  void Add(Slot slot, std::uint64_t block);
  void Remove(Slot slot, std::uint64_t block);

  std::size_t m_max_blocks;
  std::vector<Numbering> m_numbering;  ///< By slot.
  std::unordered_map<std::uint64_t, Holders> m_blocks;
  std::deque<std::uint64_t> m_order;  ///< Blocks in the order of insertion.
};

}  // namespace clementine

#endif  // CORE_PREFIX_CACHE_H_

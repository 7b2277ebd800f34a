// Index of the prompt blocks that each group has in its prefix cache.
#ifndef CORE_PREFIX_CACHE_H_
#define CORE_PREFIX_CACHE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace clementine {

/// Bounded index from the hash of a block to the groups that have it cached.
/// Invariant: Find() returns a group only for blocks that were added after the
/// last gap in the numbering of the group's cache events.
class PrefixCache {
 public:
  using Slot = std::uint32_t;  ///< Index of a group, assigned by the router.
  /// Groups recorded for each block. A further group replaces the oldest one.
  static constexpr std::size_t kMaxGroupsPerBlock = 4;

  struct Match {
    double fraction = 0.0;  ///< Fraction of the prompt's blocks that is cached.
    std::array<Slot, kMaxGroupsPerBlock> slots{};
    std::size_t count = 0;
  };

  /// @param max_blocks Maximum number of blocks; beyond it, the oldest are
  ///     evicted.
  explicit PrefixCache(std::size_t max_blocks) : m_max_blocks(max_blocks) {}

  /// Drops all blocks of a group.
  void Reset(Slot slot);

  /// Applies a batch of consecutively numbered events. Each added or removed
  /// block counts as one event.
  void Apply(Slot slot, std::uint64_t first_sequence,
             const std::vector<std::uint64_t>& added,
             const std::vector<std::uint64_t>& removed);

  /// Finds the groups that have the longest prefix of a prompt cached.
  Match Find(const std::vector<std::uint64_t>& blocks) const;

  std::size_t blocks() const { return m_blocks.size(); }

 private:
  /// Group that has a block cached.
  struct Holder {
    Slot slot = 0;
    std::uint32_t generation = 0;  ///< 0 marks an unused entry.
  };
  using Holders = std::array<Holder, kMaxGroupsPerBlock>;
  struct EventSequence {
    std::uint32_t generation = 1;
    bool contiguous = false;  ///< `next_sequence` is known.
    std::uint64_t next_sequence = 0;
  };

  bool IsCurrent(const Holder& holder) const;
  void Add(Slot slot, std::uint64_t block);
  void Remove(Slot slot, std::uint64_t block);

  std::size_t m_max_blocks;
  std::vector<EventSequence> m_sequences;  ///< By slot.
  std::unordered_map<std::uint64_t, Holders> m_blocks;
  std::deque<std::uint64_t> m_insertion_order;  ///< Oldest block first.
};

}  // namespace clementine

#endif  // CORE_PREFIX_CACHE_H_

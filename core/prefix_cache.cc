// Each group has a generation, which is incremented to drop all blocks of the
// group without a scan of the index. This happens when a batch of events
// doesn't continue the numbering: a removal may have been missed, or the engine
// may have restarted.
//
// Engines evict the leaves of the prefix tree first. A group that has block i
// of a prompt therefore also has all blocks before it, and binary search finds
// the longest cached prefix.

#include "core/prefix_cache.h"

#include <algorithm>

namespace clementine {

void PrefixCache::Reset(Slot slot) {
  if (slot >= m_sequences.size()) {
    m_sequences.resize(slot + 1);
  }
  ++m_sequences[slot].generation;
  m_sequences[slot].contiguous = false;
}

void PrefixCache::Apply(Slot slot, std::uint64_t first_sequence,
                        const std::vector<std::uint64_t>& added,
                        const std::vector<std::uint64_t>& removed) {
  if (slot >= m_sequences.size()) {
    m_sequences.resize(slot + 1);
  }
  if (!m_sequences[slot].contiguous ||
      m_sequences[slot].next_sequence != first_sequence) {
    Reset(slot);
  }
  m_sequences[slot].contiguous = true;
  m_sequences[slot].next_sequence =
      first_sequence + added.size() + removed.size();
  for (std::uint64_t block : added) {
    Add(slot, block);
  }
  // The order of events within a batch is unknown. A block that was both added
  // and removed counts as removed.
  for (std::uint64_t block : removed) {
    Remove(slot, block);
  }
}

PrefixCache::Match PrefixCache::Find(
    const std::vector<std::uint64_t>& blocks) const {
  Match match;
  std::size_t low = 0;
  std::size_t high = blocks.size();
  while (low < high) {
    std::size_t middle = low + (high - low) / 2;
    Match candidates;
    auto found = m_blocks.find(blocks[middle]);
    if (found != m_blocks.end()) {
      for (const Holder& holder : found->second) {
        if (IsCurrent(holder)) {
          candidates.slots[candidates.count++] = holder.slot;
        }
      }
    }
    if (candidates.count == 0) {
      high = middle;
      continue;
    }
    match = candidates;
    match.fraction =
        static_cast<double>(middle + 1) / static_cast<double>(blocks.size());
    low = middle + 1;
  }
  return match;
}

bool PrefixCache::IsCurrent(const Holder& holder) const {
  return holder.generation != 0 && holder.slot < m_sequences.size() &&
         m_sequences[holder.slot].generation == holder.generation;
}

void PrefixCache::Add(Slot slot, std::uint64_t block) {
  auto [entry, inserted] = m_blocks.try_emplace(block);
  if (inserted) {
    m_insertion_order.push_back(block);
  }
  Holders& holders = entry->second;
  Holder* chosen = nullptr;
  for (Holder& holder : holders) {
    if (holder.generation != 0 && holder.slot == slot) {
      chosen = &holder;
      break;
    }
    if (chosen == nullptr && !IsCurrent(holder)) {
      chosen = &holder;
    }
  }
  if (chosen == nullptr) {
    std::rotate(holders.begin(), holders.begin() + 1, holders.end());
    chosen = &holders.back();
  }
  *chosen = {slot, m_sequences[slot].generation};
  while (m_blocks.size() > m_max_blocks ||
         m_insertion_order.size() > 2 * m_max_blocks) {
    m_blocks.erase(m_insertion_order.front());
    m_insertion_order.pop_front();
  }
}

void PrefixCache::Remove(Slot slot, std::uint64_t block) {
  auto found = m_blocks.find(block);
  if (found == m_blocks.end()) {
    return;
  }
  bool held = false;
  for (Holder& holder : found->second) {
    if (holder.slot == slot) {
      holder.generation = 0;
    }
    held = held || IsCurrent(holder);
  }
  if (!held) {
    m_blocks.erase(found);
  }
}

}  // namespace clementine

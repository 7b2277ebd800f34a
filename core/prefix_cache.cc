// Each group has a generation that rises whenever its knowledge is dropped, so
// that forgetting a group costs one increment instead of a walk over all
// blocks. A batch that doesn't continue the numbering drops the knowledge: it
// proves that a removal may have been missed, or that the engine restarted.
//
// Engines evict leaves of the prefix tree first, so a group that holds block i
// of a prompt also holds the blocks before it. The longest known prefix is
// therefore found by binary search.

#include "core/prefix_cache.h"

#include <algorithm>

namespace clementine {

void PrefixCache::Reset(Slot slot) {
  if (slot >= m_numbering.size()) {
    m_numbering.resize(slot + 1);
  }
  ++m_numbering[slot].generation;
  m_numbering[slot].known = false;
}

void PrefixCache::Apply(Slot slot, std::uint64_t first_sequence,
                        const std::vector<std::uint64_t>& added,
                        const std::vector<std::uint64_t>& removed) {
  if (slot >= m_numbering.size()) {
    m_numbering.resize(slot + 1);
  }
  if (!m_numbering[slot].known || m_numbering[slot].next != first_sequence) {
    Reset(slot);
  }
  m_numbering[slot].known = true;
  m_numbering[slot].next = first_sequence + added.size() + removed.size();
  for (std::uint64_t block : added) {
    Add(slot, block);
  }
  // The order within a batch is unknown; a block that was both added and
  // removed counts as removed.
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
    Match here;
    auto found = m_blocks.find(blocks[middle]);
    if (found != m_blocks.end()) {
      for (const Holder& holder : found->second) {
        if (Current(holder)) {
          here.slots[here.count++] = holder.slot;
        }
      }
    }
    if (here.count == 0) {
      high = middle;
      continue;
    }
    match = here;
    match.fraction =
        static_cast<double>(middle + 1) / static_cast<double>(blocks.size());
    low = middle + 1;
  }
  return match;
}

bool PrefixCache::Current(const Holder& holder) const {
  return holder.generation != 0 && holder.slot < m_numbering.size() &&
         m_numbering[holder.slot].generation == holder.generation;
}

void PrefixCache::Add(Slot slot, std::uint64_t block) {
  auto [entry, inserted] = m_blocks.try_emplace(block);
  if (inserted) {
    m_order.push_back(block);
  }
  Holders& holders = entry->second;
  Holder* place = nullptr;
  for (Holder& holder : holders) {
    if (holder.generation != 0 && holder.slot == slot) {
      place = &holder;
      break;
    }
    if (place == nullptr && !Current(holder)) {
      place = &holder;
    }
  }
  if (place == nullptr) {
    std::rotate(holders.begin(), holders.begin() + 1, holders.end());
    place = &holders.back();
  }
  *place = {slot, m_numbering[slot].generation};
  while (m_blocks.size() > m_max_blocks || m_order.size() > 2 * m_max_blocks) {
    m_blocks.erase(m_order.front());
    m_order.pop_front();
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
    held = held || Current(holder);
  }
  if (!held) {
    m_blocks.erase(found);
  }
}

}  // namespace clementine

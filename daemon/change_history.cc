// Removed objects are stored as removed until their number exceeds a limit.
// Then the older half of them is dropped. A daemon whose revision is older than
// a dropped removal is sent the complete state.

#include "daemon/change_history.h"

#include <algorithm>

namespace clementine {
namespace {

std::size_t MemoryBytes(const platform::StoredObject& object) {
  return sizeof(object) + 2 * object.name.size() + object.content.size();
}

}  // namespace

void ChangeHistory::AdvanceAsOf(TimePoint as_of) {
  m_as_of = m_as_of ? std::max(*m_as_of, as_of) : as_of;
}

void ChangeHistory::StoreEntry(const platform::StoredObject& object,
                               std::uint64_t revision) {
  Entry& entry = m_entries[object.name];
  if (entry.changed_revision > 0) m_bytes -= MemoryBytes(entry.object);
  if (entry.changed_revision > 0 && entry.object.deleted) --m_removed;
  entry.object = object;
  if (object.deleted) {
    entry.object.content.clear();
    ++m_removed;
  }
  entry.changed_revision = revision;
  m_bytes += MemoryBytes(entry.object);
}

void ChangeHistory::Replace(const platform::ObjectBatch& all, TimePoint as_of) {
  std::uint64_t era = all.era.value_or(m_era);
  bool first = !m_as_of || era > m_era;
  if (era < m_era || (!first && all.revision < m_revision)) return;
  if (era > m_era) {
    // Revisions of the earlier era aren't comparable with those of this one.
    m_entries.clear();
    m_bytes = 0;
    m_removed = 0;
    m_min_delta_revision = 0;
  }
  m_era = era;
  AdvanceAsOf(as_of);
  std::map<std::string, const platform::StoredObject*> listed;
  for (const platform::StoredObject& object : all.objects) {
    listed[object.name] = &object;
  }
  std::vector<std::string> missing;
  for (const auto& [name, entry] : m_entries) {
    if (!entry.object.deleted && listed.count(name) == 0) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    StoreEntry({name, all.revision, "", true}, all.revision);
  }
  for (const auto& [name, object] : listed) {
    auto known = m_entries.find(name);
    bool same = known != m_entries.end() && !known->second.object.deleted &&
                known->second.object.content == object->content;
    if (!same) StoreEntry(*object, all.revision);
  }
  m_revision = all.revision;
  if (first) m_min_delta_revision = all.revision;
  ForgetOldRemovals();
}

void ChangeHistory::Add(const platform::ObjectBatch& batch, TimePoint as_of) {
  if (!m_as_of || batch.era.value_or(m_era) != m_era) return;
  AdvanceAsOf(as_of);
  if (batch.revision <= m_revision) return;
  m_revision = batch.revision;
  for (const platform::StoredObject& object : batch.objects) {
    StoreEntry(object, batch.revision);
  }
  ForgetOldRemovals();
}

void ChangeHistory::ForgetOldRemovals() {
  if (m_removed <= kMaxRemovedObjects) return;
  std::vector<std::uint64_t> changes;
  for (const auto& [name, entry] : m_entries) {
    if (entry.object.deleted) changes.push_back(entry.changed_revision);
  }
  auto middle =
      changes.begin() + static_cast<std::ptrdiff_t>(changes.size() / 2);
  std::nth_element(changes.begin(), middle, changes.end());
  m_min_delta_revision = std::max(m_min_delta_revision, *middle);
  std::erase_if(m_entries, [this](const auto& named) {
    const Entry& entry = named.second;
    bool forget =
        entry.object.deleted && entry.changed_revision <= m_min_delta_revision;
    if (forget) {
      m_bytes -= MemoryBytes(entry.object);
      --m_removed;
    }
    return forget;
  });
}

ChangeDelta ChangeHistory::DeltaAfter(std::uint64_t revision) const {
  if (revision < m_min_delta_revision) return All();
  ChangeDelta delta;
  delta.era = m_era;
  delta.revision = std::max(revision, m_revision);
  for (const auto& [name, entry] : m_entries) {
    if (entry.changed_revision > revision) {
      delta.objects.push_back(entry.object);
    }
  }
  return delta;
}

ChangeDelta ChangeHistory::All() const {
  ChangeDelta delta;
  delta.whole = true;
  delta.era = m_era;
  delta.revision = m_revision;
  for (const auto& [name, entry] : m_entries) {
    if (!entry.object.deleted) delta.objects.push_back(entry.object);
  }
  return delta;
}

}  // namespace clementine

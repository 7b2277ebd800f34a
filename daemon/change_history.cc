// Removed objects are kept as such until there are many of them. A daemon that
// knows less than the oldest forgotten removal is told the whole state.

#include "daemon/change_history.h"

#include <algorithm>

namespace clementine {
namespace {

std::size_t Bytes(const platform::StoredObject& object) {
  return sizeof(object) + 2 * object.name.size() + object.content.size();
}

}  // namespace

void ChangeHistory::Confirm(TimePoint as_of) {
  m_as_of = m_as_of ? std::max(*m_as_of, as_of) : as_of;
}

void ChangeHistory::Put(const platform::StoredObject& object,
                        std::uint64_t revision) {
  Entry& entry = m_entries[object.name];
  if (entry.changed > 0) m_bytes -= Bytes(entry.object);
  if (entry.changed > 0 && entry.object.deleted) --m_removed;
  entry.object = object;
  if (object.deleted) {
    entry.object.content.clear();
    ++m_removed;
  }
  entry.changed = revision;
  m_bytes += Bytes(entry.object);
}

void ChangeHistory::Replace(const platform::ObjectBatch& all, TimePoint as_of) {
  bool first = !m_as_of;
  if (!first && all.revision < m_revision) return;
  Confirm(as_of);
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
    Put({name, all.revision, "", true}, all.revision);
  }
  for (const auto& [name, object] : listed) {
    auto known = m_entries.find(name);
    bool same = known != m_entries.end() && !known->second.object.deleted &&
                known->second.object.content == object->content;
    if (!same) Put(*object, all.revision);
  }
  m_revision = all.revision;
  if (first) m_base = all.revision;
  ForgetRemoved();
}

void ChangeHistory::Add(const platform::ObjectBatch& batch, TimePoint as_of) {
  if (!m_as_of) return;
  Confirm(as_of);
  if (batch.revision <= m_revision) return;
  m_revision = batch.revision;
  for (const platform::StoredObject& object : batch.objects) {
    Put(object, batch.revision);
  }
  ForgetRemoved();
}

void ChangeHistory::ForgetRemoved() {
  if (m_removed <= kMostRemoved) return;
  std::vector<std::uint64_t> changes;
  for (const auto& [name, entry] : m_entries) {
    if (entry.object.deleted) changes.push_back(entry.changed);
  }
  auto middle =
      changes.begin() + static_cast<std::ptrdiff_t>(changes.size() / 2);
  std::nth_element(changes.begin(), middle, changes.end());
  m_base = std::max(m_base, *middle);
  std::erase_if(m_entries, [this](const auto& named) {
    const Entry& entry = named.second;
    bool forget = entry.object.deleted && entry.changed <= m_base;
    if (forget) {
      m_bytes -= Bytes(entry.object);
      --m_removed;
    }
    return forget;
  });
}

ChangeDelta ChangeHistory::After(std::uint64_t revision) const {
  ChangeDelta delta;
  delta.whole = revision < m_base;
  delta.revision = delta.whole ? m_revision : std::max(revision, m_revision);
  for (const auto& [name, entry] : m_entries) {
    bool wanted =
        delta.whole ? !entry.object.deleted : entry.changed > revision;
    if (wanted) delta.objects.push_back(entry.object);
  }
  return delta;
}

}  // namespace clementine
